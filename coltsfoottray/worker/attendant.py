"""Admission, start and supervision of attempts on one worker."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Sequence
from datetime import timedelta

import trio

from coltsfoottray.clock import Clock
from coltsfoottray.errors import CommunicationError
from coltsfoottray.kernel import Service
from coltsfoottray.leases import PARTITION_COUNT, WorkerLease
from coltsfoottray.logs import log_event
from coltsfoottray.membership import AttemptReport, WorkerReport
from coltsfoottray.peers import CallHandlers
from coltsfoottray.platform import (
    ObjectStore,
    TableUnavailable,
    TaskStart,
    WorkerControl,
)
from coltsfoottray.tasks import TaskRow, TaskStore, checkpoint_name
from coltsfoottray.types import AttendantId, Incarnation, Resources, TaskId, TaskState
from coltsfoottray.worker.ledger import CapacityLedger, Reservation
from coltsfoottray.worker.messages import (
    FORGET,
    RESERVE,
    START,
    STOP,
    ForgetReply,
    ForgetRequest,
    ReserveRequest,
    StartReply,
    StartRequest,
    StopReply,
    StopRequest,
    Verdict,
)
from coltsfoottray.worker.saves import AttemptSaver

__all__ = ["WorkerAttendant"]

# A reservation that was not started is dropped after this time: its owner has died. A
# start that still arrives is checked again.
RESERVATION_TIMEOUT = timedelta(seconds=10)


class WorkerAttendant(Service):
    """Handles the calls of task owners and reports the attempts on its worker.

    Parameters
    ----------
    interval : timedelta
        Time between two reads of the worker's state.
    checkpoint_interval : timedelta
        Time between two checkpoints of a running attempt.
    on_change : callable
        Called after a task has ended, to announce it without delay.
    """

    def __init__(
        self,
        *,
        worker: AttendantId,
        incarnation: Incarnation,
        control: WorkerControl,
        lease: WorkerLease,
        store: TaskStore,
        objects: ObjectStore,
        clock: Clock,
        interval: timedelta,
        checkpoint_interval: timedelta,
        on_change: Callable[[], Awaitable[None]],
    ) -> None:
        self._worker = worker
        self._incarnation = incarnation
        self._control = control
        self._lease = lease
        self._store = store
        self._saver = AttemptSaver(
            control=control,
            objects=objects,
            clock=clock,
            checkpoint_interval=checkpoint_interval,
        )
        self._clock = clock
        self._interval = interval
        self._on_change = on_change
        self._ledger = CapacityLedger(capacity=Resources())
        self._report_by_task: dict[TaskId, AttemptReport] = {}
        self._ledger_term = 0
        self._is_ready = False

    def add_handlers(self, handlers: CallHandlers) -> None:
        """Register the handlers of the owners' calls."""
        handlers.add(RESERVE, self.reserve)
        handlers.add(START, self.start)
        handlers.add(STOP, self.stop_attempt)
        handlers.add(FORGET, self.forget)

    def report(self) -> WorkerReport:
        """Return the report on this worker that is sent to entries."""
        # Term 0 stops owners from proposing placements on a lost VM, all of which would
        # be refused. Only placement reads this term: whether attempts are lost is
        # decided by the lease row alone.
        accepts_tasks = self._is_ready and self._lease.is_valid
        return WorkerReport(
            capacity=self._ledger.capacity,
            reserved=self._ledger.committed,
            term=self._lease.term if accepts_tasks else 0,
            attempts=list(self._report_by_task.values()),
        )

    async def run(  # noqa: D102
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        task_status.started()
        while True:
            # Separate steps, because an end must be stored even if the worker no longer
            # answers: otherwise its task is requeued at the lapse and runs again.
            await self._run_step(self._store_results)
            await self._run_step(self._maintain)
            await self._clock.sleep(self._interval)

    async def wait_idle(self) -> None:
        """Wait until no resources are committed."""
        while self._ledger.committed != Resources():
            await self._clock.sleep(self._interval)

    async def reserve(self, request: ReserveRequest) -> StartReply:
        """Handle `RESERVE`."""
        await self._forget_earlier(request.spec.task, request.attempt)
        return self._reply(
            self._check_admission(
                request.incarnation, request.spec.task, request.attempt
            )
            or self._reserve(request.spec.task, request.attempt, request.spec.demand)
        )

    async def start(self, request: StartRequest) -> StartReply:
        """Handle `START`; repeated requests start an attempt only once."""
        spec = request.spec
        refusal = self._check_term(request)
        if refusal is None:
            refusal = await self._check_start(request)
        verdict = refusal or self._reserve(spec.task, request.attempt, spec.demand)
        if verdict is Verdict.GRANTED:
            verdict = await self._start_reserved(request)
        return self._reply(verdict)

    async def _check_start(self, request: StartRequest) -> Verdict | None:
        """Return why the attempt may not start, None if the table assigns it here.

        If a reservation exists, the owner has just made it. Otherwise the request may
        be from an owner that cannot reach the table, for a task that has ended under
        another owner and whose record was dropped here.
        """
        task = request.spec.task
        reservation = self._ledger.reservation_by_task.get(task)
        if reservation is not None and reservation.attempt == request.attempt:
            return None
        try:
            stored = await self._store.find(request.spec.customer, task)
        except TableUnavailable as error:
            log_event("worker:start-unchecked", task=task, error=str(error))
            return Verdict.NO_LEASE
        is_here = (
            stored is not None
            and stored.row.state is TaskState.RUNNING
            and stored.row.attempt == request.attempt
            and stored.row.worker == self._worker
            and stored.row.term == request.term
        )
        if not is_here:
            return Verdict.STOPPED
        # A new term may have begun since the row was read.
        return self._check_term(request)

    async def stop_attempt(self, request: StopRequest) -> StopReply:
        """Handle `STOP`; afterwards the attempt cannot run here any more."""
        if request.incarnation != self._incarnation or not self._is_ready:
            return StopReply(is_stopped=False)
        reservation = self._ledger.reservation_by_task.get(request.task)
        checkpoint = ""
        try:
            is_here = reservation is not None and reservation.attempt == request.attempt
            if is_here and request.wants_checkpoint:
                checkpoint = checkpoint_name(request.task, request.attempt)
                await self._control.checkpoint(
                    task=request.task, attempt=request.attempt, name=checkpoint
                )
            await self._control.stop(task=request.task, attempt=request.attempt)
        except CommunicationError as error:
            log_event("worker:not-stopped", task=request.task, error=str(error))
            return StopReply(is_stopped=False)
        self._ledger.stop(request.task, request.attempt)
        self._report_by_task.pop(request.task, None)
        return StopReply(is_stopped=True, checkpoint=checkpoint)

    async def forget(self, request: ForgetRequest) -> ForgetReply:
        """Handle `FORGET`."""
        if request.incarnation == self._incarnation:
            self._ledger.drop(request.task, request.attempt)
            self._report_by_task.pop(request.task, None)
            await self._control.forget(task=request.task, attempt=request.attempt)
        return ForgetReply()

    async def _forget_earlier(self, task: TaskId, attempt: int) -> None:
        """Drop an ended attempt of the task before `attempt`.

        Its owner may have died before it could ask for that. The end is stored, as
        there would be no later attempt otherwise.
        """
        held = self._ledger.reservation_by_task.get(task)
        if held is None or held.exit_code is None or held.attempt >= attempt:
            return
        try:
            await self._control.forget(task=task, attempt=held.attempt)
        except CommunicationError as error:
            log_event("worker:not-forgotten", task=task, error=str(error))
            return
        self._ledger.drop(task, held.attempt)
        self._report_by_task.pop(task, None)

    def _check_term(self, request: StartRequest) -> Verdict | None:
        """Return why the attempt is not admitted in its term, None if it is."""
        task, attempt = request.spec.task, request.attempt
        refusal = self._check_admission(request.incarnation, task, attempt)
        if refusal is None and request.term != self._lease.term:
            return Verdict.WRONG_LIFE
        return refusal

    def _check_admission(
        self, incarnation: Incarnation, task: TaskId, attempt: int
    ) -> Verdict | None:
        """Return why the attempt is not admitted, None if it is."""
        if incarnation != self._incarnation:
            return Verdict.WRONG_LIFE
        if not self._is_ready or not self._lease.is_valid:
            return Verdict.NO_LEASE
        if self._ledger.is_stopped(task, attempt):
            return Verdict.STOPPED
        return None

    def _reserve(self, task: TaskId, attempt: int, demand: Resources) -> Verdict:
        reservation = Reservation(
            task=task, attempt=attempt, demand=demand, made_at=self._clock.elapsed()
        )
        is_reserved = self._ledger.reserve(reservation)
        return Verdict.GRANTED if is_reserved else Verdict.NO_ROOM

    async def _start_reserved(self, request: StartRequest) -> Verdict:
        spec = request.spec
        start = TaskStart(
            task=spec.task,
            attempt=request.attempt,
            demand=spec.demand,
            runtime_s=spec.runtime_s,
            checkpoint=request.checkpoint,
            holder=self._lease.holder,
            payload=spec.payload,
        )
        reservation = self._ledger.reservation_by_task[spec.task]
        reservation.is_started = True
        try:
            await self._control.start(start)
        except CommunicationError as error:
            # The attempt may have started, so its reservation is kept until the owner
            # stops it or the worker reports it.
            log_event("worker:not-started", task=spec.task, error=str(error))
            return Verdict.WORKER_FAILED
        return Verdict.GRANTED

    def _reply(self, verdict: Verdict) -> StartReply:
        return StartReply(verdict=verdict, term=self._lease.term, report=self.report())

    async def _run_step(self, step: Callable[[], Awaitable[None]]) -> None:
        try:
            await step()
        except (CommunicationError, TableUnavailable) as error:
            log_event("worker:untended", error=str(error))

    async def _store_results(self) -> None:
        await self._saver.store_results(self._ledger)

    async def _maintain(self) -> None:
        if self._lease.term != self._ledger_term or not self._is_ready:
            await self._rebuild()
        self._drop_stale_reservations()
        await self._saver.take_checkpoints(self._ledger)
        if await self._update_reports():
            await self._on_change()

    async def _rebuild(self) -> None:
        """Rebuild the ledger from the worker and the table.

        A restart loses the reservations in memory. Nothing is admitted until they are
        rebuilt, as resources would otherwise be committed twice.
        """
        self._is_ready = False
        term = self._lease.term
        if term == 0:
            return
        # Replacing the ledger discards ends whose results are not stored; their tasks
        # would be requeued and run again.
        await self._saver.store_results(self._ledger, delay=timedelta(0))
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
        self._ledger = ledger
        self._ledger_term = term
        self._report_by_task.clear()
        self._is_ready = True
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
        for reservation in list(self._ledger.reservation_by_task.values()):
            if not reservation.is_started and reservation.made_at < oldest:
                self._ledger.drop(reservation.task, reservation.attempt)

    async def _update_reports(self) -> bool:
        """Read the state of the worker's tasks; return whether any has newly ended."""
        has_ended = False
        reported = list(self._report_by_task.values())
        listed = await self._control.tasks()
        self._drop_lost_attempts(reported, {(r.task, r.attempt) for r in listed})
        for running in listed:
            reservation = self._ledger.reservation_by_task.get(running.task)
            if reservation is None or reservation.attempt != running.attempt:
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
                self._ledger.stop(report.task, report.attempt)
                self._report_by_task.pop(report.task, None)
