"""Selection of a worker for a task.

Workers are filtered first: a candidate is known to be alive, accepts new tasks and has
room for what the task reserves. The task goes to the candidate on which it is likely
to end soonest and to cause the least interference:

- Services with a latency target go to workers that run such services already, if
  possible those of the same image. Only a step that fills half of a worker opens one
  without services. Fillers that exert pressure on services thus find some workers
  without services, and others with few images.
- Fillers go where they can run fastest, given the idle processors and the pressure of
  their image on the services there. Where they could only run slowly, they wait.
  Between equally fast places they prefer workers with services that they do not harm,
  which leaves workers without services to fillers with a higher pressure.
- All other tasks go to the worker with the lowest processor load.
"""

from __future__ import annotations

import enum
from collections.abc import Callable, Collection
from dataclasses import dataclass
from datetime import timedelta

from coltsfoottray.agent.pressure import PressureTable
from coltsfoottray.jobs.model import StepSpec
from coltsfoottray.scheduler.eligibility import has_label, is_schedulable
from coltsfoottray.scheduler.fleet import Fleet, Worker
from coltsfoottray.scheduler.interference import Forecast, forecast_filler, speed_beside
from coltsfoottray.scheduler.live_step import LiveStep
from coltsfoottray.scheduler.placed_run import PlacedRun
from coltsfoottray.types import Resources

__all__ = [
    "Strictness",
    "can_host",
    "choose_gang",
    "choose_worker",
    "find_faster",
    "has_idle_processors",
    "list_candidates",
]


class Strictness(enum.Enum):
    """How good a place must be for a filler to be placed there."""

    WHOLE = "whole"
    HALF = "half"
    """Half of the time in which its job is on time has elapsed."""
    NONE = "none"
    """Its job has been idle for too long, so any place is accepted."""


@dataclass(frozen=True, kw_only=True)
class _MinSpeeds:
    """Minimum speeds of a filler on a worker, as fractions of its full speed.

    Parameters
    ----------
    cpu_limited : float
        Minimum of the speed that the idle processors allow.
    service_limited : float
        Minimum of the speed that the margins of the services allow.
    """

    cpu_limited: float
    service_limited: float


_MIN_SPEEDS_BY_STRICTNESS = {
    Strictness.WHOLE: _MinSpeeds(cpu_limited=0.45, service_limited=0.8),
    Strictness.HALF: _MinSpeeds(cpu_limited=0.45, service_limited=0.4),
    Strictness.NONE: _MinSpeeds(cpu_limited=0.0, service_limited=0.0),
}

# A filler slower than the first is moved to a worker on which it would be faster than
# the second: a move costs up to a second of work and a quarter of a second to start.
_SLOW_SPEED = 0.3
_FAST_SPEED = 0.8

_HALF = 0.5

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
    strictness: Strictness = Strictness.WHOLE,
    may_probe: bool = False,
) -> Worker | None:
    """Return the best worker for one task of `step`, None if there is no candidate.

    Parameters
    ----------
    avoid : collection of str
        Ids of workers that are chosen only if there is no other.
    allowed : collection of str, optional
        Incarnations of workers that may run the step; None if all may.
    strictness : Strictness
        How good a place must be if the task is a filler.
    may_probe : bool
        Whether the task may probe a blocked worker if there is no other.
    """
    cost = _cost_of(step, pressures)
    candidates = [
        worker
        for worker in fleet.worker_by_id.values()
        if is_schedulable(worker, service, now, may_probe=may_probe)
        and (allowed is None or worker.life in allowed)
        and can_host(worker, step, room=worker.room, extra=0)
    ]
    if step.spec.is_filler:
        excluded = _excluded_for_fillers(
            step,
            fleet,
            service=service,
            now=now,
            avoid=avoid,
            allowed=allowed,
            strictness=strictness,
        )
        candidates = [
            worker
            for worker in candidates
            if worker.id not in excluded
            and _is_acceptable(forecast_filler(worker, step, pressures), strictness)
        ]
    return min(
        candidates,
        key=lambda worker: (
            worker.blocked_until > now,
            worker.id in avoid,
            cost(worker),
            worker.id,
        ),
        default=None,
    )


def _excluded_for_fillers(
    step: LiveStep,
    fleet: Fleet,
    *,
    service: str,
    now: timedelta,
    avoid: Collection[str],
    allowed: Collection[str] | None,
    strictness: Strictness,
) -> Collection[str]:
    """Return the ids of the workers that a filler is not placed on.

    A worker that fails every task is empty, so it looks like the fastest. If none is
    left that is not to be avoided, the task has to run on one of them all the same.
    """
    if strictness is Strictness.NONE or not avoid:
        return ()
    has_other = any(
        worker.id not in avoid
        and (allowed is None or worker.life in allowed)
        and is_schedulable(worker, service, now)
        and has_label(worker, step.spec.label)
        for worker in fleet.worker_by_id.values()
    )
    return avoid if has_other else ()


