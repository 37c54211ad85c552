"""Attendant of one worker: renews its lease, executes orders and reports its runs."""

from __future__ import annotations

import math
from datetime import timedelta

import trio

from coltsfoottray.agent.evacuation import EvacuationGuard, StartPermission
from coltsfoottray.agent.executor import AttendantState, OrderExecutor, OrderScope
from coltsfoottray.agent.lease import WorkerLease
from coltsfoottray.agent.liveness import WorkerLiveness
from coltsfoottray.agent.pressure_exchange import PressureExchange
from coltsfoottray.agent.reports import describe_runs, describe_worker
from coltsfoottray.agent.runs import Runs
from coltsfoottray.agent.session import AttendantSession
from coltsfoottray.agent.speeds import SpeedController
from coltsfoottray.agent.supervision import RunSupervisor
from coltsfoottray.agent.worker import (
    Heartbeat,
    WorkerLink,
    WorkerReplaced,
)
from coltsfoottray.agent.worker_search import HeartbeatVerdict, WorkerSearch
from coltsfoottray.clock import Clock, as_duration
from coltsfoottray.errors import CommunicationError
from coltsfoottray.kernel import Service
from coltsfoottray.logs import log_event
from coltsfoottray.metrics import Metrics
from coltsfoottray.scheduler.messages import (
    Acknowledged,
    Orders,
    Report,
    ReportReply,
)
from coltsfoottray.types import Address

__all__ = ["TaskAttendant"]

# How long a poll waits for a run to end. Workers measure the figures of runs over half
# a second, and each poll renews the lease.
_POLL_WAIT = timedelta(milliseconds=500)
_RETRY_DELAY = timedelta(milliseconds=100)


