"""Which services move together so that a whole worker is left to fillers.

Answers the load at which fillers wait since each worker has a service or two that they
would disturb, though all services together would fit on fewer workers: services end at
any time, and those that stay are scattered. A service that moves is away for about a
second; a worker without any lets a dozen fillers work at full speed.
"""

from __future__ import annotations

from collections.abc import Sequence

from coltsfoottray.scheduler.fleet import PlacedRun, Worker
from coltsfoottray.scheduler.worker_selection import can_host

__all__ = ["choose_moves", "is_fully_running"]

# To clear a worker of more services costs their users more than fillers gain by it.
_MAX_MOVED = 4
# A service says so once its users are served.
_AT_WORK_PERCENT = 100.0


def choose_moves(workers: Sequence[Worker]) -> list[PlacedRun]:
    """Return the services of the worker that is cleared with the fewest moves.

    None is returned where no worker can be cleared. The others must have room for all
    its services, and no fewer services than it has: so that moves come to an end.

    Parameters
    ----------
    workers : sequence of Worker
        Those that take new work.
    """
    hosts = [worker for worker in workers if worker.service_images]
    services_by_id = {host.id: _services(host) for host in hosts}
    hosts.sort(key=lambda host: (len(services_by_id[host.id]), host.id))
    for host in hosts:
        services = services_by_id[host.id]
        if len(services) > _MAX_MOVED:
            break
        others = [
            other
            for other in hosts
            if other is not host and len(services_by_id[other.id]) >= len(services)
        ]
        if _have_room(others, services):
            return services
    return []


def is_fully_running(runs: Sequence[PlacedRun]) -> bool:
    """Whether all runs of a step are at work, so that one of them may be stopped."""
    return len(runs) == len(runs[0].step.records) and all(
        run.is_released and not run.is_stopping and run.percent >= _AT_WORK_PERCENT
        for run in runs
    )


def _services(worker: Worker) -> list[PlacedRun]:
    return [
        placed
        for placed in worker.held_by_ref.values()
        if placed.step.spec.target_latency_ms
    ]


def _have_room(others: Sequence[Worker], services: Sequence[PlacedRun]) -> bool:
    """Whether all of `services` find room on `others` together."""
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
