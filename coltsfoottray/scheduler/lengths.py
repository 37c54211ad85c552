"""How long tasks really take, learned from those that have run.

Answers a load whose callers cannot tell how long their tasks take: by what they declare
some jobs seem late that could be on time, others on time that are lost, and what room
there is goes to the wrong ones. What the tasks of a step took tells the rest of that
step; what a queue's steps took beside what was declared of them tells of its next ones.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from datetime import timedelta

__all__ = ["LengthEstimator", "Progress"]

# So many steps seen weigh as much as what callers declare.
_TRUST_IN_DECLARED = 4.0
# Less progress tells little of a whole task.
_TELLING_PERCENT = 25.0
_MILLI = 1000.0
_WHOLE = 100.0
_LEAST_MS = 1.0


class Progress:
    """How far one run has come, and how much work that took.

    Parameters
    ----------
    begun : timedelta
        When it was placed.
    """

    def __init__(self, *, begun: timedelta) -> None:
        self._seen = begun
        self._first_percent: float | None = None
        self._percent = 0.0
        self._worked = timedelta(0)

    def note(self, percent: float, *, speed: float, now: timedelta) -> None:
        """Note how far it is, and at which part of its full speed it works."""
        if self._first_percent is None:
            self._first_percent = percent
        else:
            self._worked += (now - self._seen) * speed
        self._seen = now
        self._percent = percent

    def length_ms(self) -> float | None:
        """Return the length of the whole task by what is done; None if too little."""
        return self._length(self._percent)

    def length_at_end(self, now: timedelta, *, speed: float) -> float | None:
        """Return the length of a task that has ended well."""
        if self._first_percent is None:
            return (now - self._seen).total_seconds() * _MILLI
        self._worked += (now - self._seen) * speed
        self._seen = now
        return self._length(_WHOLE)

    def _length(self, percent: float) -> float | None:
        if self._first_percent is None:
            return None
        done = percent - self._first_percent
        if done < _TELLING_PERCENT:
            return None
        return self._worked.total_seconds() * _MILLI * _WHOLE / done


@dataclass
class _Sums:
    """Sums over a queue's steps of logarithms: declared and seen."""

    count: int = 0
    declared: float = 0.0
    seen: float = 0.0
    declared_squared: float = 0.0
    product: float = 0.0

    def add(self, declared: float, seen: float) -> None:
        self.count += 1
        self.declared += declared
        self.seen += seen
        self.declared_squared += declared * declared
        self.product += declared * seen

    def expect(self, declared: float) -> float:
        """Return what to expect of a step, by a line through those seen.

        The line begins as what is declared, and gives way to what is seen.
        """
        mean = self.declared / self.count
        shift = (self.seen - self.declared) / (self.count + _TRUST_IN_DECLARED)
        variance = self.declared_squared - self.count * mean * mean
        covariance = self.product - mean * self.seen
        slope = (covariance + _TRUST_IN_DECLARED) / (variance + _TRUST_IN_DECLARED)
        return mean + shift + min(max(slope, 0.0), 1.0) * (declared - mean)


class LengthEstimator:
    """Learns by queue what a declared length means.

    Attributes
    ----------
    edition : int
        Rises with each length that was noted.
    """

    def __init__(self) -> None:
        self._sums_by_queue: dict[str, _Sums] = {}
        self.revision = 0

    def note(self, queue: str, *, declared_ms: float, seen_ms: float) -> None:
        """Take in how long the tasks of one step took."""
        sums = self._sums_by_queue.setdefault(queue, _Sums())
        sums.add(_log(declared_ms), _log(seen_ms))
        self.revision += 1

    def expected_ms(self, queue: str, declared_ms: float) -> float:
        """Return how long a task of a queue is likely to take, in ms."""
        sums = self._sums_by_queue.get(queue)
        if sums is None:
            return declared_ms
        return math.exp(sums.expect(_log(declared_ms)))


def _log(length_ms: float) -> float:
    return math.log(max(length_ms, _LEAST_MS))
