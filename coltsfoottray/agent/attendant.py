"""Keeps one worker's lease, carries orders out and tells what has become of them."""

from __future__ import annotations

import math
from datetime import timedelta

import msgspec
import trio

from coltsfoottray.agent.executor import AttendantState, OrderExecutor, OrderScope
from coltsfoottray.agent.lease import WorkerLease
from coltsfoottray.agent.liveness import WorkerLiveness
from coltsfoottray.agent.runs import Runs
from coltsfoottray.agent.speeds import SpeedController
from coltsfoottray.agent.stalls import StallDetector
from coltsfoottray.agent.worker import (
    Heartbeat,
    WorkerLink,
    WorkerReplaced,
)
from coltsfoottray.clock import Clock
from coltsfoottray.errors import CommunicationError
from coltsfoottray.jobs.model import RunRef
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

# A look waits so long for an end: the figures of tasks are of the last half
# second, and the lease is renewed as often.
_LOOK_WAIT = timedelta(milliseconds=500)
_RETRY = timedelta(milliseconds=100)


class TaskAttendant(Service, AttendantState):
    """Stands beside one worker.

    Parameters
    ----------
    name : str
        Stands for the VM in the scheduler's records.
    address : Address
        Where the scheduler sends orders.
    """

    def __init__(
        self,
        *,
        name: str,
        incarnation: str,
        address: Address,
        data_centre: str,
        link: WorkerLink,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._name = name
        self._incarnation = incarnation
        self._address = address
        self._data_centre = data_centre
        self._link = link
        self._clock = clock
        self._metrics = metrics
        self._beat: Heartbeat | None = None
        self._runs = Runs()
        self._epoch = 0
        self._session = 0
        self._polled_session = 0
        self._acknowledged = 0
        # How many reports were made.
        self._reports = 0
        # Whether the lease of a worker that does not answer was seen to be over.
        self._has_lapsed = False
        self._liveness = WorkerLiveness()
        self._lease = WorkerLease(started_at=clock.elapsed())
        self._speeds = SpeedController(link=link, clock=clock)
        self._paced = timedelta(0)
        self._stalls = StallDetector()
        self._stalled: list[RunRef] = []
        self._executor = OrderExecutor(
            link=link,
            state=self,
            lease=self._lease,
            speeds=self._speeds,
            clock=clock,
            metrics=metrics,
        )
        self._nursery: trio.Nursery | None = None
        self._session_begun = trio.Event()
        self.report_requested = trio.Event()
        # Whether the scheduler has yet to store that the worker is back.
        self.is_lease_pending = False

    async def run(  # noqa: D102
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            task_status.started()
            while True:
                if self._beat is None or not self._session:
                    with trio.move_on_after(_RETRY.total_seconds()):
                        await self._session_begun.wait()
                else:
                    await self._poll_worker(self._beat)
                self._notice_lapse()

    # What the worker says.

    def handle_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Take in the worker's report about itself."""
        known = self._beat
        if known is not None and heartbeat.life == known.life:
            if heartbeat.sequence <= known.sequence:
                return
            if heartbeat.is_draining and not known.is_draining:
                log_event(
                    "worker:draining",
                    life=heartbeat.life,
                    remaining_s=heartbeat.remaining.total_seconds(),
                )
                self.request_report()
            self._beat = heartbeat
            return
        if known is not None and heartbeat.born_ms <= known.born_ms:
            log_event("worker:old-heartbeat", life=heartbeat.life, current=known.life)
            return
        log_event("worker:new-life", life=heartbeat.life, before=known and known.life)
        self._begin_life(heartbeat)

    def handle_deregistration(self, life_id: str) -> None:
        """Hear that the worker is about to end."""
        if self._beat is not None and self._beat.life.startswith(f"{life_id}/"):
            log_event("worker:leaves", life=self._beat.life)
            self._liveness.record_deregistration(self._clock.elapsed())

    def _begin_life(self, heartbeat: Heartbeat) -> None:
        self._beat = heartbeat
        self._runs = Runs()
        self._polled_session = 0
        self._acknowledged = 0
        self._lease.reset_clock()
        self._speeds.reset()
        self._liveness.reset()
        self._has_lapsed = False
        self.request_report()

    async def _poll_worker(self, heartbeat: Heartbeat) -> None:
        asked = self._clock.elapsed()
        session = self._session
        try:
            poll = await self._link.poll(
                heartbeat=heartbeat,
                fence=session,
                lease_end_ms=self.issue_lease(asked),
                acknowledged=self._ends_to_forget(),
                wait=_LOOK_WAIT if self._lease.is_clock_known else timedelta(0),
            )
        except (CommunicationError, WorkerReplaced) as error:
            if self._liveness.record_failure(error, asked):
                log_event("worker:lost", life=heartbeat.life, reason=str(error))
            if isinstance(error, WorkerReplaced):
                self.handle_replacement(error)
            await self._clock.sleep(_RETRY)
            return
        if self._beat is None or heartbeat.life != self._beat.life:
            return
        self._has_lapsed = False
        if self._liveness.record_answer(asked):
            log_event("worker:reached", life=heartbeat.life)
            # While it did not answer, its lease was not renewed.
            self.request_report()
        self._lease.set_reading(poll.clock)
        self._metrics.time("look", self._clock.elapsed() - asked)
        left = self._lease.remaining_grant(self._clock.elapsed())
        self._metrics.gauge("lease_left_seconds", left.total_seconds())
        self._metrics.gauge("runs_there", len(poll.running))
        has_news = self._runs.apply_poll(poll, sent_at=asked)
        if has_news or self._polled_session != session:
            self._polled_session = session
            self.request_report()
        if asked - self._paced >= _LOOK_WAIT * 0.8:
            self._paced = asked
            self._find_stalls(asked)
            await self._speeds.update(heartbeat, self._runs, self._session)
        if poll.ends:
            # With ends that are not acknowledged yet a look returns at once.
            await self._clock.sleep(_RETRY)

    def _ends_to_forget(self) -> int:
        """Return up to which number the worker may forget ends, 0 for none.

        Told to a new life under the same id, the number of the earlier life's ends made
        it forget its own first ones: a task that had ended well there ran again. So
        nothing is forgotten by a look that may be the first to reach another life.
        """
        is_pending = any(e.number <= self._acknowledged for e in self._runs.ends)
        return self._acknowledged if is_pending and self._liveness.is_answering else 0

    def _notice_lapse(self) -> None:
        """Let go of the runs of a worker that is silent past its lease.

        It is told at once, and again with each report: the scheduler that hears it
        first may be replaced before it has stored it.
        """
        if self._liveness.is_answering or self._has_lapsed:
            return
        has_ended = self._liveness.has_ended
        if self._lease.remaining_issued(self._clock.elapsed()) and not has_ended:
            return
        life = "" if self._beat is None else self._beat.life
        log_event("worker:lease-lapsed", life=life, is_over=has_ended)
        self._has_lapsed = True
        self._lease.mark_ended()
        self._runs = Runs()
        self._metrics.gauge("lease_left_seconds", 0.0)
        self._metrics.gauge("runs_there", 0)
        self.request_report()

    def _find_stalls(self, now: timedelta) -> None:
        known = set(self._stalled)
        self._stalled = self._stalls.check(
            self._runs.running,
            self._runs.order_by_ref,
            self._speeds.percent_by_ref,
            now,
        )
        new = [str(ref) for ref in self._stalled if ref not in known]
        if new:
            log_event("worker:stalled", runs=new)
            self.request_report()

    # What the scheduler says.

    @property
    def session(self) -> int:
        """The session granted last, 0 for none."""
        return self._session

    def report(self) -> Report:
        """Return what is known now.

        One that shows no life of the worker says for how long it may still run. The
        grants that would let it run on are void with it.
        """
        runs = self._runs
        heartbeat = self._beat
        if heartbeat is None or not self._liveness.is_answering:
            self._lease.limit_to_issued()
        left = self._lease.remaining_issued(self._clock.elapsed())
        self._reports += 1
        report = Report(
            worker=self._name,
            incarnation=self._incarnation,
            number=self._reports,
            lease_left_ms=math.ceil(left.total_seconds() * 1000),
            address=self._address,
            data_centre=self._data_centre,
            session=self._session,
            looked=self._polled_session,
            running=runs.running,
            starting=runs.unconfirmed_starts(),
            ends=runs.ends,
            rejected=list(runs.rejected_by_ref.values()),
            stalled=self._stalled,
            pressures=self._speeds.pressures(),
            margin_by_image=self._speeds.margin_by_image,
        )
        if heartbeat is None:
            return report
        return msgspec.structs.replace(
            report,
            life=heartbeat.life,
            service=heartbeat.service,
            capacity=heartbeat.capacity,
            labels=heartbeat.labels,
            rack=heartbeat.rack,
            is_draining=heartbeat.is_draining,
            remaining_ms=heartbeat.remaining.total_seconds() * 1000,
            is_reachable=self._liveness.is_answering,
            is_replaced=self._liveness.is_replaced,
        )

    def take_reply(self, report: Report, reply: ReportReply, sent: timedelta) -> bool:
        """Take in the answer to a report that was sent at `sent`.

        Returns
        -------
        bool
            Whether it is from a scheduler worth reporting to: not from one that
            has been replaced, nor from one that has nothing left to grant where a
            lease was due.

            A lease that is only pending is no reason to leave: other entries may be
            dead, and asking them leaves the worker idle for seconds.
        """
        if reply.epoch < self._epoch:
            log_event("scheduler:outdated", epoch=reply.epoch, known=self._epoch)
            return False
        self._epoch = reply.epoch
        self._lease.grant(sent + timedelta(milliseconds=reply.lease_ms))
        self._speeds.set_shared_pressures(reply.pressures)
        for rejected in report.rejected:
            self._runs.rejected_by_ref.pop(rejected.ref, None)
        if reply.orders.session != self._session:
            self._begin_session(reply.orders.session)
        self._carry_out(reply.orders)
        self.is_lease_pending = reply.is_lease_pending
        is_due = report.shows_life and not reply.is_lease_pending
        return reply.lease_ms > 0 or not is_due

    async def handle_orders(self, orders: Orders) -> Acknowledged:
        """Take orders that the scheduler sends between reports."""
        self._carry_out(orders)
        return Acknowledged()

    def _begin_session(self, session: int) -> None:
        """Drop the starts under way: the reply names all that still hold."""
        log_event("scheduler:session", session=session, before=self._session)
        self._session = session
        if self._has_lapsed:
            # Only in the session that it granted a scheduler believes it.
            self.request_report()
        self._session_begun.set()
        self._session_begun = trio.Event()
        self._runs.starting.clear()
        self._runs.stopped_by_ref.clear()
        self._runs.reason_by_ref.clear()

    def _carry_out(self, orders: Orders) -> None:
        heartbeat = self._beat
        if (
            orders.session != self._session
            or heartbeat is None
            or heartbeat.life != orders.life
        ):
            return
        self._acknowledged = max(self._acknowledged, orders.acknowledged)
        assert self._nursery is not None
        scope = OrderScope(heartbeat=heartbeat, session=orders.session, runs=self._runs)
        for order in orders.starts:
            if order.ref in self._runs.stopped_by_ref:
                continue
            is_repeat = self._runs.is_known(order.ref)
            self._runs.order_by_ref[order.ref] = order
            if not is_repeat:
                self._runs.starting.add(order.ref)
                self._nursery.start_soon(self._executor.start, order, scope)
        for ref in orders.stops:
            if ref not in self._runs.stopped_by_ref:
                self._runs.stopped_by_ref[ref] = None
                self._nursery.start_soon(self._executor.stop, ref, scope)

    # What orders ask while they are carried out.

    def is_current(self, scope: OrderScope) -> bool:  # noqa: D102
        return scope.session == self._session and scope.runs is self._runs

    def has_polled(self, scope: OrderScope) -> bool:  # noqa: D102
        return self._polled_session == scope.session

    @property
    def is_draining(self) -> bool:  # noqa: D102
        return self._beat is None or self._beat.is_draining

    def issue_lease(self, now: timedelta) -> int:
        """Return the end of the lease on the worker's clock, 0 for no change.

        Of a worker that does not answer the lease has to run out.
        """
        return self._lease.issue(now) if self._liveness.is_answering else 0

    def handle_replacement(self, error: WorkerReplaced) -> None:
        """Tell the scheduler of another life under the worker's id at once.

        What it has taken outlasts the lease of the one before. Were this attendant to
        die with the news, the scheduler would count that lease alone.
        """
        is_current = self._beat is not None and self._beat.life == error.life
        if is_current and self._liveness.record_replacement(error):
            self.request_report()

    def request_report(self) -> None:  # noqa: D102
        self.report_requested.set()
