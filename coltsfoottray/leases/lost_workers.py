"""Detection of workers whose lease has lapsed."""

from __future__ import annotations

from datetime import timedelta

import msgspec
import trio
from returns.result import Success

from coltsfoottray.clock import Clock
from coltsfoottray.kernel import Service
from coltsfoottray.leases.observer import LeaseObserver
from coltsfoottray.leases.worker import WORKER_PREFIX, LeaseState, WorkerLeaseRow
from coltsfoottray.logs import log_event
from coltsfoottray.platform import (
    Put,
    Row,
    TableError,
    TableRefused,
    TableService,
    Transaction,
)
from coltsfoottray.types import AttendantId

__all__ = ["LostWorkerDetector"]


class LostWorkerDetector(Service):
    """Marks workers as lost whose lease rows are no longer renewed.

    The mark is written only if the row still has the version last read. A holder
    that renews at the same moment either writes first, and the worker is not
    lost, or finds the mark, by which its tasks are no longer bound to it.
    """

    def __init__(
        self,
        *,
        table: TableService,
        clock: Clock,
        lease: timedelta,
    ) -> None:
        self._table = table
        self._clock = clock
        self._interval = lease / 3
        self._observer = LeaseObserver(
            clock=clock, lease=lease, max_gap=self._interval * 2
        )
        self._last_ended_term_by_worker: dict[AttendantId, int] = {}

    async def run(  # noqa: D102
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        task_status.started()
        while True:
            try:
                await self._tick()
            except TableError as error:
                log_event("lease:workers-unread", error=str(error))
            await self._clock.sleep(self._interval)

    def has_term_ended(self, worker: AttendantId, term: int) -> bool:
        """Return whether tasks bound to `term` of `worker` have certainly stopped."""
        return term <= self._last_ended_term_by_worker.get(worker, 0)

    async def _tick(self) -> None:
        rows = await self._table.scan(WORKER_PREFIX)
        lapsed = {row.key for row in self._observer.observe(rows)}
        for row in rows:
            lease = row.try_decode(WorkerLeaseRow)
            if lease is None:
                continue
            if lease.state is LeaseState.HELD and row.key in lapsed:
                if await self._mark_lost(row, lease):
                    self._last_ended_term_by_worker[lease.worker] = lease.term
            else:
                is_lost = lease.state is LeaseState.LOST
                ended = lease.term if is_lost else lease.term - 1
                self._last_ended_term_by_worker[lease.worker] = ended

    async def _mark_lost(self, row: Row, lease: WorkerLeaseRow) -> bool:
        lost = msgspec.structs.replace(lease, state=LeaseState.LOST)
        put = Put.of(row.key, row.version, lost)
        try:
            outcome = await self._table.commit(Transaction(puts=[put]))
        except TableRefused as error:
            # The other workers must not wait for this row.
            log_event("lease:worker-unmarked", worker=lease.worker, error=str(error))
            return False
        log_event("lease:worker-lost", worker=lease.worker, term=lease.term)
        return isinstance(outcome, Success)
