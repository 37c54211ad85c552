"""Delays between retries."""

from __future__ import annotations

from datetime import timedelta
from random import Random

__all__ = ["Backoff"]

_MAX_DOUBLINGS = 16


class Backoff:
    """Grows exponentially, with jitter so that processes do not retry in step.

    Parameters
    ----------
    first : timedelta
        Upper bound of the first delay.
    longest : timedelta
        Upper bound of every delay.
    """

    def __init__(self, *, first: timedelta, longest: timedelta, random: Random) -> None:
        self._first = first
        self._longest = longest
        self._random = random
        self._failures = 0

    def next_delay(self) -> timedelta:
        """Return the delay after another failure, half or more of its upper bound."""
        bound = min(self._first * (1 << self._failures), self._longest)
        self._failures = min(self._failures + 1, _MAX_DOUBLINGS)
        return bound * self._random.uniform(0.5, 1.0)

    def reset(self) -> None:
        """Start again from the first delay, after a success."""
        self._failures = 0
