"""Writes the scheduler's rows, on condition that it still holds the lease row."""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable, Sequence
from datetime import timedelta

import eliot
import msgspec
import trio
from returns.result import Failure

from coltsfoottray.clock import Clock
from coltsfoottray.errors import ColtsfoottrayError
from coltsfoottray.jobs.keys import LEASE_KEY, record_key, summary_key
from coltsfoottray.logs import log_event
from coltsfoottray.platform import (
    Check,
    Put,
    TableRefused,
    TableUnavailable,
    Transaction,
    WatchedTable,
)
from coltsfoottray.platform.retry import commit_with_retry
from coltsfoottray.scheduler.grants import Grants
from coltsfoottray.scheduler.job_writes import (
    make_job_group,
    make_start_group,
    mark_stored,
)
from coltsfoottray.scheduler.lease_row import RENEWAL_INTERVAL
from coltsfoottray.scheduler.live import LiveJob
from coltsfoottray.scheduler.refusals import Refusals
from coltsfoottray.scheduler.side_rows import SideRows
from coltsfoottray.scheduler.takeover import Claim
from coltsfoottray.scheduler.transactions import (
    MAX_ENTRIES,
    WriteGroup,
    split_groups,
)

__all__ = ["LeaseLost", "StateWriter"]

_RETRY_INTERVAL = timedelta(milliseconds=100)

# Tasks report checkpoints every second. Per period, at most one transaction of jobs is
# written for their checkpoints alone, so that thousands of running tasks add only one
# write per second.
_CHECKPOINT_PERIOD = timedelta(seconds=1)
_MAX_CHECKPOINT_JOBS = 48
# Jobs that are written with a renewal only because runs of theirs were settled.
_MAX_SETTLED_JOBS = 48


class LeaseLost(ColtsfoottrayError):
    """The lease row is another entry's, or cannot be renewed any more."""


