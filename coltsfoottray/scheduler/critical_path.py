"""The expected length of a job: the longest chain of its steps."""

from __future__ import annotations

from collections.abc import Sequence

from coltsfoottray.jobs.model import AcceptedJob, StepSpec
from coltsfoottray.scheduler.lengths import LengthEstimator

__all__ = ["CriticalPath", "longest_path"]


class CriticalPath:
    """Expected length of a job, by what was declared and what its queue's tasks took.

    Parameters
    ----------
    seen_ms_by_step : dict
        How long a task took in ms, for the steps where it is known. New observations
        are added to it.
    lengths : LengthEstimator
        Estimates how long tasks take by what is declared.
    has_ended : bool
        Whether the job had ended when it was stored.
    """

    def __init__(
        self,
        *,
        accepted: AcceptedJob,
        seen_ms_by_step: dict[int, int],
        lengths: LengthEstimator,
        has_ended: bool = False,
    ) -> None:
        self._accepted = accepted
        self._seen_ms_by_step = seen_ms_by_step
        self._lengths = lengths
        self._lengths_revision = -1
        self._expected_ms: list[float] = []
        self._length_ms = 0.0
        # Restored sums contain the observations of all jobs that had ended when they
        # were stored, and none of others: these are added from their records. Those of
        # a job that ended after the last write of the sums are lost.
        if has_ended and lengths.has_restored_sums:
            return
        for step, seen_ms in seen_ms_by_step.items():
            self._report(step, seen_ms)
        if has_ended:
            self.mark_ended()

    def length_ms(self) -> float:
        """Return the length of the critical path in ms."""
        self._update()
        return self._length_ms

    def expected_ms(self, step: int) -> float:
        """Return how long a task of a step is expected to take, in ms."""
        self._update()
        return self._expected_ms[step]

    def left_ms(self, is_done_by_step: Sequence[bool]) -> float:
        """Return the length in ms of the critical path through unfinished steps."""
        self._update()
        left = [
            0.0 if is_done else expected_ms
            for is_done, expected_ms in zip(
                is_done_by_step, self._expected_ms, strict=False
            )
        ]
        return longest_path(self._accepted.spec.steps[: len(left)], left)

    def after_ms(self, step: int) -> float:
        """Return the length in ms of the longest chain of steps after a step."""
        self._update()
        return _longest_chain_after(step, self._accepted.spec.steps, self._expected_ms)

    def record(self, step: int, seen_ms: float) -> None:
        """Record how long a task of a step took, or is likely to take."""
        if step not in self._seen_ms_by_step:
            self._seen_ms_by_step[step] = round(seen_ms)
            self._report(step, self._seen_ms_by_step[step])

    def mark_ended(self) -> None:
        """Record that the job has ended."""
        for step, seen_ms in self._seen_ms_by_step.items():
            self._lengths.mark_ended(
                self._accepted.queue,
                declared_ms=self._accepted.spec.steps[step].estimate_ms,
                seen_ms=seen_ms,
            )

    def _report(self, step: int, seen_ms: float) -> None:
        declared_ms = self._accepted.spec.steps[step].estimate_ms
        self._lengths.add_observation(
            self._accepted.queue, declared_ms=declared_ms, seen_ms=seen_ms
        )

    def _update(self) -> None:
        if self._lengths_revision == self._lengths.revision:
            return
        self._lengths_revision = self._lengths.revision
        steps = self._accepted.spec.steps
        self._expected_ms = [
            self._expected_length_ms(number, step.estimate_ms)
            for number, step in enumerate(steps)
        ]
        self._length_ms = longest_path(steps, self._expected_ms)

    def _expected_length_ms(self, step: int, declared_ms: float) -> float:
        """Return how long a task of a step is expected to take, in ms."""
        if not self._accepted.terms.has_objective:
            # Without an objective no job is late, and the declared length alone
            # determines its urgency.
            return declared_ms
        seen_ms = self._seen_ms_by_step.get(step)
        if seen_ms is not None:
            return float(seen_ms)
        return self._lengths.expected_ms(self._accepted.queue, declared_ms)


def longest_path(steps: Sequence[StepSpec], length_ms: Sequence[float]) -> float:
    """Return the length of the critical path through the steps, in ms."""
    ends: list[float] = []
    for number, step in enumerate(steps):
        before = [ends[each] for each in step.after if each < number]
        ends.append(max(before, default=0.0) + length_ms[number])
    return max(ends, default=0.0)


def _longest_chain_after(
    step: int, steps: Sequence[StepSpec], length_ms: Sequence[float]
) -> float:
    """Return the length of the longest chain of steps that wait for a step, in ms."""
    after_ms = [0.0] * len(steps)
    for number in range(len(steps) - 1, step, -1):
        chain_ms = length_ms[number] + after_ms[number]
        for before in steps[number].after:
            if before < number:
                after_ms[before] = max(after_ms[before], chain_ms)
    return after_ms[step]
