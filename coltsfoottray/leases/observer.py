"""Detection of lapsed leases from repeated readings of their rows."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from datetime import timedelta

from coltsfoottray.clock import Clock
from coltsfoottray.platform import Row

__all__ = ["LeaseObserver"]


@dataclass(frozen=True, kw_only=True)
class _Observation:
    version: int
    first_read_at: timedelta


class LeaseObserver:
    """Finds rows that have not been written for the length of a lease.

    Only this process's monotonic clock is used, so the wall clocks of two VMs
    need not agree. The holder counts its lease from before it sends a renewal,
    the observer from after it first reads that renewal, which is always later.

    Parameters
    ----------
    lease : timedelta
        The length of the lease.
    max_gap : timedelta
        The observation starts over when two readings are further apart than
        this. During an outage of the table no holder can renew, and the first
        reader after it must not treat that as a lapse. Starting over gives
        every holder a whole lease in which to renew.
    """

    def __init__(self, *, clock: Clock, lease: timedelta, max_gap: timedelta) -> None:
        self._clock = clock
        self._lease = lease
        self._max_gap = max_gap
        self._read_at: timedelta | None = None
        self._observation_by_key: dict[str, _Observation] = {}

    def observe(self, rows: Sequence[Row]) -> list[Row]:
        """Record one reading and return the rows whose lease has lapsed."""
        now = self._clock.elapsed()
        if self._read_at is None or now - self._read_at > self._max_gap:
            self._observation_by_key.clear()
        self._read_at = now
        previous = self._observation_by_key
        self._observation_by_key = {
            row.key: self._observe_row(row, previous.get(row.key), now) for row in rows
        }
        return [
            row
            for row in rows
            if now - self._observation_by_key[row.key].first_read_at > self._lease
        ]

    def _observe_row(
        self, row: Row, previous: _Observation | None, now: timedelta
    ) -> _Observation:
        if previous is not None and previous.version == row.version:
            return previous
        return _Observation(version=row.version, first_read_at=now)
