"""Deletes the rows of jobs that ended long ago.

A job's acceptance is deleted first and its progress last: if the scheduler crashes in
between, there must be no acceptance without progress, which would be a new job.
"""

from __future__ import annotations

from datetime import timedelta

from returns.result import Failure

from coltsfoottray.clock import Clock
from coltsfoottray.jobs.keys import accepted_key, cancel_key
from coltsfoottray.jobs.mirror import Mirror
from coltsfoottray.jobs.model import JobId
from coltsfoottray.logs import log_event
from coltsfoottray.platform import (
    Put,
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


async def run_sweep_loop(
    active: ActiveScheduler,
    *,
    table: WatchedTable,
    mirror: Mirror,
    clock: Clock,
    retention: timedelta,
) -> None:
    """Delete jobs that ended more than `retention` ago, every few seconds."""
    # Jobs whose deletion the table has refused; the next scheduler tries them again.
    refused: set[JobId] = set()
    while True:
        await clock.sleep(_SWEEP_INTERVAL)
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
