"""Membership of daemons: the entries, and the announcements sent to them."""

from __future__ import annotations

from coltsfoottray.membership.announcer import Announcer
from coltsfoottray.membership.entries import EntryDirectory, EntryRecord
from coltsfoottray.membership.incarnation import make_incarnation
from coltsfoottray.membership.messages import (
    WATCH,
    Announcement,
    AttemptReport,
    LoadReport,
    WatchReply,
    WatchRequest,
    WorkerReport,
)
from coltsfoottray.membership.registry import Member, Registry

__all__ = [
    "WATCH",
    "Announcement",
    "Announcer",
    "AttemptReport",
    "EntryDirectory",
    "EntryRecord",
    "LoadReport",
    "Member",
    "Registry",
    "WatchReply",
    "WatchRequest",
    "WorkerReport",
    "make_incarnation",
]
