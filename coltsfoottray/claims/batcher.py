"""Batching of proposals to one member, with one call in flight at a time."""

from __future__ import annotations

from dataclasses import dataclass, field
from datetime import timedelta

import trio

from coltsfoottray.claims.members import ClaimMembers
from coltsfoottray.claims.messages import (
    CLAIM,
    ClaimRequest,
    ClaimVerdict,
    Proposal,
)
from coltsfoottray.clock import Clock
from coltsfoottray.errors import CommunicationError
from coltsfoottray.logs import log_event
from coltsfoottray.peers import PeerClient
from coltsfoottray.types import EntryId, Incarnation

__all__ = ["ProposalBatcher"]

# Longer than scheduling delays of a member, shorter than callers' deadlines. After
# it the table decides instead of the member.
CLAIM_TIMEOUT = timedelta(milliseconds=500)
# How long a member that did not answer is treated as unreachable.
UNREACHABLE_DURATION = timedelta(seconds=1)


@dataclass(kw_only=True)
class _PendingProposal:
    proposal: Proposal
    verdict: ClaimVerdict | None = None
    done: trio.Event = field(default_factory=trio.Event)


class ProposalBatcher:
    """Collects proposals to one member while a call to it is in flight.

    An idle batcher sends each proposal in a call of its own. Under load one call
    carries all that are pending, which lowers the cost of each.
    """

    def __init__(
        self,
        *,
        entry: EntryId,
        incarnation: Incarnation,
        members: ClaimMembers,
        peers: PeerClient,
        clock: Clock,
    ) -> None:
        self._entry = entry
        self._incarnation = incarnation
        self._members = members
        self._peers = peers
        self._clock = clock
        self._unreachable_until = timedelta(0)
        self._pending: list[_PendingProposal] = []
        self._arrived = trio.Event()

    async def propose(self, proposal: Proposal) -> ClaimVerdict | None:
        """Return the member's verdict, None if the member is unreachable."""
        if self._clock.elapsed() < self._unreachable_until:
            return None
        pending = _PendingProposal(proposal=proposal)
        self._pending.append(pending)
        self._arrived.set()
        await pending.done.wait()
        return pending.verdict

    async def run(self) -> None:
        """Send proposals until cancelled."""
        while True:
            await self._arrived.wait()
            self._arrived = trio.Event()
            batch, self._pending = self._pending, []
            verdicts = await self._send([each.proposal for each in batch])
            for index, pending in enumerate(batch):
                pending.verdict = verdicts[index] if verdicts else None
                pending.done.set()

    async def _send(self, proposals: list[Proposal]) -> list[ClaimVerdict] | None:
        address = self._members.address_of(self._entry)
        if address is None:
            return None
        request = ClaimRequest(incarnation=self._incarnation, proposals=proposals)
        try:
            reply = await self._peers.call(
                address, CLAIM, request, timeout=CLAIM_TIMEOUT
            )
        except CommunicationError as error:
            log_event("claims:unreachable", entry=self._entry, error=str(error))
            # Only one call to a paused member waits for the timeout, not each one.
            self._unreachable_until = self._clock.elapsed() + UNREACHABLE_DURATION
            return None
        if len(reply.verdicts) != len(proposals):
            # Which proposals the verdicts belong to is not certain.
            log_event(
                "claims:incomplete-reply",
                entry=self._entry,
                proposals=len(proposals),
                verdicts=len(reply.verdicts),
            )
            return None
        return reply.verdicts
