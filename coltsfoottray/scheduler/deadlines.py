"""When runs must end for their jobs to be on time."""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta

from coltsfoottray.clock import Clock
from coltsfoottray.jobs.model import QueueTerms
from coltsfoottray.scheduler.live import LiveJob
from coltsfoottray.scheduler.live_step import LiveStep
from coltsfoottray.scheduler.urgency import due_time, useful_until

__all__ = ["Deadlines"]

_MILLISECOND = timedelta(milliseconds=1)


class Deadlines:
    """Tells attendants how urgent the runs of fillers are.

    Parameters
    ----------
    terms_of : callable
        Returns the queue terms that apply to a job now.
    """

    def __init__(
        self, *, terms_of: Callable[[LiveJob], QueueTerms], clock: Clock
    ) -> None:
        self._terms_of = terms_of
        self._clock = clock

    def length_ms(self, step: LiveStep) -> int:
        """Return the expected length of a filler's task, 0 if it cannot be late."""
        spec = step.spec
        if spec.is_service or not spec.is_filler:
            return 0
        if not self._terms_of(step.job).has_objective:
            return 0
        return max(round(step.job.expected_length_ms(step.number)), 1)

    def time_left_ms(self, step: LiveStep) -> int:
        """Return the time within which a filler's task must end, in ms.

        That is for its job to be on time, or of use if it is at its last chance.
        """
        if not self.length_ms(step):
            return 0
        is_resumed = step.occurrence in step.job.resumed_due_by_occurrence
        end_of = useful_until if is_resumed else due_time
        due = end_of(step.job, step.occurrence, self._terms_of(step.job))
        left = (due - self._clock.elapsed()) / _MILLISECOND
        return round(left - step.job.path_after_ms(step.number))
