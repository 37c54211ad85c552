"""Estimation of task lengths from tasks that have run.

Some callers cannot predict how long their tasks take. By their declared lengths some
jobs would seem late that can still be on time, others on time that cannot, and free
capacity would go to the wrong jobs. The length of a step's first tasks predicts the
others of that step; the observed and declared lengths of a queue's steps predict the
next steps of that queue.
"""

from __future__ import annotations

import copy
import math
from collections.abc import Mapping
from datetime import timedelta

import msgspec

__all__ = ["LengthEstimator", "LengthSums", "Progress"]

# Weight of the declared lengths, as a number of observed steps.
_DECLARED_WEIGHT = 4.0
# Progress over less than this predicts the length of a whole task poorly.
_MIN_PREDICTIVE_PERCENT = 25.0
_MILLI = 1000.0
_FULL_PERCENT = 100.0
_MIN_MS = 1.0
# Upper bound on the logarithm of a length in ms, 150,000 years.
_MAX_LOG = 36.0


class Progress:
    """Progress of one run and the time that it would have taken at full speed.

    Parameters
    ----------
    placed_at : timedelta
        When the run was placed.
    has_full_time : bool
        Whether it has run only since then, so that a run that ends without a report of
        its progress took the time from then on.
    """

    def __init__(self, *, placed_at: timedelta, has_full_time: bool = True) -> None:
        self._updated_at = placed_at
        self._has_full_time = has_full_time
        self._first_percent: float | None = None
        self._percent = 0.0
        self._time_at_full_speed = timedelta(0)

    def update(self, percent: float, *, speed: float, now: timedelta) -> None:
        """Update the progress of the run.

        Parameters
        ----------
        percent : float
            How much of the work is done.
        speed : float
            Fraction of its full speed at which the run works.
        now : timedelta
            When the progress was reported.
        """
        if self._first_percent is None:
            self._first_percent = percent
        else:
            self._time_at_full_speed += (now - self._updated_at) * speed
        self._updated_at = now
        self._percent = percent

    def length_ms(self) -> float | None:
        """Return the predicted length of the task in ms, None if it is too early."""
        return self._length(self._percent)

    def length_at_end(self, now: timedelta, *, speed: float) -> float | None:
        """Return the length of a completed task in ms, None if too little was seen."""
        if self._first_percent is None:
            if not self._has_full_time:
                return None
            return (now - self._updated_at).total_seconds() * _MILLI
        self._time_at_full_speed += (now - self._updated_at) * speed
        self._updated_at = now
        return self._length(_FULL_PERCENT)

    def _length(self, percent: float) -> float | None:
        if self._first_percent is None:
            return None
        done = percent - self._first_percent
        if done < _MIN_PREDICTIVE_PERCENT:
            return None
        return self._time_at_full_speed.total_seconds() * _MILLI * _FULL_PERCENT / done


class LengthSums(msgspec.Struct, array_like=True):
    """Sums over a queue's steps of the logarithms of declared and observed lengths."""

    count: int = 0
    declared: float = 0.0
    observed: float = 0.0
    declared_squared: float = 0.0
    product: float = 0.0

    def add(self, declared: float, observed: float) -> None:
        """Add the logarithms of the lengths of one step."""
        self.count += 1
        self.declared += declared
        self.observed += observed
        self.declared_squared += declared * declared
        self.product += declared * observed

    @property
    def is_plausible(self) -> bool:
        """Whether the sums can be those of lengths."""
        limit = self.count * _MAX_LOG
        sums = (self.declared, self.observed)
        squares = (self.declared_squared, self.product)
        # NaN is in no range.
        return (
            self.count > 0
            and all(0 <= each <= limit for each in sums)
            and all(0 <= each <= limit * _MAX_LOG for each in squares)
            and self._variance() > -_DECLARED_WEIGHT / 2
        )

    def _variance(self) -> float:
        return self.declared_squared - self.declared * self.declared / self.count

    def predict(self, declared: float) -> float:
        """Return the logarithm of the length expected for a step.

        It is predicted by a linear regression of observed on declared lengths, which
        starts as the declared length and shifts to the observed ones with each step.
        """
        mean = self.declared / self.count
        shift = (self.observed - self.declared) / (self.count + _DECLARED_WEIGHT)
        variance = self.declared_squared - self.count * mean * mean
        covariance = self.product - mean * self.observed
        slope = (covariance + _DECLARED_WEIGHT) / (variance + _DECLARED_WEIGHT)
        return mean + shift + min(max(slope, 0.0), 1.0) * (declared - mean)


class LengthEstimator:
    """Predicts the length of a queue's tasks from their declared length.

    Observations are stored in the record of their job until it ends, and in sums by
    queue from then on; each is restored from one of the two.

    Attributes
    ----------
    revision : int
        Increases with each observed length.
    has_restored_sums : bool
        Whether it contains the observations of jobs that earlier schedulers have ended.
    """

    def __init__(self) -> None:
        self._sums_by_queue: dict[str, LengthSums] = {}
        # The part of them that comes from ended jobs; the queue seen last is the last.
        self._ended_by_queue: dict[str, LengthSums] = {}
        self.revision = 0
        self.has_restored_sums = False

    def add_observation(
        self, queue: str, *, declared_ms: float, seen_ms: float
    ) -> None:
        """Add the observed length of the tasks of one step."""
        sums = self._sums_by_queue.setdefault(queue, LengthSums())
        sums.add(_log(declared_ms), _log(seen_ms))
        self.revision += 1

    def mark_ended(self, queue: str, *, declared_ms: float, seen_ms: float) -> None:
        """Record that the job of an observation has ended."""
        sums = self._ended_by_queue.pop(queue, LengthSums())
        sums.add(_log(declared_ms), _log(seen_ms))
        self._ended_by_queue[queue] = sums

    def export(self, max_queues: int) -> dict[str, LengthSums]:
        """Return the sums of ended jobs, for the queues seen last."""
        queues = list(self._ended_by_queue)[-max_queues:]
        exported = {queue: copy.copy(self._ended_by_queue[queue]) for queue in queues}
        # A caller may declare any length; it must not make the others unreadable.
        return {queue: sums for queue, sums in exported.items() if sums.is_plausible}

    def restore(self, ended_by_queue: Mapping[str, LengthSums]) -> None:
        """Continue from exported sums, before any observation is added."""
        for queue, sums in ended_by_queue.items():
            self._ended_by_queue[queue] = copy.copy(sums)
            self._sums_by_queue[queue] = copy.copy(sums)
        self.revision += 1
        self.has_restored_sums = True

    def expected_ms(self, queue: str, declared_ms: float) -> float:
        """Return the expected length of a task of a queue, in ms."""
        sums = self._sums_by_queue.get(queue)
        if sums is None:
            return declared_ms
        return math.exp(sums.predict(_log(declared_ms)))


def _log(length_ms: float) -> float:
    return math.log(max(length_ms, _MIN_MS))
