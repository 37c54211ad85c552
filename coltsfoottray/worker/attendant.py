"""Judging and starting attempts on one worker."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Sequence
from datetime import timedelta

import msgspec
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
from coltsfoottray.tasks import TaskRow, TaskStore, checkpoint_name, result_name
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

__all__ = ["WorkerAttendant"]

# An uncommitted reservation is dropped after this: its owner has died, and the
# start that may still come is judged anew.
RESERVATION_TIMEOUT = timedelta(seconds=10)
# An end is written down within this, unless something is wrong.
RESULT_AFTER = timedelta(seconds=1)


class WorkerAttendant(Service):
    """Answers owners' calls and reports what runs and what has ended.

    Parameters
    ----------
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
        self._objects = objects
        self._clock = clock
        self._interval = interval
        self._checkpoint_interval = checkpoint_interval
        self._on_change = on_change
        self._ledger = CapacityLedger(capacity=Resources())
        self._report_by_task: dict[TaskId, AttemptReport] = {}
        self._ledger_term = 0
        self._is_ready = False

    def add_handlers(self, handlers: CallHandlers) -> None:
        """Answer the owners' calls."""
        handlers.add(RESERVE, self.reserve)
        handlers.add(START, self.start)
        handlers.add(STOP, self.stop_attempt)
        handlers.add(FORGET, self.forget)

    def report(self) -> WorkerReport:
        """Return what entries are told of this worker."""
        # Told of room on a lost VM, owners spend all their proposals on refusals.
        # Only placing reads this term: what runs here is given up by the row alone.
        takes_tasks = self._is_ready and self._lease.is_valid
        return WorkerReport(
            capacity=self._ledger.capacity,
            reserved=self._ledger.committed,
            term=self._lease.term if takes_tasks else 0,
            attempts=list(self._report_by_task.values()),
        )

    async def run(  # noqa: D102
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        task_status.started()
        while True:
            # Apart: an end seen on a worker that answers no more is stored all the
            # same. Else its task is queued again at the lapse and runs once more.
            await self._try(self._keep_results)
            await self._try(self._tend)
            await self._clock.sleep(self._interval)

    async def wait_idle(self) -> None:
        """Return once nothing is committed here."""
        while self._ledger.committed != Resources():
            await self._clock.sleep(self._interval)

    async def reserve(self, request: ReserveRequest) -> StartReply:
        """Answer `RESERVE`."""
        return self._reply(
            self._judge(request.incarnation, request.spec.task, request.attempt)
            or self._hold(request.spec.task, request.attempt, request.spec.demand)
        )

    async def start(self, request: StartRequest) -> StartReply:
        """Answer `START`; the same attempt starts once however often asked."""
        spec = request.spec
        refusal = self._judge(request.incarnation, spec.task, request.attempt)
        if refusal is None and request.term != self._lease.term:
            refusal = Verdict.WRONG_LIFE
        if refusal is None:
            refusal = await self._judge_start(request)
        verdict = refusal or self._hold(spec.task, request.attempt, spec.demand)
        if verdict is Verdict.GRANTED:
            verdict = await self._start_held(request)
        return self._reply(verdict)

    async def _judge_start(self, request: StartRequest) -> Verdict | None:
        """Return why the attempt may not start, None if the table has it here.

        Where its room is held the owner has just reserved it. Otherwise the
        start may come from an owner that has lost the table, for a task that
        has long ended under another owner and was forgotten here.
        """
        task = request.spec.task
        held = self._ledger.reservation_by_task.get(task)
        if held is not None and held.attempt == request.attempt:
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
        return self._judge(request.incarnation, task, request.attempt)

    async def stop_attempt(self, request: StopRequest) -> StopReply:
        """Answer `STOP`: afterwards the attempt never runs here again."""
        if request.incarnation != self._incarnation or not self._is_ready:
            return StopReply(is_stopped=False)
        held = self._ledger.reservation_by_task.get(request.task)
        checkpoint = ""
        try:
            is_here = held is not None and held.attempt == request.attempt
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
        """Answer `FORGET`."""
        if request.incarnation == self._incarnation:
            self._ledger.drop(request.task, request.attempt)
            self._report_by_task.pop(request.task, None)
            await self._control.forget(task=request.task, attempt=request.attempt)
        return ForgetReply()

    def _judge(
        self, incarnation: Incarnation, task: TaskId, attempt: int
    ) -> Verdict | None:
        """Return why nothing may start, None if nothing stands against it."""
        if incarnation != self._incarnation:
            return Verdict.WRONG_LIFE
        if not self._is_ready or not self._lease.is_valid:
            return Verdict.NO_LEASE
        if self._ledger.is_stopped(task, attempt):
            return Verdict.STOPPED
        return None

    def _hold(self, task: TaskId, attempt: int, demand: Resources) -> Verdict:
        reservation = Reservation(
            task=task, attempt=attempt, demand=demand, made_at=self._clock.elapsed()
        )
        is_held = self._ledger.reserve(reservation)
        return Verdict.GRANTED if is_held else Verdict.NO_ROOM

    async def _start_held(self, request: StartRequest) -> Verdict:
        spec = request.spec
        start = TaskStart(
            task=spec.task,
            attempt=request.attempt,
            demand=spec.demand,
            runtime_s=spec.runtime_s,
            checkpoint=request.checkpoint,
            holder=self._incarnation,
            payload=spec.payload,
        )
        held = self._ledger.reservation_by_task[spec.task]
        held.is_started = True
        try:
            await self._control.start(start)
        except CommunicationError as error:
            # It may have started all the same: the room stays held until the
            # owner stops the attempt or the worker reports on it.
            log_event("worker:not-started", task=spec.task, error=str(error))
            return Verdict.WORKER_FAILED
        return Verdict.GRANTED

    def _reply(self, verdict: Verdict) -> StartReply:
        return StartReply(verdict=verdict, term=self._lease.term, report=self.report())

    async def _try(self, step: Callable[[], Awaitable[None]]) -> None:
        try:
            await step()
        except (CommunicationError, TableUnavailable) as error:
            log_event("worker:untended", error=str(error))

    async def _tend(self) -> None:
        if self._lease.term != self._ledger_term or not self._is_ready:
            await self._rebuild()
        self._drop_stale_reservations()
        await self._take_checkpoints()
        if await self._take_reports():
            await self._on_change()

    async def _rebuild(self) -> None:
        """Make the ledger anew from the worker and the table.

        After a restart the memory of what was granted is gone; until it is
        rebuilt nothing is admitted, or the same room would be given twice.
        """
        self._is_ready = False
        term = self._lease.term
        if term == 0:
            return
        # The ledger goes: an end that is not stored would go with it, and its task
        # would be queued again and run once more.
        await self._keep_results(after=timedelta(0))
        description = await self._control.describe()
        ledger = CapacityLedger(capacity=description.capacity)
        for row in await self._bound_rows(term):
            ledger.reserve(self._as_reservation(row))
        for running in await self._control.tasks():
            held = ledger.reservation_by_task.get(running.task)
            if held is None or held.attempt != running.attempt:
                await self._control.stop(task=running.task, attempt=running.attempt)
        self._ledger = ledger
        self._ledger_term = term
        self._report_by_task.clear()
        self._is_ready = True
        log_event("worker:ready", worker=self._worker, term=term)

    async def _bound_rows(self, term: int) -> list[TaskRow]:
        rows: list[TaskRow] = []
        for partition in range(PARTITION_COUNT):
            for stored in await self._store.load(partition):
                row = stored.row
                is_here = row.worker == self._worker and row.term == term
                if is_here and row.state is TaskState.RUNNING:
                    rows.append(row)
        return rows

    def _as_reservation(self, row: TaskRow) -> Reservation:
        return Reservation(
            task=row.spec.task,
            attempt=row.attempt,
            demand=row.spec.demand,
            made_at=self._clock.elapsed(),
            is_started=True,
        )

    async def _take_checkpoints(self) -> None:
        """Checkpoint what has run for an interval since the last time.

        The name holds the attempt, so a paused worker that wakes overwrites
        nothing of a later attempt.
        """
        now = self._clock.elapsed()
        for held in list(self._ledger.reservation_by_task.values()):
            is_due = now - held.made_at >= self._checkpoint_interval
            if is_due and held.is_started and held.exit_code is None:
                await self._control.checkpoint(
                    task=held.task,
                    attempt=held.attempt,
                    name=checkpoint_name(held.task, held.attempt),
                )
                held.made_at = now

    def _drop_stale_reservations(self) -> None:
        oldest = self._clock.elapsed() - RESERVATION_TIMEOUT
        for held in list(self._ledger.reservation_by_task.values()):
            if not held.is_started and held.made_at < oldest:
                self._ledger.drop(held.task, held.attempt)

    async def _keep_results(self, after: timedelta = RESULT_AFTER) -> None:
        """Store the exit codes that no owner has acknowledged for a while.

        If the lease lapses, or the VM vanishes, before the owner has written
        the end down, it finds the result there and does not run the task again.
        """
        oldest = self._clock.elapsed() - after
        for held in list(self._ledger.reservation_by_task.values()):
            is_due = held.ended_at is not None and held.ended_at <= oldest
            if is_due and not held.has_result:
                name = result_name(held.task, held.attempt)
                await self._objects.write(name, msgspec.json.encode(held.exit_code))
                held.has_result = True

    async def _take_reports(self) -> bool:
        """Read the worker's reports; return whether a task has newly ended."""
        has_ended = False
        told = list(self._report_by_task.values())
        listed = await self._control.tasks()
        self._drop_vanished(told, {(r.task, r.attempt) for r in listed})
        for running in listed:
            held = self._ledger.reservation_by_task.get(running.task)
            if held is None or held.attempt != running.attempt:
                continue
            if running.exit_code is not None and held.exit_code is None:
                has_ended = True
                held.exit_code = running.exit_code
                held.ended_at = self._clock.elapsed()
            self._report_by_task[running.task] = AttemptReport(
                task=running.task,
                attempt=running.attempt,
                used=running.used,
                slowdown=running.slowdown,
                exit_code=running.exit_code,
            )
        return has_ended

    def _drop_vanished(
        self, told: Sequence[AttemptReport], listed: set[tuple[TaskId, int]]
    ) -> None:
        """Tell no more of what the worker has lost; an end stays told.

        Told for ever, it counts as running and is never queued again. Its owner
        asks for the start then, and is refused: the attempt has run already.
        """
        for report in told:
            if report.exit_code is None and (report.task, report.attempt) not in listed:
                self._ledger.stop(report.task, report.attempt)
                self._report_by_task.pop(report.task, None)
