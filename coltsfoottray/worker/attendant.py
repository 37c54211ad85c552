"""Calls of task owners about attempts on one worker, and reports to entries."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from datetime import timedelta

import trio

from coltsfoottray.clock import Clock
from coltsfoottray.errors import CommunicationError
from coltsfoottray.kernel import Service
from coltsfoottray.leases import WorkerLease
from coltsfoottray.logs import log_event
from coltsfoottray.membership import WorkerReport
from coltsfoottray.peers import CallHandlers
from coltsfoottray.platform import (
    ObjectStore,
    TableError,
    TaskStart,
    WorkerControl,
)
from coltsfoottray.tasks import TaskStore, checkpoint_name
from coltsfoottray.types import AttendantId, Incarnation, Resources, TaskId
from coltsfoottray.worker.admission import AttemptAdmission
from coltsfoottray.worker.attempts import AttemptTracker
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
        self._incarnation = incarnation
        self._control = control
        self._lease = lease
        self._attempts = AttemptTracker(
            worker=worker,
            control=control,
            lease=lease,
            store=store,
            saver=AttemptSaver(
                control=control,
                objects=objects,
                clock=clock,
                checkpoint_interval=checkpoint_interval,
            ),
            clock=clock,
        )
        self._admission = AttemptAdmission(
            worker=worker,
            incarnation=incarnation,
            lease=lease,
            store=store,
            attempts=self._attempts,
            clock=clock,
        )
        self._clock = clock
        self._interval = interval
        self._on_change = on_change

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
        return WorkerReport(
            capacity=self._attempts.ledger.capacity,
            reserved=self._attempts.ledger.committed,
            term=self._lease.term if self._admission.is_open else 0,
            attempts=self._attempts.reports(),
        )

    async def run(  # noqa: D102
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        async with trio.open_nursery() as nursery:
            # A checkpoint takes as long as its object; ends must not wait for it.
            nursery.start_soon(self._take_checkpoints)
            task_status.started()
            while True:
                # Separate steps, because an end must be stored even if the worker no
                # longer answers: otherwise its task is requeued at the lapse and runs
                # again.
                await self._run_step(self._attempts.store_results)
                await self._run_step(self._update_attempts)
                await self._clock.sleep(self._interval)

    async def _take_checkpoints(self) -> None:
        while True:
            await self._run_step(self._attempts.take_checkpoints)
            await self._clock.sleep(self._interval)

    async def wait_idle(self) -> None:
        """Wait until no resources are committed."""
        while self._attempts.ledger.committed != Resources():
            await self._clock.sleep(self._interval)

    async def reserve(self, request: ReserveRequest) -> StartReply:
        """Handle `RESERVE`."""
        await self._forget_earlier(request.spec.task, request.attempt)
        return self._reply(self._admission.admit(request))

    async def start(self, request: StartRequest) -> StartReply:
        """Handle `START`; repeated requests start an attempt only once."""
        verdict = await self._admission.admit_start(request)
        if verdict is Verdict.GRANTED:
            verdict = await self._start_reserved(request)
        return self._reply(verdict)

    async def stop_attempt(self, request: StopRequest) -> StopReply:
        """Handle `STOP`; afterwards the attempt cannot run here any more."""
        if request.incarnation != self._incarnation or not self._attempts.is_ready:
            return StopReply(is_stopped=False)
        reservation = self._attempts.reservation(request.task, request.attempt)
        checkpoint = ""
        try:
            if reservation is not None and request.wants_checkpoint:
                checkpoint = checkpoint_name(request.task, request.attempt)
                await self._control.checkpoint(
                    task=request.task, attempt=request.attempt, name=checkpoint
                )
            await self._control.stop(task=request.task, attempt=request.attempt)
        except CommunicationError as error:
            log_event("worker:not-stopped", task=request.task, error=str(error))
            return StopReply(is_stopped=False)
        self._attempts.stop(request.task, request.attempt)
        return StopReply(is_stopped=True, checkpoint=checkpoint)

    async def forget(self, request: ForgetRequest) -> ForgetReply:
        """Handle `FORGET`."""
        if request.incarnation == self._incarnation:
            self._attempts.drop(request.task, request.attempt)
            await self._control.forget(task=request.task, attempt=request.attempt)
        return ForgetReply()

    async def _forget_earlier(self, task: TaskId, attempt: int) -> None:
        """Drop an ended attempt of the task before `attempt`.

        Its owner may have died before it could ask for that. The end is stored, as
        there would be no later attempt otherwise.
        """
        held = self._attempts.ledger.reservation_by_task.get(task)
        if held is None or held.exit_code is None or held.attempt >= attempt:
            return
        try:
            await self._control.forget(task=task, attempt=held.attempt)
        except CommunicationError as error:
            log_event("worker:not-forgotten", task=task, error=str(error))
            return
        self._attempts.drop(task, held.attempt)

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
        reservation = self._attempts.ledger.reservation_by_task[spec.task]
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
        except (CommunicationError, TableError) as error:
            log_event("worker:untended", error=str(error))

    async def _update_attempts(self) -> None:
        if await self._attempts.update():
            await self._on_change()
