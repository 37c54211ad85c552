"""Proposals of claims to the other members."""

from __future__ import annotations

import trio

from coltsfoottray.claims.batcher import ProposalBatcher
from coltsfoottray.claims.members import ClaimMembers
from coltsfoottray.claims.messages import ClaimVerdict, Proposal
from coltsfoottray.clock import Clock
from coltsfoottray.kernel import Service
from coltsfoottray.peers import PeerClient
from coltsfoottray.types import EntryId, Incarnation

__all__ = ["ClaimProposer"]


class ClaimProposer(Service):
    """Proposes claims to members, through one batcher for each of them."""

    def __init__(
        self,
        *,
        incarnation: Incarnation,
        members: ClaimMembers,
        peers: PeerClient,
        clock: Clock,
    ) -> None:
        self._incarnation = incarnation
        self._members = members
        self._peers = peers
        self._clock = clock
        self._batcher_by_entry: dict[EntryId, ProposalBatcher] = {}
        self._nursery: trio.Nursery | None = None

    async def run(  # noqa: D102
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            task_status.started()
            await trio.sleep_forever()

    async def propose(self, entry: EntryId, proposal: Proposal) -> ClaimVerdict | None:
        """Return the verdict of a member, None if it is unreachable."""
        return await self._batcher(entry).propose(proposal)

    async def propose_to_all(
        self, proposal: Proposal
    ) -> dict[EntryId, ClaimVerdict | None]:
        """Return the verdict of every other member, None for unreachable ones."""
        verdict_by_entry: dict[EntryId, ClaimVerdict | None] = {}

        async def propose(entry: EntryId) -> None:
            verdict_by_entry[entry] = await self.propose(entry, proposal)

        async with trio.open_nursery() as nursery:
            for entry in self._members.others():
                nursery.start_soon(propose, entry)
        return verdict_by_entry

    def _batcher(self, entry: EntryId) -> ProposalBatcher:
        batcher = self._batcher_by_entry.get(entry)
        if batcher is None:
            batcher = ProposalBatcher(
                entry=entry,
                incarnation=self._incarnation,
                members=self._members,
                peers=self._peers,
                clock=self._clock,
            )
            self._batcher_by_entry[entry] = batcher
            assert self._nursery is not None
            self._nursery.start_soon(batcher.run)
        return batcher
