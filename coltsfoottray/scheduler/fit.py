"""Where a task goes.

A worker is fit if it is known to live, takes new work and has room for all that
the task declares. Of those that are fit the task goes to the one where it is
likely to end soonest and to disturb least:

- services with a latency target are packed, those of one image together: fillers
  then find workers without services, or with few images that they might disturb;
- fillers go where they can work fastest, given the processors that are left and
  how strongly their image presses on the services there; where they could only
  crawl, they wait;
- all others go where most is left.
"""

from __future__ import annotations

import enum
from collections.abc import Callable, Collection
from dataclasses import dataclass
from datetime import timedelta

from coltsfoottray.agent.pacing import KEPT_MARGIN
from coltsfoottray.agent.pressure import (
    LIGHT_PRESSURE,
    PressureTable,
    ServiceMargin,
)
from coltsfoottray.jobs.model import StepSpec
from coltsfoottray.scheduler.fleet import Fleet, PlacedRun, Worker
from coltsfoottray.scheduler.live import LiveStep
from coltsfoottray.types import Resources

__all__ = ["Patience", "choose_gang", "choose_worker", "find_faster", "list_candidates"]

# A worker that has not reported for so long takes nothing new: two reports of one
# second each, and half of one.
_SILENCE = timedelta(seconds=2.5)

# Taken for the margin of a service until its attendant has told it: a target of 4.5
# times the unloaded latency leaves 2.6 at a load of 0.42, and 1.7 at its peaks.
_UNKNOWN_MARGIN = ServiceMargin(now=1.9, usual=2.4)

# The margin that services must have left when a filler starts, which works at full
# speed for some 150 ms before it can be slowed.
_START_MARGIN = 1.0
# How many standard deviations more than is thought of it a filler may press then. An
# image nobody knows is so let in only beside services that could bear a heavy one.
_START_CAUTION = 1.5


class Patience(enum.Enum):
    """How good a place a filler can wait for."""

    WHOLE = "whole"
    HALF = "half"
    """Half of its job's time is over."""
    NONE = "none"
    """Nothing of its job runs, and it has waited long enough."""


@dataclass(frozen=True, kw_only=True)
class _LeastSpeeds:
    """Parts of its full speed that a filler must be able to work at.

    Parameters
    ----------
    alone : float
        By the processors that are left.
    beside : float
        For the sake of the services there.
    """

    alone: float
    beside: float


_LEAST_SPEEDS_BY_PATIENCE = {
    Patience.WHOLE: _LeastSpeeds(alone=0.45, beside=0.8),
    Patience.HALF: _LeastSpeeds(alone=0.45, beside=0.4),
    Patience.NONE: _LeastSpeeds(alone=0.0, beside=0.0),
}

# One that works slower than the first is moved to where it would work faster than the
# second: a move costs up to a second of work and a quarter for the start.
_CRAWL = 0.3
_FAST = 0.8

_Cost = tuple[float, ...]


def choose_worker(
    step: LiveStep,
    fleet: Fleet,
    pressures: PressureTable,
    *,
    service: str,
    now: timedelta,
    avoid: Collection[str] = (),
    allowed: Collection[str] | None = None,
    patience: Patience = Patience.WHOLE,
) -> Worker | None:
    """Return the best worker for one task of `step`, none if none is fit.

    Parameters
    ----------
    avoid : collection of str
        Workers that are taken only if there is no other.
    allowed : collection of str, optional
        The lives of workers that may run the step, if not all may.
    patience : Patience
        How good a place the task can wait for.
    """
    cost = _cost_of(step, pressures)
    fit = [
        worker
        for worker in fleet.worker_by_id.values()
        if _takes_work(worker, service, now)
        and (allowed is None or worker.life in allowed)
        and _suits(worker, step.spec, worker.room)
        and _keeps_apart(worker, step, extra=0)
    ]
    if step.spec.is_filler:
        least = _LEAST_SPEEDS_BY_PATIENCE[patience]
        # A worker that fails all it starts is empty, and so the fastest place.
        fit = [
            worker
            for worker in fit
            if (patience is Patience.NONE or worker.id not in avoid)
            and _speed_alone(worker, step.spec) >= least.alone
            and _speed_beside(worker, step.spec, pressures) >= least.beside
            and (patience is Patience.NONE or _is_safe(worker, step.spec, pressures))
        ]
    return min(
        fit,
        key=lambda worker: (worker.id in avoid, cost(worker), worker.id),
        default=None,
    )


def choose_gang(
    step: LiveStep,
    fleet: Fleet,
    pressures: PressureTable,
    *,
    service: str,
    now: timedelta,
    allowed: Collection[str] | None = None,
) -> list[Worker] | None:
    """Return a worker for each task of a gang, none unless all have room."""
    cost = _cost_of(step, pressures)
    workers = [
        worker
        for worker in fleet.worker_by_id.values()
        if _takes_work(worker, service, now)
        and (allowed is None or worker.life in allowed)
    ]
    if step.spec.is_one_rack:
        for rack in sorted({worker.rack for worker in workers}):
            chosen = _spread(step, [w for w in workers if w.rack == rack], cost)
            if chosen is not None:
                return chosen
    return _spread(step, workers, cost)


def list_candidates(
    step: LiveStep,
    fleet: Fleet,
    pressures: PressureTable,
    *,
    service: str,
    now: timedelta,
) -> list[Worker]:
    """Return the workers that could run a task of `step`, the best first."""
    cost = _cost_of(step, pressures)
    fit = [
        worker
        for worker in fleet.worker_by_id.values()
        if _takes_work(worker, service, now) and _suits(worker, step.spec, worker.room)
    ]
    return sorted(fit, key=lambda worker: (cost(worker), worker.id))


