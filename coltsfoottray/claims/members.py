"""The entries that must record every claim, and joining them."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from datetime import timedelta

import trio
from returns.result import Success

from coltsfoottray.claims.memory import ClaimMemory
from coltsfoottray.claims.messages import (
    CLAIM_PREFIX,
    MEMBER_PREFIX,
    SYNC,
    Claim,
    MemberRow,
    SyncReply,
    SyncRequest,
)
from coltsfoottray.clock import CLOCK_RATE_MARGIN, Clock
from coltsfoottray.errors import CommunicationError
from coltsfoottray.kernel import Service
from coltsfoottray.logs import log_event
from coltsfoottray.membership import EntryRecord
from coltsfoottray.membership.entries import ENTRY_PREFIX
from coltsfoottray.peers import CallHandlers, PeerClient
from coltsfoottray.platform import Put, Row, TableService, TableUnavailable, Transaction
from coltsfoottray.platform.common import ABSENT
from coltsfoottray.types import Address, EntryId, Incarnation

__all__ = ["ClaimMembers"]

_SYNC_TIMEOUT = timedelta(seconds=2)
_JOIN_PAUSE = timedelta(milliseconds=100)


@dataclass(frozen=True, kw_only=True)
class _Expiry:
    version: int
    at: timedelta


class ClaimMembers(Service):
    """Joins the members, keeps their set, and leaves.

    Parameters
    ----------
    describe : callable
        Returns the entry's own row.
    retention : timedelta
        How long claims are remembered.
    outage_grace : timedelta
        How long the entry serves without having seen its row.
    interval : timedelta
        Between readings of the members' rows.

    Notes
    -----
    A row `member/NAME` in the table says whose memory counts. An entry serves
    keyed requests only as a member: after every other member has given it all
    its claims and asks it from then on. A member whose row is gone, or is of a
    later life, is asked no more; its row goes after its lease has lapsed.

    If all members vanish at once, so do claims that nobody else holds. Who
    joins then finds a row that nobody answers for, and is in quarantine for as
    long as those members, if they are only cut off, may go on, and then for the
    retention time: a key it does not know gets the answer that its outcome is
    unknown, because it may have run.
    """

    def __init__(
        self,
        *,
        table: TableService,
        peers: PeerClient,
        clock: Clock,
        memory: ClaimMemory,
        describe: Callable[[], MemberRow],
        retention: timedelta,
        outage_grace: timedelta,
        interval: timedelta,
    ) -> None:
        self._table = table
        self._peers = peers
        self._clock = clock
        self._memory = memory
        self._describe = describe
        self._retention = retention
        self._outage_grace = outage_grace
        self._interval = interval
        self._member_by_entry: dict[EntryId, MemberRow] = {}
        self._quarantine_until: timedelta | None = None
        self._confirmed_at = clock.elapsed()
        self._has_gap = False
        self._expiry_by_key: dict[str, _Expiry] = {}
        self.is_joined = False
        self.row_version = ABSENT

    def add_handlers(self, handlers: CallHandlers) -> None:
        """Answer other entries' calls."""
        handlers.add(SYNC, self.handle_sync)

    async def run(  # noqa: D102
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        task_status.started()
        while True:
            try:
                if not self.is_joined:
                    await self._join()
                else:
                    await self._tick()
            except TableUnavailable as error:
                log_event("claims:members-unread", error=str(error))
            pause = self._interval if self.is_joined else _JOIN_PAUSE
            await self._clock.sleep(pause)

    @property
    def is_confirmed(self) -> bool:
        """Whether the table has shown the entry's own row recently enough.

        Cut off from the table, an entry cannot know whether it was removed and
        others serve the same keys. It goes on for `outage_grace`; who finds no
        member left to ask waits for longer than that.
        """
        return self._clock.elapsed() - self._confirmed_at < self._outage_grace

    @property
    def is_in_quarantine(self) -> bool:
        """Whether a key that is not in memory may nevertheless have run."""
        until = self._quarantine_until
        return until is not None and self._clock.elapsed() < until

    def others(self) -> list[EntryId]:
        """Return the other members."""
        return sorted(self._member_by_entry)

    def address_of(self, entry: EntryId) -> Address | None:
        """Return where a member is reached, None if it is one no more."""
        member = self._member_by_entry.get(entry)
        return None if member is None else member.claims

    def is_member(self, incarnation: Incarnation) -> bool:
        """Whether that life of an entry is one whose claims count."""
        return incarnation == self.own_row().incarnation or any(
            member.incarnation == incarnation
            for member in self._member_by_entry.values()
        )

    def leave(self) -> None:
        """Stop serving keyed requests until joined anew."""
        if self.is_joined:
            log_event("claims:must-rejoin", entry=self.own_row().entry)
            # Others may claim without this entry until it has joined again.
            self._has_gap = True
            self.is_joined = False

    def own_row(self) -> MemberRow:
        """Return the entry's own row, as it is or is to be written."""
        return self._describe()

    def record_row(self, key: str, version: int) -> None:
        """Remember to delete a claim's row after the retention time."""
        at = self._clock.elapsed() + self._retention
        self._expiry_by_key[key] = _Expiry(version=version, at=at)

    async def handle_sync(self, request: SyncRequest) -> SyncReply:
        """Answer `SYNC`: ask the new member from now on, and tell it all."""
        self._member_by_entry[request.member.entry] = request.member
        left = timedelta(0)
        if self._quarantine_until is not None:
            left = self._quarantine_until - self._clock.elapsed()
        return SyncReply(
            is_member=self.is_joined,
            has_gap=self._has_gap,
            quarantine_s=max(0.0, left.total_seconds()),
            claims=self._memory.claims(),
        )

    async def _join(self) -> None:
        """Write the row, then get every other member's claims.

        The row comes first: of two that join at once each finds the other. It has
        to wait for this entry's lease: one that joined while its first lease could
        not be written was taken for gone by the next that joined, and that one
        refused new keys as if all entries had been lost.
        """
        asked_at = self._clock.elapsed()
        if not await self._has_lease():
            log_event("claims:waits-for-lease", entry=self.own_row().entry)
            return
        await self._write_row()
        if self.row_version == ABSENT:
            return
        has_memory = False
        while True:
            rows = await self._remove_gone(await self._table.scan(MEMBER_PREFIX))
            replies = [await self._ask_sync(row) for row in rows]
            answered = [reply for reply in replies if reply is not None]
            has_memory = any(reply.is_member for reply in answered)
            self._has_gap |= any(reply.has_gap for reply in answered)
            if len(answered) == len(rows):
                break
            await self._clock.sleep(self._interval)
        self._memory.merge(await self._table_claims())
        if self._has_gap and not has_memory:
            grace = self._outage_grace * (1 + CLOCK_RATE_MARGIN)
            self._start_quarantine(grace + self._retention)
        self._has_gap = False
        self._confirmed_at = asked_at
        self.is_joined = True
        log_event("claims:joined", members=self.others(), has_memory=has_memory)

    async def _has_lease(self) -> bool:
        """Whether the table holds a lease of this life of the entry."""
        entries = await self._table.scan(ENTRY_PREFIX)
        own = self.own_row().incarnation
        return any(row.decode(EntryRecord).incarnation == own for row in entries)

    async def _write_row(self) -> None:
        """Write the member row, or find that it is there."""
        key = MEMBER_PREFIX + self.own_row().entry
        found = await self._table.get(key)
        self.row_version = ABSENT
        if found is not None:
            if found.decode(MemberRow) == self.own_row():
                self.row_version = found.version
                return
            # An earlier life of this entry left without giving its claims on.
            self._has_gap = True
        version = ABSENT if found is None else found.version
        value = self.own_row()
        outcome = await self._table.commit(
            Transaction(puts=[Put.of(key, version, value)])
        )
        if isinstance(outcome, Success):
            self.row_version = outcome.unwrap()[key]

    async def _ask_sync(self, row: MemberRow) -> SyncReply | None:
        """Return a member's claims, None if it does not answer."""
        request = SyncRequest(member=self.own_row())
        try:
            reply = await self._peers.call(
                row.claims, SYNC, request, timeout=_SYNC_TIMEOUT
            )
        except CommunicationError as error:
            log_event("claims:no-sync", entry=row.entry, error=str(error))
            return None
        self._memory.merge(reply.claims)
        self._member_by_entry[row.entry] = row
        if reply.quarantine_s:
            self._start_quarantine(timedelta(seconds=reply.quarantine_s))
        return reply

    async def _tick(self) -> None:
        """Drop members whose rows are gone, and remove rows of gone entries."""
        asked_at = self._clock.elapsed()
        rows = await self._table.scan(MEMBER_PREFIX)
        own = [r for r in rows if r.key == MEMBER_PREFIX + self.own_row().entry]
        if not own or own[0].version != self.row_version:
            self.leave()
            return
        self._confirmed_at = asked_at
        present = await self._remove_gone(rows)
        incarnations = {row.incarnation for row in present}
        left = [
            entry
            for entry, member in self._member_by_entry.items()
            if member.incarnation not in incarnations
        ]
        if left:
            # A claim the departed made through the table, because this entry
            # could not be reached, is known to nobody else.
            self._memory.merge(await self._table_claims())
        for entry in left:
            if self._member_by_entry[entry].incarnation not in incarnations:
                del self._member_by_entry[entry]
        await self._sweep()

    async def _remove_gone(self, rows: Sequence[Row]) -> list[MemberRow]:
        """Remove rows of entries without a lease; return the other members'.

        The entries' rows are read after the members': an entry writes its own
        in the opposite order, so that no member seen here lacks a lease only
        because it has just come.
        """
        entries = await self._table.scan(ENTRY_PREFIX)
        live = {row.decode(EntryRecord).incarnation for row in entries}
        present = []
        for row in rows:
            member = row.decode(MemberRow)
            if member == self.own_row():
                continue
            if member.incarnation in live:
                present.append(member)
                continue
            put = Put(key=row.key, version=row.version)
            outcome = await self._table.commit(Transaction(puts=[put]))
            if isinstance(outcome, Success):
                self._has_gap |= not self.is_joined
            else:
                present.append(member)
        return present

    async def _table_claims(self) -> list[Claim]:
        """Return the claims in the table; from now on this entry sweeps them too."""
        rows = await self._table.scan(CLAIM_PREFIX)
        for row in rows:
            self.record_row(row.key, row.version)
        return [row.decode(Claim) for row in rows]

    async def _sweep(self) -> None:
        """Delete rows of claims past the retention time."""
        now = self._clock.elapsed()
        old = {k: e for k, e in self._expiry_by_key.items() if e.at < now}
        for key, expiry in old.items():
            put = Put(key=key, version=expiry.version)
            # Another entry may have been first, or the row be newer: both well.
            await self._table.commit(Transaction(puts=[put]))
            del self._expiry_by_key[key]

    def _start_quarantine(self, length: timedelta) -> None:
        until = self._clock.elapsed() + length
        if self._quarantine_until is None or until > self._quarantine_until:
            self._quarantine_until = until
            log_event("claims:quarantine", seconds=length.total_seconds())
