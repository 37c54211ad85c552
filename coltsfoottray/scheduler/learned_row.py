"""The row that stores what a scheduler has learned of task lengths and of its pools.

Load pattern: the scheduler is lost during a burst. By declared lengths and idle
processors alone, its successor would order the waiting jobs differently.
"""

from __future__ import annotations

from collections.abc import Mapping
from datetime import timedelta

import msgspec

from coltsfoottray.clock import Clock, as_milliseconds
from coltsfoottray.decoding import MalformedData
from coltsfoottray.jobs.keys import LEARNED_KEY
from coltsfoottray.logs import log_event
from coltsfoottray.overload.capacity import CapacityMeter
from coltsfoottray.overload.demand import Pool
from coltsfoottray.platform import MAX_VALUE_BYTES, Put, Row
from coltsfoottray.scheduler.lengths import LengthEstimator, LengthSums
from coltsfoottray.scheduler.side_rows import SideRows

__all__ = ["LearnedRow"]

_PERIOD = timedelta(seconds=4)
# At 100 bytes per queue, the row stays below a third of the store's limit of 64 KiB.
_MAX_QUEUES = 200
# Measured rates vary all the time; smaller changes alone are not worth a write.
_MIN_RATE_CHANGE = 0.05
_MILLI = 1000.0


class _Learned(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """What is stored.

    Parameters
    ----------
    sums_by_queue : dict
        Observed lengths of the tasks of ended jobs, the queue seen last at the end.
    rates : list
        Processors with which each pool works.
    stored_ms : int
        Time at which it was written, in milliseconds since 1970.
    """

    sums_by_queue: dict[str, LengthSums] = msgspec.field(default_factory=dict)
    rates: list[tuple[Pool, float]] = msgspec.field(default_factory=list)
    stored_ms: int = 0


class LearnedRow(SideRows):
    """Stores the observed lengths by queue and the rates by pool."""

    is_urgent = False

    def __init__(
        self,
        *,
        lengths: LengthEstimator,
        meter: CapacityMeter,
        clock: Clock,
        now: timedelta,
    ) -> None:
        self._lengths = lengths
        self._meter = meter
        self._clock = clock
        self._checked_at = now
        self._version = 0
        self._stored = _Learned()

    def restore(self, row: Row) -> None:
        """Continue from the row that an earlier scheduler wrote, if it is readable."""
        self._version = row.version
        try:
            learned = _decode(row)
        except (MalformedData, ValueError) as error:
            log_event(
                "scheduler:learned-unreadable", version=row.version, reason=str(error)
            )
            return
        self._stored = learned
        self._lengths.restore(learned.sums_by_queue)
        self._meter.restore(dict(learned.rates))
        log_event(
            "scheduler:learned-restored",
            queues=len(learned.sums_by_queue),
            pools=len(learned.rates),
            age_s=self._age_s(learned),
        )

    def due_puts(self, now: timedelta) -> list[Put]:  # noqa: D102
        if now - self._checked_at < _PERIOD:
            return []
        self._checked_at = now
        learned = _Learned(
            sums_by_queue=self._lengths.export(_MAX_QUEUES),
            rates=list(self._meter.rate_by_pool().items()),
        )
        if not _has_changed(self._stored, learned):
            return []
        self._stored = learned
        stored_ms = as_milliseconds(self._clock.now())
        timed = msgspec.structs.replace(learned, stored_ms=stored_ms)
        return [_fitting_put(timed, self._version)]

    def mark_stored(self, version_by_key: Mapping[str, int]) -> None:  # noqa: D102
        self._version = version_by_key.get(LEARNED_KEY, self._version)

    def mark_unstored(self, key: str) -> None:  # noqa: D102
        if key == LEARNED_KEY:
            self._stored = _Learned()

    def _age_s(self, learned: _Learned) -> float | None:
        """Return how long ago the row was written, None if that is not known."""
        age_ms = as_milliseconds(self._clock.now()) - learned.stored_ms
        return age_ms / _MILLI if learned.stored_ms and age_ms >= 0 else None


def _decode(row: Row) -> _Learned:
    """Return the value of a row.

    Raises
    ------
    MalformedData, ValueError
        If it cannot be read, or contains what cannot have been measured.
    """
    learned = row.decode(_Learned)
    for queue, sums in learned.sums_by_queue.items():
        if not sums.is_plausible:
            raise ValueError(f"queue {queue!r}: {sums}")
    for pool, rate in learned.rates:
        if not 0 <= rate < float("inf"):
            raise ValueError(f"pool {pool}: {rate} processors")
    return learned


def _has_changed(stored: _Learned, learned: _Learned) -> bool:
    if stored.sums_by_queue != learned.sums_by_queue:
        return True
    rate_by_pool, stored_by_pool = dict(learned.rates), dict(stored.rates)
    return rate_by_pool.keys() != stored_by_pool.keys() or any(
        abs(rate - stored_by_pool[pool]) > _MIN_RATE_CHANGE * stored_by_pool[pool]
        for pool, rate in rate_by_pool.items()
    )


def _fitting_put(learned: _Learned, version: int) -> Put:
    """Return the write, without the queues seen first if it would be too large."""
    put = Put.of(LEARNED_KEY, version, learned)
    queues = list(learned.sums_by_queue)
    while len(bytes(put.value)) > MAX_VALUE_BYTES and queues:
        queues = queues[(len(queues) + 1) // 2 :]
        kept = {queue: learned.sums_by_queue[queue] for queue in queues}
        fitting = msgspec.structs.replace(learned, sums_by_queue=kept)
        put = Put.of(LEARNED_KEY, version, fitting)
    return put
