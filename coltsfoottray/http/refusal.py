"""Answers to requests that are not taken in, after which the connection ends."""

from __future__ import annotations

from dataclasses import replace
from datetime import timedelta

import h11
import trio

from coltsfoottray.http.common import send_response
from coltsfoottray.http.problem import to_problem
from coltsfoottray.intake import RefusalReason, RequestRefused

__all__ = ["as_refused", "send_refusal"]

_TOO_LARGE_HEAD = 431
# A client that still sends gets the answer only if what it sends is received. It is
# thrown away, so that only time and processor are to be bounded.
_REFUSAL_TIME = timedelta(seconds=1)
_MAX_DISCARDED_BYTES = 16 * 1024 * 1024
_PART_BYTES = 64 * 1024


def as_refused(error: h11.RemoteProtocolError) -> RequestRefused:
    """Return the refusal of a request that cannot be parsed."""
    is_head = error.error_status_hint == _TOO_LARGE_HEAD
    reason = RefusalReason.HEAD_TOO_LARGE if is_head else RefusalReason.MALFORMED
    return RequestRefused(reason=reason, detail=str(error))


async def send_refusal(
    stream: trio.SocketStream, connection: h11.Connection, refused: RequestRefused
) -> None:
    """Answer a request that was refused, as far as its client receives it."""
    if connection.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
        return
    response = to_problem(refused).to_response()
    header_by_name = {**response.header_by_name, "connection": "close"}
    last = replace(response, header_by_name=header_by_name)
    with trio.move_on_after(_REFUSAL_TIME.total_seconds()):
        try:
            await send_response(stream, connection, last)
            await stream.send_eof()
            await _discard(stream)
        except (
            trio.BrokenResourceError,
            trio.ClosedResourceError,
            h11.LocalProtocolError,
        ):
            return


async def _discard(stream: trio.SocketStream) -> None:
    discarded = 0
    while discarded < _MAX_DISCARDED_BYTES:
        data = await stream.receive_some(_PART_BYTES)
        if not data:
            return
        discarded += len(data)
