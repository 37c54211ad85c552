"""Detection of unhealthy workers from the outcomes of their tasks.

A worker may fail or stall all its tasks while it reports itself as healthy, and each
task placed there costs its job an attempt. On the other hand one task in twenty fails
by itself, and some jobs fail on every worker; blocking a healthy worker for such
failures wastes its capacity. The two cases differ in the *other* tasks placed on the
worker since: on a healthy worker most of them complete, or still run at an age at
which the failed tasks had already failed.

A worker is considered unhealthy when tasks of two jobs have failed or stalled, no task
placed since the first of them has completed, and too few others are still running. It
is then blocked for some time, which grows with each block until a task completes there
or has outlived the time in which it would have failed: services never complete.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from datetime import timedelta

from coltsfoottray.jobs.model import JobId

__all__ = ["WorkerHealth"]

# Some 5% of tasks fail by themselves: failures of two different jobs in a row on one
# worker are more likely the worker's fault.
_MIN_FAILED_JOBS = 2
# A worker is blocked only for more failures than this per task that has run longer and
# not failed. A lower limit blocks healthy workers for their tasks' own failures.
_MAX_FAILURES_PER_SURVIVOR = 2
# Failures further apart do not have the same cause: workers that become unhealthy stay
# so for some six seconds.
_FAILURE_WINDOW = timedelta(seconds=6)
# How long an unhealthy worker is blocked; doubled with each block up to the maximum.
_FIRST_BLOCK = timedelta(seconds=2)
_MAX_BLOCK = timedelta(seconds=8)


@dataclass(frozen=True, kw_only=True)
class _Failure:
    """A task that failed or stalled, with the times of its placement and detection."""

    job: JobId
    placed_at: timedelta
    detected_at: timedelta

    @property
    def age(self) -> timedelta:
        """Time from the placement of the task to the detection of its failure."""
        return self.detected_at - self.placed_at


class WorkerHealth:
    """Recent outcomes of the tasks on one worker."""

    def __init__(self) -> None:
        self._failures: list[_Failure] = []
        self._next_block = _FIRST_BLOCK
        self._last_failure = timedelta.min
        self._last_success_placed_at = timedelta.min
        self._blocked_until = timedelta.min
        self.is_on_probation = False

    def record_success(self, placed_at: timedelta) -> None:
        """Record the completion of a task that was placed at `placed_at`.

        This clears only failures of tasks that were placed no later: a worker that has
        begun to fail its tasks still completes those that it started before.
        """
        self._last_success_placed_at = max(self._last_success_placed_at, placed_at)
        self._failures = [each for each in self._failures if each.placed_at > placed_at]
        if placed_at >= self._last_failure:
            self._next_block = _FIRST_BLOCK
            self.is_on_probation = False

    def record_survival(self) -> None:
        """Record that a task on probation has stood its probe."""
        self._next_block = _FIRST_BLOCK
        self._blocked_until = timedelta.min
        self.is_on_probation = False

    def record_failure(
        self,
        job: JobId,
        *,
        placed_at: timedelta,
        now: timedelta,
        running: Iterable[timedelta],
    ) -> timedelta | None:
        """Record a failed or stalled task; return how long to block the worker, if so.

        Parameters
        ----------
        placed_at : timedelta
            When the task was placed on the worker.
        running : iterable of timedelta
            When the tasks were placed that are still running on the worker.
        """
        self._last_failure = now
        if placed_at <= self._last_success_placed_at:
            return None
        self._failures.append(_Failure(job=job, placed_at=placed_at, detected_at=now))
        self._failures = [
            each for each in self._failures if now - each.detected_at <= _FAILURE_WINDOW
        ]
        if now < self._blocked_until:
            # Tasks started before the block fail one by one; that adds no information.
            return None
        jobs = {each.job for each in self._failures}
        if len(jobs) < _MIN_FAILED_JOBS and not self.is_on_probation:
            return None
        survivors = self._count_survivors(running, now)
        if len(self._failures) <= _MAX_FAILURES_PER_SURVIVOR * survivors:
            return None
        block = self._next_block
        self._next_block = min(self._next_block * 2, _MAX_BLOCK)
        self._blocked_until = now + block
        self.is_on_probation = True
        self._failures.clear()
        return block

    def _count_survivors(self, running: Iterable[timedelta], now: timedelta) -> int:
        """Return how many tasks have run longer than the fastest failure took."""
        first_placed_at = min(each.placed_at for each in self._failures)
        min_failure_age = min(each.age for each in self._failures)
        return sum(
            placed_at >= first_placed_at and now - placed_at > min_failure_age
            for placed_at in running
        )
