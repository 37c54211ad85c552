"""Running requests at one upstream instance."""

from __future__ import annotations

from datetime import timedelta

import trio

from coltsfoottray.clock import Clock
from coltsfoottray.errors import CommunicationError, InputError
from coltsfoottray.http import HttpRequest, HttpResponse, HttpTransport
from coltsfoottray.lists import ListHolder
from coltsfoottray.logs import log_event
from coltsfoottray.membership import LoadReport
from coltsfoottray.requests.messages import RunOutcome, RunReply, RunRequest, read_int
from coltsfoottray.types import Address, Incarnation, Kind, RequestId
from coltsfoottray.upstream.ledger import Execution, ExecutionLedger, ExecutionState
from coltsfoottray.upstream.slots import ConcurrencyLimiter

__all__ = ["UpstreamAttendant"]

# Weight of the newest service time in the decayed average.
_AVERAGE_WEIGHT = 0.2
_DRAIN_POLL = timedelta(milliseconds=50)


class UpstreamAttendant:
    """Judges, forwards and remembers the requests of one upstream instance.

    Parameters
    ----------
    upstream : Address
        Where the upstream listens.
    incarnation : Incarnation
        This life of the attendant. Messages meant for an earlier one are
        refused: that one's memory of ids is lost, so nothing may rest on it.
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
        """Return how busy the instance is now."""
        return LoadReport(
            slots=self._limiter.slots,
            connections=self._limiter.connections,
            in_flight=self._limiter.in_flight,
            service_s_by_kind=dict(self._service_s_by_kind),
        )

    async def handle(self, message: HttpRequest) -> HttpResponse:
        """Answer one message of an entry."""
        reply = await self._reply(message)
        return RunReply(
            outcome=reply.outcome,
            reason=reply.reason,
            is_final=reply.is_final,
            response=reply.response,
            load=self.load(),
            lists_version=self._holder.current.version,
        ).as_http()

    async def drain(self) -> None:
        """Take nothing new, and return once nothing is in flight.

        What waits for a slot is refused as not run, and runs elsewhere sooner.
        """
        self.is_draining = True
        await self._limiter.close()
        while self._limiter.in_flight:
            await self._clock.sleep(_DRAIN_POLL)

    async def _reply(self, message: HttpRequest) -> RunReply:
        if message.method == "POST":
            return await self._run(message)
        request = RequestId(message.header_by_name.get("x-request", ""))
        if message.header_by_name.get("x-incarnation") != self._incarnation:
            return RunReply(
                outcome=RunOutcome.UNKNOWN, reason="the attendant restarted"
            )
        if message.method == "DELETE":
            attempt = read_int(message.header_by_name, "x-attempt")
            return _as_reply(self._ledger.tombstone(request, attempt))
        if message.method == "GET":
            return await self._fetch(request, message.query.get("wait_ms", "0"))
        raise InputError(
            field="method", value=message.method, expected="POST, GET or DELETE"
        )

    async def _fetch(self, request: RequestId, wait_ms: str) -> RunReply:
        execution = self._ledger.find(request)
        if execution is None:
            return RunReply(outcome=RunOutcome.ABSENT, reason="never seen here")
        with trio.move_on_after(int(wait_ms) / 1000):
            await execution.ended.wait()
        return _as_reply(execution)

    async def _run(self, message: HttpRequest) -> RunReply:
        request = RunRequest.of_http(message)
        if message.header_by_name.get("x-incarnation") != self._incarnation:
            # Nothing of this message was run, but an earlier send of the same
            # id may have been, by the former self.
            return _not_run("the attendant restarted")
        execution = self._ledger.admit(request.request, request.attempt)
        if execution is None:
            return await self._join(request)
        refusal = self._refusal(request)
        if refusal is not None:
            self._ledger.withdraw(execution)
            return refusal
        return await self._run_admitted(request, execution)

    async def _join(self, request: RunRequest) -> RunReply:
        """Wait for an id that was seen before; it never starts again."""
        execution = self._ledger.find(request.request)
        assert execution is not None
        with trio.move_on_after(request.remaining.total_seconds()):
            await execution.ended.wait()
        return _as_reply(execution)

    def _refusal(self, request: RunRequest) -> RunReply | None:
        """Return why `request` may not start; None once it holds a connection."""
        if self.is_draining:
            return _not_run("draining")
        lists = self._holder.current
        if request.lists_version < lists.version:
            # The entry decided by lists that are no longer in force.
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

        Shielded from the entry's connection: the answer is kept for a later
        fetch, also when the connection that asked for it has gone.
        """
        try:
            if not await self._wait_for_slot(request, execution):
                if execution.state is ExecutionState.TOMBSTONED:
                    return _as_reply(execution)
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
        return _as_reply(execution)

    async def _wait_for_slot(self, request: RunRequest, execution: Execution) -> bool:
        share = self._share(request)
        with trio.move_on_after(request.remaining.total_seconds()):
            if not await self._limiter.acquire_slot(request.customer, share):
                return False
            if self._ledger.start(execution):
                return True
            self._limiter.release_slot(request.customer)
        return False

    def _share(self, request: RunRequest) -> float:
        allowance = self._holder.current.allowance_of(request.customer)
        return 1.0 if allowance is None else allowance.vm_share

    async def _forward(self, request: RunRequest, execution: Execution) -> None:
        started = self._clock.elapsed()
        message = HttpRequest(
            method="POST",
            target=f"/{request.kind}",
            header_by_name=request.header_by_name,
            body=request.body,
        )
        with trio.CancelScope(shield=True):
            try:
                answer = await self._transport.send(self._upstream, message)
            except CommunicationError as error:
                log_event("upstream:broken", request=request.request, error=str(error))
                self._note_broken(execution, error)
                return
        self._note_service_time(request.kind, self._clock.elapsed() - started)
        self._ledger.finish(execution, answer)

    def _note_broken(self, execution: Execution, error: CommunicationError) -> None:
        if error.is_unseen:
            # The upstream was never reached, so a tombstone is the truth.
            execution.state = ExecutionState.WAITING
            self._ledger.tombstone(execution.request, execution.attempt)
        else:
            self._ledger.finish(execution, None)

    def _note_service_time(self, kind: Kind, duration: timedelta) -> None:
        seconds = duration.total_seconds()
        before = self._service_s_by_kind.get(kind, seconds)
        self._service_s_by_kind[kind] = before + _AVERAGE_WEIGHT * (seconds - before)


def _not_run(reason: str, *, is_final: bool = False) -> RunReply:
    return RunReply(outcome=RunOutcome.NOT_RUN, reason=reason, is_final=is_final)


def _as_reply(execution: Execution) -> RunReply:
    state = execution.state
    if state is ExecutionState.TOMBSTONED:
        return _not_run("cancelled before it started")
    if state is ExecutionState.ANSWERED and execution.answer is not None:
        return RunReply(outcome=RunOutcome.ANSWERED, response=execution.answer)
    if state is ExecutionState.ANSWERED:
        return RunReply(
            outcome=RunOutcome.UNKNOWN, reason="it ran, and its answer is dropped"
        )
    if state is ExecutionState.UNKNOWN:
        return RunReply(
            outcome=RunOutcome.UNKNOWN, reason="the upstream broke off while it ran"
        )
    return RunReply(outcome=RunOutcome.RUNNING, reason=state.value)
