"""Removes the rows of jobs that ended long ago.

A job's acceptance goes first and its progress last: between the two, after a crash,
there must never be an acceptance without progress, which would be a new job.
"""

from __future__ import annotations

from datetime import timedelta

from returns.result import Failure

from coltsfoottray.clock import Clock, as_milliseconds
from coltsfoottray.jobs.keys import accepted_key, cancel_key
from coltsfoottray.jobs.mirror import Mirror
from coltsfoottray.jobs.model import JobId
from coltsfoottray.logs import log_event
from coltsfoottray.platform import Put, TableUnavailable, Transaction, WatchedTable
from coltsfoottray.scheduler.active import ActiveScheduler

__all__ = ["run_sweep_loop"]

_PERIOD = timedelta(seconds=5)
# At the size designed for 9,400 jobs end a day, one in nine seconds; a backlog of a
# burst is worked off at four a second beside all other writes.
_MAX_JOBS = 20


async def run_sweep_loop(
    active: ActiveScheduler,
    *,
    table: WatchedTable,
    mirror: Mirror,
    clock: Clock,
    retention: timedelta,
) -> None:
    """Remove what is older than `retention`, every few seconds."""
    while True:
        await clock.sleep(_PERIOD)
        oldest = as_milliseconds(clock.now() - retention)
        for job in active.jobs_ended_before(oldest)[:_MAX_JOBS]:
            try:
                if await _remove_acceptance(job, table, mirror):
                    active.forget(job)
            except TableUnavailable as error:
                log_event("sweep:put-off", job=job, reason=str(error))
                break


async def _remove_acceptance(job: JobId, table: WatchedTable, mirror: Mirror) -> bool:
    """Remove the rows that make a job one; return whether they are gone."""
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
        # The copy of the rows is a little old; the next look has what is there.
        log_event("sweep:rows-changed", job=job)
        return False
    return True
