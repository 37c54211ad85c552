"""Following a request that is claimed already, to what came of it."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta

from coltsfoottray.claims import Claim, Claims
from coltsfoottray.clock import Clock
from coltsfoottray.errors import CommunicationError
from coltsfoottray.requests.messages import RunOutcome, RunReply
from coltsfoottray.requests.remote import AttendantClient
from coltsfoottray.types import RequestId

__all__ = ["ClaimFollower", "FollowResult"]

PROBE_AFTER = timedelta(seconds=2)
_PAUSE = timedelta(milliseconds=50)


@dataclass(frozen=True, kw_only=True)
class FollowResult:
    """What came of a claim.

    Parameters
    ----------
    reply : RunReply, optional
        The outcome, where the claim's place has one.
    nothing : Claim, optional
        The claim itself, where it has come to nothing: the place will not run
        the request, and the claimant is gone or may be asked.
    """

    reply: RunReply | None = None
    void_claim: Claim | None = None


class ClaimFollower:
    """Finds out what came of a claim, without running anything."""

    def __init__(
        self, *, claims: Claims, attendants: AttendantClient, clock: Clock
    ) -> None:
        self._claims = claims
        self._attendants = attendants
        self._clock = clock

    async def follow(
        self, request: RequestId, claim: Claim, *, deadline: timedelta
    ) -> FollowResult:
        """Wait for the outcome of `claim` until `deadline` (monotonic)."""
        reason = "no answer"
        while True:
            left = deadline - self._clock.elapsed()
            if left <= timedelta(0):
                reply = RunReply(outcome=RunOutcome.UNKNOWN, reason=reason)
                return FollowResult(reply=reply)
            claim = self._claims.find(request) or claim
            try:
                reply = await self._look(request, claim, left)
            except CommunicationError as error:
                reason = str(error)
                await self._clock.sleep(_PAUSE)
                continue
            if reply.outcome in (RunOutcome.ANSWERED, RunOutcome.UNKNOWN):
                return FollowResult(reply=reply)
            if reply.outcome is RunOutcome.RUNNING:
                reason = "it still runs"
                continue
            return FollowResult(void_claim=claim)

    async def _look(
        self, request: RequestId, claim: Claim, left: timedelta
    ) -> RunReply:
        """Ask the claim's place.

        Where the claimant is gone, or is this entry itself in an earlier try,
        the id is cancelled there first: a message that is still on its way must
        not start it after it was sent elsewhere.
        """
        if not claim.place.attendant:
            return RunReply(outcome=RunOutcome.NOT_RUN, reason="sent nowhere")
        if self._claims.has_claimant_left(claim) or self._claims.is_own(claim):
            reply = await self._attendants.cancel(claim.place, request, claim.attempt)
            if reply.outcome is not RunOutcome.RUNNING:
                return reply
        return await self._attendants.fetch(
            claim.place, request, wait=min(left, PROBE_AFTER)
        )
