"""Dispatch of each request to one place at a time, until its outcome is known."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from datetime import timedelta

import trio

from coltsfoottray.claims import Claim, ClaimOutcome, Claims
from coltsfoottray.clock import Clock, as_microseconds
from coltsfoottray.errors import CommunicationError
from coltsfoottray.explain import Journal, RunnerUp, Verb
from coltsfoottray.http import HttpResponse, Outcome, Problem
from coltsfoottray.lists import ListHolder
from coltsfoottray.requests.attendant_client import AttendantClient
from coltsfoottray.requests.claim_follower import PROBE_AFTER, ClaimFollower
from coltsfoottray.requests.messages import Place, RunOutcome, RunReply, RunRequest
from coltsfoottray.routing import Router
from coltsfoottray.routing.table import RoutingTable
from coltsfoottray.types import (
    Address,
    AttendantId,
    CustomerId,
    DaemonId,
    Incarnation,
    Kind,
    RequestId,
)

__all__ = ["CallerRequest", "Dispatcher"]

# If this many places refuse a request, the service as a whole is considered full.
MAX_PLACES = 4
# The place in a claim to a request that is not sent anywhere.
NO_PLACE = Place(
    attendant=AttendantId(DaemonId("")),
    incarnation=Incarnation(""),
    address=Address(host="0.0.0.0", port=0),
)
RETRY_AFTER = timedelta(seconds=1)
_CLAIM_RETRY_INTERVAL = timedelta(milliseconds=20)
_RESOLVE_RETRY_INTERVAL = timedelta(milliseconds=100)
_LISTS_TIMEOUT = timedelta(seconds=1)


@dataclass(frozen=True, kw_only=True)
class CallerRequest:
    """A request as its caller sent it.

    Parameters
    ----------
    deadline : timedelta
        Time on the monotonic clock.
    is_keyed : bool
        Whether the id contains an idempotency key of the caller, with which it
        may repeat the request at this or another entry.
    """

    request: RequestId
    customer: CustomerId
    kind: Kind
    deadline: timedelta
    header_by_name: dict[str, str]
    body: bytes
    is_keyed: bool
    is_idempotent: bool


@dataclass(kw_only=True)
class _Pending:
    response: HttpResponse | None = None
    done: trio.Event = field(default_factory=trio.Event)


class Dispatcher:
    """Routes requests and determines the final response to each.

    A request is sent to another place only after proof that the previous place
    did not and will not run it. Without that proof the caller receives "outcome
    unknown", so the response "not run" is always true.
    """

    def __init__(
        self,
        *,
        table: RoutingTable,
        router: Router,
        attendants: AttendantClient,
        claims: Claims,
        holder: ListHolder,
        journal: Journal,
        clock: Clock,
    ) -> None:
        self._table = table
        self._router = router
        self._attendants = attendants
        self._claims = claims
        self._follower = ClaimFollower(
            claims=claims, attendants=attendants, clock=clock
        )
        self._pending_by_id: dict[RequestId, _Pending] = {}
        self._holder = holder
        self._journal = journal
        self._clock = clock

    async def dispatch(self, request: CallerRequest) -> HttpResponse:
        """Return the final response to `request`."""
        if not request.is_keyed:
            result = await self._try_places(request, void_claim=None)
            assert isinstance(result, HttpResponse)
            return result
        existing = self._pending_by_id.get(request.request)
        if existing is not None:
            return await self._wait_for_pending(request, existing)
        pending = self._pending_by_id[request.request] = _Pending()
        try:
            pending.response = await self._dispatch_keyed(request)
            return pending.response
        finally:
            del self._pending_by_id[request.request]
            pending.done.set()

    async def _wait_for_pending(
        self, request: CallerRequest, existing: _Pending
    ) -> HttpResponse:
        """Wait for the response to a pending request with the same key."""
        with trio.move_on_after(self._remaining(request).total_seconds()):
            await existing.done.wait()
        if existing.response is None:
            return self._unknown(
                request, "a request with the same key is still pending"
            )
        return existing.response

    async def _dispatch_keyed(self, request: CallerRequest) -> HttpResponse:
        """Send the request, or follow the claim to it, until its outcome is known."""
        void_claim: Claim | None = None
        claim = self._claims.find(request.request)
        if claim is not None and self._is_unsent(claim):
            claim = None
        while True:
            if claim is not None:
                followed = await self._follower.follow(
                    request.request, claim, deadline=request.deadline
                )
                if followed.reply is not None:
                    return self._to_response(request, followed.reply)
                void_claim = followed.void_claim
            result = await self._try_places(request, void_claim=void_claim)
            if isinstance(result, HttpResponse):
                return result
            claim = result
            await self._clock.sleep(_CLAIM_RETRY_INTERVAL)

    def _is_unsent(self, claim: Claim) -> bool:
        return self._claims.is_own(claim) and not claim.is_complete

    def _to_response(self, request: CallerRequest, reply: RunReply) -> HttpResponse:
        """Return the response to the caller for the reply of an attempt."""
        if reply.outcome is RunOutcome.ANSWERED:
            assert reply.response is not None
            return reply.response
        return self._unknown(request, f"earlier attempt: {reply.reason}")

    async def _try_places(
        self, request: CallerRequest, *, void_claim: Claim | None
    ) -> HttpResponse | Claim:
        """Send `request` to one place after another until its outcome is known.

        Returns
        -------
        HttpResponse or Claim
            The final response, or the claim to follow if another entry was first.
        """
        tried: set[Place] = set()
        reason = "no upstream instance accepts new requests"
        while len(tried) < MAX_PLACES and self._remaining(request) > timedelta(0):
            place = self._choose(request, tried)
            if place is None:
                break
            tried.add(place)
            attempt = as_microseconds(self._clock.now())
            if request.is_keyed:
                claim_result = await self._claims.acquire(
                    request.request, place, void_claim=void_claim
                )
                if claim_result.outcome is ClaimOutcome.UNKNOWN:
                    return self._unknown(request, claim_result.reason)
                assert claim_result.claim is not None
                if claim_result.outcome is ClaimOutcome.FOLLOW:
                    return claim_result.claim
                void_claim = None
                attempt = claim_result.claim.attempt
            reply = await self._run_at(place, request, attempt)
            if reply.outcome is RunOutcome.ANSWERED:
                return self._to_response(request, reply)
            reason = f"{place.attendant}: {reply.reason}"
            if reply.outcome is not RunOutcome.NOT_RUN:
                return self._unknown(request, reason)
            if reply.is_final:
                break
            await self._wait_for_lists(reply)
        return await self._refuse(request, reason, void_claim)

    def _choose(self, request: CallerRequest, tried: set[Place]) -> Place | None:
        candidate_by_place = self._table.candidates(request.kind, skip=tried)
        if not candidate_by_place:
            return None
        candidates = list(candidate_by_place.values())
        choice = self._router.choose(request.kind, candidates)
        place_by_id = {place.attendant: place for place in candidate_by_place}
        self._record_decision(
            request,
            Verb.ROUTE,
            choice=choice.candidate.attendant,
            reason=choice.reason,
            runners_up=choice.runners_up,
        )
        return place_by_id[choice.candidate.attendant]

    async def _run_at(
        self, place: Place, request: CallerRequest, attempt: int
    ) -> RunReply:
        self._table.begin(place)
        reply: RunReply | None = None
        try:
            reply = await self._send(place, request, attempt)
            if reply.outcome is RunOutcome.RUNNING:
                reply = await self._resolve(place, request, attempt)
        finally:
            self._table.end(place, None if reply is None else reply.load)
        return reply

    async def _send(
        self, place: Place, request: CallerRequest, attempt: int
    ) -> RunReply:
        remaining = self._remaining(request)
        message = RunRequest(
            request=request.request,
            attempt=attempt,
            customer=request.customer,
            kind=request.kind,
            lists_version=self._holder.current.version,
            remaining=remaining,
            header_by_name=request.header_by_name,
            body=request.body,
        )
        try:
            # After PROBE_AFTER the reply is fetched over a new connection, because a
            # connection on which nothing arrives any more raises no error.
            return await self._attendants.run(
                place, message, timeout=min(remaining, PROBE_AFTER)
            )
        except CommunicationError as error:
            if error.is_unseen:
                return RunReply(outcome=RunOutcome.NOT_RUN, reason=str(error))
            return await self._resolve(place, request, attempt)

    async def _resolve(
        self, place: Place, request: CallerRequest, attempt: int
    ) -> RunReply:
        """Determine the outcome of a request that got no reply.

        A request that waits for a slot or runs stays where it is. If the
        attendant does not know the request, its message may still arrive, so the
        attendant is asked to cancel the id unless it has started. Then either it
        never starts, which proves that it was not run, or its reply is fetched.
        The same cancellation is sent at the deadline, so that a request still
        waiting for a slot can be refused as not run.
        """
        reply = RunReply(outcome=RunOutcome.UNKNOWN, reason="no reply")
        while self._remaining(request) > timedelta(0):
            try:
                reply = await self._attendants.fetch(
                    place,
                    request.request,
                    wait=min(self._remaining(request), PROBE_AFTER),
                )
                if reply.outcome in (RunOutcome.ABSENT, RunOutcome.NOT_RUN):
                    # What is cancelled there may be an earlier attempt only.
                    reply = await self._attendants.cancel(
                        place, request.request, attempt
                    )
                if reply.outcome is not RunOutcome.RUNNING:
                    return reply
            except CommunicationError as error:
                reply = RunReply(outcome=RunOutcome.UNKNOWN, reason=str(error))
                await self._clock.sleep(_RESOLVE_RETRY_INTERVAL)
        return await self._cancel_at_deadline(place, request, attempt, reply)

    async def _cancel_at_deadline(
        self, place: Place, request: CallerRequest, attempt: int, reply: RunReply
    ) -> RunReply:
        """Cancel a request at its deadline and return the outcome.

        If the attendant does not answer, return `reply`, the last known outcome.
        """
        try:
            cancelled = await self._attendants.cancel(place, request.request, attempt)
        except CommunicationError:
            return reply
        if cancelled.outcome is RunOutcome.RUNNING:
            return RunReply(
                outcome=RunOutcome.UNKNOWN, reason="still running at the deadline"
            )
        return cancelled

    async def _wait_for_lists(self, reply: RunReply) -> None:
        """Wait briefly if the attendant has newer lists than this entry."""
        if reply.lists_version <= self._holder.current.version:
            return
        with trio.move_on_after(_LISTS_TIMEOUT.total_seconds()):
            await self._holder.wait_newer(self._holder.current.version)

    def _remaining(self, request: CallerRequest) -> timedelta:
        return request.deadline - self._clock.elapsed()

    async def _refuse(
        self, request: CallerRequest, reason: str, void_claim: Claim | None
    ) -> HttpResponse | Claim:
        """Refuse the request as not run, which every place tried has proved.

        A keyed request needs a claim for this too, with `NO_PLACE` if this entry
        has none: without a claim, another entry may have run the request.
        """
        if request.is_keyed:
            held = self._claims.find(request.request)
            if held is None or not self._claims.is_own(held) or not held.is_complete:
                claim_result = await self._claims.acquire(
                    request.request, NO_PLACE, void_claim=void_claim
                )
                if claim_result.outcome is ClaimOutcome.UNKNOWN:
                    return self._unknown(request, claim_result.reason)
                if claim_result.outcome is ClaimOutcome.FOLLOW:
                    assert claim_result.claim is not None
                    return claim_result.claim
            await self._claims.release(request.request)
        self._record_decision(request, Verb.REFUSE, choice="not run", reason=reason)
        return Problem(
            outcome=Outcome.NOT_RUN, detail=reason, retry_after=RETRY_AFTER
        ).to_response()

    def _unknown(self, request: CallerRequest, reason: str) -> HttpResponse:
        self._record_decision(
            request, Verb.REFUSE, choice="outcome unknown", reason=reason
        )
        is_safe = request.is_keyed or request.is_idempotent
        return Problem(
            outcome=Outcome.UNKNOWN,
            detail=reason,
            retry_after=RETRY_AFTER if is_safe else None,
        ).to_response()

    def _record_decision(
        self,
        request: CallerRequest,
        verb: Verb,
        *,
        choice: str,
        reason: str,
        runners_up: Sequence[RunnerUp] = (),
    ) -> None:
        self._journal.record(
            request.request,
            request.customer,
            verb,
            choice=choice,
            reason=reason,
            runners_up=runners_up,
        )
