"""Acquisition and release of claims, and decisions on those of other entries."""

from __future__ import annotations

from datetime import timedelta

import trio
from msgspec.structs import replace

from coltsfoottray.claims.batcher import CLAIM_TIMEOUT
from coltsfoottray.claims.members import ClaimMembers
from coltsfoottray.claims.memory import ClaimMemory
from coltsfoottray.claims.messages import (
    CLAIM,
    RELEASE,
    Claim,
    ClaimReply,
    ClaimRequest,
    ClaimVerdict,
    Proposal,
    ReleaseReply,
    ReleaseRequest,
    Verdict,
)
from coltsfoottray.claims.proposer import ClaimProposer
from coltsfoottray.claims.results import ClaimOutcome, ClaimResult
from coltsfoottray.claims.table import ClaimTable
from coltsfoottray.clock import Clock, as_microseconds
from coltsfoottray.errors import CommunicationError
from coltsfoottray.kernel import Service
from coltsfoottray.logs import log_event
from coltsfoottray.peers import CallHandlers, PeerClient
from coltsfoottray.platform import TableService
from coltsfoottray.requests import Place
from coltsfoottray.types import EntryId, Incarnation, RequestId

__all__ = ["Claims"]

_CONFLICT_RETRY_INTERVAL = timedelta(milliseconds=5)
_MAX_ROUNDS = 20


