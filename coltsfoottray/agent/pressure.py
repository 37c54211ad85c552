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
from collections.abc import Iterable
from dataclasses import dataclass

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
    "select_best",
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
# Estimates are a thousandth of this at the most.
_MAX_VALUE = 1e6
_MAX_WEIGHT = 1e6


class ImagePair(msgspec.Struct, frozen=True, array_like=True):
    """Image of a filler and image of a service."""

    filler: str
    service: str


class Pressure(msgspec.Struct, frozen=True, array_like=True):
    """Estimated pressure of a pair; `weight` is the inverse of the variance."""

    pair: ImagePair
    value: float
    weight: float

    @property
    def is_plausible(self) -> bool:
        """Whether it can have been measured."""
        return abs(self.value) <= _MAX_VALUE and 0 <= self.weight <= _MAX_WEIGHT


def select_best(pressures: Iterable[Pressure], max_bytes: int) -> list[Pressure]:
    """Return the pressures known best that take at most `max_bytes` as JSON."""
    size_bytes = len(b"[]")
    selected: list[Pressure] = []
    best_first = sorted(
        pressures, key=lambda each: (-each.weight, each.pair.filler, each.pair.service)
    )
    for pressure in best_first:
        size_bytes += len(msgspec.json.encode(pressure)) + len(b",")
        if size_bytes > max_bytes:
            break
        selected.append(pressure)
    return selected


class ServiceMargin(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """Margins that services of an image would have on a worker without fillers.

    Parameters
    ----------
    now : float
        Margin at which a filler would start that is placed now.
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


@dataclass(kw_only=True)
class _Sum:
    """Sums over the estimates of one pair."""

    value: float = 0.0
    weight: float = 0.0
    observers: int = 0


class PressureTable:
    """Merges the pressures estimated by several observers.

    Attributes
    ----------
    revision : int
        Increases with each change.
    """

    def __init__(self) -> None:
        self.revision = 0
        self._by_observer: dict[str, list[Pressure]] = {}
        self._sum_by_pair: dict[ImagePair, _Sum] = {}
        self._estimate_by_pair: dict[ImagePair, Estimate] = {}

    def update(self, observer: str, pressures: list[Pressure]) -> None:
        """Replace the pressures of one observer."""
        known = self._by_observer.get(observer, [])
        if known == pressures:
            return
        self._by_observer[observer] = pressures
        for each in known:
            self._add(each, sign=-1)
        for each in pressures:
            self._add(each, sign=1)
        for pair in {each.pair for each in (*known, *pressures)}:
            self._update_estimate(pair)
        self.revision += 1

    def restore(self, pressures: list[Pressure]) -> None:
        """Add stored pressures as those of an additional observer."""
        restored = [
            Pressure(
                pair=each.pair,
                value=each.value,
                weight=min(each.weight, _MAX_RESTORED_WEIGHT),
            )
            for each in pressures
        ]
        self.update(_RESTORED, restored)

    def _add(self, pressure: Pressure, *, sign: int) -> None:
        total = self._sum_by_pair.setdefault(pressure.pair, _Sum())
        total.value += sign * pressure.value * pressure.weight
        total.weight += sign * pressure.weight
        total.observers += sign

    def _update_estimate(self, pair: ImagePair) -> None:
        total = self._sum_by_pair[pair]
        if total.observers == 0:
            # Rounding errors must not remain as an estimate.
            del self._sum_by_pair[pair]
        if total.observers == 0 or total.weight <= 0:
            self._estimate_by_pair.pop(pair, None)
            return
        self._estimate_by_pair[pair] = Estimate(
            value=total.value / total.weight,
            spread=max(1 / math.sqrt(total.weight), _MIN_SPREAD),
        )

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
