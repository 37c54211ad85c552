"""Judging from outside whether the holder of a lease row still renews it."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from datetime import timedelta

from coltsfoottray.clock import Clock
from coltsfoottray.platform import Row

__all__ = ["LeaseObserver"]


@dataclass(frozen=True, kw_only=True)
class _Sighting:
    version: int
    since: timedelta


class LeaseObserver:
    """Finds rows that were not written for a whole lease.

    Only this process's monotonic clock is used, so that the calendars of two
    VMs need not agree: the holder counts its lease from before it sent the
    renewal, the observer from after it first read it, which is always later.

    Parameters
    ----------
    lease : timedelta
        The length of the lease.
    max_gap : timedelta
        Two readings further apart than this start the observation anew. After
        an outage of the table nobody could renew; whoever comes back first must
        not take that for a lapse, so every holder has a whole lease to renew.
    """

    def __init__(self, *, clock: Clock, lease: timedelta, max_gap: timedelta) -> None:
        self._clock = clock
        self._lease = lease
        self._max_gap = max_gap
        self._read_at: timedelta | None = None
        self._sighting_by_key: dict[str, _Sighting] = {}

    def observe(self, rows: Sequence[Row]) -> list[Row]:
        """Take one reading in and return the rows whose lease has lapsed."""
        now = self._clock.elapsed()
        if self._read_at is None or now - self._read_at > self._max_gap:
            self._sighting_by_key.clear()
        self._read_at = now
        before = self._sighting_by_key
        self._sighting_by_key = {
            row.key: self._sight(row, before.get(row.key), now) for row in rows
        }
        return [
            row
            for row in rows
            if now - self._sighting_by_key[row.key].since > self._lease
        ]

    def _sight(self, row: Row, before: _Sighting | None, now: timedelta) -> _Sighting:
        if before is not None and before.version == row.version:
            return before
        return _Sighting(version=row.version, since=now)
