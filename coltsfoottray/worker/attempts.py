"""Reservations of the attempts on one worker, and the reports on them."""

from __future__ import annotations

from collections.abc import Sequence
from datetime import timedelta

from coltsfoottray.clock import Clock
from coltsfoottray.leases import PARTITION_COUNT, WorkerLease
from coltsfoottray.logs import log_event
from coltsfoottray.membership import AttemptReport
from coltsfoottray.platform import WorkerControl
from coltsfoottray.tasks import TaskRow, TaskStore
from coltsfoottray.types import AttendantId, Resources, TaskId, TaskState
from coltsfoottray.worker.ledger import CapacityLedger, Reservation
from coltsfoottray.worker.saves import AttemptSaver

__all__ = ["AttemptTracker"]

# A reservation that was not started is dropped after this time: its owner has died. A
# start that still arrives is checked again.
RESERVATION_TIMEOUT = timedelta(seconds=10)


class AttemptTracker:
    """Keeps the ledger and the reports in step with the worker, lease and table.

    Attributes
    ----------
    ledger : CapacityLedger
        Reservations of the attempts; replaced when a term begins.
    is_ready : bool
        Whether the ledger is complete, so that attempts may be admitted.
    """

    def __init__(
        self,
        *,
        worker: AttendantId,
        control: WorkerControl,
        lease: WorkerLease,
        store: TaskStore,
        saver: AttemptSaver,
        clock: Clock,
    ) -> None:
        self._worker = worker
        self._control = control
        self._lease = lease
        self._store = store
        self._saver = saver
        self._clock = clock
        self._report_by_task: dict[TaskId, AttemptReport] = {}
        self._ledger_term = 0
        self.ledger = CapacityLedger(capacity=Resources())
        self.is_ready = False

    def reports(self) -> list[AttemptReport]:
        """Return the reports on the attempts, as of the last read."""
        return list(self._report_by_task.values())

    def reservation(self, task: TaskId, attempt: int) -> Reservation | None:
        """Return the reservation of the attempt, None without one."""
        held = self.ledger.reservation_by_task.get(task)
        return held if held is not None and held.attempt == attempt else None

    def stop(self, task: TaskId, attempt: int) -> None:
        """Drop an attempt that can no longer run here, and its report."""
        self.ledger.stop(task, attempt)
        self._report_by_task.pop(task, None)

    def drop(self, task: TaskId, attempt: int) -> None:
        """Drop an attempt whose end is stored, and its report."""
        self.ledger.drop(task, attempt)
        self._report_by_task.pop(task, None)

    async def store_results(self) -> None:
        """Store exit codes that no owner has acknowledged in time."""
        await self._saver.store_results(self.ledger)

    async def update(self) -> bool:
        """Update reservations and reports; return whether any attempt newly ended."""
        if self._lease.term != self._ledger_term or not self.is_ready:
            await self._rebuild()
        self._drop_stale_reservations()
        return await self._update_reports()

    async def take_checkpoints(self) -> None:
        """Take the checkpoints that are due."""
        if self.is_ready:
            await self._saver.take_checkpoints(self.ledger)

    async def _rebuild(self) -> None:
        """Rebuild the ledger from the worker and the table.

        A restart loses the reservations in memory. Nothing is admitted until they are
        rebuilt, as resources would otherwise be committed twice.
        """
        self.is_ready = False
        term = self._lease.term
        if term == 0:
            return
        # Replacing the ledger discards ends whose results are not stored; their tasks
        # would be requeued and run again.
        await self._saver.store_results(self.ledger, delay=timedelta(0))
        description = await self._control.describe()
        ledger = CapacityLedger(capacity=description.capacity)
        for row in await self._load_assigned_rows(term):
            ledger.reserve(self._reservation_of(row))
        listed = {(each.task, each.attempt) for each in await self._control.tasks()}
        held = ledger.reservation_by_task.values()
        assigned = {(each.task, each.attempt) for each in held}
        for task, attempt in sorted(listed - assigned):
            await self._control.stop(task=task, attempt=attempt)
        # These were lost or never started, and the owner cannot tell which: if one has
        # run, starting it again would repeat it.
        for task, attempt in sorted(assigned - listed):
            await self._control.stop(task=task, attempt=attempt)
            ledger.stop(task, attempt)
        self.ledger = ledger
        self._ledger_term = term
        self._report_by_task.clear()
        self.is_ready = True
        log_event("worker:ready", worker=self._worker, term=term)

    async def _load_assigned_rows(self, term: int) -> list[TaskRow]:
        rows: list[TaskRow] = []
        for partition in range(PARTITION_COUNT):
            for stored in await self._store.load(partition):
                row = stored.row
                is_here = row.worker == self._worker and row.term == term
                if is_here and row.state is TaskState.RUNNING:
                    rows.append(row)
        return rows

    def _reservation_of(self, row: TaskRow) -> Reservation:
        return Reservation(
            task=row.spec.task,
            attempt=row.attempt,
            demand=row.spec.demand,
            made_at=self._clock.elapsed(),
            is_started=True,
        )

    def _drop_stale_reservations(self) -> None:
        oldest = self._clock.elapsed() - RESERVATION_TIMEOUT
        for reservation in list(self.ledger.reservation_by_task.values()):
            if not reservation.is_started and reservation.made_at < oldest:
                self.ledger.drop(reservation.task, reservation.attempt)

    async def _update_reports(self) -> bool:
        """Read the state of the worker's tasks; return whether any has newly ended."""
        has_ended = False
        reported = list(self._report_by_task.values())
        listed = await self._control.tasks()
        self._drop_lost_attempts(reported, {(r.task, r.attempt) for r in listed})
        for running in listed:
            reservation = self.reservation(running.task, running.attempt)
            if reservation is None:
                continue
            if running.exit_code is not None and reservation.exit_code is None:
                has_ended = True
                reservation.exit_code = running.exit_code
                reservation.ended_at = self._clock.elapsed()
            self._report_by_task[running.task] = AttemptReport(
                task=running.task,
                attempt=running.attempt,
                used=running.used,
                slowdown=running.slowdown,
                exit_code=running.exit_code,
            )
        return has_ended

    def _drop_lost_attempts(
        self, reported: Sequence[AttemptReport], listed: set[tuple[TaskId, int]]
    ) -> None:
        """Stop reporting running attempts that the worker no longer lists.

        A lost attempt that is still reported counts as running, and its task is never
        requeued. Once it is not, the owner requests a start, which is refused because
        the attempt has run before. Ends stay reported.
        """
        for report in reported:
            if report.exit_code is None and (report.task, report.attempt) not in listed:
                self.stop(report.task, report.attempt)
