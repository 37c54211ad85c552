"""Orders that arrive at an attendant once more."""

from __future__ import annotations

from collections import defaultdict, deque

from coltsfoottray.scheduler.messages import ORDERS, Acknowledged, Orders
from tests.support.job_world import JobWorld

__all__ = ["OrderRecorder"]

_MAX_RECORDED = 50


class OrderRecorder:
    """Records the orders that the scheduler pushes to attendants, and repeats them.

    A push that was given up may arrive after a reply has carried the same orders.
    Replies are not recorded, because none arrives after its request has been given up.
    """

    def __init__(self, *, world: JobWorld) -> None:
        self._world = world
        self._orders_by_worker: defaultdict[str, deque[Orders]] = defaultdict(
            lambda: deque(maxlen=_MAX_RECORDED)
        )
        for name in world.cell.attendant_by_name:
            self._record(name)
        restart_daemon = world.restart_daemon

        def restart_and_record(name: str) -> None:
            restart_daemon(name)
            if name in world.cell.attendant_by_name:
                self._record(name)

        world.restart_daemon = restart_and_record  # type: ignore[method-assign]

    def repeat(self, worker: str) -> None:
        """Deliver the recorded orders for a worker to its attendant if that runs."""
        is_running = self._world.fabric.faults(worker).running.is_set()
        if worker in self._world.cell.killed or not is_running:
            return
        attendant = self._world.cell.attendant_by_name[worker].attendant

        async def deliver() -> None:
            for orders in list(self._orders_by_worker[worker]):
                await attendant.handle_orders(orders)

        self._world.run(deliver)

    def _record(self, name: str) -> None:
        daemon = self._world.cell.attendant_by_name[name]
        handle = daemon.attendant.handle_orders

        async def record(orders: Orders) -> Acknowledged:
            self._orders_by_worker[name].append(orders)
            return await handle(orders)

        daemon.handlers.handler_by_call[ORDERS] = record
