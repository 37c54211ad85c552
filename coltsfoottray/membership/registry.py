"""Registry of the daemons that have announced themselves to an entry."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta

import trio

from coltsfoottray.clock import Clock
from coltsfoottray.lists import ListHolder
from coltsfoottray.logs import log_event
from coltsfoottray.membership.messages import Announcement, WatchReply, WatchRequest
from coltsfoottray.types import NO_LISTS, DaemonId, Incarnation, ListVersion, Role

__all__ = ["Member", "Registry"]


@dataclass(kw_only=True)
class Member:
    """A daemon's newest announcement, and the monotonic time of its arrival."""

    announcement: Announcement
    last_heard: timedelta
    lists_version: ListVersion = NO_LISTS


class Registry:
    """Holds the newest announcement of every daemon.

    Parameters
    ----------
    silence : timedelta
        Time without an announcement after which a daemon no longer counts as
        present. This also covers a daemon whose connection delivers nothing,
        because its next announcement must arrive over a new connection.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        holder: ListHolder,
        incarnation: Incarnation,
        silence: timedelta,
    ) -> None:
        self._clock = clock
        self._holder = holder
        self._incarnation = incarnation
        self._silence = silence
        self._member_by_id: dict[DaemonId, Member] = {}
        self._changed = trio.Event()

    async def handle_watch(self, request: WatchRequest) -> WatchReply:
        """Handle `WATCH`: apply the announcement, then wait for newer lists."""
        self.update(request.announcement, request.lists_version)
        lists = None
        with trio.move_on_after(request.hold_s):
            lists = await self._holder.wait_newer(request.lists_version)
        return WatchReply(incarnation=self._incarnation, lists=lists)

    def update(
        self, announcement: Announcement, lists_version: ListVersion = NO_LISTS
    ) -> None:
        """Apply `announcement`, unless it is of an earlier incarnation.

        A message of an earlier incarnation can arrive after those of the restarted
        process; the order of incarnations distinguishes them.
        """
        known = self._member_by_id.get(announcement.daemon)
        if known is not None:
            if announcement.incarnation < known.announcement.incarnation:
                return
            if (
                announcement.incarnation == known.announcement.incarnation
                and known.announcement.is_draining
                and not announcement.is_draining
            ):
                # Draining is final within one incarnation. An older announcement
                # that arrives late on another connection must not undo it.
                return
        if known is None or known.announcement.incarnation != announcement.incarnation:
            log_event(
                "membership:joined",
                daemon=announcement.daemon,
                incarnation=announcement.incarnation,
            )
        if announcement.is_leaving:
            self._member_by_id.pop(announcement.daemon, None)
        else:
            self._member_by_id[announcement.daemon] = Member(
                announcement=announcement,
                last_heard=self._clock.elapsed(),
                lists_version=lists_version,
            )
        self._changed.set()
        self._changed = trio.Event()

    def members(self, role: Role) -> list[Member]:
        """Return the present members of `role`, sorted by id."""
        min_last_heard = self._clock.elapsed() - self._silence
        return [
            member
            for _, member in sorted(self._member_by_id.items())
            if member.announcement.role is role and member.last_heard >= min_last_heard
        ]

    def find(self, daemon: DaemonId) -> Member | None:
        """Return `daemon` if it has announced itself and not left, even if silent."""
        return self._member_by_id.get(daemon)

    async def wait_changed(self) -> None:
        """Wait for the next announcement."""
        await self._changed.wait()
