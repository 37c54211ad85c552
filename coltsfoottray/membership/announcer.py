"""Announcement of a daemon to every entry, with one task per entry."""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta

import trio

from coltsfoottray.clock import Clock
from coltsfoottray.errors import CommunicationError
from coltsfoottray.kernel import Service
from coltsfoottray.lists import ListHolder
from coltsfoottray.logs import log_event
from coltsfoottray.membership.entries import EntryDirectory, EntryRecord
from coltsfoottray.membership.messages import WATCH, Announcement, WatchRequest
from coltsfoottray.peers import PeerClient
from coltsfoottray.types import EntryId

__all__ = ["Announcer"]

# Network and scheduling delay of an entry's reply, in addition to the hold.
REPLY_MARGIN = timedelta(seconds=1)
RETRY_DELAY = timedelta(milliseconds=250)


class Announcer(Service):
    """Keeps one announcement pending at each entry, and applies lists from replies.

    Parameters
    ----------
    describe : callable
        Returns the daemon's current announcement.
    hold : timedelta
        How long an entry may hold the call without newer lists. It bounds the
        time to detect a connection that delivers nothing any more.
    skip : EntryId, optional
        The daemon's own id, if it is itself an entry.
    """

    def __init__(
        self,
        *,
        peers: PeerClient,
        directory: EntryDirectory,
        clock: Clock,
        holder: ListHolder,
        describe: Callable[[], Announcement],
        hold: timedelta,
        skip: EntryId | None = None,
    ) -> None:
        self._peers = peers
        self._directory = directory
        self._clock = clock
        self._holder = holder
        self._describe = describe
        self._hold = hold
        self._skip = skip
        self._scope_by_entry: dict[EntryId, trio.CancelScope] = {}

    async def run(  # noqa: D102
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        async with trio.open_nursery() as nursery:
            task_status.started()
            while True:
                self._update_targets(nursery)
                await self._directory.wait_changed()

    async def announce_now(self) -> None:
        """Announce to every entry at once, without waiting for the held calls."""
        async with trio.open_nursery() as nursery:
            for record in self._targets():
                nursery.start_soon(self._announce_once, record)

    def _targets(self) -> list[EntryRecord]:
        return [
            record
            for entry, record in self._directory.record_by_id.items()
            if entry != self._skip
        ]

    def _update_targets(self, nursery: trio.Nursery) -> None:
        targets = {record.entry for record in self._targets()}
        for entry in targets - set(self._scope_by_entry):
            scope = self._scope_by_entry[entry] = trio.CancelScope()
            nursery.start_soon(self._announce_repeatedly, entry, scope)
        for entry in set(self._scope_by_entry) - targets:
            self._scope_by_entry.pop(entry).cancel()

    async def _announce_repeatedly(
        self, entry: EntryId, scope: trio.CancelScope
    ) -> None:
        with scope:
            while True:
                record = self._directory.record_by_id.get(entry)
                if record is None or not await self._announce(record, self._hold):
                    await self._clock.sleep(RETRY_DELAY)

    async def _announce_once(self, record: EntryRecord) -> None:
        await self._announce(record, timedelta(0))

    async def _announce(self, record: EntryRecord, hold: timedelta) -> bool:
        request = WatchRequest(
            announcement=self._describe(),
            lists_version=self._holder.current.version,
            hold_s=hold.total_seconds(),
        )
        try:
            reply = await self._peers.call(
                record.peers, WATCH, request, timeout=hold + REPLY_MARGIN
            )
        except CommunicationError as error:
            log_event(
                "membership:entry-unreachable", entry=record.entry, error=str(error)
            )
            return False
        if reply.lists is not None and self._holder.replace_if_newer(reply.lists):
            log_event("lists:in-force", version=reply.lists.version)
        return True
