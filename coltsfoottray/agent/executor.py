"""Execution of single start and stop orders on the worker."""

from __future__ import annotations

import abc
from dataclasses import dataclass
from datetime import timedelta

import trio

from coltsfoottray.agent.evacuation import StartPermission
from coltsfoottray.agent.lease import WorkerLease
from coltsfoottray.agent.pressure_exchange import PressureExchange
from coltsfoottray.agent.runs import Runs
from coltsfoottray.agent.speeds import SpeedController
from coltsfoottray.agent.worker import (
    Heartbeat,
    Refusal,
    StartRefused,
    WorkerLink,
    WorkerReplaced,
)
from coltsfoottray.clock import Clock, as_duration
from coltsfoottray.errors import CommunicationError
from coltsfoottray.jobs.model import RunRef
from coltsfoottray.logs import log_event
from coltsfoottray.metrics import Metrics
from coltsfoottray.scheduler.messages import Orders, StartOrder

__all__ = ["AttendantState", "OrderExecutor", "OrderScope"]

_RETRY_DELAY = timedelta(milliseconds=100)
# A start is delayed while less than this is left of the lease.
_MIN_LEASE = timedelta(milliseconds=300)
_MAX_LATE_REFUSALS = 5
# About 4 s with the timeout of an order. Users consider a job lost if none of its tasks
# runs for 3 s.
_MAX_UNANSWERED = 5
# A new session costs the orders of all runs on the worker.
_MAX_UNANSWERED_STOPS = 3


@dataclass(frozen=True, kw_only=True, eq=False)
class OrderScope:
    """Worker incarnation and session in which an order is valid."""

    heartbeat: Heartbeat
    session: int
    runs: Runs


class AttendantState(abc.ABC):
    """State of the attendant that the execution of an order depends on."""

    @abc.abstractmethod
    def is_current(self, scope: OrderScope) -> bool:
        """Whether neither the session nor the worker's incarnation has changed."""

    @abc.abstractmethod
    def has_polled(self, scope: OrderScope) -> bool:
        """Whether the worker has been polled in the session."""

    @property
    @abc.abstractmethod
    def is_draining(self) -> bool:
        """Whether the worker accepts no new runs."""

    @abc.abstractmethod
    def start_permission(self, now: timedelta) -> StartPermission:
        """Return whether an evacuation of the data centre permits a start."""

    @abc.abstractmethod
    def issue_lease(self, now: timedelta) -> int:
        """Return the lease end to issue, on the worker's clock in ms; 0 for none."""

    @abc.abstractmethod
    def handle_replacement(self, error: WorkerReplaced, *, has_lease: bool) -> None:
        """Handle that another incarnation of the worker has answered.

        Parameters
        ----------
        has_lease : bool
            Whether the call specified the end of a lease.
        """

    @abc.abstractmethod
    def request_session(self) -> None:
        """Request a new session, in which the worker executes no earlier starts."""

    @abc.abstractmethod
    def request_report(self) -> None:
        """Request a report to the scheduler without delay."""


