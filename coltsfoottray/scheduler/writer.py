"""The scheduler's rows: each write names the lease row, and so proves its right."""

from __future__ import annotations

from collections.abc import Iterable
from datetime import timedelta

import msgspec
from returns.result import Failure

from coltsfoottray.agent.pressure import Pressure, PressureTable
from coltsfoottray.clock import Clock
from coltsfoottray.errors import ColtsfoottrayError
from coltsfoottray.jobs.keys import LEASE_KEY, PRESSURES_KEY, record_key, summary_key
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
from coltsfoottray.scheduler.lease import RENEWAL_INTERVAL, LeaseRow
from coltsfoottray.scheduler.live import LiveJob

__all__ = ["LeaseLost", "StateWriter"]

_RETRY = timedelta(milliseconds=100)

# The store takes 100 conditions and writes in a transaction, one of each for a row; two
# rows are those of the lease and of pressures.
_ROWS_PER_COMMIT = 48
# Its limit is 1 MB; base64 adds a third.
_BYTES_PER_COMMIT = 500_000

# Checkpoints come with each second of work. At most one commit's jobs are written in
# that time for their sake, so that thousands of running tasks add one write a second.
_CHECKPOINT_PERIOD = timedelta(seconds=1)

# What images do to one another is learned in seconds and changes little.
_PRESSURES_PERIOD = timedelta(seconds=4)
# At 40 bytes a pair a row of them stays below a quarter of the store's limit.
_MAX_PRESSURES = 400


class LeaseLost(ColtsfoottrayError):
    """Another entry has taken over."""


