"""Announcements of daemons to entries, and the replies."""

from __future__ import annotations

import msgspec

from coltsfoottray.lists import Lists
from coltsfoottray.peers import Call
from coltsfoottray.types import (
    Address,
    DaemonId,
    DataCentre,
    Incarnation,
    Kind,
    ListVersion,
    Resources,
    Role,
    TaskId,
)

__all__ = [
    "WATCH",
    "Announcement",
    "AttemptReport",
    "LoadReport",
    "WatchReply",
    "WatchRequest",
    "WorkerReport",
]


class LoadReport(msgspec.Struct, frozen=True, kw_only=True):
    """Load of an upstream instance.

    Parameters
    ----------
    in_flight : int
        Number of requests that hold a slot or wait for one.
    service_s_by_kind : dict
        Exponentially decayed average of the time in a slot, in seconds.
    """

    slots: int
    connections: int
    in_flight: int = 0
    service_s_by_kind: dict[Kind, float] = msgspec.field(default_factory=dict)


class AttemptReport(msgspec.Struct, frozen=True, kw_only=True):
    """State of one attempt, as its worker's attendant reports it."""

    task: TaskId
    attempt: int
    used: Resources
    slowdown: float = 1.0
    exit_code: int | None = None


class WorkerReport(msgspec.Struct, frozen=True, kw_only=True):
    """Capacity, reservations and attempts of a worker.

    Parameters
    ----------
    term : int
        Term of the worker's lease; 0 while no task may be placed there.
    """

    capacity: Resources
    reserved: Resources
    term: int
    attempts: list[AttemptReport] = msgspec.field(default_factory=list)


class Announcement(msgspec.Struct, frozen=True, kw_only=True):
    """A daemon's announcement of itself: identity, addresses and state."""

    daemon: DaemonId
    role: Role
    incarnation: Incarnation
    data_centre: DataCentre
    rack: str
    http: Address
    peers: Address
    is_draining: bool = False
    is_leaving: bool = False
    load: LoadReport | None = None
    worker: WorkerReport | None = None


class WatchRequest(msgspec.Struct, frozen=True, kw_only=True):
    """An announcement that waits up to `hold_s` seconds for newer lists."""

    announcement: Announcement
    lists_version: ListVersion
    hold_s: float


class WatchReply(msgspec.Struct, frozen=True, kw_only=True):
    """The lists, if they are newer than those of the announcing daemon."""

    incarnation: Incarnation
    lists: Lists | None = None


WATCH = Call(name="Watch", request_type=WatchRequest, reply_type=WatchReply)
