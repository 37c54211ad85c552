"""Interference of fillers of one image with services of another.

The inverse of a service's tail latency falls linearly with its own load and with the
processors that fillers use on the same worker. The model therefore uses two quantities:

- the *margin* of a service, its latency target divided by its tail latency (1 when the
  target is just met);
- the *pressure* of a pair of images, the reduction of the margin if the filler used all
  processors of the worker.

Pairs are either light or heavy, with few in between.
"""

from __future__ import annotations

import math
from collections import defaultdict

import msgspec

__all__ = [
    "MAX_LIGHT_PRESSURE",
    "PRIOR",
    "SERVICE_USAGE",
    "Estimate",
    "ImagePair",
    "Pressure",
    "PressureTable",
    "ServiceMargin",
]

# Share of its reservation that a service with a latency target uses outside load peaks.
SERVICE_USAGE = 0.5

# Pairs below this pressure are light: slowing such fillers hardly helps services.
MAX_LIGHT_PRESSURE = 4.0

# Lower bound of the merged standard deviation. Workers also learn from one another, so
# their estimates are not independent and differ by more than their weights suggest.
_MIN_SPREAD = 0.7


# Observer name of the restored estimates.
_RESTORED = ""
# Pressures may have changed since the estimates were stored: a spread of at least 1.
_MAX_RESTORED_WEIGHT = 1.0


class ImagePair(msgspec.Struct, frozen=True, array_like=True):
    """Image of a filler and image of a service."""

    filler: str
    service: str


class Pressure(msgspec.Struct, frozen=True, array_like=True):
    """Estimated pressure of a pair; `weight` is the inverse of the variance."""

    pair: ImagePair
    value: float
    weight: float


class ServiceMargin(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """Margins that services of an image would have on a worker without fillers.

    Parameters
    ----------
    now : float
        Margin until the next poll.
    usual : float
        Average over some ten seconds.
    least : float
        Margin at load peaks.
    """

    now: float
    usual: float
    least: float = 0.0


class Estimate(msgspec.Struct, frozen=True, kw_only=True):
    """Estimate of a pressure, with its standard deviation `spread`."""

    value: float
    spread: float

    def upper_bound(self, spreads: float) -> float:
        """Return the estimate plus `spreads` standard deviations, at least 0."""
        return max(self.value + spreads * self.spread, 0.0)


PRIOR = Estimate(value=2.5, spread=5.0)
"""Estimate for a pair without observations, which may be light or heavy."""


class PressureTable:
    """Merges the pressures estimated by several observers."""

    def __init__(self) -> None:
        self._by_observer: dict[str, list[Pressure]] = {}
        self._estimate_by_pair: dict[ImagePair, Estimate] = {}

    def update(self, observer: str, pressures: list[Pressure]) -> None:
        """Replace the pressures of one observer."""
        if self._by_observer.get(observer) == pressures:
            return
        self._by_observer[observer] = pressures
        self._merge()

    def restore(self, pressures: list[Pressure]) -> None:
        """Add stored pressures as those of an additional observer."""
        self._by_observer[_RESTORED] = [
            Pressure(
                pair=each.pair,
                value=each.value,
                weight=min(each.weight, _MAX_RESTORED_WEIGHT),
            )
            for each in pressures
        ]
        self._merge()

    def _merge(self) -> None:
        total_by_pair: dict[ImagePair, float] = defaultdict(float)
        weight_by_pair: dict[ImagePair, float] = defaultdict(float)
        for pressures in self._by_observer.values():
            for each in pressures:
                total_by_pair[each.pair] += each.value * each.weight
                weight_by_pair[each.pair] += each.weight
        self._estimate_by_pair = {
            pair: Estimate(
                value=total_by_pair[pair] / weight,
                spread=max(1 / math.sqrt(weight), _MIN_SPREAD),
            )
            for pair, weight in weight_by_pair.items()
            if weight > 0
        }

    def get(self, filler: str, service: str) -> Estimate:
        """Return the estimate for a pair, `PRIOR` if it was never observed."""
        pair = ImagePair(filler=filler, service=service)
        return self._estimate_by_pair.get(pair, PRIOR)

    def all(self) -> list[Pressure]:
        """Return the merged pressures of all observed pairs."""
        return [
            Pressure(
                pair=pair,
                value=round(estimate.value, 2),
                weight=round(estimate.spread**-2, 3),
            )
            for pair, estimate in self._estimate_by_pair.items()
        ]