class StateWriter:
    """Writes the scheduler's decisions while it holds the lease row.

    Parameters
    ----------
    claim : Claim
        The lease row as it was taken over.
    side_rows : sequence of SideRows
        What is stored beside the rows of jobs.
    drops_records : callable
        Returns whether the records of ended jobs may be deleted. An entry of an
        earlier version would take a job without a record for a new one.
    """

    def __init__(
        self,
        *,
        claim: Claim,
        grants: Grants,
        side_rows: Sequence[SideRows],
        drops_records: Callable[[], bool],
        table: WatchedTable,
        clock: Clock,
    ) -> None:
        self.lease = claim.lease
        # When the last successful write was sent, and the last one that renewed the
        # lease row. Other entries judge the holder by its renewals only.
        self.confirmed_at = claim.acquired_at
        self.renewed_at = claim.acquired_at
        # When the write in progress was first sent, None between writes.
        self.writing_since: timedelta | None = None
        self._must_renew = False
        self.version = claim.version
        self._drops_records = drops_records
        self._grants = grants
        self._table = table
        self._clock = clock
        # Versions of the rows to delete with one of the next commits, by key.
        self._garbage: dict[str, int] = {}
        self._refusals = Refusals(clock=clock)
        self._checkpoints_stored_at = claim.acquired_at
        self._side_rows = side_rows

    def discard(self, key: str, version: int) -> None:
        """Delete a row with the next commit."""
        self._garbage[key] = version

    def discard_job(self, job: LiveJob) -> None:
        """Delete a job's rows with the next commit."""
        for part in range(job.rows.record_rows):
            self.discard(record_key(job.id, part), job.rows.version)
        if job.rows.summary_version:
            self.discard(summary_key(job.id), job.rows.summary_version)

    async def store(self, jobs: Collection[LiveJob]) -> None:
        """Store all changes, and renew the lease row if a renewal is due.

        What the table refuses for itself is left out, and its job is withheld; all else
        is stored.

        That a job has started only matters to callers who count jobs. It is stored with
        the next write, which the renewals bring within half a second.

        Raises
        ------
        LeaseLost
            If another entry has taken the lease row over, or the table refuses it.
        """
        now = self._clock.elapsed()
        drops_records = self._drops_records()
        groups = []
        for job in self._jobs_to_store(jobs):
            try:
                groups.append(make_job_group(job, drops_records=drops_records))
            except Exception as error:
                # One job would otherwise end each scheduler in turn.
                eliot.write_traceback()
                self._leave_out(WriteGroup(puts=[], job=job), repr(error))
        groups += self._side_groups(now, urgent=True)
        if groups or self._is_renewal_due():
            groups += self._start_groups(jobs, groups)
            # After the jobs: what was learned from jobs that have ended may be stored
            # only once these are stored as ended.
            groups += self._side_groups(now, urgent=False)
        suspects = [group for group in groups if self._is_suspect(group)]
        sound = [group for group in groups if not self._is_suspect(group)]
        for batch in [*split_groups(sound), *([group] for group in suspects)]:
            await self._store_batch([*batch, *self._garbage_groups(batch)])
        if self._garbage:
            await self._store_batch(self._garbage_groups([]))
        if not groups and self._is_renewal_due():
            await self.renew()

    async def _store_batch(self, batch: Sequence[WriteGroup]) -> None:
        """Store groups in one transaction, or in several if the table refuses it."""
        renews = self._must_renew_with(batch)
        try:
            await self._commit(batch, renews=renews)
            return
        except TableRefused as error:
            reason = str(error)
        if renews:
            # Tells whether the lease row is at fault, and keeps it while the search for
            # the group at fault goes on.
            await self.renew()
        if len(batch) == 1:
            self._leave_out(batch[0], reason)
            return
        middle = len(batch) // 2
        await self._store_batch(batch[:middle])
        await self._store_batch(batch[middle:])

    def _leave_out(self, group: WriteGroup, reason: str) -> None:
        """Leave a group out of the next transactions, as the table refuses it."""
        pause = self._refusals.record(group.name)
        job = None if group.is_start_only else group.job
        log_event(
            "scheduler:row-refused" if job is None else "decision:withhold",
            write=group.name,
            job=None if group.job is None else group.job.id,
            reason=reason,
            size_bytes=group.size_bytes,
            entries=group.entries,
            retry_s=pause.total_seconds(),
        )
        if job is not None:
            job.withhold()
        self._mark_unstored(group)

    def _mark_unstored(self, group: WriteGroup) -> None:
        for rows in self._side_rows:
            for put in group.puts:
                rows.mark_unstored(put.key)

    def _is_suspect(self, group: WriteGroup) -> bool:
        """Return whether a group was refused before, and is tried in its own write."""
        return self._refusals.is_suspect(group.name)

    def _side_groups(self, now: timedelta, *, urgent: bool) -> list[WriteGroup]:
        groups = [
            WriteGroup(puts=[put])
            for rows in self._side_rows
            if rows.is_urgent is urgent
            for put in rows.due_puts(now)
        ]
        due = []
        for group in groups:
            if self._refusals.is_left_out(group.name):
                self._mark_unstored(group)
            else:
                due.append(group)
        return due

    async def renew(self) -> None:
        """Renew the lease row.

        Raises
        ------
        LeaseLost
            If another entry has taken the lease row over, or the table refuses it: a
            holder that cannot renew it has to go.
        """
        try:
            await self._commit([], renews=True)
        except TableRefused as error:
            raise LeaseLost(f"epoch {self.lease.epoch}: {error}") from error

    async def renew_until(
        self, loaded: trio.Event, progress: Callable[[], int]
    ) -> None:
        """Renew the lease row until all is loaded, as long as that makes progress.

        Other entries replace a holder that is stuck, but not one that is only slow:
        the next one would have to read the same.

        Raises
        ------
        LeaseLost
            If another entry has taken the lease row over.
        """
        last = progress()
        while True:
            with trio.move_on_after(RENEWAL_INTERVAL.total_seconds() / 2):
                await loaded.wait()
                return
            if progress() != last:
                last = progress()
                await self.renew()

    def mark_loaded(self) -> None:
        """Show in the lease row that the state is loaded, with the next commit."""
        self.lease = msgspec.structs.replace(
            self.lease, is_loading=False, failed_takeovers=0
        )
        self._must_renew = True

    async def resign(self) -> None:
        """Release the lease row, so that another entry can take it over at once."""
        self.lease = msgspec.structs.replace(self.lease, is_resigned=True)
        await self.renew()
        log_event("scheduler:resigned", epoch=self.lease.epoch)

    def _jobs_to_store(self, jobs: Iterable[LiveJob]) -> list[LiveJob]:
        """Return the changed jobs, and some with changes that can wait.

        If checkpoints were not stored, a power loss would discard all work since the
        tasks started. If it were not stored which runs are settled, a new scheduler
        would wait for the longest lease that a lost worker may hold; this is stored
        with the renewals, which are written anyway.
        """
        dirty: list[LiveJob] = []
        with_checkpoints: list[LiveJob] = []
        newly_settled: list[LiveJob] = []
        for job in jobs:
            if self._is_left_out(job):
                continue
            if job.is_dirty:
                dirty.append(job)
            elif job.has_newly_settled:
                newly_settled.append(job)
            elif job.has_new_checkpoints:
                with_checkpoints.append(job)
        now = self._clock.elapsed()
        if with_checkpoints and now - self._checkpoints_stored_at >= _CHECKPOINT_PERIOD:
            self._checkpoints_stored_at = now
            with_checkpoints.sort(key=lambda job: job.stored_at)
            dirty += with_checkpoints[:_MAX_CHECKPOINT_JOBS]
        if self._is_renewal_due():
            newly_settled.sort(key=lambda job: job.stored_at)
            dirty += newly_settled[:_MAX_SETTLED_JOBS]
        return dirty

    def _is_left_out(self, job: LiveJob) -> bool:
        """Return whether a job's rows are not written now, as the table refused them.

        The end of a job changes what is written of it.
        """
        return (
            self._refusals.is_left_out(job.id) and job.withheld_in is job.record.state
        )

    async def _commit(self, groups: Sequence[WriteGroup], *, renews: bool) -> None:
        sent = self._clock.elapsed()
        puts = [put for group in groups for put in group.puts]
        checks = [check for group in groups for check in group.checks]
        deleted = {put.key for put in puts if put.is_deletion}
        if renews:
            self.lease = msgspec.structs.replace(
                self.lease,
                renewals=self.lease.renewals + 1,
                silent_ms=self._grants.list_silent(),
                prior_left_ms=self._grants.prior_left_ms(),
                standbys=self._grants.limit.list_standbys(),
            )
            puts.append(Put.of(LEASE_KEY, self.version, self.lease))
        else:
            checks.append(Check(key=LEASE_KEY, version=self.version))
        self.writing_since = sent
        try:
            versions = await self._commit_until_available(
                Transaction(puts=puts, checks=checks)
            )
        finally:
            self.writing_since = None
        self.confirmed_at = sent
        self.version = versions.get(LEASE_KEY, self.version)
        for rows in self._side_rows:
            rows.mark_stored(versions)
        if renews:
            self.renewed_at = sent
            self._must_renew = False
            self._grants.unlist(self.lease.silent_ms)
            self._grants.limit.record_renewal(sent)
        for group in groups:
            mark_stored(group, versions, deleted, sent)

    def _garbage_groups(self, batch: Iterable[WriteGroup]) -> list[WriteGroup]:
        """Return deletions that fit into a transaction beside a batch."""
        free_entries = MAX_ENTRIES - sum(group.entries for group in batch)
        keys = list(self._garbage)[: max(free_entries, 0) // 2]
        return [
            WriteGroup(puts=[Put(key=key, version=self._garbage.pop(key))])
            for key in keys
        ]

    def _start_groups(
        self, jobs: Iterable[LiveJob], groups: Iterable[WriteGroup]
    ) -> list[WriteGroup]:
        """Return the writes of first starts that no other write contains."""
        included = {group.job.id for group in groups if group.job is not None}
        starts = [
            make_start_group(job)
            for job in jobs
            if job.has_new_start and job.id not in included and not job.is_withheld
        ]
        return [each for each in starts if not self._refusals.is_left_out(each.name)]

    async def _commit_until_available(self, transaction: Transaction) -> dict[str, int]:
        while True:
            try:
                outcome = await commit_with_retry(
                    self._table, transaction, clock=self._clock
                )
            except TableUnavailable as error:
                log_event("scheduler:table-unavailable", reason=str(error))
                await self._clock.sleep(_RETRY_INTERVAL)
                continue
            if isinstance(outcome, Failure):
                rows = [row.key for row in outcome.failure().rows]
                raise LeaseLost(
                    f"epoch {self.lease.epoch}: {len(rows)} rows changed by others, "
                    f"first {rows[:1]}"
                )
            return outcome.unwrap()

    def _must_renew_with(self, groups: Iterable[WriteGroup]) -> bool:
        """Return whether a renewal is due, or tells a write from that of a successor.

        After a lost answer, a write counts as done if the rows are as written. What is
        stored of a first start would be the same from any scheduler.
        """
        return self._is_renewal_due() or all(
            group.is_unattributable for group in groups
        )

    def _is_renewal_due(self) -> bool:
        is_old = self._clock.elapsed() - self.renewed_at >= RENEWAL_INTERVAL
        return is_old or self._must_renew or self._grants.has_recovered_worker()
