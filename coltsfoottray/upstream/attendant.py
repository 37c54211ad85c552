"""Execution of requests at one upstream instance."""

from __future__ import annotations

from datetime import timedelta

import trio

from coltsfoottray.clock import Clock
from coltsfoottray.errors import CommunicationError, InputError
from coltsfoottray.http import HttpRequest, HttpResponse, HttpTransport
from coltsfoottray.lists import ListHolder
from coltsfoottray.logs import log_event
from coltsfoottray.membership import LoadReport
from coltsfoottray.requests.messages import (
    RunOutcome,
    RunReply,
    RunRequest,
    parse_int_header,
)
from coltsfoottray.types import Address, Incarnation, Kind, RequestId
from coltsfoottray.upstream.ledger import Execution, ExecutionLedger, ExecutionState
from coltsfoottray.upstream.slots import ConcurrencyLimiter

__all__ = ["UpstreamAttendant"]

# Weight of the latest service time in the exponentially weighted average.
_SERVICE_TIME_SMOOTHING_FACTOR = 0.2
_DRAIN_POLL_INTERVAL = timedelta(milliseconds=50)


class UpstreamAttendant:
    """Admits, forwards and records the requests of one upstream instance.

    Parameters
    ----------
    upstream : Address
        Address on which the upstream listens.
    incarnation : Incarnation
        Identifies this process of the attendant. Messages meant for an earlier
        incarnation are refused, because the record of request ids that they rely on
        is lost.
    """

    def __init__(
        self,
        *,
        upstream: Address,
        incarnation: Incarnation,
        ledger: ExecutionLedger,
        limiter: ConcurrencyLimiter,
        holder: ListHolder,
        transport: HttpTransport,
        clock: Clock,
    ) -> None:
        self._upstream = upstream
        self._incarnation = incarnation
        self._ledger = ledger
        self._limiter = limiter
        self._holder = holder
        self._transport = transport
        self._clock = clock
        self._service_s_by_kind: dict[Kind, float] = {}
        self.is_draining = False

    def load(self) -> LoadReport:
        """Return the current load of the instance."""
        return LoadReport(
            slots=self._limiter.slots,
            connections=self._limiter.connections,
            in_flight=self._limiter.in_flight,
            service_s_by_kind=dict(self._service_s_by_kind),
        )

    async def handle(self, message: HttpRequest) -> HttpResponse:
        """Handle one message from an entry."""
        reply = await self._reply(message)
        return RunReply(
            outcome=reply.outcome,
            reason=reply.reason,
            is_final=reply.is_final,
            response=reply.response,
            load=self.load(),
            lists_version=self._holder.current.version,
        ).to_http()

    async def drain(self) -> None:
        """Refuse new requests, and return once none is in flight.

        Requests that wait for a slot are answered as not run, so that their entries
        can send them to other instances at once.
        """
        self.is_draining = True
        await self._limiter.close()
        while self._limiter.in_flight:
            await self._clock.sleep(_DRAIN_POLL_INTERVAL)

    async def _reply(self, message: HttpRequest) -> RunReply:
        if message.method == "POST":
            return await self._run(message)
        request = RequestId(message.header_by_name.get("x-request", ""))
        if message.header_by_name.get("x-incarnation") != self._incarnation:
            return RunReply(
                outcome=RunOutcome.UNKNOWN, reason="the attendant restarted"
            )
        if message.method == "DELETE":
            attempt = parse_int_header(message.header_by_name, "x-attempt")
            return _to_reply(self._ledger.tombstone(request, attempt))
        if message.method == "GET":
            return await self._fetch(request, message.query.get("wait_ms", "0"))
        raise InputError(
            field="method", value=message.method, expected="POST, GET or DELETE"
        )

    async def _fetch(self, request: RequestId, wait_ms: str) -> RunReply:
        execution = self._ledger.find(request)
        if execution is None:
            return RunReply(outcome=RunOutcome.ABSENT, reason="unknown request id")
        with trio.move_on_after(int(wait_ms) / 1000):
            await execution.ended.wait()
        return _to_reply(execution)

    async def _run(self, message: HttpRequest) -> RunReply:
        request = RunRequest.from_http(message)
        if message.header_by_name.get("x-incarnation") != self._incarnation:
            # This message was not run, but an earlier incarnation may have run an
            # earlier attempt of the same id.
            return _not_run("the attendant restarted")
        execution = self._ledger.admit(request.request, request.attempt)
        if execution is None:
            return await self._wait_for_existing(request)
        refusal = self._check_admission(request)
        if refusal is not None:
            self._ledger.withdraw(execution)
            return refusal
        return await self._run_admitted(request, execution)

    async def _wait_for_existing(self, request: RunRequest) -> RunReply:
        """Wait for the existing execution of an id; the id is not started again."""
        execution = self._ledger.find(request.request)
        assert execution is not None
        with trio.move_on_after(request.remaining.total_seconds()):
            await execution.ended.wait()
        return _to_reply(execution)

    def _check_admission(self, request: RunRequest) -> RunReply | None:
        """Acquire a connection for `request`, or return why it may not start."""
        if self.is_draining:
            return _not_run("draining")
        lists = self._holder.current
        if request.lists_version < lists.version:
            # The entry decided on lists that are no longer in force.
            return _not_run(f"lists at version {lists.version} are in force")
        allowance = lists.allowance_of(request.customer)
        if allowance is None:
            return _not_run(lists.line_of(request.customer), is_final=True)
        reason = self._limiter.try_acquire_connection(
            request.customer, allowance.vm_share
        )
        return None if reason is None else _not_run(reason)

    async def _run_admitted(
        self, request: RunRequest, execution: Execution
    ) -> RunReply:
        """Run an execution that holds a connection.

        The call to the upstream is shielded from cancellation, so that the response
        is kept for a later fetch even if the connection to the entry is lost.
        """
        try:
            if not await self._wait_for_slot(request, execution):
                if execution.state is ExecutionState.TOMBSTONED:
                    return _to_reply(execution)
                self._ledger.withdraw(execution)
                if self.is_draining:
                    return _not_run("draining")
                return _not_run("no slot before the deadline", is_final=True)
            try:
                await self._forward(request, execution)
            finally:
                self._limiter.release_slot(request.customer)
        finally:
            self._limiter.release_connection(request.customer)
            await self._limiter.notify_waiters()
        return _to_reply(execution)

    async def _wait_for_slot(self, request: RunRequest, execution: Execution) -> bool:
        share = self._vm_share(request)
        with trio.move_on_after(request.remaining.total_seconds()):
            if not await self._limiter.acquire_slot(request.customer, share):
                return False
            if self._ledger.start(execution):
                return True
            self._limiter.release_slot(request.customer)
        return False

    def _vm_share(self, request: RunRequest) -> float:
        allowance = self._holder.current.allowance_of(request.customer)
        return 1.0 if allowance is None else allowance.vm_share

    async def _forward(self, request: RunRequest, execution: Execution) -> None:
        started_at = self._clock.elapsed()
        message = HttpRequest(
            method="POST",
            target=f"/{request.kind}",
            header_by_name=request.header_by_name,
            body=request.body,
        )
        with trio.CancelScope(shield=True):
            try:
                response = await self._transport.send(self._upstream, message)
            except CommunicationError as error:
                log_event("upstream:broken", request=request.request, error=str(error))
                self._record_upstream_failure(execution, error)
                return
        self._record_service_time(request.kind, self._clock.elapsed() - started_at)
        self._ledger.finish(execution, response)

    def _record_upstream_failure(
        self, execution: Execution, error: CommunicationError
    ) -> None:
        if error.is_unseen:
            # The upstream was never reached, so the request certainly did not run.
            execution.state = ExecutionState.WAITING
            self._ledger.tombstone(execution.request, execution.attempt)
        else:
            self._ledger.finish(execution, None)

    def _record_service_time(self, kind: Kind, duration: timedelta) -> None:
        seconds = duration.total_seconds()
        previous = self._service_s_by_kind.get(kind, seconds)
        self._service_s_by_kind[kind] = previous + _SERVICE_TIME_SMOOTHING_FACTOR * (
            seconds - previous
        )


def _not_run(reason: str, *, is_final: bool = False) -> RunReply:
    return RunReply(outcome=RunOutcome.NOT_RUN, reason=reason, is_final=is_final)


def _to_reply(execution: Execution) -> RunReply:
    state = execution.state
    if state is ExecutionState.TOMBSTONED:
        return _not_run("cancelled before it started")
    if state is ExecutionState.ANSWERED and execution.response is not None:
        return RunReply(outcome=RunOutcome.ANSWERED, response=execution.response)
    if state is ExecutionState.ANSWERED:
        return RunReply(
            outcome=RunOutcome.UNKNOWN,
            reason="the request ran, but its response was dropped",
        )
    if state is ExecutionState.UNKNOWN:
        return RunReply(
            outcome=RunOutcome.UNKNOWN,
            reason="the call to the upstream failed during the run",
        )
    return RunReply(outcome=RunOutcome.RUNNING, reason=state.value)
