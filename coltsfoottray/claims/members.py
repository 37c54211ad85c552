"""Membership of the entries that must record every claim."""

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
from coltsfoottray.platform import Put, Row, TableError, TableService, Transaction
from coltsfoottray.platform.common import ABSENT
from coltsfoottray.types import Address, EntryId, Incarnation

__all__ = ["ClaimMembers"]

_SYNC_TIMEOUT = timedelta(seconds=2)
_JOIN_RETRY_INTERVAL = timedelta(milliseconds=100)


@dataclass(frozen=True, kw_only=True)
class _Expiry:
    version: int
    expires_at: timedelta


class ClaimMembers(Service):
    """Joins the members, tracks their set, and leaves it.

    Parameters
    ----------
    describe : callable
        Returns the entry's own row.
    retention : timedelta
        How long claims are kept.
    outage_grace : timedelta
        How long the entry serves keyed requests without having read its row.
    interval : timedelta
        Time between reads of the members' rows.

    Notes
    -----
    The rows `member/NAME` in the table name the members, which must all record
    a claim. An entry serves keyed requests only as a member: after every other
    member has sent it all its claims, and consults it from then on. A member
    whose row was deleted, or is of a later incarnation, is no longer consulted.
    The row of a member is deleted after its lease has lapsed.

    If all members are lost at once, so are the claims that only they hold. The
    next entry that joins finds a row whose member does not answer. It is in
    quarantine for as long as those members may continue to serve if they are only
    cut off, and then for the retention time: for a key that it does not know, it
    reports the outcome as unknown, because the request may have run.
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
        """Register the handlers of other entries' calls."""
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
                    await self._refresh()
            except TableError as error:
                log_event("claims:members-unread", error=str(error))
            pause = self._interval if self.is_joined else _JOIN_RETRY_INTERVAL
            await self._clock.sleep(pause)

    @property
    def is_confirmed(self) -> bool:
        """Whether the entry has read its own row in the table recently enough.

        An entry that is cut off from the table cannot know whether it was removed
        and others serve the same keys. It continues to serve for `outage_grace`; an
        entry that joins and reaches no member waits for longer than that.
        """
        return self._clock.elapsed() - self._confirmed_at < self._outage_grace

    @property
    def is_in_quarantine(self) -> bool:
        """Whether a key without a claim in memory may nevertheless have run."""
        until = self._quarantine_until
        return until is not None and self._clock.elapsed() < until

    def others(self) -> list[EntryId]:
        """Return the other members."""
        return sorted(self._member_by_entry)

    def address_of(self, entry: EntryId) -> Address | None:
        """Return the address of a member, None if `entry` is not a member."""
        member = self._member_by_entry.get(entry)
        return None if member is None else member.claims

    def is_member(self, incarnation: Incarnation) -> bool:
        """Return whether `incarnation` is that of this entry or of another member."""
        return incarnation == self.own_row().incarnation or any(
            member.incarnation == incarnation
            for member in self._member_by_entry.values()
        )

    def leave(self) -> None:
        """Stop serving keyed requests until the entry has rejoined."""
        if self.is_joined:
            log_event("claims:must-rejoin", entry=self.own_row().entry)
            # Others may claim without this entry until it has joined again.
            self._has_gap = True
            self.is_joined = False

    def own_row(self) -> MemberRow:
        """Return the entry's own row, whether or not it is written yet."""
        return self._describe()

    def record_row(self, key: str, version: int) -> None:
        """Schedule the deletion of a claim's row after the retention time."""
        expires_at = self._clock.elapsed() + self._retention
        self._expiry_by_key[key] = _Expiry(version=version, expires_at=expires_at)

    async def handle_sync(self, request: SyncRequest) -> SyncReply:
        """Handle `SYNC`: consult the new member from now on, and return all claims."""
        if await self._is_current(request.member):
            self._member_by_entry[request.member.entry] = request.member
        remaining = timedelta(0)
        if self._quarantine_until is not None:
            remaining = self._quarantine_until - self._clock.elapsed()
        return SyncReply(
            is_member=self.is_joined,
            has_gap=self._has_gap,
            quarantine_s=max(0.0, remaining.total_seconds()),
            claims=self._memory.claims(),
        )

    async def _is_current(self, member: MemberRow) -> bool:
        """Return whether a message to join is not of an earlier incarnation.

        The row, which a member writes before it joins, decides if the clock of a
        restarted entry may have gone back.
        """
        known = self._member_by_entry.get(member.entry)
        if known is None or known.incarnation <= member.incarnation:
            return True
        try:
            row = await self._table.get(MEMBER_PREFIX + member.entry)
        except TableError as error:
            log_event("claims:join-unchecked", entry=member.entry, error=str(error))
            return True
        return row is not None and row.decode(MemberRow) == member

    async def _join(self) -> None:
        """Write the row, then get the claims of every other member.

        The row is written first, so that two entries which join at the same time
        find each other. Joining waits for this entry's lease: the next entry that
        joins treats a member without a lease as lost, and would refuse new keys as
        if all entries had been lost.
        """
        requested_at = self._clock.elapsed()
        if not await self._has_lease():
            log_event("claims:waits-for-lease", entry=self.own_row().entry)
            return
        await self._write_row()
        if self.row_version == ABSENT:
            return
        has_memory = False
        while True:
            rows = await self._remove_lapsed(await self._table.scan(MEMBER_PREFIX))
            replies = [await self._request_sync(row) for row in rows]
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
        self._confirmed_at = requested_at
        self.is_joined = True
        log_event("claims:joined", members=self.others(), has_memory=has_memory)

    async def _has_lease(self) -> bool:
        """Return whether the table holds a lease of this incarnation of the entry."""
        entries = await self._table.scan(ENTRY_PREFIX)
        own = self.own_row().incarnation
        return any(row.decode(EntryRecord).incarnation == own for row in entries)

    async def _write_row(self) -> None:
        """Write the member row, unless the table has it already."""
        key = MEMBER_PREFIX + self.own_row().entry
        found = await self._table.get(key)
        self.row_version = ABSENT
        if found is not None:
            if found.decode(MemberRow) == self.own_row():
                self.row_version = found.version
                return
            # An earlier incarnation of this entry left without passing on its claims.
            self._has_gap = True
        version = ABSENT if found is None else found.version
        value = self.own_row()
        outcome = await self._table.commit(
            Transaction(puts=[Put.of(key, version, value)])
        )
        if isinstance(outcome, Success):
            self.row_version = outcome.unwrap()[key]

    async def _request_sync(self, row: MemberRow) -> SyncReply | None:
        """Merge a member's claims and return its reply, None if it does not answer."""
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

    async def _refresh(self) -> None:
        """Update the members from their rows, and delete rows that have expired."""
        requested_at = self._clock.elapsed()
        rows = await self._table.scan(MEMBER_PREFIX)
        own = [r for r in rows if r.key == MEMBER_PREFIX + self.own_row().entry]
        if not own or own[0].version != self.row_version:
            self.leave()
            return
        self._confirmed_at = requested_at
        present = await self._remove_lapsed(rows)
        incarnations = {row.incarnation for row in present}
        departed = [
            entry
            for entry, member in self._member_by_entry.items()
            if member.incarnation not in incarnations
        ]
        if departed:
            # Claims that a departed member wrote to the table, because this entry
            # was unreachable, may be known to no other member.
            self._memory.merge(await self._table_claims())
        for entry in departed:
            if self._member_by_entry[entry].incarnation not in incarnations:
                del self._member_by_entry[entry]
        await self._sweep()

    async def _remove_lapsed(self, rows: Sequence[Row]) -> list[MemberRow]:
        """Delete rows of entries without a lease; return the other members' rows.

        The leases are read after the members' rows. An entry writes its lease
        before its member row, so no member read here lacks a lease only because
        it has just joined.
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
        """Return the claims in the table, and schedule the deletion of their rows."""
        rows = await self._table.scan(CLAIM_PREFIX)
        for row in rows:
            self.record_row(row.key, row.version)
        return [row.decode(Claim) for row in rows]

    async def _sweep(self) -> None:
        """Delete rows of claims past the retention time."""
        now = self._clock.elapsed()
        expired = {k: e for k, e in self._expiry_by_key.items() if e.expires_at < now}
        for key, expiry in expired.items():
            put = Put(key=key, version=expiry.version)
            # Fails if another entry deleted the row or it is newer; both are fine.
            await self._table.commit(Transaction(puts=[put]))
            del self._expiry_by_key[key]

    def _start_quarantine(self, length: timedelta) -> None:
        until = self._clock.elapsed() + length
        if self._quarantine_until is None or until > self._quarantine_until:
            self._quarantine_until = until
            log_event("claims:quarantine", seconds=length.total_seconds())
