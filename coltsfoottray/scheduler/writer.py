"""Writes the scheduler's rows, on condition that it still holds the lease row."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from datetime import timedelta

import msgspec
from returns.result import Failure

from coltsfoottray.clock import Clock
from coltsfoottray.errors import ColtsfoottrayError
from coltsfoottray.jobs.keys import LEASE_KEY, record_key, summary_key
from coltsfoottray.logs import log_event
from coltsfoottray.platform import (
    Check,
    Put,
    TableUnavailable,
    Transaction,
    WatchedTable,
)
from coltsfoottray.platform.retry import commit_with_retry
from coltsfoottray.scheduler.grants import Grants
from coltsfoottray.scheduler.lease import RENEWAL_INTERVAL
from coltsfoottray.scheduler.live import LiveJob
from coltsfoottray.scheduler.side_rows import SideRows
from coltsfoottray.scheduler.takeover import Claim

__all__ = ["LeaseLost", "StateWriter"]

_RETRY_INTERVAL = timedelta(milliseconds=100)

# The store allows 100 conditions and writes in a transaction, and each row takes one of
# both. One row is reserved for the lease.
_ROWS_PER_COMMIT = 48
# The store's limit is 1 MB, and base64 adds a third.
_BYTES_PER_COMMIT = 500_000

# Tasks report checkpoints every second. Per period, at most one transaction of jobs is
# written for their checkpoints alone, so that thousands of running tasks add only one
# write per second.
_CHECKPOINT_PERIOD = timedelta(seconds=1)


class LeaseLost(ColtsfoottrayError):
    """Another entry has taken the lease row over."""


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
        self._checkpoints_stored_at = claim.acquired_at
        self._side_rows = side_rows

    def discard(self, key: str, version: int) -> None:
        """Delete a row with the next commit."""
        self._garbage[key] = version

    def discard_job(self, job: LiveJob) -> None:
        """Delete a job's rows with the next commit."""
        if job.version:
            self.discard(record_key(job.id), job.version)
        if job.summary_version:
            self.discard(summary_key(job.id), job.summary_version)

    async def store(self, jobs: Iterable[LiveJob]) -> None:
        """Store all changes, and renew the lease row if a renewal is due.

        Raises
        ------
        LeaseLost
            If another entry has taken the lease row over.
        """
        dirty = self._jobs_to_store(jobs)
        for batch in _split_batches(dirty):
            await self._commit(batch, renews=self._is_renewal_due())
        now = self._clock.elapsed()
        extra = [put for rows in self._side_rows for put in rows.due_puts(now)]
        for start in range(0, len(extra), _ROWS_PER_COMMIT):
            chunk = extra[start : start + _ROWS_PER_COMMIT]
            await self._commit([], chunk, renews=self._is_renewal_due())
        if self._garbage or (not dirty and self._is_renewal_due()):
            await self._commit([], renews=True)

    async def renew(self) -> None:
        """Renew the lease row."""
        await self._commit([], renews=True)

    def mark_loaded(self) -> None:
        """Show in the lease row that the state is loaded, with the next commit."""
        self.lease = msgspec.structs.replace(
            self.lease, is_loading=False, failed_takeovers=0
        )
        self._must_renew = True

    async def resign(self) -> None:
        """Release the lease row, so that another entry can take it over at once."""
        self.lease = msgspec.structs.replace(self.lease, is_resigned=True)
        await self._commit([], renews=True)
        log_event("scheduler:resigned", epoch=self.lease.epoch)

    def _jobs_to_store(self, jobs: Iterable[LiveJob]) -> list[LiveJob]:
        """Return the changed jobs, and some that only have new checkpoints.

        If checkpoints were not stored, a power loss would discard all work since the
        tasks started.
        """
        dirty: list[LiveJob] = []
        with_checkpoints: list[LiveJob] = []
        for job in jobs:
            if job.is_dirty:
                dirty.append(job)
            elif job.has_new_checkpoints:
                with_checkpoints.append(job)
        now = self._clock.elapsed()
        if with_checkpoints and now - self._checkpoints_stored_at >= _CHECKPOINT_PERIOD:
            self._checkpoints_stored_at = now
            with_checkpoints.sort(key=lambda job: job.stored_at)
            dirty += with_checkpoints[:_ROWS_PER_COMMIT]
        return dirty

    async def _commit(
        self, jobs: list[LiveJob], extra: Sequence[Put] = (), *, renews: bool
    ) -> None:
        sent = self._clock.elapsed()
        puts = [*extra, *(put for job in jobs for put in self._job_puts(job))]
        deleted = {put.key for put in puts if put.is_deletion}
        garbage = list(self._garbage)[: _ROWS_PER_COMMIT - len(puts)]
        puts += [Put(key=key, version=self._garbage.pop(key)) for key in garbage]
        checks: list[Check] = []
        if renews:
            self.lease = msgspec.structs.replace(
                self.lease,
                renewals=self.lease.renewals + 1,
                silent_ms=self._grants.list_silent(),
            )
            puts.append(Put.of(LEASE_KEY, self.version, self.lease))
        else:
            checks.append(Check(key=LEASE_KEY, version=self.version))
        self.writing_since = sent
        versions = await self._commit_until_available(
            Transaction(puts=puts, checks=checks)
        )
        self.writing_since = None
        self.confirmed_at = sent
        self.version = versions.get(LEASE_KEY, self.version)
        for rows in self._side_rows:
            rows.mark_stored(versions)
        if renews:
            self.renewed_at = sent
            self._must_renew = False
            self._grants.unlist(self.lease.silent_ms)
        for job in jobs:
            key = record_key(job.id)
            version = 0 if key in deleted else versions.get(key, job.version)
            summary_version = versions.get(summary_key(job.id), job.summary_version)
            job.mark_stored(version, summary_version, sent)

    def _job_puts(self, job: LiveJob) -> list[Put]:
        """Return the writes that store a job.

        The summary that callers ask for has a row of its own, which changes two or
        three times per job. All entries follow these rows. If they followed the
        records, every change of a task would send them all tasks of the job, which is
        too much for an entry's link of 5 Mbit/s.
        """
        puts = []
        key = record_key(job.id)
        if job.needs_record or not self._drops_records():
            puts.append(Put.of(key, job.version, job.record))
        elif job.version:
            puts.append(Put(key=key, version=job.version))
        if job.has_new_summary:
            summary = job.record.summary
            puts.append(Put.of(summary_key(job.id), job.summary_version, summary))
        return puts

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

    def _is_renewal_due(self) -> bool:
        is_old = self._clock.elapsed() - self.renewed_at >= RENEWAL_INTERVAL
        return is_old or self._must_renew or self._grants.has_recovered_worker()


def _split_batches(jobs: list[LiveJob]) -> list[list[LiveJob]]:
    """Split jobs into batches that each fit into one transaction."""
    batches: list[list[LiveJob]] = []
    size = rows = 0
    for job in jobs:
        job_size = len(msgspec.json.encode(job.record))
        job_rows = 1 + job.has_new_summary
        is_full = not batches or rows + job_rows > _ROWS_PER_COMMIT
        if is_full or size + job_size > _BYTES_PER_COMMIT:
            batches.append([])
            size = rows = 0
        batches[-1].append(job)
        size += job_size
        rows += job_rows
    return batches
