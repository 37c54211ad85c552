"""Determination of the outcome of a request that is already claimed."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta

from coltsfoottray.claims import Claim, Claims
from coltsfoottray.clock import Clock
from coltsfoottray.errors import CommunicationError
from coltsfoottray.requests.attendant_client import AttendantClient
from coltsfoottray.requests.messages import RunOutcome, RunReply
from coltsfoottray.types import RequestId

__all__ = ["ClaimFollower", "FollowResult"]

PROBE_AFTER = timedelta(seconds=2)
_RETRY_INTERVAL = timedelta(milliseconds=50)


@dataclass(frozen=True, kw_only=True)
class FollowResult:
    """The outcome of a claimed request, or the claim if it is void.

    Parameters
    ----------
    reply : RunReply, optional
        The outcome, if the claim's place has one.
    void_claim : Claim, optional
        The claim, if its place will not run the request. Another entry may then
        supersede it: the claimant has left, or can be asked for its consent.
    """

    reply: RunReply | None = None
    void_claim: Claim | None = None


class ClaimFollower:
    """Determines the outcome of a claimed request, without running it."""

    def __init__(
        self, *, claims: Claims, attendants: AttendantClient, clock: Clock
    ) -> None:
        self._claims = claims
        self._attendants = attendants
        self._clock = clock

    async def follow(
        self, request: RequestId, claim: Claim, *, deadline: timedelta
    ) -> FollowResult:
        """Return the outcome of `claim`, waiting until `deadline` (monotonic)."""
        reason = "no reply"
        while True:
            remaining = deadline - self._clock.elapsed()
            if remaining <= timedelta(0):
                reply = RunReply(outcome=RunOutcome.UNKNOWN, reason=reason)
                return FollowResult(reply=reply)
            claim = self._claims.find(request) or claim
            must_cancel = self._must_cancel(claim)
            try:
                reply = await self._query(request, claim, remaining)
            except CommunicationError as error:
                reason = str(error)
                await self._clock.sleep(_RETRY_INTERVAL)
                continue
            if reply.outcome in (RunOutcome.ANSWERED, RunOutcome.UNKNOWN):
                return FollowResult(reply=reply)
            if reply.outcome is RunOutcome.RUNNING:
                reason = "still running"
                continue
            if self._must_cancel(claim) and not must_cancel:
                # The claimant has left meanwhile, and its message may be in transit.
                continue
            return FollowResult(void_claim=claim)

    async def _query(
        self, request: RequestId, claim: Claim, remaining: timedelta
    ) -> RunReply:
        """Return the reply of the claim's place.

        If the claimant has left, or the claim is from an earlier attempt of this
        entry, the id is cancelled first: a message still in transit must not
        start the request after it was sent to another place.
        """
        if not claim.place.attendant:
            return RunReply(outcome=RunOutcome.NOT_RUN, reason="not sent anywhere")
        if self._must_cancel(claim):
            reply = await self._attendants.cancel(claim.place, request, claim.attempt)
            if reply.outcome is not RunOutcome.RUNNING:
                return reply
        return await self._attendants.fetch(
            claim.place, request, wait=min(remaining, PROBE_AFTER)
        )

    def _must_cancel(self, claim: Claim) -> bool:
        return self._claims.has_claimant_left(claim) or self._claims.is_own(claim)