class OrderExecutor:
    """Starts and stops runs on the worker.

    Parameters
    ----------
    link : WorkerLink
        Link to the worker.
    state : AttendantState
        Decides whether an order is still valid.
    """

    def __init__(
        self,
        *,
        link: WorkerLink,
        state: AttendantState,
        lease: WorkerLease,
        speeds: SpeedController,
        pressures: PressureExchange,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._link = link
        self._state = state
        self._lease = lease
        self._speeds = speeds
        self._pressures = pressures
        self._clock = clock
        self._metrics = metrics

    def accept(self, orders: Orders, scope: OrderScope, nursery: trio.Nursery) -> None:
        """Begin to execute orders, except for those that are being executed already."""
        runs = scope.runs
        if orders.deferred is not None:
            runs.deferred = set(orders.deferred)
        for order in orders.starts:
            if order.ref in runs.stopped_by_ref:
                continue
            if runs.reject_again(order.ref):
                log_event("worker:rejected-again", run=str(order.ref))
                self._state.request_report()
                continue
            is_repeat = runs.is_known(order.ref)
            runs.order_by_ref[order.ref] = order
            if order.length_ms:
                time_left = as_duration(order.time_left_ms)
                runs.end_by_ref[order.ref] = self._clock.elapsed() + time_left
            if not is_repeat:
                runs.starting.add(order.ref)
                if self._pressures.lacks(order):
                    self._state.request_report()
                nursery.start_soon(self.start, order, scope)
        for ref in orders.stops:
            if ref not in runs.stopped_by_ref:
                runs.stopped_by_ref[ref] = None
                nursery.start_soon(self.stop, ref, scope)

    async def start(self, order: StartOrder, scope: OrderScope) -> None:
        """Start a run, retrying until the worker answers."""
        runs = scope.runs
        late = 0
        unanswered = 0
        is_held = False
        while self._state.is_current(scope) and order.ref in runs.starting:
            if self._state.is_draining:
                reason = Refusal.DRAINING
                await self._refuse(order, reason, scope, has_unanswered=unanswered > 0)
                return
            if unanswered >= _MAX_UNANSWERED:
                # If only polls are answered, the lease is renewed and the task would
                # wait for this worker forever.
                reason = Refusal.UNHEALTHY
                await self._refuse(order, reason, scope, has_unanswered=True)
                return
            now = self._clock.elapsed()
            permission = self._state.start_permission(now)
            if permission is StartPermission.EVACUATED:
                reason = Refusal.EVACUATED
                await self._refuse(order, reason, scope, has_unanswered=unanswered > 0)
                return
            if permission is StartPermission.OUTDATED:
                if not is_held:
                    is_held = True
                    log_event("worker:start-held", run=str(order.ref))
                    self._state.request_report()
                await self._clock.sleep(_RETRY_DELAY)
                continue
            lease_end_ms = self._state.issue_lease(now)
            if not lease_end_ms or self._lease.remaining_grant(now) < _MIN_LEASE:
                await self._clock.sleep(_RETRY_DELAY)
                continue
            runs.open_starts.add(order.ref)
            try:
                await self._link.start(
                    heartbeat=scope.heartbeat,
                    ref=order.ref,
                    payload=order.payload,
                    checkpoint=order.checkpoint,
                    ticket=order.ticket,
                    fence=scope.session,
                    lease_end_ms=lease_end_ms,
                )
            except StartRefused as error:
                if not unanswered and self._state.is_current(scope):
                    runs.open_starts.discard(order.ref)
                late += error.reason is Refusal.LATE
                if error.reason is not Refusal.LATE or late > _MAX_LATE_REFUSALS:
                    reason = error.reason
                    await self._refuse(
                        order, reason, scope, has_unanswered=unanswered > 0
                    )
                    return
            except (CommunicationError, WorkerReplaced) as error:
                # The run may have started, or may start later. Repeating the request
                # settles this and cannot start a second run.
                unanswered += 1
                if isinstance(error, WorkerReplaced):
                    self._state.handle_replacement(error, has_lease=True)
                log_event(
                    "worker:start-unanswered", run=str(order.ref), reason=str(error)
                )
            else:
                self._metrics.time("start_order", self._clock.elapsed() - now)
                runs.starting.discard(order.ref)
                runs.open_starts.discard(order.ref)
                runs.started_by_ref[order.ref] = self._clock.elapsed()
                log_event("worker:started", run=str(order.ref), session=scope.session)
                if order.is_filler and self._speeds.has_services:
                    # Waiting for the next poll would let a heavy filler run at full
                    # speed for half a second; its effect takes two more to subside.
                    await self._speeds.set_speeds(scope.heartbeat, runs, scope.session)
                return
            await self._clock.sleep(_RETRY_DELAY)

    async def _refuse(
        self,
        order: StartOrder,
        reason: Refusal,
        scope: OrderScope,
        *,
        has_unanswered: bool,
    ) -> None:
        """Reject a start once the run certainly does not and will not exist here.

        If an earlier request was not answered, the worker may still execute it seconds
        later, while the task's next run works elsewhere. The run is then stopped first,
        which makes the worker refuse that request.
        """
        self._metrics.count("starts_refused", reason=reason.value)
        log_event(
            "worker:refused",
            run=str(order.ref),
            reason=reason.value,
            is_open=has_unanswered,
        )
        if not self._state.is_current(scope):
            # An order of the next session may have started the run. Marking the run as
            # being stopped would make that session ignore later orders to stop it.
            return
        if has_unanswered:
            scope.runs.stopped_by_ref[order.ref] = None
            scope.runs.reason_by_ref[order.ref] = reason
            await self.stop(order.ref, scope)
            return
        # The run of a repeated start may be running or may have ended. Rejecting it
        # would hide this from the scheduler; the next poll shows which is the case.
        if self._may_be_repeat(order.ref, reason, scope):
            scope.runs.record_refusal(order.ref, reason, self._clock.elapsed())
            return
        scope.runs.record_rejection(order.ref, reason)
        self._state.request_report()

    def _may_be_repeat(self, ref: RunRef, reason: Refusal, scope: OrderScope) -> bool:
        """Whether the run may have been started here before."""
        is_known_to_worker = reason is Refusal.OLD or scope.runs.is_running(ref)
        has_listed_all = self._state.has_polled(scope) and scope.runs.is_complete
        return is_known_to_worker or not has_listed_all

    async def stop(self, ref: RunRef, scope: OrderScope) -> None:
        """Stop a run, retrying until the worker answers.

        If the run is not listed and no answer arrives, the worker may still execute an
        earlier start. A new session prevents that too.
        """
        runs = scope.runs
        unanswered = 0
        runs.starting.discard(ref)
        while self._state.is_current(scope) and ref in runs.stopped_by_ref:
            try:
                await self._link.stop(
                    heartbeat=scope.heartbeat, ref=ref, fence=scope.session
                )
            except (CommunicationError, WorkerReplaced) as error:
                log_event("worker:stop-unanswered", run=str(ref), reason=str(error))
                unanswered += 1
                if unanswered >= _MAX_UNANSWERED_STOPS and not runs.is_running(ref):
                    self._state.request_session()
                await self._clock.sleep(_RETRY_DELAY)
                continue
            if ref in runs.stopped_by_ref:
                runs.stopped_by_ref[ref] = self._clock.elapsed()
            log_event("worker:stopped", run=str(ref), session=scope.session)
            return
