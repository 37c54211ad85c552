"""Prediction of interference between fillers and services on a worker.

A worker's attendant slows fillers down so that each service keeps a latency margin. The
scheduler predicts the resulting speed of a filler to choose a worker for it.
"""

from __future__ import annotations

from dataclasses import dataclass

from coltsfoottray.agent.pacing import SAFETY_MARGIN
from coltsfoottray.agent.pressure import (
    MAX_LIGHT_PRESSURE,
    PressureTable,
    ServiceMargin,
)
from coltsfoottray.scheduler.fleet import Worker
from coltsfoottray.scheduler.live_step import LiveStep

__all__ = ["Forecast", "forecast_filler", "speed_beside"]

# Assumed for a service until its attendant has reported its margin.
_UNKNOWN_MARGIN = ServiceMargin(now=1.9, usual=2.4, least=1.5)

# The margin that light fillers must leave to services at the peaks of their load; less
# cannot be distinguished from the noise of the latency around its target.
_PEAK_MARGIN = 1.1

# The margin that services must keep while a filler starts: it runs at full speed for
# some 150 ms before it can be slowed down.
_START_MARGIN = 1.0
# Standard deviations added to the estimated pressure of a filler that starts. A filler
# of an unknown image thus starts only beside services that could bear a heavy one.
_START_CAUTION = 1.5


def speed_beside(worker: Worker, step: LiveStep, pressures: PressureTable) -> float:
    """Return the fraction of its full speed that a filler on `worker` can reach."""
    return min(
        (
            each.speed(0.0)
            for each in _list_interference(worker, step, pressures)
            if not each.is_light
        ),
        default=1.0,
    )


@dataclass(frozen=True, kw_only=True)
class Forecast:
    """Predicted effects of placing one more filler on a worker.

    Parameters
    ----------
    cpu_limited : float
        Speed that the idle processors allow, 1 for full speed.
    service_limited : float
        Speed that the margins of the services allow, 1 for full speed.
    is_safe : bool
        Whether the services keep their target during its start, even if its pressure
        turns out to be much higher than estimated.
    is_harmless : bool
        Whether its known pressure is so low that they keep it even at peak load.
    """

    cpu_limited: float
    service_limited: float
    is_safe: bool
    is_harmless: bool

    @property
    def speed(self) -> float:
        """Speed at which the filler could run, 1 for full speed."""
        return min(self.cpu_limited, self.service_limited)


def forecast_filler(
    worker: Worker, step: LiveStep, pressures: PressureTable
) -> Forecast:
    """Return the forecast for one more filler of `step` on `worker`."""
    wanted = max(step.spec.demand.processors, 1e-9)
    interference = _list_interference(worker, step, pressures)
    return Forecast(
        cpu_limited=min(1.0, max(worker.idle_for(step), 0.0) / wanted),
        service_limited=min(
            (each.speed(each.added) for each in interference), default=1.0
        ),
        is_safe=all(
            each.margin.now - each.worst >= _START_MARGIN for each in interference
        ),
        is_harmless=all(
            each.is_light
            and each.margin.least - each.light - each.added >= _PEAK_MARGIN
            for each in interference
        ),
    )


@dataclass(frozen=True, kw_only=True)
class _Interference:
    """How far fillers on a worker reduce the margin of services of one image.

    Parameters
    ----------
    added : float
        Reduction by one more filler of the image in question.
    is_light : bool
        Whether that image's pressure is too low for its fillers to be slowed down.
    light, heavy : float
        Reductions by the light and heavy fillers already there, at full speed.
    worst : float
        Upper estimate of the reduction by all fillers, the additional one included.
    """

    added: float
    is_light: bool
    light: float
    heavy: float
    worst: float
    margin: ServiceMargin

    def speed(self, more: float) -> float:
        """Return a filler's speed if the margin is reduced by `more` in addition."""
        spare = max(self.margin.usual - SAFETY_MARGIN - self.light, 0.0)
        wanted = more if self.is_light else self.heavy + more
        return 1.0 if wanted <= spare else spare / wanted


def _list_interference(
    worker: Worker, step: LiveStep, pressures: PressureTable
) -> list[_Interference]:
    """Return the interference on `worker` for each image of a service there."""
    return [
        _interference_with(worker, step, pressures, service)
        for service in worker.service_images
    ]


def _interference_with(
    worker: Worker, step: LiveStep, pressures: PressureTable, service: str
) -> _Interference:
    spec = step.spec
    light = heavy = worst = 0.0
    for image, share in worker.filler_share_beside(step).items():
        pressure = pressures.get(image, service)
        worst += pressure.upper_bound(_START_CAUTION) * share
        if pressure.value < MAX_LIGHT_PRESSURE:
            light += pressure.value * share
        else:
            heavy += pressure.value * share
    pressure = pressures.get(spec.image, service)
    share = worker.share_of(spec.demand.processors)
    margin = worker.margin_by_image.get(service, _UNKNOWN_MARGIN)
    # The attendant slows heavy fillers down until the safety margin is left.
    worst = min(worst, max(margin.now - SAFETY_MARGIN, light))
    return _Interference(
        added=pressure.value * share,
        is_light=pressure.value < MAX_LIGHT_PRESSURE,
        light=light,
        heavy=heavy,
        worst=worst + pressure.upper_bound(_START_CAUTION) * share,
        margin=margin,
    )
