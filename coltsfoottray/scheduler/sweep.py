"""Deletes the rows of jobs that ended long ago, and of those cancelled unaccepted.

A job's acceptance is deleted first and its progress last: if the scheduler crashes in
between, there must be no acceptance without progress, which would be a new job.
"""

from __future__ import annotations

from collections.abc import Collection, Iterator
from datetime import timedelta

from returns.result import Failure

from coltsfoottray.clock import Clock
from coltsfoottray.jobs.keys import accepted_key, cancel_key
from coltsfoottray.jobs.mirror import Mirror
from coltsfoottray.jobs.model import JobId
from coltsfoottray.jobs.view import JobsView
from coltsfoottray.logs import log_event
from coltsfoottray.platform import (
    ABSENT,
    Check,
    Put,
    TableError,
    TableRefused,
    TableUnavailable,
    Transaction,
    WatchedTable,
)
from coltsfoottray.scheduler.active import ActiveScheduler

__all__ = ["run_sweep_loop"]

_SWEEP_INTERVAL = timedelta(seconds=5)
# At the design load, 9,400 jobs end per day, one every nine seconds. After a burst, the
# backlog is deleted at four jobs per second alongside all other writes.
_MAX_JOBS_PER_SWEEP = 20

# The write that accepts a job takes effect some seconds after its caller has given up,
# at the latest. A cancellation that keeps it from doing so outlasts that by far.
_MIN_PREVENTION = timedelta(minutes=1)
# Each takes three of the 100 entries of a transaction.
_MAX_CANCELLATIONS_PER_WRITE = 30


async def run_sweep_loop(
    active: ActiveScheduler,
    *,
    table: WatchedTable,
    mirror: Mirror,
    view: JobsView,
    clock: Clock,
    retention: timedelta,
) -> None:
    """Delete jobs that ended more than `retention` ago, every few seconds."""
    # Jobs whose deletion the table has refused; the next scheduler tries them again.
    refused: set[JobId] = set()
    prevented = _PreventedJobs(longest=max(retention, _MIN_PREVENTION))
    while True:
        await clock.sleep(_SWEEP_INTERVAL)
        for jobs in prevented.take_old(view.prevented_jobs(), clock.elapsed()):
            await _remove_cancellations(jobs, table, mirror)
        oldest = clock.elapsed() - retention
        ended = [job for job in active.jobs_ended_before(oldest) if job not in refused]
        for job in ended[:_MAX_JOBS_PER_SWEEP]:
            try:
                if await _remove_acceptance(job, table, mirror):
                    active.forget(job)
            except TableUnavailable as error:
                log_event("sweep:put-off", job=job, reason=str(error))
                break
            except TableRefused as error:
                log_event("sweep:refused", job=job, reason=str(error))
                refused.add(job)


async def _remove_acceptance(job: JobId, table: WatchedTable, mirror: Mirror) -> bool:
    """Delete a job's acceptance and cancellation; return whether they are deleted."""
    version_by_key = {
        key: mirror.version_of(key) for key in (accepted_key(job), cancel_key(job))
    }
    puts = [
        Put(key=key, version=version)
        for key, version in version_by_key.items()
        if version
    ]
    if not puts:
        return True
    outcome = await table.commit(Transaction(puts=puts))
    if isinstance(outcome, Failure):
        # The mirror's versions were out of date; the next sweep reads newer ones.
        log_event("sweep:rows-changed", job=job)
        return False
    return True


class _PreventedJobs:
    """Jobs that were cancelled and never accepted, by when they were first seen.

    That is counted by the clock of this scheduler, and anew by the next one.
    """

    def __init__(self, *, longest: timedelta) -> None:
        self._longest = longest
        self._seen_at_by_id: dict[JobId, timedelta] = {}

    def take_old(
        self, jobs: Collection[JobId], now: timedelta
    ) -> Iterator[list[JobId]]:
        """Yield the jobs whose cancellation can be deleted, by transaction."""
        self._seen_at_by_id = {
            job: self._seen_at_by_id.get(job, now) for job in sorted(jobs)
        }
        old_by_shard: dict[str, list[JobId]] = {}
        for job, seen_at in self._seen_at_by_id.items():
            if now - seen_at > self._longest:
                shard = cancel_key(job).split("/")[1]
                old_by_shard.setdefault(shard, []).append(job)
        for old in old_by_shard.values():
            taken = old[:_MAX_CANCELLATIONS_PER_WRITE]
            for job in taken:
                # If it is still there next time, it is tried again much later.
                self._seen_at_by_id[job] = now
            yield taken


async def _remove_cancellations(
    jobs: Collection[JobId], table: WatchedTable, mirror: Mirror
) -> None:
    """Delete the cancellations of jobs of one shard that were never accepted."""
    puts = [
        Put(key=cancel_key(job), version=mirror.version_of(cancel_key(job)))
        for job in jobs
        if mirror.version_of(cancel_key(job))
    ]
    checks = [Check(key=accepted_key(job), version=ABSENT) for job in jobs]
    if not puts:
        return
    try:
        outcome = await table.commit(Transaction(puts=puts, checks=checks))
    except TableError as error:
        log_event("sweep:put-off", jobs=len(puts), reason=str(error))
        return
    if isinstance(outcome, Failure):
        log_event("sweep:rows-changed", jobs=len(puts))
