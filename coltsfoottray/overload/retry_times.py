"""Times at which callers whose jobs were rejected are told to retry.

Load pattern: callers that were rejected during a burst and retry all at once,
which is the next burst. Their retries are spread over the time in which the backlog
drains instead, one after the other, each taking the time in which its work drains.

Entries assign retry times independently of one another. Each therefore assigns only
its share of the drain, that of one entry among all, and starts at a random moment
within the first job's part of it, since all entries know the same backlog and would
otherwise start at the same moment. If callers are spread evenly over the entries, all
retries together need what drains. At an entry with more callers than others, retries
are later than necessary, never more frequent. An entry does not know the retry times
of another one: there, the caller counts as new.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from random import Random

from coltsfoottray.jobs.model import JobId

__all__ = ["RetryTimes"]

_MAX_RETRIES = 1000
# `Retry-After` has whole seconds, and 0 would repeat the request at once.
_SECOND = timedelta(seconds=1)
# A peak of demand lasts seconds, and its backlog minutes at most. Returns further ahead
# would only keep a pool that has nearly stopped from being asked after it recovers.
_MAX_SPREAD = timedelta(minutes=10)
_ZERO = timedelta(0)


@dataclass(frozen=True, kw_only=True)
class _Retry:
    first_attempt_at: timedelta
    retry_at: timedelta


class RetryTimes:
    """Assigns retry times and remembers the latest of them.

    Parameters
    ----------
    random : Random
        Spreads the first retries at different entries.
    count_entries : callable
        Returns the number of entries, this one included.
    """

    def __init__(self, *, random: Random, count_entries: Callable[[], int]) -> None:
        self._random = random
        self._count_entries = count_entries
        self._retry_by_job: dict[JobId, _Retry] = {}
        # Up to when the drain of a queue is assigned; bounded by the config.
        self._assigned_until_by_queue: dict[str, timedelta] = {}

    def waited(self, job: JobId, now: timedelta) -> timedelta:
        """Return how long ago the first rejected attempt at this entry was."""
        known = self._retry_by_job.get(job)
        return _ZERO if known is None else now - known.first_attempt_at

    def is_due(self, job: JobId, now: timedelta) -> bool:
        """Return whether a job's retry time was assigned and has come."""
        known = self._retry_by_job.get(job)
        return known is not None and now >= known.retry_at

    def assign(
        self,
        job: JobId,
        queue: str,
        *,
        drained_in: timedelta,
        work_time: timedelta,
        now: timedelta,
    ) -> timedelta:
        """Return after how many whole seconds the caller of a job is to retry.

        A caller that retries early keeps its time: a new one would take a second
        part of the drain.

        Parameters
        ----------
        drained_in : timedelta
            Time until the backlog of the queue has drained enough.
        work_time : timedelta
            Time in which the whole pool does the work of the job.
        """
        known = self._retry_by_job.get(job)
        if known is not None and now < known.retry_at:
            return _whole_seconds(known.retry_at - now)
        earliest = now + min(max(drained_in, _ZERO), _MAX_SPREAD)
        retry_at = self._next_retry(queue, earliest, work_time)
        retry_after = _whole_seconds(retry_at - now)
        self._retry_by_job.pop(job, None)
        self._retry_by_job[job] = _Retry(
            first_attempt_at=now if known is None else known.first_attempt_at,
            retry_at=now + retry_after,
        )
        if len(self._retry_by_job) > _MAX_RETRIES:
            del self._retry_by_job[next(iter(self._retry_by_job))]
        return retry_after

    def _next_retry(
        self, queue: str, earliest: timedelta, work_time: timedelta
    ) -> timedelta:
        share_time = min(work_time * max(self._count_entries(), 1), _MAX_SPREAD)
        retry_at = self._assigned_until_by_queue.get(queue, _ZERO)
        if retry_at < earliest:
            retry_at = earliest + share_time * self._random.random()
        if retry_at - earliest >= _MAX_SPREAD:
            return earliest + _MAX_SPREAD * self._random.uniform(0.5, 1.0)
        assigned_until = min(retry_at + share_time, earliest + _MAX_SPREAD)
        self._assigned_until_by_queue[queue] = assigned_until
        return retry_at


def _whole_seconds(duration: timedelta) -> timedelta:
    return _SECOND * max(1, math.ceil(duration / _SECOND))
