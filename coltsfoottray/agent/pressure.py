"""How strongly tasks of one image disturb services of another.

A service's tail latency rises as its worker's share for it runs out: the inverse
of the latency falls in proportion to its own load and to the processors that
fillers use beside it. What is measured here is therefore the *margin*, the
target divided by the latency (1 when the target is just met), and for each pair of
images the *pressure*: by how much the margin falls for each whole worker's
processors that the filler uses. Most pairs are either harmless or strong.

Several fillers run at a time and the load moves too, so that one look tells little
of who is to blame. A Kalman filter for each service image weighs each look by what
it can tell: a filler that has just started, beside others that are well known,
is blamed for nearly all of a change.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from datetime import timedelta

import msgspec

__all__ = [
    "SERVICE_USE",
    "UNKNOWN_PRESSURE",
    "ImagePair",
    "Observation",
    "Pressure",
    "PressureLearner",
    "PressureTable",
]

# A service with a latency target reserves for its peaks; measured over a day it uses
# 0.42 of that, and half as much again at its peaks.
SERVICE_USE = 0.5

# Taken for a pair not seen yet: about what one filling task may press beside a
# service of mean load, so that a first task of an image is let in and a second waits
# for what it shows.
UNKNOWN_PRESSURE = 8.0
# Standard deviation of that guess: a strong pair shows some 22.
_UNKNOWN_SPREAD = 12.0
# What others have learned may be a little different here.
_SHARED_SPREAD = 3.0
# How many standard deviations a filler is slowed beyond what is thought of it. With a
# whole one services lost nothing to speak of (0.96 of their worth was earned) but
# builds nearly all (0.05); with none 0.82 and 0.38.
_CAUTION = 0.4
# What a harmless pair may be thought to press by noise alone. A dozen harmless fillers
# on a worker would otherwise be slowed for the sum of it.
_HARMLESS_PRESSURE = 1.5
_MAX_PRESSURE = 40.0
_MAX_MARGIN = 6.0

# Standard deviations of what changes by itself from look to look: a service's load
# swings by half within 7 s, a pair's pressure moves within some seconds.
_MARGIN_DRIFT = 0.15
_PRESSURE_DRIFT = 0.3
# Of a margin as recovered from two figures: an eighth of it, and what the rounding of
# each to whole milliseconds may do (0.3 ms each, the first counted twice).
_MARGIN_NOISE = 0.12
_ROUNDING_MS = 0.65
# While a latency over its target falls again, what is recovered is mostly noise.
_FALLING_NOISE = 0.6

# A latency so far over the target says no more how strong the pressure is.
_SATURATED = 0.3

# A service that has just started is not yet disturbed as it will be.
_WARM_UP_LOOKS = 4

# The latency figure is smoothed with a half-life of half a second. Taken as it is, a
# filler that has ended would seem to press for two seconds more.
_HALF_LIFE = timedelta(milliseconds=500)
# What is recovered from two smoothed figures is no better than this part of one.
_MIN_RECOVERED = 0.3


class ImagePair(msgspec.Struct, frozen=True, array_like=True):
    """A filler's image and a service's."""

    filler: str
    service: str


class Pressure(msgspec.Struct, frozen=True, array_like=True):
    """What is known of a pair; `weight` is the inverse of the variance."""

    pair: ImagePair
    value: float
    weight: float


class PressureTable:
    """Merges what several observers know."""

    def __init__(self) -> None:
        self._by_observer: dict[str, list[Pressure]] = {}
        self._value_by_pair: dict[ImagePair, float] = {}

    def take(self, observer: str, pressures: list[Pressure]) -> None:
        """Replace what one observer knows."""
        if self._by_observer.get(observer) == pressures:
            return
        self._by_observer[observer] = pressures
        total_by_pair: dict[ImagePair, float] = {}
        weight_by_pair: dict[ImagePair, float] = {}
        for known in self._by_observer.values():
            for each in known:
                total = total_by_pair.get(each.pair, 0.0)
                weight = weight_by_pair.get(each.pair, 0.0)
                total_by_pair[each.pair] = total + each.value * each.weight
                weight_by_pair[each.pair] = weight + each.weight
        self._value_by_pair = {
            pair: total / weight_by_pair[pair] for pair, total in total_by_pair.items()
        }

    def get(self, filler: str, service: str) -> float:
        """Return the pressure of a pair, a guess where it was never seen."""
        pair = ImagePair(filler=filler, service=service)
        return self._value_by_pair.get(pair, UNKNOWN_PRESSURE)

    def all(self) -> list[Pressure]:
        """Return every known pair."""
        return [
            Pressure(pair=pair, value=round(value, 2), weight=1.0)
            for pair, value in self._value_by_pair.items()
        ]


@dataclass(frozen=True, kw_only=True)
class Observation:
    """One service as a look shows it.

    Parameters
    ----------
    service : str
        Names the run.
    image : str
        What it runs.
    latency_ms, target_ms : float
        Its tail latency, and what that must stay below.
    """

    service: str
    image: str
    latency_ms: float
    target_ms: float

    @property
    def margin(self) -> float:
        """Its target divided by its tail latency."""
        return self.target_ms / self.latency_ms


class _Filter:
    """A Kalman filter: undisturbed margins of services, pressures of fillers.

    A margin is expected to be that of its service less the sum of each filler's
    pressure times its share. States are called `service:...` and `filler:...`.
    """

    def __init__(self) -> None:
        self.mean: dict[str, float] = {}
        self._cov: dict[str, dict[str, float]] = {}

    def add(self, state: str, mean: float, spread: float) -> None:
        """Add a state that is independent of all others."""
        if state in self.mean:
            return
        self.mean[state] = mean
        for other in self._cov:
            self._cov[other][state] = 0.0
        self._cov[state] = dict.fromkeys(self.mean, 0.0)
        self._cov[state][state] = spread**2

    def remove(self, state: str) -> None:
        """Forget a state."""
        self.mean.pop(state, None)
        self._cov.pop(state, None)
        for row in self._cov.values():
            row.pop(state, None)

    def variance(self, state: str) -> float:
        """Return how uncertain a state is."""
        return self._cov[state][state]

    def drift(self, state: str, spread: float, limit: float) -> None:
        """Let a state become less certain, up to `limit`."""
        before = self._cov[state][state]
        self._cov[state][state] = max(before, min(before + spread**2, limit**2))

    def update(self, seen: float, factors: Mapping[str, float], noise: float) -> None:
        """Take in a sum of states times `factors`, seen with `noise`."""
        gains = {
            state: sum(row[other] * factor for other, factor in factors.items())
            for state, row in self._cov.items()
        }
        uncertainty = sum(gains[state] * factor for state, factor in factors.items())
        uncertainty += noise**2
        expected = sum(self.mean[state] * each for state, each in factors.items())
        error = seen - expected
        for state, gain in gains.items():
            self.mean[state] += gain / uncertainty * error
            row = self._cov[state]
            for other, other_gain in gains.items():
                row[other] -= gain * other_gain / uncertainty


class PressureLearner:
    """Learns the pressures on one worker."""

    def __init__(self) -> None:
        self._filter_by_image: dict[str, _Filter] = {}
        self._shared_by_pair: dict[ImagePair, float] = {}
        self._image_by_service: dict[str, str] = {}
        self._looks_by_service: dict[str, int] = {}
        self._last_by_service: dict[str, tuple[timedelta, float]] = {}

    def share(self, pressures: Iterable[Pressure]) -> None:
        """Take in what others have learned."""
        self._shared_by_pair = {each.pair: each.value for each in pressures}

    def own(self) -> list[Pressure]:
        """Return what was learned here."""
        return [
            Pressure(
                pair=ImagePair(filler=state.removeprefix(_FILLER), service=image),
                value=round(value, 2),
                weight=round(1.0 / (known.variance(state) + 0.01), 4),
            )
            for image, known in self._filter_by_image.items()
            for state, value in known.mean.items()
            if state.startswith(_FILLER)
        ]

    def pressure(self, filler: str, service: str) -> float:
        """Return the pressure of a pair: seen here, seen elsewhere, or a guess."""
        known = self._filter_by_image.get(service)
        if known is not None and _FILLER + filler in known.mean:
            return known.mean[_FILLER + filler]
        pair = ImagePair(filler=filler, service=service)
        return self._shared_by_pair.get(pair, UNKNOWN_PRESSURE)

    def cautious_pressure(self, filler: str, service: str) -> float:
        """Return a pressure that the true one is unlikely to exceed by much.

        A pair not seen yet is let work at a part of its speed: a strong one would
        cost its service four times what a harmless one loses in the one look that
        it takes to tell them apart.
        """
        known = self._filter_by_image.get(service)
        state = _FILLER + filler
        if known is not None and state in known.mean:
            spread = math.sqrt(max(known.variance(state), 0.0))
            mean = known.mean[state]
        else:
            pair = ImagePair(filler=filler, service=service)
            spread = _SHARED_SPREAD
            mean = self._shared_by_pair.get(pair, -1.0)
            if mean < 0:
                mean, spread = UNKNOWN_PRESSURE, _UNKNOWN_SPREAD
        cautious = mean + _CAUTION * spread - _HARMLESS_PRESSURE
        return min(max(cautious, 0.0), _MAX_PRESSURE)

    def undisturbed(self, observation: Observation) -> float:
        """Return the margin a service would have without fillers."""
        known = self._filter_by_image.get(observation.image)
        state = _SERVICE + observation.service
        if known is None or state not in known.mean:
            return observation.margin
        return known.mean[state]

    def learn(
        self,
        observations: list[Observation],
        share_by_image: Mapping[str, float],
        now: timedelta,
    ) -> None:
        """Take in one look.

        Parameters
        ----------
        share_by_image : mapping
            The part of the worker's processors that fillers of an image use.
        """
        seen = {each.service for each in observations}
        for service in [each for each in self._image_by_service if each not in seen]:
            self._forget(service)
        for known in self._filter_by_image.values():
            for state in known.mean:
                if state.startswith(_FILLER):
                    known.drift(state, _PRESSURE_DRIFT, _UNKNOWN_SPREAD)
                else:
                    known.drift(state, _MARGIN_DRIFT, _MAX_MARGIN)
        for observation in observations:
            margin, noise = self._recover(observation, now)
            self._learn_service(observation, margin, noise, share_by_image)
            self._last_by_service[observation.service] = now, observation.latency_ms

    def _recover(self, observation: Observation, now: timedelta) -> tuple[float, float]:
        """Return the margin since the last look, undoing the smoothing, and noise."""
        latency = observation.latency_ms
        last = self._last_by_service.get(observation.service)
        falling = 0.0
        if last is not None:
            then, before = last
            kept = 0.5 ** ((now - then) / _HALF_LIFE)
            recovered = (latency - kept * before) / max(1.0 - kept, 0.1)
            if latency < before and before > observation.target_ms:
                falling = _FALLING_NOISE
            latency = max(recovered, _MIN_RECOVERED * latency)
        margin = min(observation.target_ms / latency, _MAX_MARGIN)
        noise = _MARGIN_NOISE + _ROUNDING_MS / observation.latency_ms
        return margin, margin * noise + falling

    def _learn_service(
        self,
        observation: Observation,
        margin: float,
        noise: float,
        share_by_image: Mapping[str, float],
    ) -> None:
        service, image = observation.service, observation.image
        known = self._filter_by_image.setdefault(image, _Filter())
        state = _SERVICE + service
        looks = self._looks_by_service.get(service, 0) + 1
        self._looks_by_service[service] = looks
        self._image_by_service[service] = image
        if looks <= _WARM_UP_LOOKS:
            best = max(margin, known.mean.get(state, 1.0))
            known.add(state, best, 1.0)
            known.mean[state] = best
            return
        factors = {state: 1.0}
        for filler, share in share_by_image.items():
            pair = ImagePair(filler=filler, service=image)
            shared = self._shared_by_pair.get(pair)
            if shared is None:
                known.add(_FILLER + filler, UNKNOWN_PRESSURE, _UNKNOWN_SPREAD)
            else:
                known.add(_FILLER + filler, shared, _SHARED_SPREAD)
            factors[_FILLER + filler] = -share
        expected = sum(known.mean[each] * factor for each, factor in factors.items())
        if margin < _SATURATED and expected < _SATURATED:
            return
        known.update(margin, factors, noise)
        for each, value in known.mean.items():
            limit = _MAX_PRESSURE if each.startswith(_FILLER) else _MAX_MARGIN
            known.mean[each] = min(max(value, 0.0), limit)

    def _forget(self, service: str) -> None:
        image = self._image_by_service.pop(service)
        self._filter_by_image[image].remove(_SERVICE + service)
        self._looks_by_service.pop(service, None)
        self._last_by_service.pop(service, None)


_FILLER = "filler:"
_SERVICE = "service:"
