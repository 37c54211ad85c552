"""Learns on one worker how fillers' images press on services' images.

Several fillers run at a time and the load of services moves too, so that one look
tells little of who is to blame. A Kalman filter for each service image weighs each
look by what it can tell: a filler that has just started, beside others that are
well known, is blamed for nearly all of a change. The load of a service follows its
users', who call on all tasks of a job alike: its undisturbed margin is kept for the
job, with its slope, or fillers would be blamed for each rise of the load.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from datetime import timedelta

from coltsfoottray.agent.margins import MarginFilter
from coltsfoottray.agent.pressure import (
    PRIOR,
    Estimate,
    ImagePair,
    Pressure,
)

__all__ = ["Observation", "PressureLearner"]

# What others have learned may be a little different here.
_LEAST_SHARED_SPREAD = 1.0
_MAX_PRESSURE = 30.0
_MAX_MARGIN = 6.0

# Variances that states gain in a second, for a load that may swing by half within 10 s.
_MARGIN_DRIFT = 0.01
_SLOPE_DRIFT = 0.1
_MAX_SLOPE_VARIANCE = 0.5
_PRESSURE_DRIFT = 0.02
_MAX_PRESSURE_VARIANCE = 4.0
# Slopes turn within some seconds: this part of one is left after a second.
_SLOPE_KEPT = 0.8

# Standard deviation of a margin seen, for the load that only one task of a job has, and
# for the rounding of latencies to whole ms.
_MARGIN_NOISE = 0.2
_ROUNDING_MS = 0.3
# While a latency far over the usual one falls again, what is recovered is mostly noise.
_FALLING_NOISE = 0.6

# A latency so far over the target says no more how strong the pressure is.
_SATURATED = 0.3

# A service that has just started is not yet disturbed as it will be.
_WARM_UP_LOOKS = 4
# With what its undisturbed margin begins, which a look beside fillers cannot show; its
# spread lets the first looks without them replace it.
_FIRST_MARGIN = 2.6
_FIRST_MARGIN_SPREAD = 0.8
_FIRST_SLOPE_SPREAD = 0.4

# The figure of a latency is smoothed: half a second later this part of it is left. What
# fillers use is smoothed likewise before the two are compared, or heavy pairs would
# seem to press less than they do. Undoing the smoothing would add noise: that is done
# only where a latency was far higher before.
_KEPT_IN_HALF_SECOND = 0.35
_HALF_SECOND = timedelta(milliseconds=500)
_MUCH_HIGHER = 1.5
# What is recovered from two smoothed figures is no better than this part of one.
_MIN_RECOVERED = 0.4

# A smaller part of a worker in use is none.
_LEAST_SHARE = 0.001

# How far ahead speeds are set: until the next look, and until what it orders holds.
_AHEAD_S = 0.5
# Of what one task's margin differs from its job's: this part of the last is kept.
_DEVIATION_KEPT = 0.5
# Weight of a look in the usual margin: a swing of 10 s and more is averaged out.
_USUAL_SMOOTHING = 0.04

# At each look the least margin comes so much nearer to the usual one.
_LEAST_RECOVERED = 0.02

_FILLER = "filler:"
_MARGIN = "margin:"
_SLOPE = "slope:"


@dataclass(frozen=True, kw_only=True)
class Observation:
    """One service as a look shows it.

    Parameters
    ----------
    service : str
        Names the run.
    job : str
        Names the job; its tasks have one load.
    image : str
        What it runs.
    latency_ms, target_ms : float
        Its tail latency, and what that must stay below.
    """

    service: str
    job: str
    image: str
    latency_ms: float
    target_ms: float

    @property
    def margin(self) -> float:
        """Its target divided by its tail latency."""
        return min(self.target_ms / self.latency_ms, _MAX_MARGIN)


@dataclass(kw_only=True)
class _Service:
    """What is remembered of one service from look to look.

    Parameters
    ----------
    deviation : float
        By how much its margin differed lately from what its job leads to expect.
    """

    looks: int = 0
    seen: timedelta = timedelta(0)
    latency_ms: float = 0.0
    deviation: float = 0.0


class PressureLearner:
    """Learns the pressures on one worker."""

    def __init__(self) -> None:
        self._filter_by_image: dict[str, MarginFilter] = {}
        self._service_by_run: dict[str, _Service] = {}
        self._usual_by_job: dict[str, float] = {}
        self._least_by_job: dict[str, float] = {}
        self._shared_by_pair: dict[ImagePair, Estimate] = {}
        # The certainty with which a pair was begun here: it is not our own finding.
        self._first_weight_by_pair: dict[ImagePair, float] = {}
        self._learned: timedelta | None = None
        # What fillers of an image use, smoothed as the latency is.
        self._smooth_by_image: dict[str, float] = {}

    def set_shared_pressures(self, pressures: Iterable[Pressure]) -> None:
        """Take in what others have learned."""
        self._shared_by_pair = {
            each.pair: Estimate(
                value=each.value,
                spread=max(each.weight**-0.5, _LEAST_SHARED_SPREAD),
            )
            for each in pressures
            if each.weight > 0
        }

    def local_pressures(self) -> list[Pressure]:
        """Return what was learned here."""
        pressures = []
        for image, known in self._filter_by_image.items():
            for state, value in known.mean.items():
                if not state.startswith(_FILLER):
                    continue
                pair = ImagePair(filler=state.removeprefix(_FILLER), service=image)
                weight = 1.0 / (known.variance(state) + 0.01)
                weight -= self._first_weight_by_pair.get(pair, 0.0)
                if weight > 0:
                    rounded = Pressure(
                        pair=pair, value=round(value, 1), weight=round(weight, 2)
                    )
                    pressures.append(rounded)
        return pressures

    def pressure(self, filler: str, service: str) -> Estimate:
        """Return the pressure of a pair: seen here, seen elsewhere, or a guess."""
        known = self._filter_by_image.get(service)
        state = _FILLER + filler
        if known is not None and state in known.mean:
            spread = math.sqrt(known.variance(state))
            return Estimate(value=known.mean[state], spread=spread)
        return self._first(ImagePair(filler=filler, service=service))

    def undisturbed_margin(self, observation: Observation) -> float:
        """Return the margin a service will have without fillers until the next look."""
        known = self._filter_by_image.get(observation.image)
        state = _MARGIN + observation.job
        if known is None or state not in known.mean:
            return observation.margin
        ahead = known.mean[state] + _AHEAD_S * known.mean[_SLOPE + observation.job]
        own = self._service_by_run.get(observation.service)
        return ahead + (0.0 if own is None else min(own.deviation, 0.0))

    def usual_margin(self, observation: Observation) -> float:
        """Return the margin a service has without fillers most of the time."""
        return self._usual_by_job.get(observation.job, observation.margin)

    def least_margin(self, observation: Observation) -> float:
        """Return the margin a service has without fillers at the peaks of its load."""
        return self._least_by_job.get(observation.job, observation.margin)

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
        self._forget_gone(observations)
        self._pass_time(now, share_by_image)
        for observation in observations:
            self._learn_service(observation, now)
        for observation in observations:
            self._note_usual(observation)

    def _forget_gone(self, observations: list[Observation]) -> None:
        seen = {each.service for each in observations}
        for run in [run for run in self._service_by_run if run not in seen]:
            del self._service_by_run[run]
        jobs = {each.job for each in observations}
        for known in self._filter_by_image.values():
            for state in list(known.mean):
                kind, _, name = state.partition(":")
                if kind + ":" in (_MARGIN, _SLOPE) and name not in jobs:
                    known.remove(state)
        for job in [job for job in self._usual_by_job if job not in jobs]:
            del self._usual_by_job[job]
            self._least_by_job.pop(job, None)

    def _pass_time(self, now: timedelta, share_by_image: Mapping[str, float]) -> None:
        """Let margins go on along their slopes, and all become less certain."""
        span = timedelta(0) if self._learned is None else now - self._learned
        span_s = span.total_seconds()
        self._learned = now
        kept = _KEPT_IN_HALF_SECOND ** (span / _HALF_SECOND)
        smooth_by_image: dict[str, float] = {}
        for image in {*self._smooth_by_image, *share_by_image}:
            before = self._smooth_by_image.get(image, 0.0)
            share = kept * before + (1.0 - kept) * share_by_image.get(image, 0.0)
            if share > _LEAST_SHARE:
                smooth_by_image[image] = share
        self._smooth_by_image = smooth_by_image
        for known in self._filter_by_image.values():
            for state in list(known.mean):
                if state.startswith(_MARGIN):
                    slope = _SLOPE + state.removeprefix(_MARGIN)
                    known.move(state, slope, span_s)
                    known.fade(slope, _SLOPE_KEPT**span_s)
                    known.drift(state, _MARGIN_DRIFT * span_s, _MAX_MARGIN**2)
                    known.drift(slope, _SLOPE_DRIFT * span_s, _MAX_SLOPE_VARIANCE)
                elif state.startswith(_FILLER):
                    variance = _PRESSURE_DRIFT * span_s
                    known.drift(state, variance, _MAX_PRESSURE_VARIANCE)

    def _learn_service(
        self,
        observation: Observation,
        now: timedelta,
    ) -> None:
        own = self._service_by_run.setdefault(observation.service, _Service())
        own.looks += 1
        margin, noise = _recover(observation, own, now)
        own.seen, own.latency_ms = now, observation.latency_ms
        if own.looks <= _WARM_UP_LOOKS:
            return
        known = self._filter_by_image.setdefault(observation.image, MarginFilter())
        factors = self._factors(known, observation)
        expected = known.expect(factors)
        if margin < _SATURATED and expected < _SATURATED:
            return
        known.update(margin, factors, noise)
        for state, value in known.mean.items():
            if state.startswith(_FILLER):
                known.mean[state] = min(max(value, 0.0), _MAX_PRESSURE)
            elif state.startswith(_MARGIN):
                known.mean[state] = min(max(value, 0.0), _MAX_MARGIN)
        left = margin - known.expect(factors)
        own.deviation += (left - own.deviation) * (1.0 - _DEVIATION_KEPT)

    def _factors(
        self, known: MarginFilter, observation: Observation
    ) -> dict[str, float]:
        """Return how a margin is made up; what is new begins with a guess."""
        factors: dict[str, float] = {}
        for filler, share in self._smooth_by_image.items():
            state = _FILLER + filler
            if state not in known.mean:
                pair = ImagePair(filler=filler, service=observation.image)
                first = self._first(pair)
                self._first_weight_by_pair[pair] = first.spread**-2
                known.add(state, first.value, first.spread)
            factors[state] = -share
        state = _MARGIN + observation.job
        known.add(state, _FIRST_MARGIN, _FIRST_MARGIN_SPREAD)
        known.add(_SLOPE + observation.job, 0.0, _FIRST_SLOPE_SPREAD)
        factors[state] = 1.0
        return factors

    def _note_usual(self, observation: Observation) -> None:
        known = self._filter_by_image.get(observation.image)
        if known is None or _MARGIN + observation.job not in known.mean:
            return
        margin = known.mean[_MARGIN + observation.job]
        usual = self._usual_by_job.setdefault(observation.job, margin)
        self._usual_by_job[observation.job] += (margin - usual) * _USUAL_SMOOTHING
        least = self._least_by_job.get(observation.job, margin)
        least = min(margin, least + max(usual - least, 0.0) * _LEAST_RECOVERED)
        self._least_by_job[observation.job] = least

    def _first(self, pair: ImagePair) -> Estimate:
        """Return with what a pair begins here."""
        return self._shared_by_pair.get(pair, PRIOR)


def _recover(
    observation: Observation, own: _Service, now: timedelta
) -> tuple[float, float]:
    """Return the margin since the last look, undoing the smoothing, and its noise."""
    latency = observation.latency_ms
    falling = 0.0
    if own.latency_ms > latency * _MUCH_HIGHER:
        kept = _KEPT_IN_HALF_SECOND ** ((now - own.seen) / _HALF_SECOND)
        recovered = (latency - kept * own.latency_ms) / max(1.0 - kept, 0.1)
        latency = max(recovered, _MIN_RECOVERED * latency)
        falling = _FALLING_NOISE
    margin = min(observation.target_ms / latency, _MAX_MARGIN)
    rounding = margin * _ROUNDING_MS / latency
    return margin, math.hypot(_MARGIN_NOISE, rounding, falling)
