"""Rate at which workers do the work that jobs need.

Load pattern: fillers that press on services. They find few places beside them and are
slowed there, so that a pool works at a fraction of its idle processors. The fraction
depends on the images that happen to run and is therefore measured. The rate of tasks
that reserve processors is known: what services leave of the workers.
"""

from __future__ import annotations

import math
from collections.abc import Collection, Mapping
from dataclasses import dataclass
from datetime import timedelta

from coltsfoottray.overload.demand import Pool, PoolKind

__all__ = ["CapacityMeter", "PoolUsage"]

# The usage of a filler is reported with a lag of up to a second and swings with the
# load of the services beside it.
_SMOOTHING_TIME = timedelta(seconds=2)
# Workers that have been gone for this long do not come back with the same load.
_RETENTION = timedelta(minutes=1)
# Fillers slower than this fraction of what they request use all that they can get.
_SATURATED_FRACTION = 0.8


@dataclass(frozen=True, kw_only=True)
class PoolUsage:
    """The processors of a pool at one moment.

    Parameters
    ----------
    used : float
        Processors that fillers use, or that tasks of jobs reserve.
    requested : float
        Processors that fillers would use at full speed.
    idle : float
        Processors that nothing uses, or that nothing reserves.
    has_waiting : bool
        Whether fillers wait for a place.
    """

    used: float
    idle: float
    requested: float = 0.0
    has_waiting: bool = False

    @property
    def is_saturated(self) -> bool:
        """Whether fillers get all that they can, so that `used` is the rate."""
        return self.has_waiting or self.used < self.requested * _SATURATED_FRACTION


class CapacityMeter:
    """Measures the rate of each pool while fillers get less than they request."""

    def __init__(self) -> None:
        self._rate_by_pool: dict[Pool, float] = {}
        self._seen_at_by_pool: dict[Pool, timedelta] = {}
        self._updated_at: timedelta | None = None

    def update(self, usage_by_pool: dict[Pool, PoolUsage], now: timedelta) -> None:
        """Update the rates by the usage at `now`."""
        updated_at = now if self._updated_at is None else self._updated_at
        weight = 1.0 - math.exp(-((now - updated_at) / _SMOOTHING_TIME))
        self._updated_at = now
        self._drop_old(usage_by_pool, now)
        for pool, usage in usage_by_pool.items():
            rate = usage.used if usage.is_saturated else usage.used + usage.idle
            if pool.kind is PoolKind.RESERVED:
                # Not averaged: it changes in steps, as workers and services come and
                # go, and an average would lag while workers report to a new scheduler.
                self._rate_by_pool[pool] = rate
                continue
            before = self._rate_by_pool.get(pool, usage.used + usage.idle)
            self._rate_by_pool[pool] = before + weight * (rate - before)

    def _drop_old(self, present: Collection[Pool], now: timedelta) -> None:
        """Drop the rates of pools whose workers have been gone for long.

        A restored rate counts as seen at the first update.
        """
        for pool in [*self._rate_by_pool, *present]:
            self._seen_at_by_pool.setdefault(pool, now)
        self._seen_at_by_pool.update(dict.fromkeys(present, now))
        for pool, seen_at in list(self._seen_at_by_pool.items()):
            if now - seen_at > _RETENTION:
                del self._seen_at_by_pool[pool]
                self._rate_by_pool.pop(pool, None)

    def restore(self, rate_by_pool: Mapping[Pool, float]) -> None:
        """Continue from rates that were measured earlier."""
        self._rate_by_pool.update(rate_by_pool)

    def rate_by_pool(self) -> dict[Pool, float]:
        """Return the processors that each pool works with."""
        return dict(self._rate_by_pool)
