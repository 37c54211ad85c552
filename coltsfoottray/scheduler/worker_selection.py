"""Where a task goes.

A worker is fit if it is known to live, takes new work and has room for all that
the task declares. Of those that are fit the task goes to the one where it is
likely to end soonest and to disturb least:

- services with a latency target go to workers that have some, those of one image
  together where there is a choice; a worker without any is taken only by what fills
  half of it. Fillers that press on services then find whole workers without any, and
  others with few images;
- fillers go where they can work fastest, given the processors that are left and
  how strongly their image presses on the services there; where they could only
  crawl, they wait. Of places as fast those beside services that they do no harm go
  first: workers without services are left to fillers that press harder;
- all others go where most is left.
"""

from __future__ import annotations

import enum
from collections.abc import Callable, Collection
from dataclasses import dataclass
from datetime import timedelta

from coltsfoottray.agent.pressure import PressureTable
from coltsfoottray.jobs.model import StepSpec
from coltsfoottray.scheduler.fleet import Fleet, PlacedRun, Worker
from coltsfoottray.scheduler.interference import Forecast, forecast_filler, speed_beside
from coltsfoottray.scheduler.live import LiveStep
from coltsfoottray.types import Resources

__all__ = [
    "FreeCapacityBounds",
    "Strictness",
    "can_host",
    "choose_gang",
    "choose_worker",
    "find_faster",
    "is_schedulable",
    "list_candidates",
]

# A worker that has not reported for so long takes nothing new: two reports of one
# second each, and half of one.
_SILENCE = timedelta(seconds=2.5)


class Strictness(enum.Enum):
    """How good a place a filler can wait for."""

    WHOLE = "whole"
    HALF = "half"
    """Half of its job's time is over."""
    NONE = "none"
    """Nothing of its job runs, and it has waited long enough."""


@dataclass(frozen=True, kw_only=True)
class _MinSpeeds:
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
    Strictness.WHOLE: _MinSpeeds(alone=0.45, beside=0.8),
    Strictness.HALF: _MinSpeeds(alone=0.45, beside=0.4),
    Strictness.NONE: _MinSpeeds(alone=0.0, beside=0.0),
}

# One that works slower than the first is moved to where it would work faster than the
# second: a move costs up to a second of work and a quarter for the start.
_CRAWL = 0.3
_FAST = 0.8

_HALF = 0.5

_Cost = tuple[float, ...]


class FreeCapacityBounds:
    """The most room that any worker has for new work, by service and label.

    A task that needs more has no place anywhere; that is told without a look at each
    worker. It holds for one round, in which room only shrinks.
    """

    def __init__(self, *, fleet: Fleet, now: timedelta) -> None:
        self._fleet = fleet
        self._now = now
        self._most_by_pool: dict[tuple[str, str], Resources | None] = {}

    def may_fit(self, spec: StepSpec, *, service: str) -> bool:
        """Whether some worker may have room for a task of a step."""
        pool = service, spec.label
        if pool not in self._most_by_pool:
            self._most_by_pool[pool] = self._most(*pool)
        most = self._most_by_pool[pool]
        return most is not None and spec.reserved.fits_in(most)

    def _most(self, service: str, label: str) -> Resources | None:
        rooms = [
            worker.room
            for worker in self._fleet.worker_by_id.values()
            if is_schedulable(worker, service, self._now) and _carries(worker, label)
        ]
        if not rooms:
            return None
        return Resources(
            processors=max(room.processors for room in rooms),
            memory_gb=max(room.memory_gb for room in rooms),
            accelerators=max(room.accelerators for room in rooms),
        )