class TaskAttendant(Service, AttendantState):
    """Manages one worker on behalf of the scheduler.

    Parameters
    ----------
    name : str
        Identifies the VM in the scheduler's records.
    address : Address
        Address to which the scheduler sends orders.
    """

    def __init__(
        self,
        *,
        name: str,
        incarnation: str,
        address: Address,
        data_centre: str,
        evacuations: EvacuationGuard,
        link: WorkerLink,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._name = name
        self._incarnation = incarnation
        self._address = address
        self._data_centre = data_centre
        self._evacuations = evacuations
        self._link = link
        self._clock = clock
        self._metrics = metrics
        self._heartbeat: Heartbeat | None = None
        self._search = WorkerSearch(link=link, clock=clock, metrics=metrics)
        self._runs = Runs()
        self._epoch = 0
        self._session = AttendantSession()
        self._acknowledged = 0
        self._report_count = 0
        # Whether the worker does not answer and its lease has expired.
        self._has_lapsed = False
        self._liveness = WorkerLiveness()
        self._lease = WorkerLease(started_at=clock.elapsed())
        self._speeds = SpeedController(link=link, clock=clock)
        self._pressures = PressureExchange(local_pressures=self._speeds.pressures)
        self._supervisor = RunSupervisor(speeds=self._speeds, metrics=metrics)
        self._executor = OrderExecutor(
            link=link,
            state=self,
            lease=self._lease,
            speeds=self._speeds,
            pressures=self._pressures,
            clock=clock,
            metrics=metrics,
        )
        self._nursery: trio.Nursery | None = None
        self.report_requested = trio.Event()
        # Whether the scheduler has not yet stored that the worker answers again.
        self.is_lease_pending = False

    async def run(  # noqa: D102
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            task_status.started()
            while True:
                if not self._session.number:
                    await self._session.wait_for_next(_RETRY_DELAY)
                else:
                    await self._follow_worker()
                self._check_lapse()

    async def _follow_worker(self) -> None:
        """Poll the worker; look for another one if there is none that answers."""
        if self._heartbeat is None:
            await self._search.wait(_RETRY_DELAY)
        else:
            await self._poll_worker(self._heartbeat)
        if not self._liveness.is_answering:
            await self._look_for_worker()
        if self._heartbeat is not None:
            await self._session.wait_for_life(self._heartbeat.life, _RETRY_DELAY)

    # Calls from the worker, and polls.

    def handle_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Handle a heartbeat, which may come from another writer."""
        known = self._heartbeat
        verdict = self._search.judge(known, heartbeat)
        if known is None:
            return
        if verdict is HeartbeatVerdict.UPDATE:
            self._update_description(known, heartbeat)
        if verdict is HeartbeatVerdict.CANDIDATE and heartbeat.is_restart_of(known):
            # It may have accepted starts, whether or not it ever answers.
            restart = WorkerReplaced(
                life=known.life, takes_orders=True, answered_by=heartbeat.life
            )
            self.handle_replacement(restart, has_lease=False)

    def _update_description(self, known: Heartbeat, heartbeat: Heartbeat) -> None:
        if heartbeat.is_draining and not known.is_draining:
            log_event(
                "worker:draining",
                life=heartbeat.life,
                remaining_s=heartbeat.remaining.total_seconds(),
            )
            self.request_report()
        self._heartbeat = heartbeat

    def handle_deregistration(self, life_id: str) -> None:
        """Handle the announcement that the worker is about to end."""
        if self._heartbeat is not None and self._heartbeat.life.startswith(
            f"{life_id}/"
        ):
            log_event("worker:leaves", life=self._heartbeat.life)
            self._liveness.record_deregistration(self._clock.elapsed())

    async def _look_for_worker(self) -> None:
        """Use another worker if one answers."""
        found = await self._search.find(fence=self._session.number)
        if found is not None:
            before = self._heartbeat and self._heartbeat.life
            log_event("worker:new-life", life=found.life, before=before)
            self._begin_incarnation(found)

    def _begin_incarnation(self, heartbeat: Heartbeat) -> None:
        self._heartbeat = heartbeat
        self._search.begin_incarnation()
        self._runs = Runs()
        self._session.polled = 0
        self._acknowledged = 0
        self._lease.begin_incarnation()
        self._speeds.reset()
        self._liveness.reset()
        self._has_lapsed = False
        self.request_report()

    async def _poll_worker(self, heartbeat: Heartbeat) -> None:
        sent_at = self._clock.elapsed()
        session = self._session.number
        # The scheduler waits for the first poll of a session, and a worker that did not
        # answer may have restarted.
        may_wait = (
            self._lease.is_clock_known
            and self._session.is_polled
            and self._liveness.is_answering
        )
        lease_end_ms = self.issue_lease(sent_at)
        try:
            reply = await self._link.poll(
                heartbeat=heartbeat,
                fence=session,
                lease_end_ms=lease_end_ms,
                acknowledged=self._ack_cursor(),
                wait=_POLL_WAIT if may_wait else timedelta(0),
            )
        except (CommunicationError, WorkerReplaced) as error:
            if self._liveness.record_failure(error, sent_at):
                log_event("worker:lost", life=heartbeat.life, reason=str(error))
            if isinstance(error, WorkerReplaced):
                self.handle_replacement(error, has_lease=lease_end_ms > 0)
            await self._clock.sleep(_RETRY_DELAY)
            return
        if self._heartbeat is None or heartbeat.life != self._heartbeat.life:
            return
        self._search.record_answer(sent_at)
        self._has_lapsed = False
        if self._liveness.record_answer(sent_at):
            log_event("worker:reached", life=heartbeat.life)
            # The lease was not renewed while the worker did not answer.
            self.request_report()
        lists_runs = bool(reply.running or reply.ends)
        self._lease.set_reading(reply.clock, lists_runs=lists_runs)
        self._metrics.time("look", self._clock.elapsed() - sent_at)
        left = self._lease.remaining_grant(self._clock.elapsed())
        self._metrics.gauge("lease_left_seconds", left.total_seconds())
        self._metrics.gauge("runs_there", len(reply.running))
        is_report_due = self._runs.apply_poll(reply, sent_at=sent_at)
        if is_report_due or self._session.polled != session:
            self._session.polled = session
            self.request_report()
        fence = self._session.number
        if await self._supervisor.update(heartbeat, self._runs, fence, sent_at):
            self.request_report()
        if reply.ends:
            # A poll returns immediately while ends are not acknowledged.
            await self._clock.sleep(_RETRY_DELAY)

    def _ack_cursor(self) -> int:
        """Return the number up to which the worker may discard ends, 0 for none.

        A new incarnation with the same id restarts the numbering of ends. The cursor of
        the previous one would make it discard its own first ends, and tasks that have
        finished would run again. No poll that may be the first to reach a new
        incarnation acknowledges ends.
        """
        is_pending = any(e.number <= self._acknowledged for e in self._runs.ends)
        return self._acknowledged if is_pending and self._liveness.is_certain else 0

    def _check_lapse(self) -> None:
        """Drop the runs of a worker that does not answer once they cannot run any more.

        That is when its lease has expired or it is known to have ended. It is reported
        immediately and with each later report, because a scheduler may be replaced
        before it has stored the first one.
        """
        if self._liveness.is_answering or self._has_lapsed:
            return
        has_ended = self._liveness.has_ended
        if self._lease.remaining_issued(self._clock.elapsed()) and not has_ended:
            return
        life = "" if self._heartbeat is None else self._heartbeat.life
        log_event("worker:lease-lapsed", life=life, is_over=has_ended)
        self._has_lapsed = True
        self._lease.mark_ended(has_incarnation_ended=has_ended)
        self._runs = self._runs.after_lapse()
        self._metrics.gauge("lease_left_seconds", 0.0)
        self._metrics.gauge("runs_there", 0)
        self.request_report()

    # Calls from the scheduler, and reports to it.

    @property
    def session(self) -> int:
        """The last session granted, 0 for none."""
        return self._session.number

    def report(self) -> Report:
        """Return a report of the current state.

        Unless a worker is known to answer, the report promises for how long one may
        still run. This revokes the part of the grant that has not been issued.
        """
        heartbeat = self._heartbeat
        if heartbeat is None or not self._liveness.is_answering:
            self._lease.limit_to_issued()
        now = self._clock.elapsed()
        left = self._lease.remaining_issued(now)
        foreign_left = self._lease.remaining_foreign(now)
        self._report_count += 1
        report = Report(
            worker=self._name,
            incarnation=self._incarnation,
            number=self._report_count,
            lease_left_ms=math.ceil(left.total_seconds() * 1000),
            foreign_left_ms=math.ceil(foreign_left.total_seconds() * 1000),
            address=self._address,
            data_centre=self._data_centre,
            session=self._session.reported_number,
            looked=self._session.polled,
            stalled=self._supervisor.stalled,
            pressures=self._pressures.due_pressures(),
            pressure_revision_by_service=self._pressures.revision_by_service,
            margin_by_image=self._speeds.margin_by_image,
        )
        report = describe_runs(report, self._runs)
        return describe_worker(report, heartbeat, self._liveness)

    def apply_reply(
        self, report: Report, reply: ReportReply, sent_at: timedelta
    ) -> bool:
        """Apply the reply to a report that was sent at `sent_at`.

        Returns
        -------
        bool
            Whether to keep reporting to this scheduler. False if it has been replaced,
            or if it cannot grant a lease that is due.

            A pending lease is no reason to leave: other entries may be down, and trying
            them would leave the worker idle for seconds.
        """
        if reply.epoch < self._epoch:
            log_event("scheduler:outdated", epoch=reply.epoch, known=self._epoch)
            return False
        is_new_epoch = reply.epoch != self._epoch
        self._epoch = reply.epoch
        self._lease.grant(sent_at + as_duration(reply.lease_ms))
        self._evacuations.apply(reply.evacuations, sent_at=sent_at)
        self._search.services.update(reply.services)
        self._speeds.update_shared_pressures(reply.pressures)
        self._pressures.apply_reply(report, reply, is_new_epoch=is_new_epoch)
        for rejected in report.rejected:
            self._runs.rejected_by_ref.pop(rejected.ref, None)
        if not report.is_worker_alive:
            self._session.loss_reported_in = report.session
        if reply.orders.session != self._session.number:
            self._begin_session(reply.orders)
        self._execute(reply.orders)
        self.is_lease_pending = reply.is_lease_pending
        is_lease_due = report.is_worker_alive and not reply.is_lease_pending
        return reply.lease_ms > 0 or not is_lease_due

    async def report_loss(self) -> None:
        """Return once a scheduler knows what is left of a silent worker's lease."""
        self._session.loss_reported_in = 0
        self.request_report()
        while not (self._liveness.is_answering or self._session.is_loss_reported):
            await self._clock.sleep(_RETRY_DELAY)

    async def handle_orders(self, orders: Orders) -> Acknowledged:
        """Execute orders that the scheduler sends between reports."""
        self._execute(orders)
        return Acknowledged()

    def _begin_session(self, orders: Orders) -> None:
        """Begin a session; its first orders repeat all starts that are still valid."""
        self._session.begin(orders)
        is_silent = self._heartbeat is not None and not self._liveness.is_answering
        if self._has_lapsed or is_silent:
            # A scheduler counts what is left of the lease only in its own session.
            self.request_report()
        self._runs.begin_session(self._clock.elapsed())

    def _execute(self, orders: Orders) -> None:
        heartbeat = self._heartbeat
        if (
            orders.session != self._session.number
            or heartbeat is None
            or heartbeat.life != orders.life
        ):
            return
        self._acknowledged = max(self._acknowledged, orders.acknowledged)
        assert self._nursery is not None
        scope = OrderScope(heartbeat=heartbeat, session=orders.session, runs=self._runs)
        self._executor.accept(orders, scope, self._nursery)

    # State that the execution of orders depends on.

    def is_current(self, scope: OrderScope) -> bool:  # noqa: D102
        return scope.session == self._session.number and scope.runs is self._runs

    def has_polled(self, scope: OrderScope) -> bool:  # noqa: D102
        return self._session.polled == scope.session

    @property
    def is_draining(self) -> bool:  # noqa: D102
        return self._heartbeat is None or self._heartbeat.is_draining

    def start_permission(self, now: timedelta) -> StartPermission:  # noqa: D102
        return self._evacuations.judge(now)

    def issue_lease(self, now: timedelta) -> int:
        """Return the lease end to issue, on the worker's clock in ms; 0 for none.

        The lease of a worker that does not answer must expire.
        """
        return self._lease.issue(now) if self._liveness.is_answering else 0

    def handle_replacement(self, error: WorkerReplaced, *, has_lease: bool) -> None:
        """Report immediately that another incarnation with the worker's id answered.

        Runs that it has accepted can outlast the lease of the previous incarnation. If
        this attendant fails before it has reported, the scheduler waits only for that
        lease.
        """
        life = None if self._heartbeat is None else self._heartbeat.life
        is_current = life == error.life
        if error.takes_orders and has_lease:
            is_next = life != error.answered_by
            self._lease.record_foreign_call(self._clock.elapsed(), is_next=is_next)
        if is_current and self._liveness.record_replacement(error):
            self.request_report()

    def request_session(self) -> None:  # noqa: D102
        self._session.request_next()
        self.request_report()

    def request_report(self) -> None:  # noqa: D102
        self.report_requested.set()