class Claims(Service):
    """Acquires and releases claims to keyed requests.

    A request is sent only after the claim that names its place is complete:
    recorded by every other member, of which there is at least one, or written
    to the table on condition that this entry is still a member. Two entries can
    therefore never both send the same key, and after a crash another member or
    the table still records where the request was sent.
    """

    def __init__(
        self,
        *,
        entry: EntryId,
        incarnation: Incarnation,
        members: ClaimMembers,
        memory: ClaimMemory,
        peers: PeerClient,
        table: TableService,
        clock: Clock,
    ) -> None:
        self._entry = entry
        self._incarnation = incarnation
        self._members = members
        self._memory = memory
        self._peers = peers
        self._clock = clock
        self._proposer = ClaimProposer(
            incarnation=incarnation, members=members, peers=peers, clock=clock
        )
        self._table = ClaimTable(
            entry=entry,
            incarnation=incarnation,
            members=members,
            table=table,
            clock=clock,
        )
        self._in_progress: set[RequestId] = set()

    def add_handlers(self, handlers: CallHandlers) -> None:
        """Register the handlers of other entries' calls."""
        handlers.add(CLAIM, self.handle_claim)
        handlers.add(RELEASE, self.handle_release)

    async def run(  # noqa: D102
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        await self._proposer.run(task_status=task_status)

    async def handle_claim(self, request: ClaimRequest) -> ClaimReply:
        """Handle `CLAIM`: decide on each proposal."""
        if not self._members.is_member(request.incarnation):
            refusal = ClaimVerdict(verdict=Verdict.NOT_MEMBER)
            return ClaimReply(verdicts=[refusal for _ in request.proposals])
        return ClaimReply(verdicts=[self._decide(p) for p in request.proposals])

    async def handle_release(self, request: ReleaseRequest) -> ReleaseReply:
        """Handle `RELEASE`: remove the claim."""
        self._memory.remove(request.request, request.incarnation, request.attempt)
        return ReleaseReply()

    def find(self, request: RequestId) -> Claim | None:
        """Return the claim to `request` in memory, None without one."""
        return self._memory.find(request)

    def is_own(self, claim: Claim) -> bool:
        """Return whether this incarnation of this entry is the claimant."""
        return claim.incarnation == self._incarnation

    def has_claimant_left(self, claim: Claim) -> bool:
        """Return whether the claimant is no longer a member, so can send nothing."""
        return not self._members.is_member(claim.incarnation)

    async def acquire(
        self, request: RequestId, place: Place, *, void_claim: Claim | None = None
    ) -> ClaimResult:
        """Try to claim `request` for `place`.

        Parameters
        ----------
        void_claim : Claim, optional
            An earlier claim that may be superseded, because its place has proved
            that it will not run the request.
        """
        refusal = self._refusal(request)
        if refusal is not None:
            return refusal
        supersedes = Incarnation("")
        held = self._memory.find(request)
        if held is not None and held.incarnation != self._incarnation:
            if void_claim is None or held != void_claim:
                return ClaimResult(outcome=ClaimOutcome.FOLLOW, claim=held)
            if self.has_claimant_left(held):
                supersedes = held.incarnation
            else:
                denial = await self._request_consent(held, request, place)
                if denial is not None:
                    return denial
                supersedes = held.incarnation
        claim = Claim(
            request=request,
            entry=self._entry,
            incarnation=self._incarnation,
            place=place,
            attempt=self._next_attempt(held),
        )
        self._memory.put(claim)
        self._in_progress.add(request)
        try:
            return await self._complete(claim, supersedes)
        finally:
            self._in_progress.discard(request)

    async def release(self, request: RequestId) -> None:
        """Release a request that was certainly not run, for any entry to claim."""
        held = self._memory.find(request)
        if held is None or held.incarnation != self._incarnation:
            return
        self._memory.remove(request, self._incarnation, held.attempt)
        message = ReleaseRequest(
            request=request, incarnation=self._incarnation, attempt=held.attempt
        )
        for entry in self._members.others():
            address = self._members.address_of(entry)
            if address is None:
                continue
            try:
                await self._peers.call(address, RELEASE, message, timeout=CLAIM_TIMEOUT)
            except CommunicationError as error:
                # An entry that next receives this key asks this entry for consent,
                # and its verdict then shows that the claim was released.
                log_event("claims:not-released", entry=entry, error=str(error))

    def _next_attempt(self, held: Claim | None) -> int:
        """Return a number above that of `held` and of claims no longer in memory.

        Wall-clock time suffices, because an error of the clock does no harm: an
        attendant refuses a number that is too low, and "not run" is then true.
        """
        now_us = as_microseconds(self._clock.now())
        return now_us if held is None else max(now_us, held.attempt + 1)

    def _decide(self, proposal: Proposal) -> ClaimVerdict:
        request = proposal.claim.request
        held = self._memory.find(request)
        if (
            held is not None
            and held.incarnation == self._incarnation
            and not held.is_complete
            and request not in self._in_progress
        ):
            # Nothing was sent under a claim of this entry that was never completed.
            self._memory.remove(request, self._incarnation, held.attempt)
        return self._memory.decide(proposal)

    def _refusal(self, request: RequestId) -> ClaimResult | None:
        if not self._members.is_joined:
            return ClaimResult.unknown("this entry has not joined yet")
        if not self._members.is_confirmed:
            return ClaimResult.unknown(
                "this entry has been unable to reach the table for too long"
            )
        held = self._memory.find(request)
        is_own = held is not None and held.incarnation == self._incarnation
        if self._members.is_in_quarantine and not is_own:
            return ClaimResult.unknown("all entries were lost recently")
        if held is None and self._memory.is_full:
            return ClaimResult.unknown("the maximum number of keys is in use")
        return None

    async def _request_consent(
        self, held: Claim, request: RequestId, place: Place
    ) -> ClaimResult | None:
        """Ask the claimant to give up the request; return None if it consents."""
        claim = Claim(
            request=request,
            entry=self._entry,
            incarnation=self._incarnation,
            place=place,
            attempt=self._next_attempt(held),
        )
        verdict = await self._proposer.propose(held.entry, Proposal(claim=claim))
        if verdict is None:
            return ClaimResult(outcome=ClaimOutcome.FOLLOW, claim=held)
        if verdict.verdict is Verdict.NOT_MEMBER:
            self._members.leave()
            return ClaimResult.unknown("this entry must rejoin")
        if verdict.taken is not None:
            if verdict.taken.incarnation != self._incarnation:
                self._memory.put(verdict.taken)
            return ClaimResult(outcome=ClaimOutcome.FOLLOW, claim=verdict.taken)
        return None

    async def _complete(self, claim: Claim, supersedes: Incarnation) -> ClaimResult:
        rival: Claim | None = None
        for _ in range(_MAX_ROUNDS):
            proposal = Proposal(claim=claim, supersedes=supersedes)
            verdict_by_entry = await self._proposer.propose_to_all(proposal)
            verdicts = list(verdict_by_entry.values())
            if any(v is not None and v.verdict is Verdict.NOT_MEMBER for v in verdicts):
                self._members.leave()
                return ClaimResult.unknown("this entry must rejoin")
            rival = _find_rival(verdicts)
            if rival is None:
                return await self._finish(claim, supersedes, verdicts)
            verdict = verdict_by_entry.get(rival.entry)
            if verdict is not None and verdict.verdict is Verdict.GRANTED:
                # The rival has released the request; other members may not know yet.
                supersedes = rival.incarnation
            elif self._must_yield_to(rival):
                break
            else:
                await self._clock.sleep(_CONFLICT_RETRY_INTERVAL)
        assert rival is not None
        await self._yield_to(claim, rival)
        return ClaimResult(outcome=ClaimOutcome.FOLLOW, claim=rival)

    def _must_yield_to(self, rival: Claim) -> bool:
        """Return whether `rival` has priority over this entry's claim.

        Of incomplete claims, that of the entry with the lowest name has priority.
        The order is total, so exactly one of any number of rivals continues.
        """
        return (
            rival.is_complete
            or not self._members.is_member(rival.incarnation)
            or rival.entry < self._entry
        )

    async def _yield_to(self, claim: Claim, rival: Claim) -> None:
        await self.release(claim.request)
        if self._memory.find(claim.request) is None:
            self._memory.put(rival)

    async def _finish(
        self,
        claim: Claim,
        supersedes: Incarnation,
        verdicts: list[ClaimVerdict | None],
    ) -> ClaimResult:
        """Complete the claim, by a row in the table unless all members recorded it.

        If the outcome of the write is uncertain, the claim stays in memory as
        incomplete. A later claim then gets a higher number than this one, whose
        row may still appear.
        """
        complete = replace(claim, is_complete=True)
        is_unanimous = bool(verdicts) and all(v is not None for v in verdicts)
        if not is_unanimous:
            refusal = await self._table.write(complete, supersedes)
            if refusal is not None:
                if refusal.claim is not None:
                    self._memory.put(refusal.claim)
                return refusal
        self._memory.put(complete)
        return ClaimResult(outcome=ClaimOutcome.MINE, claim=complete)


def _find_rival(verdicts: list[ClaimVerdict | None]) -> Claim | None:
    """Return the conflicting claim, preferring a complete one, then the newest."""
    taken = [v.taken for v in verdicts if v is not None and v.taken is not None]
    return max(taken, key=lambda c: (c.is_complete, c.attempt), default=None)
