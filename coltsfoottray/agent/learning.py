"""Online estimation, on one worker, of the pressure of fillers on services.

Several fillers run at a time and the load of services varies too, so a single poll
rarely shows which of them causes a change. A Kalman filter for each service image
attributes changes by uncertainty: a filler that has just started beside fillers with
certain estimates is attributed nearly all of a change. Users load all tasks of a job
alike, so the margin without fillers is estimated per job. Its slope is estimated too;
otherwise each rise of the load would be attributed to fillers.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from datetime import timedelta

from coltsfoottray.agent.job_margins import JobMargin
from coltsfoottray.agent.margins import MarginFilter
from coltsfoottray.agent.observations import (
    MAX_MARGIN,
    Observation,
    ServiceHistory,
    SmoothedUsage,
)
from coltsfoottray.agent.pressure import (
    PRIOR,
    Estimate,
    ImagePair,
    Pressure,
)
from coltsfoottray.remembered import drop_oldest

__all__ = ["Observation", "PressureLearner"]

# Minimum standard deviation of shared pressures, which may differ slightly here.
_MIN_SHARED_SPREAD = 1.0
_MAX_PRESSURE = 30.0

# Process noise: variance added per second, for a load that may swing by half in 10 s.
_MARGIN_DRIFT = 0.01
_SLOPE_DRIFT = 0.1
_MAX_SLOPE_VARIANCE = 0.5
_PRESSURE_DRIFT = 0.02
_MAX_PRESSURE_VARIANCE = 4.0
# Ratio by which slopes decay per second, because the load turns within a few seconds.
_SLOPE_DECAY = 0.8

# Below this margin the latency no longer depends on how strong the pressure is.
_SATURATED_MARGIN = 0.3

# Initial margin without fillers, which polls with fillers cannot show. Its standard
# deviation is large enough that the first polls without fillers replace it.
_INITIAL_MARGIN = 2.6
_INITIAL_MARGIN_SPREAD = 0.8
_INITIAL_SLOPE_SPREAD = 0.4

# Prediction horizon in seconds: until the next poll and the speed limits set after it.
_PREDICTION_S = 0.5
# A filler starts within these times, in seconds: the scheduler decides by a report that
# is up to a second old, and the start takes some time.
_START_TIMES_S = (0.5, 1.0, 1.5)

# Each release of an image has a new name. What was learned of images that have left
# would otherwise make each poll take longer for good.
_MAX_SERVICE_IMAGES = 64
_MAX_FILLER_IMAGES = 64
_MAX_PAIRS = _MAX_SERVICE_IMAGES * _MAX_FILLER_IMAGES

_FILLER = "filler:"
_MARGIN = "margin:"
_SLOPE = "slope:"


class PressureLearner:
    """Estimates pressures and margins on one worker."""

    def __init__(self) -> None:
        self._model_by_image: dict[str, MarginFilter] = {}
        self._service_by_run: dict[str, ServiceHistory] = {}
        self._margin_by_job: dict[str, JobMargin] = {}
        self._shared_by_pair: dict[ImagePair, Estimate] = {}
        # Weight of the initial estimate of a pair, which was not learned here.
        self._initial_weight_by_pair: dict[ImagePair, float] = {}
        self._updated_at: timedelta | None = None
        self._usage = SmoothedUsage()

    def update_shared_pressures(self, pressures: Iterable[Pressure]) -> None:
        """Update the pressures that all workers together have learned."""
        for each in pressures:
            if each.weight > 0:
                self._shared_by_pair.pop(each.pair, None)
                self._shared_by_pair[each.pair] = Estimate(
                    value=each.value,
                    spread=max(each.weight**-0.5, _MIN_SHARED_SPREAD),
                )
        drop_oldest(self._shared_by_pair, _MAX_PAIRS)

    def local_pressures(self) -> list[Pressure]:
        """Return the pressures learned here, less the weight of initial estimates."""
        pressures = []
        for image, model in self._model_by_image.items():
            for state, value in model.mean.items():
                if not state.startswith(_FILLER):
                    continue
                pair = ImagePair(filler=state.removeprefix(_FILLER), service=image)
                weight = 1.0 / (model.variance(state) + 0.01)
                weight -= self._initial_weight_by_pair.get(pair, 0.0)
                if weight > 0:
                    rounded = Pressure(
                        pair=pair, value=round(value, 1), weight=round(weight, 2)
                    )
                    pressures.append(rounded)
        return pressures

    def pressure(self, filler: str, service: str) -> Estimate:
        """Return the pressure of a pair: learned here, learned elsewhere or `PRIOR`."""
        model = self._model_by_image.get(service)
        state = _FILLER + filler
        if model is not None and state in model.mean:
            spread = math.sqrt(model.variance(state))
            return Estimate(value=model.mean[state], spread=spread)
        return self._initial_estimate(ImagePair(filler=filler, service=service))

    def undisturbed_margin(self, observation: Observation) -> float:
        """Return the predicted margin without fillers until the next poll."""
        model = self._model_by_image.get(observation.image)
        state = _MARGIN + observation.job
        if model is None or state not in model.mean:
            return observation.margin
        predicted = self._predict(model, observation.job, _PREDICTION_S)
        return predicted + self._deviation_of(observation)

    def margin_at_start(self, observation: Observation) -> float:
        """Return the least margin without fillers while a filler may start."""
        model = self._model_by_image.get(observation.image)
        if model is None or _MARGIN + observation.job not in model.mean:
            return observation.margin
        predicted = min(
            self._predict(model, observation.job, ahead_s) for ahead_s in _START_TIMES_S
        )
        return predicted + self._deviation_of(observation)

    def _predict(self, model: MarginFilter, job: str, ahead_s: float) -> float:
        """Return the margin of a job's services in `ahead_s` seconds."""
        known = self._margin_by_job.get(job)
        by_swing = None if known is None else known.predict_swing(ahead_s)
        return _predict_trend(model, job, ahead_s) if by_swing is None else by_swing

    def _deviation_of(self, observation: Observation) -> float:
        """Return how far a service's margin is below that of its job, as at most 0."""
        history = self._service_by_run.get(observation.service)
        return 0.0 if history is None else min(history.deviation, 0.0)

    def usual_margin(self, observation: Observation) -> float:
        """Return the average margin without fillers."""
        known = self._margin_by_job.get(observation.job)
        return observation.margin if known is None else known.usual

    def least_margin(self, observation: Observation) -> float:
        """Return the margin without fillers at load peaks."""
        known = self._margin_by_job.get(observation.job)
        return observation.margin if known is None else known.least

    def learn(
        self,
        observations: list[Observation],
        share_by_image: Mapping[str, float],
        now: timedelta,
    ) -> None:
        """Update the estimates with one poll.

        Parameters
        ----------
        share_by_image : mapping
            Share of the worker's processors that fillers of each image use.
        """
        self._remove_ended(observations)
        self._advance(now, share_by_image)
        for observation in observations:
            self._learn_service(observation, now)
        for observation in observations:
            self._update_usual(observation)
        self._update_swings(observations, now)

    def _update_swings(self, observations: list[Observation], now: timedelta) -> None:
        for job, image in {each.job: each.image for each in observations}.items():
            model = self._model_by_image.get(image)
            if model is None or _MARGIN + job not in model.mean:
                continue
            self._margin_by_job[job].update_swing(
                now.total_seconds(),
                model.mean[_MARGIN + job],
                by_trend=_predict_trend(model, job, _PREDICTION_S),
            )

    def _remove_ended(self, observations: list[Observation]) -> None:
        seen = {each.service for each in observations}
        for run in [run for run in self._service_by_run if run not in seen]:
            del self._service_by_run[run]
        jobs = {each.job for each in observations}
        for model in self._model_by_image.values():
            for state in list(model.mean):
                kind, _, name = state.partition(":")
                if kind + ":" in (_MARGIN, _SLOPE) and name not in jobs:
                    model.remove(state)
        for job in [job for job in self._margin_by_job if job not in jobs]:
            del self._margin_by_job[job]

    def _advance(self, now: timedelta, share_by_image: Mapping[str, float]) -> None:
        """Advance margins along their slopes and add process noise to all states."""
        span = timedelta(0) if self._updated_at is None else now - self._updated_at
        span_s = span.total_seconds()
        self._updated_at = now
        self._usage.update(span, share_by_image)
        for model in self._model_by_image.values():
            for state in list(model.mean):
                if state.startswith(_MARGIN):
                    slope = _SLOPE + state.removeprefix(_MARGIN)
                    model.advance(state, slope, span_s)
                    model.decay(slope, _SLOPE_DECAY**span_s)
                    model.add_variance(state, _MARGIN_DRIFT * span_s, MAX_MARGIN**2)
                    model.add_variance(
                        slope, _SLOPE_DRIFT * span_s, _MAX_SLOPE_VARIANCE
                    )
                elif state.startswith(_FILLER):
                    variance = _PRESSURE_DRIFT * span_s
                    model.add_variance(state, variance, _MAX_PRESSURE_VARIANCE)

    def _learn_service(
        self,
        observation: Observation,
        now: timedelta,
    ) -> None:
        history = self._service_by_run.setdefault(observation.service, ServiceHistory())
        measured = history.add(observation, now)
        if measured is None:
            return
        model = self._model_of(observation.image)
        factors = self._factors(model, observation)
        expected = model.predict(factors)
        if measured.margin < _SATURATED_MARGIN and expected < _SATURATED_MARGIN:
            return
        model.update(measured.margin, factors, measured.noise)
        for state, value in model.mean.items():
            if state.startswith(_FILLER):
                model.mean[state] = min(max(value, 0.0), _MAX_PRESSURE)
            elif state.startswith(_MARGIN):
                model.mean[state] = min(max(value, 0.0), MAX_MARGIN)
        history.add_residual(measured.margin - model.predict(factors))

    def _model_of(self, image: str) -> MarginFilter:
        """Return the model of an image, the one used last at the end of all."""
        model = self._model_by_image.pop(image, None) or MarginFilter()
        self._model_by_image[image] = model
        drop_oldest(self._model_by_image, _MAX_SERVICE_IMAGES)
        return model

    def _make_room(self, model: MarginFilter) -> None:
        """Forget the oldest filler that is not there, if there are too many."""
        fillers = [state for state in model.mean if state.startswith(_FILLER)]
        present = self._usage.share_by_image
        unused = [each for each in fillers if each.removeprefix(_FILLER) not in present]
        if unused and len(fillers) >= _MAX_FILLER_IMAGES:
            model.remove(unused[0])

    def _factors(
        self, model: MarginFilter, observation: Observation
    ) -> dict[str, float]:
        """Return the factors of the states in a margin, adding states that are new."""
        factors: dict[str, float] = {}
        for filler, share in self._usage.share_by_image.items():
            state = _FILLER + filler
            if state not in model.mean:
                pair = ImagePair(filler=filler, service=observation.image)
                initial = self._initial_estimate(pair)
                self._initial_weight_by_pair[pair] = initial.spread**-2
                drop_oldest(self._initial_weight_by_pair, _MAX_PAIRS)
                self._make_room(model)
                model.add(state, initial.value, initial.spread)
            factors[state] = -share
        state = _MARGIN + observation.job
        model.add(state, _INITIAL_MARGIN, _INITIAL_MARGIN_SPREAD)
        model.add(_SLOPE + observation.job, 0.0, _INITIAL_SLOPE_SPREAD)
        factors[state] = 1.0
        return factors

    def _update_usual(self, observation: Observation) -> None:
        model = self._model_by_image.get(observation.image)
        if model is None or _MARGIN + observation.job not in model.mean:
            return
        margin = model.mean[_MARGIN + observation.job]
        known = self._margin_by_job.setdefault(
            observation.job, JobMargin(margin=margin)
        )
        known.update(margin)

    def _initial_estimate(self, pair: ImagePair) -> Estimate:
        """Return the estimate with which learning of a pair starts here."""
        return self._shared_by_pair.get(pair, PRIOR)


def _predict_trend(model: MarginFilter, job: str, ahead_s: float) -> float:
    """Return the margin of a job's services in `ahead_s` seconds at its slope."""
    return model.mean[_MARGIN + job] + ahead_s * model.mean[_SLOPE + job]
