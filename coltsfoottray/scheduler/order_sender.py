"""Sends the decisions of a round to the attendants."""

from __future__ import annotations

from collections.abc import Sequence
from datetime import timedelta

import trio

from coltsfoottray.errors import CommunicationError
from coltsfoottray.logs import log_event
from coltsfoottray.peers import PeerClient
from coltsfoottray.scheduler.deadlines import Deadlines
from coltsfoottray.scheduler.fleet import Fleet, Worker
from coltsfoottray.scheduler.messages import ORDERS, Orders
from coltsfoottray.scheduler.orders import make_orders, split_starts
from coltsfoottray.scheduler.placed_run import PlacedRun

__all__ = ["OrderSender"]

_TIMEOUT = timedelta(milliseconds=700)


class OrderSender:
    """Sends each attendant what has changed for its worker."""

    def __init__(
        self, *, fleet: Fleet, peers: PeerClient, deadlines: Deadlines | None = None
    ) -> None:
        self._fleet = fleet
        self._peers = peers
        self._deadlines = deadlines

    def send(
        self,
        placed: list[PlacedRun],
        last_end_by_worker: dict[str, int],
        nursery: trio.Nursery,
    ) -> None:
        """Send stored starts, stops and acknowledgements in the background.

        Parameters
        ----------
        placed : list of PlacedRun
            The new runs, whose assignment is stored.
        last_end_by_worker : dict
            Number of the last run end that is stored, by worker.
        """
        starts_by_worker: dict[str, list[PlacedRun]] = {}
        for run in placed:
            run.is_released = True
            if not run.is_stopping:
                starts_by_worker.setdefault(run.worker, []).append(run)
        for worker in self._fleet.worker_by_id.values():
            worker.acknowledged = max(
                worker.acknowledged, last_end_by_worker.get(worker.id, 0)
            )
            starts = starts_by_worker.get(worker.id, [])
            stops = [
                run
                for run in worker.held_by_ref.values()
                if run.is_stopping and not run.is_stop_sent
            ]
            orphans = list(worker.unsent_orphans)
            is_due = bool(starts or stops or orphans or worker.has_new_deferred)
            if worker.address is None or not worker.session or not is_due:
                continue
            worker.unsent_orphans.clear()
            worker.has_new_deferred = False
            for run in stops:
                run.is_stop_sent = True
            first, *others = split_starts(starts)
            messages = [
                make_orders(
                    worker,
                    starts=first,
                    stops=stops,
                    orphans=orphans,
                    deadlines=self._deadlines,
                ),
                *(
                    make_orders(
                        worker, starts=part, stops=[], deadlines=self._deadlines
                    )
                    for part in others
                ),
            ]
            nursery.start_soon(self._push, worker, messages)

    async def _push(self, worker: Worker, messages: Sequence[Orders]) -> None:
        assert worker.address is not None
        try:
            for orders in messages:
                await self._peers.call(worker.address, ORDERS, orders, timeout=_TIMEOUT)
        except CommunicationError as error:
            # The reply to the attendant's next report repeats the orders.
            log_event("scheduler:push-failed", worker=worker.id, reason=str(error))
