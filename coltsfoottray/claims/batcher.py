"""Carrying proposals to one member: one task, one call at a time."""

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

# Longer than a slow scheduler, shorter than a caller's patience: past it the
# table decides instead.
CLAIM_TIMEOUT = timedelta(milliseconds=500)
# How long a member that did not answer is taken to be out of reach.
SILENT_PAUSE = timedelta(seconds=1)


@dataclass(kw_only=True)
class _Waiting:
    proposal: Proposal
    verdict: ClaimVerdict | None = None
    done: trio.Event = field(default_factory=trio.Event)


class ProposalBatcher:
    """Gathers proposals to one member while a call to it is under way.

    At rest each proposal is a call of its own; under load one call carries as
    many as have gathered, so that the cost for each falls.
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
        self._silent_until = timedelta(0)
        self._waiting: list[_Waiting] = []
        self._arrived = trio.Event()

    async def ask(self, proposal: Proposal) -> ClaimVerdict | None:
        """Return the member's verdict, None if it cannot be reached."""
        if self._clock.elapsed() < self._silent_until:
            return None
        waiting = _Waiting(proposal=proposal)
        self._waiting.append(waiting)
        self._arrived.set()
        await waiting.done.wait()
        return waiting.verdict

    async def run(self) -> None:
        """Carry proposals until cancelled."""
        while True:
            await self._arrived.wait()
            self._arrived = trio.Event()
            batch, self._waiting = self._waiting, []
            verdicts = await self._carry([each.proposal for each in batch])
            for index, waiting in enumerate(batch):
                waiting.verdict = verdicts[index] if verdicts else None
                waiting.done.set()

    async def _carry(self, proposals: list[Proposal]) -> list[ClaimVerdict] | None:
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
            # A paused member costs one request its time-out, not every one.
            self._silent_until = self._clock.elapsed() + SILENT_PAUSE
            return None
        return reply.verdicts
