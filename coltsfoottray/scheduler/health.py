"""Whether a worker does its tasks any good.

Answers workers that fail or stall all they start while they report themselves as
healthy: each task placed there costs its job an attempt. But one task in twenty fails
by its own fault, and some jobs fail everywhere; a sound worker that is left alone for
it is room that its callers miss. What tells the two apart is what has become of the
*other* tasks that were placed there since: on a sound worker most of them end well or
are still at work, at an age at which those that failed had failed.

A worker is suspected when tasks of two jobs have gone wrong with nothing placed since
the first of them having ended well, and those at work are too few to speak for it. It
then takes nothing for a while, and each time longer until a task ends well there.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from datetime import timedelta

from coltsfoottray.jobs.model import JobId

__all__ = ["WorkerHealth"]

# Some 5% of tasks fail by themselves: two of different jobs in a row, on one worker,
# are more likely the worker's fault.
_SUSPECT_JOBS = 2
# More than so many failures to each task that is sound at the same age: with fewer,
# sound workers are blocked for failures that are their tasks' own.
_FAILURES_TO_SURVIVORS = 2
# Troubles longer ago than this are not of one cause: workers that go bad stay so for
# some six seconds.
_MEMORY = timedelta(seconds=6)
# How long a suspect takes nothing, doubled each time up to the limit.
_FIRST_BLOCK = timedelta(seconds=2)
_MAX_BLOCK = timedelta(seconds=8)


@dataclass(frozen=True, kw_only=True)
class _Trouble:
    """A task that failed or stalled, and when it was placed and found so."""

    job: JobId
    placed_at: timedelta
    seen: timedelta

    @property
    def age(self) -> timedelta:
        """How long after its placement it was found to have gone wrong."""
        return self.seen - self.placed_at


class WorkerHealth:
    """What has become of the tasks on one worker lately."""

    def __init__(self) -> None:
        self._troubles: list[_Trouble] = []
        self._block = _FIRST_BLOCK
        self._last_bad = timedelta.min
        self._last_good = timedelta.min
        self._blocked_until = timedelta.min
        self.is_on_probation = False

    def record_success(self, placed_at: timedelta) -> None:
        """Note that a task ended well that was placed at `placed_at`.

        It clears the worker only of trouble with tasks placed no later: a worker that
        fails all it starts still ends well what it started earlier.
        """
        self._last_good = max(self._last_good, placed_at)
        self._troubles = [each for each in self._troubles if each.placed_at > placed_at]
        if placed_at >= self._last_bad:
            self._block = _FIRST_BLOCK
            self.is_on_probation = False

    def record_failure(
        self,
        job: JobId,
        *,
        placed_at: timedelta,
        now: timedelta,
        running: Iterable[timedelta],
    ) -> timedelta | None:
        """Note that a task failed or stalled; return how long to block, if so.

        Parameters
        ----------
        placed : timedelta
            When the task was placed here.
        running : iterable of timedelta
            When those tasks were placed that are still at work here.
        """
        self._last_bad = now
        if placed_at <= self._last_good:
            return None
        self._troubles.append(_Trouble(job=job, placed_at=placed_at, seen=now))
        self._troubles = [each for each in self._troubles if now - each.seen <= _MEMORY]
        if now < self._blocked_until:
            # What was begun before the block fails one by one; that is no news.
            return None
        jobs = {each.job for each in self._troubles}
        if len(jobs) < _SUSPECT_JOBS and not self.is_on_probation:
            return None
        survivors = self._count_survivors(running, now)
        if len(self._troubles) <= _FAILURES_TO_SURVIVORS * survivors:
            return None
        block = self._block
        self._block = min(self._block * 2, _MAX_BLOCK)
        self._blocked_until = now + block
        self.is_on_probation = True
        self._troubles.clear()
        return block

    def _count_survivors(self, running: Iterable[timedelta], now: timedelta) -> int:
        """Count the tasks that have outlived, by their age, one that went wrong."""
        first = min(each.placed_at for each in self._troubles)
        telling_age = min(each.age for each in self._troubles)
        return sum(
            placed_at >= first and now - placed_at > telling_age
            for placed_at in running
        )
