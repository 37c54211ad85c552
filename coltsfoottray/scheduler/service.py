"""The scheduler service of an entry: takes the lease row over, runs, forwards calls."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from datetime import timedelta
from functools import partial
from random import Random

import trio

from coltsfoottray.clock import Clock
from coltsfoottray.errors import CommunicationError
from coltsfoottray.jobs.config import ConfigHolder
from coltsfoottray.jobs.evacuations import Evacuations
from coltsfoottray.jobs.mirror import Mirror
from coltsfoottray.jobs.model import AcceptedJob, JobId
from coltsfoottray.jobs.records import JobState
from coltsfoottray.jobs.view import JobsView
from coltsfoottray.kernel import Service
from coltsfoottray.logs import log_event
from coltsfoottray.metrics import Metrics
from coltsfoottray.overload.order import JobOrder
from coltsfoottray.peers import CallHandlers, PeerClient
from coltsfoottray.platform import WatchedTable
from coltsfoottray.scheduler.active import ActiveScheduler
from coltsfoottray.scheduler.advice import Adviser, run_advice_loop
from coltsfoottray.scheduler.announcements import Announcements
from coltsfoottray.scheduler.backlog_watch import BacklogWatch
from coltsfoottray.scheduler.lease import LeaseWatch
from coltsfoottray.scheduler.messages import (
    JOB_NOTIFICATION,
    REPORT,
    STATE,
    Acknowledged,
    JobNotification,
    Report,
    ReportReply,
    SchedulerAnnouncement,
    StateQuery,
    StateReply,
)
from coltsfoottray.scheduler.ping import PING, Ping, PingReply
from coltsfoottray.scheduler.restore import StateReader
from coltsfoottray.scheduler.sweep import run_sweep_loop
from coltsfoottray.scheduler.takeover import Claim, LeaseClaimer
from coltsfoottray.scheduler.writer import LeaseLost
from coltsfoottray.types import Address

__all__ = ["Scheduler"]

_POLL_INTERVAL = timedelta(milliseconds=200)
_CALL_TIMEOUT = timedelta(milliseconds=400)
_RESIGN_POLL_INTERVAL = timedelta(milliseconds=20)
_RESIGN_TIMEOUT = timedelta(seconds=1)


class Scheduler(Service):
    """Schedules while this entry holds the lease row, else refers to the holder."""

    def __init__(
        self,
        *,
        name: str,
        incarnation: str,
        address: Address,
        table: WatchedTable,
        mirror: Mirror,
        view: JobsView,
        drops_records: Callable[[], bool],
        watch: LeaseWatch,
        peers: PeerClient,
        holder: ConfigHolder,
        evacuations: Evacuations,
        backlog: BacklogWatch,
        clock: Clock,
        random: Random,
        retention: timedelta,
        metrics: Metrics,
        adviser: Adviser | None = None,
        job_order: JobOrder = JobOrder.DEADLINE,
    ) -> None:
        self._name = name
        self._incarnation = incarnation
        self._table = table
        self._mirror = mirror
        self._view = view
        self._drops_records = drops_records
        self._watch = watch
        self._peers = peers
        self._holder = holder
        self._evacuations = evacuations
        self._backlog = backlog
        self._clock = clock
        self._random = random
        self._retention = retention
        self._metrics = metrics
        self._adviser = adviser
        self._job_order = job_order
        self._claimer = LeaseClaimer(
            name=name,
            incarnation=incarnation,
            address=address,
            table=table,
            watch=watch,
            clock=clock,
            random=random,
        )
        self.active: ActiveScheduler | None = None
        self._is_stopping = False

    def add_handlers(self, handlers: CallHandlers) -> None:
        """Register handlers for the calls of attendants and other entries."""
        handlers.add(PING, self._handle_ping)
        handlers.add(REPORT, self._handle_report)
        handlers.add(JOB_NOTIFICATION, self._handle_notification)
        handlers.add(STATE, self._handle_state)

    async def run(  # noqa: D102
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        task_status.started()
        await self._mirror.loaded.wait()
        while True:
            active = await self._acquire()
            try:
                await self._run_active(active)
            except* LeaseLost as group:
                reason = str(next(iter(_flatten(group))))
                log_event("scheduler:deposed", name=self._name, reason=reason)
            finally:
                self.active = None

    async def stop(self) -> None:
        """Release the lease row, so that another entry can take over at once."""
        self._is_stopping = True
        if self.active is None:
            return
        self.active.resign()
        with trio.move_on_after(_RESIGN_TIMEOUT.total_seconds()):
            while self.active is not None:
                await self._clock.sleep(_RESIGN_POLL_INTERVAL)
        if self.active is not None:
            self.active.withhold_leases()

    # Calls from this entry.

    async def notify_accepted(self, job: AcceptedJob) -> None:
        """Notify the scheduler of a job that has just been stored."""
        if self.active is not None:
            self._accept(self.active, job)
            return
        await self._notify(
            JobNotification(accepted=[job], backlog_version=self._backlog.version)
        )

    async def notify_cancelled(self, job: JobId) -> None:
        """Notify the scheduler of a cancellation that has just been stored."""
        if self.active is not None:
            self.active.notify_cancelled(job)
            return
        await self._notify(
            JobNotification(cancelled=[job], backlog_version=self._backlog.version)
        )

    async def query_state(self, job: JobId) -> JobState | None:
        """Return the state of a job from the scheduler, None if unavailable."""
        if self.active is not None:
            return self.active.state_of(job)
        row = self._watch.row
        if row is None or row.is_resigned:
            return None
        try:
            reply = await self._peers.call(
                row.address, STATE, StateQuery(job=job), timeout=_CALL_TIMEOUT
            )
        except CommunicationError as error:
            log_event("scheduler:state-unknown", job=job, reason=str(error))
            return None
        return reply.state

    def replan(self) -> None:
        """Start a new round, because the operator has changed something."""
        if self.active is not None:
            self.active.wake()

    def observe_cancelled(self, job: JobId) -> None:
        """Process a cancellation read from the table."""
        if self.active is not None:
            self.active.notify_cancelled(job)

    def observe_accepted(self, job: AcceptedJob) -> None:
        """Process a job read from the table."""
        if self.active is not None:
            self._accept(self.active, job)

    def _accept(self, active: ActiveScheduler, job: AcceptedJob) -> None:
        """Pass a job on, with its cancellation if that was stored before."""
        active.notify_accepted(job)
        if job.id in self._view.cancelled:
            active.notify_cancelled(job.id)

    # Take-over.

    async def _acquire(self) -> ActiveScheduler:
        """Take the lease row over as soon as it is free."""
        while True:
            if not self._is_stopping and self._holder.current.version:
                claim = await self._claimer.try_claim()
                if claim is not None:
                    return self._make_active(claim)
            self._backlog.check()
            await self._clock.sleep(_POLL_INTERVAL)

    def _make_active(self, claim: Claim) -> ActiveScheduler:
        return ActiveScheduler(
            claim=claim,
            drops_records=self._drops_records,
            table=self._table,
            peers=self._peers,
            holder=self._holder,
            evacuations=self._evacuations,
            backlog=self._backlog,
            clock=self._clock,
            metrics=self._metrics,
            job_order=self._job_order,
        )

    async def _run_active(self, active: ActiveScheduler) -> None:
        self.active = active
        async with trio.open_nursery() as nursery:
            await self._load(active, nursery)
            nursery.start_soon(
                partial(
                    run_sweep_loop,
                    active,
                    table=self._table,
                    mirror=self._mirror,
                    view=self._view,
                    clock=self._clock,
                    retention=self._retention,
                )
            )
            if self._adviser is not None:
                nursery.start_soon(
                    partial(
                        run_advice_loop,
                        active.planner,
                        self._adviser,
                        clock=self._clock,
                        wake=active.wake,
                    )
                )
            await active.run()
            nursery.cancel_scope.cancel()

    async def _load(self, active: ActiveScheduler, nursery: trio.Nursery) -> None:
        """Load the stored state, and announce the scheduler to attendants."""
        reader = StateReader(
            table=self._table, mirror=self._mirror, view=self._view, clock=self._clock
        )
        loaded = trio.Event()
        async with trio.open_nursery() as renewals:
            renewals.start_soon(active.renew_until, loaded, reader.progress)
            rows = await reader.read_attendants()
            address_by_worker = active.restore_attendants(rows)
            nursery.start_soon(self._announce, active, address_by_worker)
            stored = await reader.read_jobs(
                active.version, with_learned=active.learned_row is not None
            )
            loaded.set()
        cost = reader.cost()
        active.load(stored, cost)
        self._metrics.time("takeover_read", cost.duration)
        self._metrics.count("takeover_read_bytes", cost.bytes_read)

    async def _announce(
        self, active: ActiveScheduler, address_by_worker: Mapping[str, Address]
    ) -> None:
        announcements = Announcements(
            peers=self._peers,
            clock=self._clock,
            random=self._random,
            wait_for_report=active.wait_for_report,
        )
        announcement = SchedulerAnnouncement(
            epoch=active.lease.epoch, scheduler=active.lease.address
        )
        await announcements.run(announcement, address_by_worker)

    # Handlers of calls.

    async def _handle_ping(self, ping: Ping) -> PingReply:
        if self.active is None:
            return PingReply(incarnation=self._incarnation)
        # Nothing else would notice that the rounds here are held up.
        self._backlog.check()
        self.active.record_ping(ping)
        update = self.active.backlog_update(ping.backlog_version)
        return PingReply(
            incarnation=self._incarnation,
            epoch=self.active.lease.epoch,
            clock_ms=int(self._clock.elapsed().total_seconds() * 1000),
            backlog=update.backlog,
            backlog_version=update.version,
        )

    async def _handle_report(self, report: Report) -> ReportReply:
        if self.active is not None:
            return self.active.handle_report(report)
        row = self._watch.row
        return ReportReply(scheduler=None if row is None else row.address)

    async def _handle_notification(self, notification: JobNotification) -> Acknowledged:
        if self.active is None:
            return Acknowledged(is_scheduler=False)
        for job in notification.accepted:
            self._accept(self.active, job)
        for job_id in notification.cancelled:
            self.active.notify_cancelled(job_id)
        update = self.active.backlog_update(notification.backlog_version)
        return Acknowledged(backlog=update.backlog, backlog_version=update.version)

    async def _handle_state(self, query: StateQuery) -> StateReply:
        state = None if self.active is None else self.active.state_of(query.job)
        return StateReply(state=state)

    async def _notify(self, notification: JobNotification) -> None:
        row = self._watch.row
        if row is None or row.is_resigned:
            return
        try:
            reply = await self._peers.call(
                row.address, JOB_NOTIFICATION, notification, timeout=_CALL_TIMEOUT
            )
        except CommunicationError as error:
            # The scheduler reads it from the table's changes shortly afterwards.
            log_event("scheduler:tell-failed", peer=str(row.address), reason=str(error))
            return
        self._backlog.receive(reply)


def _flatten(group: BaseExceptionGroup[LeaseLost]) -> list[BaseException]:
    flat: list[BaseException] = []
    for error in group.exceptions:
        flat += _flatten(error) if isinstance(error, BaseExceptionGroup) else [error]
    return flat
