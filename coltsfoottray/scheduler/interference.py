"""What fillers take of the margins of the services beside them, and so how fast.

A filler is slowed by its worker's attendant to what leaves each service a margin; here
it is foreseen, to choose the worker.
"""

from __future__ import annotations

from dataclasses import dataclass

from coltsfoottray.agent.pacing import SAFETY_MARGIN
from coltsfoottray.agent.pressure import (
    MAX_LIGHT_PRESSURE,
    PressureTable,
    ServiceMargin,
)
from coltsfoottray.jobs.model import StepSpec
from coltsfoottray.scheduler.fleet import Worker

__all__ = ["Forecast", "forecast_filler", "speed_beside"]

# Taken for the margin of a service until its attendant has told it.
_UNKNOWN_MARGIN = ServiceMargin(now=1.9, usual=2.4, least=1.5)

# What light fillers leave to services at the peaks of their load: less is within the
# noise of their target.
_PEAK_MARGIN = 1.1

# The margin that services must have left when a filler starts, which works at full
# speed for some 150 ms before it can be slowed.
_START_MARGIN = 1.0
# How many standard deviations more than is thought of it a filler may press then. An
# image nobody knows is so let in only beside services that could bear a heavy one.
_START_CAUTION = 1.5


def speed_beside(worker: Worker, spec: StepSpec, pressures: PressureTable) -> float:
    """Return how fast a filler that is on `worker` can work beside the others."""
    return min(
        (
            strain.speed(0.0)
            for strain in _strains(worker, spec, pressures)
            if not strain.is_light
        ),
        default=1.0,
    )


@dataclass(frozen=True, kw_only=True)
class Forecast:
    """What is foreseen of one more filler on a worker.

    Parameters
    ----------
    alone : float
        How fast it could work by the processors that are left, 1 for full speed.
    beside : float
        How fast it could work for the sake of the services there.
    is_safe : bool
        Whether the services can bear its start, whatever it may turn out to be.
    is_harmless : bool
        Whether it is known to press so little that they bear it at all times.
    """

    alone: float
    beside: float
    is_safe: bool
    is_harmless: bool

    @property
    def speed(self) -> float:
        """How fast it could work."""
        return min(self.alone, self.beside)


def forecast_filler(
    worker: Worker, spec: StepSpec, pressures: PressureTable
) -> Forecast:
    """Return what a filler would meet on `worker`."""
    wanted = max(spec.demand.processors, 1e-9)
    strains = _strains(worker, spec, pressures)
    return Forecast(
        alone=min(1.0, max(worker.idle_processors, 0.0) / wanted),
        beside=min((strain.speed(strain.own) for strain in strains), default=1.0),
        is_safe=all(
            strain.margin.now - strain.worst >= _START_MARGIN for strain in strains
        ),
        is_harmless=all(
            strain.is_light
            and strain.margin.least - strain.light - strain.own >= _PEAK_MARGIN
            for strain in strains
        ),
    )


@dataclass(frozen=True, kw_only=True)
class _Strain:
    """What fillers take of the margin of services of one image.

    Parameters
    ----------
    own : float
        What one more of the filler asked for would take.
    is_light : bool
        Whether that is too little to be slowed for.
    light, heavy : float
        What fillers that are there take at full speed.
    worst : float
        What all of them may take, the one asked for among them.
    """

    own: float
    is_light: bool
    light: float
    heavy: float
    worst: float
    margin: ServiceMargin

    def speed(self, more: float) -> float:
        """Return how fast a filler works if `more` is taken than now."""
        spare = max(self.margin.usual - SAFETY_MARGIN - self.light, 0.0)
        wanted = more if self.is_light else self.heavy + more
        return 1.0 if wanted <= spare else spare / wanted


def _strains(worker: Worker, spec: StepSpec, pressures: PressureTable) -> list[_Strain]:
    """Return the strain on the services of `worker`, by image."""
    return [
        _strain(worker, spec, pressures, service) for service in worker.service_images
    ]


def _strain(
    worker: Worker, spec: StepSpec, pressures: PressureTable, service: str
) -> _Strain:
    light = heavy = worst = 0.0
    for image, share in worker.filler_share_by_image.items():
        pressure = pressures.get(image, service)
        worst += pressure.upper_bound(_START_CAUTION) * share
        if pressure.value < MAX_LIGHT_PRESSURE:
            light += pressure.value * share
        else:
            heavy += pressure.value * share
    pressure = pressures.get(spec.image, service)
    share = worker.share_of(spec.demand.processors)
    margin = worker.margin_by_image.get(service, _UNKNOWN_MARGIN)
    # Heavy ones are slowed to what leaves the kept margin.
    worst = min(worst, max(margin.now - SAFETY_MARGIN, light))
    return _Strain(
        own=pressure.value * share,
        is_light=pressure.value < MAX_LIGHT_PRESSURE,
        light=light,
        heavy=heavy,
        worst=worst + pressure.upper_bound(_START_CAUTION) * share,
        margin=margin,
    )
