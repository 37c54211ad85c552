"""Carries single orders out at the worker."""

from __future__ import annotations

import abc
from dataclasses import dataclass
from datetime import timedelta

from coltsfoottray.agent.lease import WorkerLease
from coltsfoottray.agent.runs import Runs
from coltsfoottray.agent.speeds import SpeedController
from coltsfoottray.agent.worker import (
    Heartbeat,
    Refusal,
    StartRefused,
    WorkerLink,
    WorkerReplaced,
)
from coltsfoottray.clock import Clock
from coltsfoottray.errors import CommunicationError
from coltsfoottray.jobs.model import RunRef
from coltsfoottray.logs import log_event
from coltsfoottray.metrics import Metrics
from coltsfoottray.scheduler.messages import StartOrder

__all__ = ["AttendantState", "OrderExecutor", "OrderScope"]

_RETRY = timedelta(milliseconds=100)
# A start that the worker would get with less lease than this is held back.
_MIN_LEASE = timedelta(milliseconds=300)
_MAX_LATE = 5
# With the timeout of an order, some 4 s: the users take a job for lost of which nothing
# runs for 3 s.
_MAX_UNANSWERED = 5


@dataclass(frozen=True, kw_only=True, eq=False)
class OrderScope:
    """The life and the session for which an order holds; in others it is void."""

    heartbeat: Heartbeat
    session: int
    runs: Runs


class AttendantState(abc.ABC):
    """What an order has to know of the attendant while it is carried out."""

    @abc.abstractmethod
    def is_current(self, scope: OrderScope) -> bool:
        """Whether neither the session nor the worker's life has changed."""

    @abc.abstractmethod
    def has_polled(self, scope: OrderScope) -> bool:
        """Whether the worker has shown in the session what it runs."""

    @property
    @abc.abstractmethod
    def is_draining(self) -> bool:
        """Whether the worker takes nothing new."""

    @abc.abstractmethod
    def issue_lease(self, now: timedelta) -> int:
        """Return the end of the lease on the worker's clock, 0 for no change."""

    @abc.abstractmethod
    def handle_replacement(self, error: WorkerReplaced) -> None:
        """Note that another life of the worker has answered."""

    @abc.abstractmethod
    def request_report(self) -> None:
        """Report to the scheduler soon."""


class OrderExecutor:
    """Starts and stops runs.

    Parameters
    ----------
    link : WorkerLink
        Takes the orders.
    state : AttendantState
        Tells whether an order still holds.
    """

    def __init__(
        self,
        *,
        link: WorkerLink,
        state: AttendantState,
        lease: WorkerLease,
        speeds: SpeedController,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._link = link
        self._state = state
        self._lease = lease
        self._speeds = speeds
        self._clock = clock
        self._metrics = metrics

    async def start(self, order: StartOrder, scope: OrderScope) -> None:
        """Start a run, asking again until the worker has answered."""
        runs = scope.runs
        late = 0
        unanswered = 0
        while self._state.is_current(scope) and order.ref in runs.starting:
            if self._state.is_draining:
                reason = Refusal.DRAINING
                await self._refuse(order, reason, scope, is_open=unanswered > 0)
                return
            if unanswered >= _MAX_UNANSWERED:
                # Looks are answered, so that the lease is renewed: the task would wait
                # for this worker for ever.
                reason = Refusal.UNHEALTHY
                await self._refuse(order, reason, scope, is_open=True)
                return
            now = self._clock.elapsed()
            lease_end_ms = self._state.issue_lease(now)
            if not lease_end_ms or self._lease.remaining_grant(now) < _MIN_LEASE:
                await self._clock.sleep(_RETRY)
                continue
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
                late += error.reason is Refusal.LATE
                if error.reason is not Refusal.LATE or late > _MAX_LATE:
                    reason = error.reason
                    await self._refuse(order, reason, scope, is_open=unanswered > 0)
                    return
            except (CommunicationError, WorkerReplaced) as error:
                # It may have begun, or begin later; the same start asked for
                # again finds out, and begins no second one.
                unanswered += 1
                if isinstance(error, WorkerReplaced):
                    self._state.handle_replacement(error)
                log_event(
                    "worker:start-unanswered", run=str(order.ref), reason=str(error)
                )
            else:
                self._metrics.time("start_order", self._clock.elapsed() - now)
                runs.starting.discard(order.ref)
                runs.started_by_ref[order.ref] = self._clock.elapsed()
                log_event("worker:started", run=str(order.ref), session=scope.session)
                if order.is_filler and self._speeds.has_services:
                    # Not at the next look: half a second of a strong filler at
                    # full speed takes two more to wear off.
                    await self._speeds.set_speeds(scope.heartbeat, runs, scope.session)
                return
            await self._clock.sleep(_RETRY)

    async def _refuse(
        self,
        order: StartOrder,
        reason: Refusal,
        scope: OrderScope,
        *,
        is_open: bool,
    ) -> None:
        """Report that a run does not and will not exist here, once that is certain.

        An earlier attempt without an answer may be carried out seconds later, when
        the run's successor is at work elsewhere: then the run is stopped first, which
        shuts the attempt out.
        """
        self._metrics.count("starts_refused", reason=reason.value)
        log_event(
            "worker:refused",
            run=str(order.ref),
            reason=reason.value,
            is_open=is_open,
        )
        if not self._state.is_current(scope):
            # The next session's start of it may have begun the run. Noted as being
            # stopped there, the run was passed over by a later order to stop it.
            return
        if is_open:
            scope.runs.stopped_by_ref[order.ref] = None
            scope.runs.reason_by_ref[order.ref] = reason
            await self.stop(order.ref, scope)
            return
        # Told as the run's end, the refusal of a start that was asked for again hid how
        # the run had ended, or that it was at work. A later look shows either.
        if self._may_be_repeat(order.ref, reason, scope):
            scope.runs.record_refusal(order.ref, reason, self._clock.elapsed())
            return
        scope.runs.record_rejection(order.ref, reason)
        self._state.request_report()

    def _may_be_repeat(self, ref: RunRef, reason: Refusal, scope: OrderScope) -> bool:
        """Whether the run may have been started here before, in another session."""
        is_known_there = reason is Refusal.OLD or scope.runs.is_running(ref)
        return is_known_there or not self._state.has_polled(scope)

    async def stop(self, ref: RunRef, scope: OrderScope) -> None:
        """Stop a run, asking again until the worker has answered."""
        runs = scope.runs
        runs.starting.discard(ref)
        while self._state.is_current(scope) and ref in runs.stopped_by_ref:
            try:
                await self._link.stop(
                    heartbeat=scope.heartbeat, ref=ref, fence=scope.session
                )
            except (CommunicationError, WorkerReplaced) as error:
                log_event("worker:stop-unanswered", run=str(ref), reason=str(error))
                await self._clock.sleep(_RETRY)
                continue
            runs.stopped_by_ref[ref] = self._clock.elapsed()
            log_event("worker:stopped", run=str(ref), session=scope.session)
            return
