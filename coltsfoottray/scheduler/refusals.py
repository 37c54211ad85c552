"""Writes that the table has refused for themselves, and when each is tried again.

A refused write is refused however often it is sent, until something else changes: the
row shrinks, or the operator mends the table. It is therefore left out of the
scheduler's transactions, which would all be refused with it, and tried again rarely.
"""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta

from coltsfoottray.clock import Clock
from coltsfoottray.remembered import drop_oldest

__all__ = ["Refusals"]

_FIRST_PAUSE = timedelta(seconds=1)
_LONGEST_PAUSE = timedelta(minutes=1)
# A write that was not refused for this many pauses counts as sound again.
_PAUSES_UNTIL_FORGOTTEN = 4
_MAX_REMEMBERED = 10_000


@dataclass(frozen=True, kw_only=True)
class _Refusal:
    pause: timedelta
    retry_at: timedelta

    @property
    def forgotten_at(self) -> timedelta:
        return self.retry_at + self.pause * _PAUSES_UNTIL_FORGOTTEN


class Refusals:
    """Tells which writes to leave out for now.

    A write is named by its job's id or by the key of its row.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._refusal_by_name: dict[str, _Refusal] = {}

    def record(self, name: str) -> timedelta:
        """Record that a write was refused; return after which pause it is due again."""
        now = self._clock.elapsed()
        pause = _FIRST_PAUSE
        last = self._refusal_by_name.pop(name, None)
        if last is not None and now < last.forgotten_at:
            pause = min(last.pause * 2, _LONGEST_PAUSE)
        self._refusal_by_name[name] = _Refusal(pause=pause, retry_at=now + pause)
        drop_oldest(self._refusal_by_name, _MAX_REMEMBERED)
        return pause

    def is_suspect(self, name: str) -> bool:
        """Return whether a write has been refused lately."""
        last = self._refusal_by_name.get(name)
        return last is not None and self._clock.elapsed() < last.forgotten_at

    def is_left_out(self, name: str) -> bool:
        """Return whether a write is left out, as its pause is not over."""
        last = self._refusal_by_name.get(name)
        return last is not None and self._clock.elapsed() < last.retry_at
