"""Taking a claim: every member records it, or the table does."""

from __future__ import annotations

import enum
from dataclasses import dataclass
from datetime import timedelta

import trio
from msgspec.structs import replace
from returns.result import Success

from coltsfoottray.claims.batcher import CLAIM_TIMEOUT, ProposalBatcher
from coltsfoottray.claims.members import ClaimMembers
from coltsfoottray.claims.memory import ClaimMemory
from coltsfoottray.claims.messages import (
    CLAIM,
    CLAIM_PREFIX,
    MEMBER_PREFIX,
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
from coltsfoottray.clock import Clock, as_microseconds
from coltsfoottray.errors import CommunicationError
from coltsfoottray.kernel import Service
from coltsfoottray.logs import log_event
from coltsfoottray.peers import CallHandlers, PeerClient
from coltsfoottray.platform import (
    Check,
    Put,
    TableService,
    TableUnavailable,
    Transaction,
)
from coltsfoottray.platform.common import ABSENT
from coltsfoottray.platform.retry import commit_with_retry
from coltsfoottray.requests import Place
from coltsfoottray.types import EntryId, Incarnation, RequestId

__all__ = ["ClaimOutcome", "ClaimResult", "Claims"]

_TABLE_WAIT = timedelta(seconds=1)
_RACE_PAUSE = timedelta(milliseconds=5)
_MAX_ROUNDS = 20


class ClaimOutcome(enum.Enum):
    """What came of trying to take a claim."""

    MINE = "mine"
    FOLLOW = "follow"
    UNKNOWN = "unknown"


@dataclass(frozen=True, kw_only=True)
class ClaimResult:
    """The outcome, with the claim to follow or the reason."""

    outcome: ClaimOutcome
    claim: Claim | None = None
    reason: str = ""


class Claims(Service):
    """Takes and releases claims to keyed requests.

    Nothing is sent anywhere until the claim that names the place is complete:
    recorded by every other member, of which there is at least one, or written
    to the table under the condition that this entry is still a member. Two
    entries can therefore never both send the same key, and after a crash what
    was sent, and where, is known to somebody.
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
        self._table = table
        self._clock = clock
        self._taking: set[RequestId] = set()
        self._courier_by_entry: dict[EntryId, ProposalBatcher] = {}
        self._nursery: trio.Nursery | None = None

    def add_handlers(self, handlers: CallHandlers) -> None:
        """Answer other entries' calls."""
        handlers.add(CLAIM, self.handle_claim)
        handlers.add(RELEASE, self.handle_release)

    async def run(  # noqa: D102
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            task_status.started()
            await trio.sleep_forever()

    async def handle_claim(self, request: ClaimRequest) -> ClaimReply:
        """Answer `CLAIM`."""
        if not self._members.is_member(request.incarnation):
            refusal = ClaimVerdict(verdict=Verdict.NOT_MEMBER)
            return ClaimReply(verdicts=[refusal for _ in request.proposals])
        return ClaimReply(verdicts=[self._judge_one(p) for p in request.proposals])

    async def handle_release(self, request: ReleaseRequest) -> ReleaseReply:
        """Answer `RELEASE`."""
        self._memory.remove(request.request, request.incarnation)
        return ReleaseReply()

    def find(self, request: RequestId) -> Claim | None:
        """Return the claim to `request` that is in memory."""
        return self._memory.find(request)

    def is_own(self, claim: Claim) -> bool:
        """Whether this entry, in this life, is the claimant."""
        return claim.incarnation == self._incarnation

    def has_claimant_left(self, claim: Claim) -> bool:
        """Whether the claimant can send nothing any more."""
        return not self._members.is_member(claim.incarnation)

    async def acquire(
        self, request: RequestId, place: Place, *, void_claim: Claim | None = None
    ) -> ClaimResult:
        """Try to claim `request` for `place`.

        Parameters
        ----------
        after : Claim, optional
            A claim that has come to nothing: its place has proved that it will
            not run the request.
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
                consent = await self._ask_claimant(held, request, place)
                if consent is not None:
                    return consent
                supersedes = held.incarnation
        claim = Claim(
            request=request,
            entry=self._entry,
            incarnation=self._incarnation,
            place=place,
            attempt=self._next_attempt(held),
        )
        self._memory.put(claim)
        self._taking.add(request)
        try:
            return await self._complete(claim, supersedes)
        finally:
            self._taking.discard(request)

    async def release(self, request: RequestId) -> None:
        """Give up a request that was certainly not run, so that anybody may."""
        held = self._memory.find(request)
        if held is None or held.incarnation != self._incarnation:
            return
        self._memory.remove(request, self._incarnation)
        message = ReleaseRequest(request=request, incarnation=self._incarnation)
        for entry in self._members.others():
            address = self._members.address_of(entry)
            if address is None:
                continue
            try:
                await self._peers.call(address, RELEASE, message, timeout=CLAIM_TIMEOUT)
            except CommunicationError as error:
                # Whoever is asked for this key next will ask this entry, and
                # learn then that the claim is given up.
                log_event("claims:not-released", entry=entry, error=str(error))

    def _next_attempt(self, held: Claim | None) -> int:
        """Return a number above the held claim's, and above those long released.

        The calendar serves because an error of it does no harm: an attendant
        refuses a number that is too low, which is a true "not run".
        """
        now_us = as_microseconds(self._clock.now())
        return now_us if held is None else max(now_us, held.attempt + 1)

    def _judge_one(self, proposal: Proposal) -> ClaimVerdict:
        request = proposal.claim.request
        held = self._memory.find(request)
        if (
            held is not None
            and held.incarnation == self._incarnation
            and not held.is_complete
            and request not in self._taking
        ):
            # Nothing was ever sent under a claim of ours that was not completed.
            self._memory.remove(request, self._incarnation)
        return self._memory.decide(proposal)

    def _refusal(self, request: RequestId) -> ClaimResult | None:
        if not self._members.is_joined:
            return _unknown("this entry has not joined yet")
        if not self._members.is_confirmed:
            return _unknown("this entry has been without the table for too long")
        held = self._memory.find(request)
        is_own = held is not None and held.incarnation == self._incarnation
        if self._members.is_in_quarantine and not is_own:
            return _unknown("all entries were lost a short while ago")
        if held is None and self._memory.is_full:
            return _unknown("as many keys as can be remembered are in use")
        return None

    async def _ask_claimant(
        self, held: Claim, request: RequestId, place: Place
    ) -> ClaimResult | None:
        """Ask the claimant itself; None if it gave the request up."""
        claim = Claim(
            request=request,
            entry=self._entry,
            incarnation=self._incarnation,
            place=place,
            attempt=self._next_attempt(held),
        )
        verdict = await self._courier(held.entry).ask(Proposal(claim=claim))
        if verdict is None:
            return ClaimResult(outcome=ClaimOutcome.FOLLOW, claim=held)
        if verdict.verdict is Verdict.NOT_MEMBER:
            self._members.leave()
            return _unknown("this entry has to join anew")
        if verdict.taken is not None:
            if verdict.taken.incarnation != self._incarnation:
                self._memory.put(verdict.taken)
            return ClaimResult(outcome=ClaimOutcome.FOLLOW, claim=verdict.taken)
        return None

    async def _complete(self, claim: Claim, supersedes: Incarnation) -> ClaimResult:
        rival: Claim | None = None
        for _ in range(_MAX_ROUNDS):
            verdict_by_entry = await self._ask_all(claim, supersedes)
            verdicts = list(verdict_by_entry.values())
            if any(v is not None and v.verdict is Verdict.NOT_MEMBER for v in verdicts):
                self._members.leave()
                return _unknown("this entry has to join anew")
            rival = _find_rival(verdicts)
            if rival is None:
                return await self._finish(claim, verdicts)
            verdict = verdict_by_entry.get(rival.entry)
            if verdict is not None and verdict.verdict is Verdict.GRANTED:
                # The rival has given the request up; others do not know it yet.
                supersedes = rival.incarnation
            elif self._must_yield_to(rival):
                break
            else:
                await self._clock.sleep(_RACE_PAUSE)
        assert rival is not None
        await self._yield_to(claim, rival)
        return ClaimResult(outcome=ClaimOutcome.FOLLOW, claim=rival)

    def _must_yield_to(self, rival: Claim) -> bool:
        """Of two incomplete claims the one of the lower name goes on.

        The order is total, so of any number that race one is left.
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
        self, claim: Claim, verdicts: list[ClaimVerdict | None]
    ) -> ClaimResult:
        complete = replace(claim, is_complete=True)
        is_unanimous = bool(verdicts) and all(v is not None for v in verdicts)
        if not is_unanimous:
            refusal = await self._write(complete)
            if refusal is not None:
                return refusal
        self._memory.put(complete)
        return ClaimResult(outcome=ClaimOutcome.MINE, claim=complete)

    async def _write(self, claim: Claim) -> ClaimResult | None:
        """Write the claim to the table; None once it is there.

        This decides where a member cannot be reached. That member, cut off or
        paused, may be claiming the same key: it reaches nobody either, comes
        here too, and one of the two writes fails.

        The claim stays in memory as incomplete if the outcome is uncertain, so
        that a later one counts as newer than the row that may yet appear.
        """
        key = CLAIM_PREFIX + claim.request
        with trio.move_on_after(_TABLE_WAIT.total_seconds()):
            try:
                return await self._write_row(key, claim)
            except TableUnavailable as error:
                return _unknown(f"a member is out of reach, and {error}")
        return _unknown("a member is out of reach, and the table does not answer")

    async def _write_row(self, key: str, claim: Claim) -> ClaimResult | None:
        found = await self._table.get(key)
        version = ABSENT if found is None else found.version
        if found is not None:
            earlier = found.decode(Claim)
            if (
                earlier.incarnation != self._incarnation
                and earlier.attempt >= claim.attempt
            ):
                self._memory.put(earlier)
                return ClaimResult(outcome=ClaimOutcome.FOLLOW, claim=earlier)
        own_row = Check(
            key=MEMBER_PREFIX + self._entry, version=self._members.row_version
        )
        outcome = await commit_with_retry(
            self._table,
            Transaction(puts=[Put.of(key, version, claim)], checks=[own_row]),
            clock=self._clock,
        )
        if isinstance(outcome, Success):
            self._members.record_row(key, outcome.unwrap()[key])
            return None
        rows = {row.key: row for row in outcome.failure().rows}
        if key in rows:
            rival = rows[key].decode(Claim)
            self._memory.put(rival)
            return ClaimResult(outcome=ClaimOutcome.FOLLOW, claim=rival)
        self._members.leave()
        return _unknown("this entry has to join anew")

    async def _ask_all(
        self, claim: Claim, supersedes: Incarnation
    ) -> dict[EntryId, ClaimVerdict | None]:
        proposal = Proposal(claim=claim, supersedes=supersedes)
        verdict_by_entry: dict[EntryId, ClaimVerdict | None] = {}

        async def ask(entry: EntryId) -> None:
            verdict_by_entry[entry] = await self._courier(entry).ask(proposal)

        async with trio.open_nursery() as nursery:
            for entry in self._members.others():
                nursery.start_soon(ask, entry)
        return verdict_by_entry

    def _courier(self, entry: EntryId) -> ProposalBatcher:
        courier = self._courier_by_entry.get(entry)
        if courier is None:
            courier = ProposalBatcher(
                entry=entry,
                incarnation=self._incarnation,
                members=self._members,
                peers=self._peers,
                clock=self._clock,
            )
            self._courier_by_entry[entry] = courier
            assert self._nursery is not None
            self._nursery.start_soon(courier.run)
        return courier


def _find_rival(verdicts: list[ClaimVerdict | None]) -> Claim | None:
    """Return the claim that stands in the way, a complete one before others."""
    taken = [v.taken for v in verdicts if v is not None and v.taken is not None]
    return max(taken, key=lambda c: (c.is_complete, c.attempt), default=None)


def _unknown(reason: str) -> ClaimResult:
    """Say that an earlier attempt with the key may have run.

    This attempt was not run, but a caller that repeats a key asks about the key:
    "not run" would be false if another entry had run it.
    """
    return ClaimResult(outcome=ClaimOutcome.UNKNOWN, reason=reason)
