"""Times at which callers whose jobs were rejected are told to come back.

Load pattern: callers that were turned away during a burst and come back all at once,
which is the next burst. Their returns are spread over the time in which the backlog
drains instead, one after the other, each taking the time in which its work drains.

Entries assign return times independently of one another. Each therefore assigns only
its share of the drain, that of one entry among all, and starts at a random moment
within the first job's part of it, since all entries know the same backlog and would
otherwise start at the same moment. If callers are spread evenly over the entries, all
returns together need what drains. At an entry with more callers than others, returns
are later than necessary, never more frequent. An entry does not know the return times
of another one: there, the caller counts as new.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from random import Random

from coltsfoottray.jobs.model import JobId

__all__ = ["ReturnTimes"]

_MAX_RETURNS = 1000
# `Retry-After` has whole seconds, and 0 would repeat the request at once.
_SECOND = timedelta(seconds=1)
# A peak of demand lasts seconds, and its backlog minutes at most. Returns further ahead
# would only keep a pool that has nearly stopped from being asked after it recovers.
_MAX_SPREAD = timedelta(minutes=10)
_ZERO = timedelta(0)


@dataclass(frozen=True, kw_only=True)
class _Return:
    first_attempt_at: timedelta
    return_at: timedelta


class ReturnTimes:
    """Assigns return times and remembers the latest of them.

    Parameters
    ----------
    random : Random
        Spreads the first returns at different entries.
    count_entries : callable
        Returns the number of entries, this one included.
    """

    def __init__(self, *, random: Random, count_entries: Callable[[], int]) -> None:
        self._random = random
        self._count_entries = count_entries
        self._return_by_job: dict[JobId, _Return] = {}
        # Up to when the drain of a queue is assigned; bounded by the config.
        self._assigned_until_by_queue: dict[str, timedelta] = {}

    def waited(self, job: JobId, now: timedelta) -> timedelta:
        """Return how long ago the first rejected attempt at this entry was."""
        known = self._return_by_job.get(job)
        return _ZERO if known is None else now - known.first_attempt_at

    def is_due(self, job: JobId, now: timedelta) -> bool:
        """Return whether a job's return time was assigned and has come."""
        known = self._return_by_job.get(job)
        return known is not None and now >= known.return_at

    def assign(
        self,
        job: JobId,
        queue: str,
        *,
        drained_in: timedelta,
        work_time: timedelta,
        now: timedelta,
    ) -> timedelta:
        """Return after how many whole seconds the caller of a job is to come back.

        A caller that comes back early keeps its time: a new one would take a second
        part of the drain.

        Parameters
        ----------
        drained_in : timedelta
            Time until the backlog of the queue has drained enough.
        work_time : timedelta
            Time in which the whole pool does the work of the job.
        """
        known = self._return_by_job.get(job)
        if known is not None and now < known.return_at:
            return _whole_seconds(known.return_at - now)
        earliest = now + min(max(drained_in, _ZERO), _MAX_SPREAD)
        return_at = self._next_return(queue, earliest, work_time)
        retry_after = _whole_seconds(return_at - now)
        self._return_by_job.pop(job, None)
        self._return_by_job[job] = _Return(
            first_attempt_at=now if known is None else known.first_attempt_at,
            return_at=now + retry_after,
        )
        if len(self._return_by_job) > _MAX_RETURNS:
            del self._return_by_job[next(iter(self._return_by_job))]
        return retry_after

    def _next_return(
        self, queue: str, earliest: timedelta, work_time: timedelta
    ) -> timedelta:
        share_time = min(work_time * max(self._count_entries(), 1), _MAX_SPREAD)
        return_at = self._assigned_until_by_queue.get(queue, _ZERO)
        if return_at < earliest:
            return_at = earliest + share_time * self._random.random()
        if return_at - earliest >= _MAX_SPREAD:
            return earliest + _MAX_SPREAD * self._random.uniform(0.5, 1.0)
        assigned_until = min(return_at + share_time, earliest + _MAX_SPREAD)
        self._assigned_until_by_queue[queue] = assigned_until
        return return_at


def _whole_seconds(duration: timedelta) -> timedelta:
    return _SECOND * max(1, math.ceil(duration / _SECOND))
