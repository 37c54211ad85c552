"""How strongly tasks of one image disturb services of another.

A service's tail latency rises as its worker's share for it runs out: the inverse
of the latency falls in proportion to its own load and to the processors that
fillers use beside it. What is measured here is therefore the *margin*, the
target divided by the latency (1 when the target is just met), and for each pair of
images the *pressure*: by how much the margin falls for each whole worker's
processors that the filler uses. Pairs differ from none to some twenty.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from datetime import timedelta

import msgspec

__all__ = [
    "UNKNOWN_PRESSURE",
    "ImagePair",
    "Observation",
    "Pressure",
    "PressureLearner",
    "PressureTable",
]

# Taken for a pair not seen yet: about what one filling task may press beside a
# service of mean load, so that a first task of an image is let in and a second waits
# for what it shows.
UNKNOWN_PRESSURE = 8.0

_MAX_PRESSURE = 30.0
_MAX_MARGIN = 6.0
# A latency this far over the target says no more how strong the pressure is.
_SATURATED = 0.15

# A service that has just started is not yet disturbed as it will be.
_WARM_UP_LOOKS = 4

# The latency figure is smoothed with a half-life of half a second. Taken as it is, a
# filler that has ended would seem to press for two seconds more.
_HALF_LIFE = timedelta(milliseconds=500)
# What is recovered from two smoothed figures is no better than this part of one.
_MIN_RECOVERED = 0.3
# Below this share of a worker the fillers do not move the margin measurably.
_MIN_SHARE = 0.004
# How fast the undisturbed margin follows what is seen: with no filler there, and
# beside one, when most of a change is the filler's doing.
_MARGIN_RATE_ALONE = 0.5
_MARGIN_RATE_BESIDE = 0.08
_PRESSURE_RATE = 0.3
_DAMPING = 0.02**2
# Old observations of a pair weigh no more than so many new ones.
_MAX_WEIGHT = 40.0


class ImagePair(msgspec.Struct, frozen=True, array_like=True):
    """A filler's image and a service's."""

    filler: str
    service: str


class Pressure(msgspec.Struct, frozen=True, array_like=True):
    """What is known of a pair; `weight` is the number of looks behind it."""

    pair: ImagePair
    value: float
    weight: float


class PressureTable:
    """Merges what several observers know."""

    def __init__(self) -> None:
        self._by_observer: dict[str, dict[ImagePair, Pressure]] = {}
        self._value_by_pair: dict[ImagePair, float] = {}

    def take(self, observer: str, pressures: Iterable[Pressure]) -> None:
        """Replace what one observer knows."""
        self._by_observer[observer] = {each.pair: each for each in pressures}
        sums: dict[ImagePair, tuple[float, float]] = {}
        for known in self._by_observer.values():
            for each in known.values():
                total, weight = sums.get(each.pair, (0.0, 0.0))
                sums[each.pair] = (
                    total + each.value * each.weight,
                    weight + each.weight,
                )
        self._value_by_pair = {
            pair: total / weight for pair, (total, weight) in sums.items() if weight
        }

    def get(self, filler: str, service: str) -> float:
        """Return the pressure of a pair, a guess where it was never seen."""
        pair = ImagePair(filler=filler, service=service)
        return self._value_by_pair.get(pair, UNKNOWN_PRESSURE)

    def all(self) -> list[Pressure]:
        """Return every known pair."""
        return [
            Pressure(pair=pair, value=value, weight=1.0)
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


class PressureLearner:
    """Learns pressures on one worker, by normalized least mean squares."""

    def __init__(self) -> None:
        self._own_by_pair: dict[ImagePair, Pressure] = {}
        self._shared_by_pair: dict[ImagePair, float] = {}
        self._margin_by_service: dict[str, float] = {}
        self._looks_by_service: dict[str, int] = {}
        self._last_by_service: dict[str, tuple[timedelta, float]] = {}

    def share(self, pressures: Iterable[Pressure]) -> None:
        """Take in what others have learned."""
        self._shared_by_pair = {each.pair: each.value for each in pressures}

    def own(self) -> list[Pressure]:
        """Return what was learned here."""
        return list(self._own_by_pair.values())

    def pressure(self, filler: str, service: str) -> float:
        """Return the pressure of a pair: seen here, seen elsewhere, or a guess."""
        pair = ImagePair(filler=filler, service=service)
        own = self._own_by_pair.get(pair)
        if own is not None:
            return own.value
        return self._shared_by_pair.get(pair, UNKNOWN_PRESSURE)

    def undisturbed(self, observation: Observation) -> float:
        """Return the margin a service would have without fillers."""
        return self._margin_by_service.get(observation.service, observation.margin)

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
        for service in [each for each in self._margin_by_service if each not in seen]:
            del self._margin_by_service[service]
            del self._looks_by_service[service]
            del self._last_by_service[service]
        for observation in observations:
            margin = self._recover_margin(observation, now)
            self._learn_service(observation, margin, share_by_image)
            self._last_by_service[observation.service] = now, observation.latency_ms

    def _recover_margin(self, observation: Observation, now: timedelta) -> float:
        """Return the margin since the last look, undoing the smoothing."""
        latency = observation.latency_ms
        last = self._last_by_service.get(observation.service)
        if last is not None:
            then, before = last
            kept = 0.5 ** ((now - then) / _HALF_LIFE)
            recovered = (latency - kept * before) / max(1.0 - kept, 0.1)
            latency = max(recovered, _MIN_RECOVERED * latency)
        return min(observation.target_ms / latency, _MAX_MARGIN)

    def _learn_service(
        self,
        observation: Observation,
        margin: float,
        share_by_image: Mapping[str, float],
    ) -> None:
        service = observation.service
        known = self._margin_by_service.get(service)
        looks = self._looks_by_service.get(service, 0) + 1
        self._looks_by_service[service] = looks
        if known is None or looks <= _WARM_UP_LOOKS:
            # Its users have only begun to come: no filler can be told by it yet.
            self._margin_by_service[service] = max(margin, known or 1.0)
            return
        pressures = {
            image: self.pressure(image, observation.image) for image in share_by_image
        }
        pressed = sum(
            pressures[image] * share for image, share in share_by_image.items()
        )
        expected = max(known - pressed, 0.0)
        if margin < _SATURATED and expected < _SATURATED:
            return
        error = margin - expected
        rate = _MARGIN_RATE_ALONE
        if sum(share_by_image.values()) >= _MIN_SHARE:
            rate = _MARGIN_RATE_BESIDE
            self._correct(observation.image, pressures, error, share_by_image)
        self._margin_by_service[service] = min(known + rate * error, _MAX_MARGIN)

    def _correct(
        self,
        service: str,
        pressures: Mapping[str, float],
        error: float,
        shares: Mapping[str, float],
    ) -> None:
        norm = sum(share * share for share in shares.values()) + _DAMPING
        for image, share in shares.items():
            if share < _MIN_SHARE:
                continue
            pair = ImagePair(filler=image, service=service)
            own = self._own_by_pair.get(pair)
            value = pressures[image] - _PRESSURE_RATE * error * share / norm
            weight = 1.0 if own is None else min(own.weight + 1.0, _MAX_WEIGHT)
            self._own_by_pair[pair] = Pressure(
                pair=pair,
                value=min(max(value, 0.0), _MAX_PRESSURE),
                weight=weight,
            )
