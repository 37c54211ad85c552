"""Where a task goes.

A worker is fit if it is known to live, takes new work and has room for all that
the task declares. Of those that are fit the task goes to the one where it is
likely to end soonest and to disturb least.
"""

from __future__ import annotations

from collections.abc import Iterable
from datetime import timedelta

from coltsfoottray.jobs.model import StepSpec
from coltsfoottray.scheduler.fleet import Fleet, PlacedRun, Worker
from coltsfoottray.scheduler.live import LiveStep
from coltsfoottray.types import Resources

__all__ = ["choose_gang", "choose_worker"]

# A worker that has not reported for so long takes nothing new: three reports of
# one second, less a little.
_SILENCE = timedelta(seconds=2.5)

# Filling tasks share what is left. Up to this share of the processors they do not
# slow one another down much, as serving tasks use less than they reserve.
_FILL_LIMIT = 1.0


def choose_worker(
    step: LiveStep, fleet: Fleet, *, service: str, now: timedelta
) -> Worker | None:
    """Return the best worker for one task of `step`, none if none is fit."""
    fit = [
        worker
        for worker in fleet.worker_by_id.values()
        if _takes_work(worker, service, now)
        and _suits(worker, step.spec, worker.room, worker.processors_left)
        and _keeps_apart(worker, step, extra=0)
    ]
    return min(fit, key=lambda worker: _cost(worker, step), default=None)


def choose_gang(
    step: LiveStep, fleet: Fleet, *, service: str, now: timedelta
) -> list[Worker] | None:
    """Return a worker for each task of a gang, none unless all have room."""
    workers = [
        worker
        for worker in fleet.worker_by_id.values()
        if _takes_work(worker, service, now)
    ]
    if step.spec.is_one_rack:
        for rack in sorted({worker.rack for worker in workers}):
            chosen = _fill(step, [w for w in workers if w.rack == rack])
            if chosen is not None:
                return chosen
    return _fill(step, workers)


def _fill(step: LiveStep, workers: list[Worker]) -> list[Worker] | None:
    """Spread the whole step over `workers`, as if each task were held."""
    room_by_id = {worker.id: worker.room for worker in workers}
    left_by_id = {worker.id: worker.processors_left for worker in workers}
    count_by_id = dict.fromkeys(room_by_id, 0)
    chosen: list[Worker] = []
    for _ in step.records:
        fit = [
            worker
            for worker in workers
            if _suits(worker, step.spec, room_by_id[worker.id], left_by_id[worker.id])
            and _keeps_apart(worker, step, extra=count_by_id[worker.id])
        ]
        if not fit:
            return None
        best = min(
            fit,
            key=lambda worker: (count_by_id[worker.id], _cost(worker, step)),
        )
        room_by_id[best.id] = room_by_id[best.id] - step.spec.reserved
        left_by_id[best.id] -= step.spec.demand.processors
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


def _suits(
    worker: Worker, spec: StepSpec, room: Resources, processors_left: float
) -> bool:
    if spec.label and spec.label not in worker.labels:
        return False
    if not spec.reserved.fits_in(room):
        return False
    if not spec.is_filler:
        return True
    # A filler that is wider than the worker still has to run somewhere.
    is_alone = processors_left >= worker.capacity.processors
    limit = (1.0 - _FILL_LIMIT) * worker.capacity.processors
    return is_alone or processors_left - spec.demand.processors >= limit


def _keeps_apart(worker: Worker, step: LiveStep, *, extra: int) -> bool:
    if not step.spec.max_per_worker:
        return True
    return _siblings(worker, step) + extra < step.spec.max_per_worker


def _siblings(worker: Worker, step: LiveStep) -> int:
    return sum(placed.step is step for placed in worker.held_by_ref.values())


def _cost(worker: Worker, step: LiveStep) -> tuple[bool, int, float, str]:
    """Order workers for a task: its data's rack, then quiet, then spare."""
    is_far = bool(step.spec.data_rack) and step.spec.data_rack not in worker.labels
    load = 1.0 - worker.processors_left / max(worker.capacity.processors, 1e-9)
    return is_far, _conflicts(worker.held_by_ref.values(), step.spec), load, worker.id


def _conflicts(held: Iterable[PlacedRun], spec: StepSpec) -> int:
    """Count the tasks here that this one would disturb, or that would disturb it.

    A filler beside a service with a latency target has to be slowed down for
    its sake; apart from each other both do better.
    """
    count = 0
    for placed in held:
        other = placed.step.spec
        if spec.is_filler and other.target_latency_ms:
            count += 1
        if spec.target_latency_ms and other.is_filler:
            count += 1
    return count
