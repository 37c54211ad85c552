"""What daemons tell entries about themselves, and what they get back."""

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
    """How busy an upstream instance is.

    Parameters
    ----------
    in_flight : int
        Requests that hold a slot or wait for one.
    service_s_by_kind : dict
        Decayed average of the time in a slot, in seconds.
    """

    slots: int
    connections: int
    in_flight: int = 0
    service_s_by_kind: dict[Kind, float] = msgspec.field(default_factory=dict)


class AttemptReport(msgspec.Struct, frozen=True, kw_only=True):
    """One attempt as its worker's attendant knows it."""

    task: TaskId
    attempt: int
    used: Resources
    slowdown: float = 1.0
    exit_code: int | None = None


class WorkerReport(msgspec.Struct, frozen=True, kw_only=True):
    """What a worker has, what is reserved there, and the attempts on it.

    Parameters
    ----------
    term : int
        The term of the worker's lease; 0 while nothing may be placed there.
    """

    capacity: Resources
    reserved: Resources
    term: int
    attempts: list[AttemptReport] = msgspec.field(default_factory=list)


class Announcement(msgspec.Struct, frozen=True, kw_only=True):
    """A daemon's own account of itself."""

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
    """An announcement that waits, up to `hold_s`, for news."""

    announcement: Announcement
    lists_version: ListVersion
    hold_s: float


class WatchReply(msgspec.Struct, frozen=True, kw_only=True):
    """The lists, if they are newer than the asker's."""

    incarnation: Incarnation
    lists: Lists | None = None


WATCH = Call(name="Watch", request_type=WatchRequest, reply_type=WatchReply)