def _is_acceptable(forecast: Forecast, strictness: Strictness) -> bool:
    """Return whether a place is good enough for a filler."""
    minimum = _MIN_SPEEDS_BY_STRICTNESS[strictness]
    return (
        forecast.cpu_limited >= minimum.cpu_limited
        and forecast.service_limited >= minimum.service_limited
        and (strictness is Strictness.NONE or forecast.is_safe)
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
    """Return a worker for each task of a gang, None unless there is room for all."""
    cost = _cost_of(step, pressures)
    workers = [
        worker
        for worker in fleet.worker_by_id.values()
        if is_schedulable(worker, service, now)
        and (allowed is None or worker.life in allowed)
    ]
    if step.spec.is_one_rack:
        for rack in sorted({worker.rack for worker in workers}):
            chosen = _spread_gang(step, [w for w in workers if w.rack == rack], cost)
            if chosen is not None:
                return chosen
    return _spread_gang(step, workers, cost)


def list_candidates(
    step: LiveStep,
    fleet: Fleet,
    pressures: PressureTable,
    *,
    service: str,
    now: timedelta,
) -> list[Worker]:
    """Return the workers with room for a task of `step`, the best first."""
    cost = _cost_of(step, pressures)
    candidates = [
        worker
        for worker in fleet.worker_by_id.values()
        if is_schedulable(worker, service, now, may_probe=step.spec.is_service)
        and _meets_demand(worker, step.spec, worker.room)
    ]
    return sorted(
        candidates,
        key=lambda worker: (worker.blocked_until > now, cost(worker), worker.id),
    )


def _spread_gang(
    step: LiveStep, workers: list[Worker], cost: Callable[[Worker], _Cost]
) -> list[Worker] | None:
    """Return a worker for each task of a step, None unless there is room for all.

    Tasks already assigned in this call count as held by their worker.
    """
    room_by_id = {worker.id: worker.room for worker in workers}
    count_by_id = dict.fromkeys(room_by_id, 0)
    chosen: list[Worker] = []
    for _ in step.records:
        candidates = [
            worker
            for worker in workers
            if can_host(
                worker,
                step,
                room=room_by_id[worker.id],
                extra=count_by_id[worker.id],
            )
        ]
        if not candidates:
            return None
        best = min(candidates, key=lambda w: (count_by_id[w.id], cost(w), w.id))
        room_by_id[best.id] = room_by_id[best.id] - step.spec.reserved
        count_by_id[best.id] += 1
        chosen.append(best)
    return chosen


def has_idle_processors(
    step: LiveStep, fleet: Fleet, *, service: str, now: timedelta
) -> bool:
    """Return whether some worker has processors for a filler, services left aside."""
    minimum = _MIN_SPEEDS_BY_STRICTNESS[Strictness.WHOLE].cpu_limited
    needed = step.spec.demand.processors * minimum
    return any(
        worker.idle_for(step) >= needed and is_schedulable(worker, service, now)
        for worker in fleet.worker_by_id.values()
    )


def can_host(worker: Worker, step: LiveStep, *, room: Resources, extra: int) -> bool:
    """Return whether a worker can host one more task of a step.

    Parameters
    ----------
    room : Resources
        The free capacity to assume for the worker.
    extra : int
        Number of the step's tasks assigned to the worker but not yet held there.
    """
    return _meets_demand(worker, step.spec, room) and _meets_anti_affinity(
        worker, step, extra=extra
    )


def _meets_demand(worker: Worker, spec: StepSpec, room: Resources) -> bool:
    return has_label(worker, spec.label) and spec.reserved.fits_in(room)


def _meets_anti_affinity(worker: Worker, step: LiveStep, *, extra: int) -> bool:
    if not step.spec.max_per_worker:
        return True
    siblings = sum(placed.step is step for placed in worker.held_by_ref.values())
    return siblings + extra < step.spec.max_per_worker


def _cost_of(step: LiveStep, pressures: PressureTable) -> Callable[[Worker], _Cost]:
    """Return the cost function of workers for a task of `step`; the lowest is best."""
    spec = step.spec

    def cost(worker: Worker) -> _Cost:
        is_far = float(bool(spec.data_rack) and spec.data_rack not in worker.labels)
        if spec.target_latency_ms:
            others = [image for image in worker.service_images if image != spec.image]
            free_share = worker.room.processors / max(worker.capacity.processors, 1e-9)
            opens_worker = not worker.service_images and not _fills_half(worker, step)
            return is_far, float(opens_worker), float(len(others)), free_share
        if spec.is_filler:
            forecast = forecast_filler(worker, step, pressures)
            risk = float(not forecast.is_safe)
            return (
                is_far,
                risk,
                -round(forecast.speed, 1),
                _opportunity_cost(worker, forecast),
                -worker.idle_for(step),
            )
        return is_far, worker.usage.busy_processors / max(
            worker.capacity.processors, 1e-9
        )

    return cost


def _fills_half(worker: Worker, step: LiveStep) -> bool:
    """Return whether the waiting tasks of a step would fill half of a worker.

    Fewer tasks do not justify a worker of their own, which fillers would lose.
    """
    count = len(step.waiting)
    if step.spec.max_per_worker:
        count = min(count, step.spec.max_per_worker)
    return worker.share_of(count * step.spec.demand.processors) >= _HALF


def _opportunity_cost(worker: Worker, forecast: Forecast) -> float:
    """Return how much other fillers need a place; the lowest is taken first."""
    if not worker.service_images:
        return 1.0
    return 0.0 if forecast.is_harmless else 2.0


def find_faster(
    placed: PlacedRun,
    fleet: Fleet,
    pressures: PressureTable,
    *,
    service: str,
    now: timedelta,
) -> Worker | None:
    """Return a worker on which a slow filler would run much faster, if any."""
    worker = fleet.worker_by_id[placed.worker]
    if speed_beside(worker, placed.step, pressures) >= _SLOW_SPEED:
        return None
    place = choose_worker(
        placed.step, fleet, pressures, service=service, now=now, avoid=[worker.id]
    )
    if place is None or place is worker:
        return None
    return (
        place
        if forecast_filler(place, placed.step, pressures).speed >= _FAST_SPEED
        else None
    )