def _spread(
    step: LiveStep, workers: list[Worker], cost: Callable[[Worker], _Cost]
) -> list[Worker] | None:
    """Spread the whole step over `workers`, as if each task were held."""
    room_by_id = {worker.id: worker.room for worker in workers}
    count_by_id = dict.fromkeys(room_by_id, 0)
    chosen: list[Worker] = []
    for _ in step.records:
        fit = [
            worker
            for worker in workers
            if _suits(worker, step.spec, room_by_id[worker.id])
            and _keeps_apart(worker, step, extra=count_by_id[worker.id])
        ]
        if not fit:
            return None
        best = min(fit, key=lambda w: (count_by_id[w.id], cost(w), w.id))
        room_by_id[best.id] = room_by_id[best.id] - step.spec.reserved
        count_by_id[best.id] += 1
        chosen.append(best)
    return chosen


def _takes_work(worker: Worker, service: str, now: timedelta) -> bool:
    return (
        worker.service == service
        and worker.is_reachable
        and not worker.is_draining
        and bool(worker.life)
        and worker.session > 0
        and now - worker.heard < _SILENCE
        and worker.blocked_until <= now
    )


def _suits(worker: Worker, spec: StepSpec, room: Resources) -> bool:
    if spec.label and spec.label not in worker.labels:
        return False
    return spec.reserved.fits_in(room)


def _keeps_apart(worker: Worker, step: LiveStep, *, extra: int) -> bool:
    if not step.spec.max_per_worker:
        return True
    siblings = sum(placed.step is step for placed in worker.held_by_ref.values())
    return siblings + extra < step.spec.max_per_worker


def _cost_of(step: LiveStep, pressures: PressureTable) -> Callable[[Worker], _Cost]:
    """Return the cost of a worker for a task of `step`; the least is best."""
    spec = step.spec

    def cost(worker: Worker) -> _Cost:
        is_far = float(bool(spec.data_rack) and spec.data_rack not in worker.labels)
        if spec.target_latency_ms:
            others = [image for image in worker.service_images if image != spec.image]
            left = worker.room.processors / max(worker.capacity.processors, 1e-9)
            return is_far, float(len(others)), left
        if spec.is_filler:
            speed = round(_speed(worker, spec, pressures), 1)
            risk = float(not _is_safe(worker, spec, pressures))
            return is_far, risk, -speed, -worker.processors_left
        return is_far, worker.busy / max(worker.capacity.processors, 1e-9)

    return cost


def find_faster(
    placed: PlacedRun,
    fleet: Fleet,
    pressures: PressureTable,
    *,
    service: str,
    now: timedelta,
) -> Worker | None:
    """Return a worker on which a crawling filler would work at full speed, if any."""
    worker = fleet.worker_by_id[placed.worker]
    spec = placed.step.spec
    if _speed_among(worker, spec, pressures) >= _CRAWL:
        return None
    place = choose_worker(
        placed.step, fleet, pressures, service=service, now=now, avoid=[worker.id]
    )
    if place is None or place is worker or _speed(place, spec, pressures) < _FAST:
        return None
    return place


def _speed_among(worker: Worker, spec: StepSpec, pressures: PressureTable) -> float:
    """Return how fast a filler that is on `worker` can work beside the others."""
    return min(
        (
            strain.speed(0.0)
            for strain in _strains(worker, spec, pressures)
            if not strain.is_light
        ),
        default=1.0,
    )


def _speed(worker: Worker, spec: StepSpec, pressures: PressureTable) -> float:
    """Return how fast a filler could work on `worker`, 1 for full speed."""
    return min(_speed_alone(worker, spec), _speed_beside(worker, spec, pressures))


def _speed_alone(worker: Worker, spec: StepSpec) -> float:
    """Return how fast a filler could work by the processors that are left."""
    wanted = max(spec.demand.processors, 1e-9)
    return min(1.0, max(worker.processors_left, 0.0) / wanted)


def _speed_beside(worker: Worker, spec: StepSpec, pressures: PressureTable) -> float:
    """Return how fast one more filler could work for the sake of the services there."""
    return min(
        (strain.speed(strain.own) for strain in _strains(worker, spec, pressures)),
        default=1.0,
    )


def _is_safe(worker: Worker, spec: StepSpec, pressures: PressureTable) -> bool:
    """Whether services can bear a filler's start, whatever it may turn out to be."""
    return all(
        strain.margin.now - strain.worst >= _START_MARGIN
        for strain in _strains(worker, spec, pressures)
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
        spare = max(self.margin.usual - KEPT_MARGIN - self.light, 0.0)
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
        worst += pressure.cautious(_START_CAUTION) * share
        if pressure.value < LIGHT_PRESSURE:
            light += pressure.value * share
        else:
            heavy += pressure.value * share
    pressure = pressures.get(spec.image, service)
    share = worker.share_of(spec.demand.processors)
    margin = worker.margin_by_image.get(service, _UNKNOWN_MARGIN)
    # Heavy ones are slowed to what leaves the kept margin.
    worst = min(worst, max(margin.now - KEPT_MARGIN, light))
    return _Strain(
        own=pressure.value * share,
        is_light=pressure.value < LIGHT_PRESSURE,
        light=light,
        heavy=heavy,
        worst=worst + pressure.cautious(_START_CAUTION) * share,
        margin=margin,
    )
