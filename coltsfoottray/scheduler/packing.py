"""Consolidation of services, which frees whole workers for fillers.

Services end at any time, which leaves the others scattered: fillers then wait because
each worker has a service or two that they would disturb, although all services would
fit on fewer workers. A service that moves is down for about a second; a worker without
services lets a dozen fillers run at full speed.
"""

from __future__ import annotations

from collections.abc import Sequence

from coltsfoottray.scheduler.fleet import Worker
from coltsfoottray.scheduler.placed_run import PlacedRun
from coltsfoottray.scheduler.worker_selection import can_host

__all__ = ["choose_moves", "is_fully_running"]

# Moving more services costs their users more than fillers gain.
_MAX_MOVES = 4
# A service reports this progress once it serves its users.
_RUNNING_PERCENT = 100.0


def choose_moves(workers: Sequence[Worker]) -> list[PlacedRun]:
    """Return the services of the worker that can be emptied with the fewest moves.

    The list is empty if no worker can be emptied. The services must fit on other
    workers that have at least as many services, so that moves come to an end.

    Parameters
    ----------
    workers : sequence of Worker
        The workers that accept new tasks.
    """
    hosts = [worker for worker in workers if worker.service_images]
    services_by_id = {host.id: _services(host) for host in hosts}
    hosts.sort(key=lambda host: (len(services_by_id[host.id]), host.id))
    for host in hosts:
        services = services_by_id[host.id]
        if len(services) > _MAX_MOVES:
            break
        others = [
            other
            for other in hosts
            if other is not host and len(services_by_id[other.id]) >= len(services)
        ]
        if _fit_on(others, services):
            return services
    return []


def is_fully_running(runs: Sequence[PlacedRun]) -> bool:
    """Return whether all runs of a step are running, so that one may be stopped."""
    return len(runs) == len(runs[0].step.records) and all(
        run.is_released and not run.is_stopping and run.percent >= _RUNNING_PERCENT
        for run in runs
    )


def _services(worker: Worker) -> list[PlacedRun]:
    return [
        placed
        for placed in worker.held_by_ref.values()
        if placed.step.spec.target_latency_ms
    ]


def _fit_on(others: Sequence[Worker], services: Sequence[PlacedRun]) -> bool:
    """Return whether all of `services` fit on `others` together."""
    room_by_id = {other.id: other.room for other in others}
    moved_by_id: dict[str, list[PlacedRun]] = {other.id: [] for other in others}
    for placed in sorted(services, key=lambda each: -each.reserved.processors):
        for other in others:
            extra = sum(each.step is placed.step for each in moved_by_id[other.id])
            if can_host(other, placed.step, room=room_by_id[other.id], extra=extra):
                room_by_id[other.id] = room_by_id[other.id] - placed.reserved
                moved_by_id[other.id].append(placed)
                break
        else:
            return False
    return True
