"""Whether a worker does its tasks any good.

Answers workers that fail or stall all they start while they report themselves as
healthy: each task placed there costs its job an attempt. A job that can never be
done fails everywhere, so that a worker is suspected only when tasks of two jobs
have gone wrong there with none ended well between; then it takes nothing for a
while, and each time longer until a task ends well there.
"""

from __future__ import annotations

from datetime import timedelta

from coltsfoottray.jobs.model import JobId

__all__ = ["WorkerHealth"]

# Some 5% of tasks fail by themselves: two of different jobs in a row, on one worker,
# are more likely the worker's fault.
_SUSPECT_JOBS = 2
# Troubles longer ago than this are not of one cause: workers that go bad stay so for
# some six seconds.
_MEMORY = timedelta(seconds=6)
# How long a suspect takes nothing, doubled each time up to the limit.
_FIRST_BLOCK = timedelta(seconds=2)
_MAX_BLOCK = timedelta(seconds=8)


class WorkerHealth:
    """What has become of the tasks on one worker lately."""

    def __init__(self) -> None:
        self._trouble_by_job: dict[JobId, timedelta] = {}
        self._block = _FIRST_BLOCK
        self._is_on_trial = False
        self._last_bad = timedelta.min
        self._blocked_until = timedelta.min

    def note_good(self, placed: timedelta) -> None:
        """Note that a task ended well that was placed at `placed`.

        It clears the worker only of trouble from before that: a worker that fails all
        it starts still ends well what it started earlier, and such ends hid up to 30
        failures in a row.
        """
        self._trouble_by_job = {
            job: seen for job, seen in self._trouble_by_job.items() if seen >= placed
        }
        if placed >= self._last_bad:
            self._block = _FIRST_BLOCK
            self._is_on_trial = False

    def note_bad(self, job: JobId, now: timedelta) -> timedelta | None:
        """Note that a task failed or stalled; return how long to block, if so."""
        self._trouble_by_job[job] = now
        self._last_bad = now
        self._trouble_by_job = {
            each: seen
            for each, seen in self._trouble_by_job.items()
            if now - seen <= _MEMORY
        }
        if now < self._blocked_until:
            # What was begun before the block fails one by one; that is no news.
            return None
        if len(self._trouble_by_job) < _SUSPECT_JOBS and not self._is_on_trial:
            return None
        block = self._block
        self._block = min(self._block * 2, _MAX_BLOCK)
        self._blocked_until = now + block
        self._is_on_trial = True
        self._trouble_by_job.clear()
        return block