def choose_worker(
    step: LiveStep,
    fleet: Fleet,
    pressures: PressureTable,
    *,
    service: str,
    now: timedelta,
    avoid: Collection[str] = (),
    allowed: Collection[str] | None = None,
    strictness: Strictness = Strictness.WHOLE,
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
        if is_schedulable(worker, service, now)
        and (allowed is None or worker.life in allowed)
        and can_host(worker, step, room=worker.room, extra=0)
    ]
    if step.spec.is_filler:
        fit = [
            worker
            for worker in fit
            # A worker that fails all it starts is empty, and so the fastest place.
            if (strictness is Strictness.NONE or worker.id not in avoid)
            and _is_good(forecast_filler(worker, step.spec, pressures), strictness)
        ]
    return min(
        fit,
        key=lambda worker: (worker.id in avoid, cost(worker), worker.id),
        default=None,
    )


def _is_good(outlook: Forecast, strictness: Strictness) -> bool:
    """Whether a place is as good as a filler can wait for."""
    least = _LEAST_SPEEDS_BY_PATIENCE[strictness]
    return (
        outlook.alone >= least.alone
        and outlook.beside >= least.beside
        and (strictness is Strictness.NONE or outlook.is_safe)
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
        if is_schedulable(worker, service, now)
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
        if is_schedulable(worker, service, now)
        and _suits(worker, step.spec, worker.room)
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
            if can_host(
                worker,
                step,
                room=room_by_id[worker.id],
                extra=count_by_id[worker.id],
            )
        ]
        if not fit:
            return None
        best = min(fit, key=lambda w: (count_by_id[w.id], cost(w), w.id))
        room_by_id[best.id] = room_by_id[best.id] - step.spec.reserved
        count_by_id[best.id] += 1
        chosen.append(best)
    return chosen


def is_schedulable(worker: Worker, service: str, now: timedelta) -> bool:
    """Whether a worker of a service's pool is known to live and takes new work."""
    return (
        worker.service == service
        and worker.is_reachable
        and not worker.is_draining
        and bool(worker.life)
        and worker.session > 0
        and now - worker.last_heard < _SILENCE
        and worker.blocked_until <= now
        and not worker.has_probe_running(now)
    )


def can_host(worker: Worker, step: LiveStep, *, room: Resources, extra: int) -> bool:
    """Whether a worker suits one more task of a step.

    Parameters
    ----------
    room : Resources
        What is left there.
    extra : int
        Tasks of the step that are meant to go there before this one.
    """
    return _suits(worker, step.spec, room) and _keeps_apart(worker, step, extra=extra)


def _suits(worker: Worker, spec: StepSpec, room: Resources) -> bool:
    return _carries(worker, spec.label) and spec.reserved.fits_in(room)


def _carries(worker: Worker, label: str) -> bool:
    return not label or label in worker.labels


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
            opens = not worker.service_images and not _fills_half(worker, step)
            return is_far, float(opens), float(len(others)), left
        if spec.is_filler:
            outlook = forecast_filler(worker, spec, pressures)
            risk = float(not outlook.is_safe)
            return (
                is_far,
                risk,
                -round(outlook.speed, 1),
                _scarcity(worker, outlook),
                -worker.idle_processors,
            )
        return is_far, worker.busy_processors / max(worker.capacity.processors, 1e-9)

    return cost


def _fills_half(worker: Worker, step: LiveStep) -> bool:
    """Whether what waits of a step would take half of a worker by itself.

    Less than that does not merit a worker of its own, which fillers would lose.
    """
    count = len(step.waiting)
    if step.spec.max_per_worker:
        count = min(count, step.spec.max_per_worker)
    return worker.share_of(count * step.spec.demand.processors) >= _HALF


def _scarcity(worker: Worker, outlook: Forecast) -> float:
    """Return how much a place is to be saved for others; the least is taken first."""
    if not worker.service_images:
        return 1.0
    return 0.0 if outlook.is_harmless else 2.0


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
    if speed_beside(worker, spec, pressures) >= _CRAWL:
        return None
    place = choose_worker(
        placed.step, fleet, pressures, service=service, now=now, avoid=[worker.id]
    )
    if place is None or place is worker:
        return None
    return place if forecast_filler(place, spec, pressures).speed >= _FAST else None
