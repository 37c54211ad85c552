"""The claims that one entry keeps in memory."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from datetime import timedelta

from coltsfoottray.claims.messages import Claim, ClaimVerdict, Proposal, Verdict
from coltsfoottray.clock import Clock
from coltsfoottray.types import Incarnation, RequestId

__all__ = ["ClaimMemory"]


@dataclass(frozen=True, kw_only=True)
class _Held:
    claim: Claim
    since: timedelta


class ClaimMemory:
    """Holds claims by request, for the retention time and up to a maximum number.

    Parameters
    ----------
    retention : timedelta
        How long a claim is held. A key that is repeated later than this counts
        as new, as docs/PROMISES.md states.
    max_claims : int
        At this number new keyed requests are refused: if a claim were dropped
        early, its request could run twice.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        incarnation: Incarnation,
        retention: timedelta,
        max_claims: int,
    ) -> None:
        self._clock = clock
        self._incarnation = incarnation
        self._retention = retention
        self._max_claims = max_claims
        self._held_by_request: dict[RequestId, _Held] = {}

    @property
    def is_full(self) -> bool:
        """Whether no further claim can be held."""
        self._remove_expired()
        return len(self._held_by_request) >= self._max_claims

    def find(self, request: RequestId) -> Claim | None:
        """Return the claim to `request`, None without one."""
        held = self._held_by_request.get(request)
        return None if held is None else held.claim

    def put(self, claim: Claim) -> None:
        """Hold `claim`, replacing any other claim to the same request."""
        # Removed first, so that insertion order remains the order of age.
        self._held_by_request.pop(claim.request, None)
        held = _Held(claim=claim, since=self._clock.elapsed())
        self._held_by_request[claim.request] = held

    def merge(self, claims: Iterable[Claim]) -> None:
        """Add another entry's claims; of two to the same request keep the newer."""
        for claim in claims:
            held = self.find(claim.request)
            if held is None or held.attempt < claim.attempt:
                self.put(claim)

    def remove(
        self, request: RequestId, incarnation: Incarnation, attempt: int
    ) -> None:
        """Remove the claim to `request` if `incarnation` made it, by `attempt`."""
        held = self.find(request)
        if held is None or held.incarnation != incarnation:
            return
        if held.attempt <= attempt:
            del self._held_by_request[request]

    def claims(self) -> list[Claim]:
        """Return every claim held."""
        self._remove_expired()
        return [held.claim for held in self._held_by_request.values()]

    def decide(self, proposal: Proposal) -> ClaimVerdict:
        """Record a member's claim unless another claimant holds the request.

        A claim that is older than the same claimant's claim held arrived late.
        """
        claim = proposal.claim
        held = self.find(claim.request)
        is_free = (
            held is None
            or (held.incarnation == claim.incarnation and held.attempt <= claim.attempt)
            or (
                held.incarnation == proposal.supersedes
                and held.incarnation != self._incarnation
            )
        )
        if not is_free:
            return ClaimVerdict(verdict=Verdict.TAKEN, taken=held)
        self.put(claim)
        return ClaimVerdict(verdict=Verdict.GRANTED)

    def _remove_expired(self) -> None:
        oldest = self._clock.elapsed() - self._retention
        while self._held_by_request:
            request, held = next(iter(self._held_by_request.items()))
            if held.since > oldest:
                return
            del self._held_by_request[request]