class StateWriter:
    """Writes what the scheduler decides, for as long as the lease row is its own.

    Parameters
    ----------
    lease : LeaseRow
        As written when the row was taken over.
    version : int
        The row's version then.
    won : timedelta
        When that write was sent.
    """

    def __init__(
        self,
        *,
        lease: LeaseRow,
        version: int,
        acquired_at: timedelta,
        grants: Grants,
        table: WatchedTable,
        clock: Clock,
    ) -> None:
        self.lease = lease
        # When the last write of ours that succeeded was sent, and the last one that
        # renewed the lease row, by which the others judge.
        self.confirmed_at = acquired_at
        self.renewed_at = acquired_at
        self._version = version
        self._grants = grants
        self._table = table
        self._clock = clock
        # Rows to be deleted with a next commit, by their versions.
        self._garbage: dict[str, int] = {}
        self._checkpoints_stored = acquired_at
        self._pressures_looked_at = acquired_at
        self._pressures_version = 0
        self._pressures: list[Pressure] = []

    def adopt_pressures(self, version: int, pressures: list[Pressure]) -> None:
        """Go on from the row that another scheduler has left."""
        self._pressures_version = version
        self._pressures = pressures

    def discard(self, key: str, version: int) -> None:
        """Delete a row with the next commit."""
        self._garbage[key] = version

    def forget(self, job: LiveJob) -> None:
        """Delete a job's rows with the next commit."""
        if job.version:
            self.discard(record_key(job.id), job.version)
        if job.summary_version:
            self.discard(summary_key(job.id), job.summary_version)

    async def store(self, jobs: Iterable[LiveJob], pressures: PressureTable) -> None:
        """Store all that has changed.

        Raises
        ------
        Deposed
            If the lease row is another's.
        """
        dirty = self._find_dirty(jobs)
        extra = self._put_pressures(pressures)
        for batch in _batches(dirty):
            await self._commit(batch, extra, renews=self._is_renewal_due())
            extra = []
        if self._garbage or extra or (not dirty and self._is_renewal_due()):
            await self._commit([], extra, renews=True)

    async def resign(self) -> None:
        """Let another entry take over at once."""
        self.lease = msgspec.structs.replace(self.lease, is_resigned=True)
        await self._commit([], [], renews=True)
        log_event("scheduler:resigned", epoch=self.lease.epoch)

    def _find_dirty(self, jobs: Iterable[LiveJob]) -> list[LiveJob]:
        """Return the jobs to store: those changed, and some for their checkpoints.

        Without the latter a loss of power threw away all work since the tasks began.
        """
        dirty: list[LiveJob] = []
        saved: list[LiveJob] = []
        for job in jobs:
            if job.is_dirty:
                dirty.append(job)
            elif job.has_new_checkpoints:
                saved.append(job)
        now = self._clock.elapsed()
        if saved and now - self._checkpoints_stored >= _CHECKPOINT_PERIOD:
            self._checkpoints_stored = now
            saved.sort(key=lambda job: job.stored_at)
            dirty += saved[:_ROWS_PER_COMMIT]
        return dirty

    def _put_pressures(self, table: PressureTable) -> list[Put]:
        """Return a write of what was learned, if it is due.

        After a loss of power builds would otherwise wait until each pair of images has
        been tried anew.
        """
        now = self._clock.elapsed()
        if now - self._pressures_looked_at < _PRESSURES_PERIOD:
            return []
        self._pressures_looked_at = now
        pressures = sorted(table.all(), key=lambda each: -each.weight)[:_MAX_PRESSURES]
        if not pressures or pressures == self._pressures:
            return []
        self._pressures = pressures
        return [Put.of(PRESSURES_KEY, self._pressures_version, pressures)]

    async def _commit(
        self, jobs: list[LiveJob], extra: list[Put], *, renews: bool
    ) -> None:
        sent = self._clock.elapsed()
        puts = [put for job in jobs for put in _puts_of(job)]
        garbage = list(self._garbage)[: _ROWS_PER_COMMIT - len(puts)]
        puts += extra
        puts += [Put(key=key, version=self._garbage.pop(key)) for key in garbage]
        checks: list[Check] = []
        if renews:
            self.lease = msgspec.structs.replace(
                self.lease,
                renewals=self.lease.renewals + 1,
                silent_ms=self._grants.list_silent(),
            )
            puts.append(Put.of(LEASE_KEY, self._version, self.lease))
        else:
            checks.append(Check(key=LEASE_KEY, version=self._version))
        versions = await self._commit_surely(Transaction(puts=puts, checks=checks))
        self.confirmed_at = sent
        self._version = versions.get(LEASE_KEY, self._version)
        self._pressures_version = versions.get(PRESSURES_KEY, self._pressures_version)
        if renews:
            self.renewed_at = sent
            self._grants.unlist(self.lease.silent_ms)
        for job in jobs:
            summary_version = versions.get(summary_key(job.id), job.summary_version)
            job.mark_stored(versions[record_key(job.id)], summary_version, sent)

    async def _commit_surely(self, transaction: Transaction) -> dict[str, int]:
        while True:
            try:
                outcome = await commit_with_retry(
                    self._table, transaction, clock=self._clock
                )
            except TableUnavailable as error:
                log_event("scheduler:table-unavailable", reason=str(error))
                await self._clock.sleep(_RETRY)
                continue
            if isinstance(outcome, Failure):
                rows = [row.key for row in outcome.failure().rows]
                raise LeaseLost(
                    f"epoch {self.lease.epoch}: {len(rows)} rows changed, "
                    f"the first is {rows[:1]}"
                )
            return outcome.unwrap()

    def _is_renewal_due(self) -> bool:
        is_old = self._clock.elapsed() - self.renewed_at >= RENEWAL_INTERVAL
        return is_old or self._grants.has_recovered_worker()


def _batches(jobs: list[LiveJob]) -> list[list[LiveJob]]:
    """Split jobs into what one transaction takes."""
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


def _puts_of(job: LiveJob) -> list[Put]:
    """Return the writes that store a job.

    What callers ask for stands in a row of its own, which changes twice or three
    times a job: every entry follows it, and with each change of a task it would carry
    all of them, which links of 5 Mbit/s to an entry did not.
    """
    puts = [Put.of(record_key(job.id), job.version, job.record)]
    if job.has_new_summary:
        summary = job.record.summary
        puts.append(Put.of(summary_key(job.id), job.summary_version, summary))
    return puts
