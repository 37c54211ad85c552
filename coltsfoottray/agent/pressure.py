"""How strongly tasks of one image disturb services of another.

A service's tail latency rises as its worker's share for it runs out: the inverse
of the latency falls in proportion to its own load and to the processors that
fillers use beside it. What is measured here is therefore the *margin*, the
target divided by the latency (1 when the target is just met), and for each pair of
images the *pressure*: by how much the margin falls for each whole worker's
processors that the filler uses. Pairs are light or heavy, with little between.
"""

from __future__ import annotations

import math
from collections import defaultdict

import msgspec

__all__ = [
    "MAX_LIGHT_PRESSURE",
    "PRIOR",
    "SERVICE_USE",
    "Estimate",
    "ImagePair",
    "Pressure",
    "PressureTable",
    "ServiceMargin",
]

# The part of what a service with a latency target reserves that it uses outside of the
# peaks of its load.
SERVICE_USE = 0.5

# A pair that presses less is light: slowing such fillers would gain services little.
MAX_LIGHT_PRESSURE = 4.0

# What several workers have learned differs by more than their own figures say: they
# have learned from one another as well.
_MIN_SPREAD = 0.7


# Stands among the observers for what was known before.
_BEFORE = ""
# What was known may have changed meanwhile: a spread of 1 at the least.
_MAX_WEIGHT_BEFORE = 1.0


class ImagePair(msgspec.Struct, frozen=True, array_like=True):
    """A filler's image and a service's."""

    filler: str
    service: str


class Pressure(msgspec.Struct, frozen=True, array_like=True):
    """What is known of a pair; `weight` is the inverse of the variance."""

    pair: ImagePair
    value: float
    weight: float


class ServiceMargin(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """The margin that services of an image would have on a worker without fillers.

    Parameters
    ----------
    now : float
        Until the next look.
    usual : float
        Over some ten seconds.
    least : float
        At the peaks of their load.
    """

    now: float
    usual: float
    least: float = 0.0


class Estimate(msgspec.Struct, frozen=True, kw_only=True):
    """A pressure and its standard deviation."""

    value: float
    spread: float

    def upper_bound(self, spreads: float) -> float:
        """Return a pressure that the true one is unlikely to exceed."""
        return max(self.value + spreads * self.spread, 0.0)


PRIOR = Estimate(value=2.5, spread=5.0)
"""Taken for a pair not seen yet, which may be light or heavy."""


class PressureTable:
    """Merges what several observers know."""

    def __init__(self) -> None:
        self._by_observer: dict[str, list[Pressure]] = {}
        self._estimate_by_pair: dict[ImagePair, Estimate] = {}

    def update(self, observer: str, pressures: list[Pressure]) -> None:
        """Replace what one observer knows."""
        if self._by_observer.get(observer) == pressures:
            return
        self._by_observer[observer] = pressures
        self._merge()

    def restore(self, pressures: list[Pressure]) -> None:
        """Begin with what was known before, as one observer more."""
        self._by_observer[_BEFORE] = [
            Pressure(
                pair=each.pair,
                value=each.value,
                weight=min(each.weight, _MAX_WEIGHT_BEFORE),
            )
            for each in pressures
        ]
        self._merge()

    def _merge(self) -> None:
        total_by_pair: dict[ImagePair, float] = defaultdict(float)
        weight_by_pair: dict[ImagePair, float] = defaultdict(float)
        for known in self._by_observer.values():
            for each in known:
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
        """Return what is known of a pair, a guess where it was never seen."""
        pair = ImagePair(filler=filler, service=service)
        return self._estimate_by_pair.get(pair, PRIOR)

    def all(self) -> list[Pressure]:
        """Return every known pair."""
        return [
            Pressure(
                pair=pair,
                value=round(known.value, 2),
                weight=round(known.spread**-2, 3),
            )
            for pair, known in self._estimate_by_pair.items()
        ]
