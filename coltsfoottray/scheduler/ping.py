"""The call by which entries check the holder of the lease row."""

from __future__ import annotations

from typing import Annotated

import msgspec

from coltsfoottray.overload.backlog import Backlog
from coltsfoottray.peers import Call

__all__ = ["PING", "Ping", "PingReply"]

# Ids and numbers.
_MAX_REQUEST_BYTES = 4096
_Reading = Annotated[int, msgspec.Meta(ge=0, le=1 << 53)]


class Ping(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Asks for the incarnation of the process at an address.

    Parameters
    ----------
    standby : str
        The entry that sends it, empty from one of an earlier version.
    holder : str
        The incarnation that answered the sender last, empty for none.
    heard_ms : int
        The clock reading in that answer, 0 for none; see `GrantLimit`.
    backlog_version : int, optional
        Version of the latest backlog that the sender knows, 0 for none; None from a
        sender that uses no backlog, as one of an earlier version.
    """

    standby: str = ""
    holder: str = ""
    heard_ms: _Reading = 0
    backlog_version: int | None = None


class PingReply(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """The replying process.

    Parameters
    ----------
    incarnation : str
        Its incarnation.
    epoch : int
        Its epoch as the scheduler, 0 if it is not the scheduler.
    clock_ms : int
        Reading of its steady clock in milliseconds, 0 if it is not the scheduler.
    backlog : Backlog, optional
        The scheduler's backlog, if it is newer than the one that the sender knows.
    backlog_version : int
        Version of the scheduler's backlog, if the sender knows it already; else 0.
    """

    incarnation: str
    epoch: int = 0
    clock_ms: _Reading = 0
    backlog: Backlog | None = None
    backlog_version: int = 0


PING = Call(
    name="Ping",
    request_type=Ping,
    reply_type=PingReply,
    max_request_bytes=_MAX_REQUEST_BYTES,
)
