"""Reading of requests, within the limits of a port."""

from __future__ import annotations

import re

import h11
import trio

from coltsfoottray.http.common import HttpRequest, announced_size, decode_headers
from coltsfoottray.intake import (
    ByteAccount,
    Holding,
    PortLimits,
    RefusalReason,
    RequestRefused,
)

__all__ = ["RequestReader"]

# What follows a request in a part is kept; parts of unknown use are therefore small.
_SMALL_PART_BYTES = 16 * 1024
_LARGE_PART_BYTES = 64 * 1024
_HEAD_END = re.compile(rb"\n\r?\n")
# Tiny chunks take long to parse; others get a turn after so many of them.
_EVENTS_PER_TURN = 64


class RequestReader:
    """Reads the requests of one connection.

    Parameters
    ----------
    account : ByteAccount
        Is charged for the bodies.
    holding : Holding
        The request that arrives, or the one that is being handled.
    """

    def __init__(
        self,
        *,
        stream: trio.abc.ReceiveStream,
        connection: h11.Connection,
        limits: PortLimits,
        account: ByteAccount,
        holding: Holding,
    ) -> None:
        self._stream = stream
        self._connection = connection
        self._limits = limits
        self._account = account
        self._holding = holding
        self._head = bytearray()
        self.has_begun = False
        """Whether a part of a request that is not complete has arrived."""

    async def read(self) -> HttpRequest | None:
        """Return the next request, None if the client has closed the connection.

        Raises
        ------
        RequestRefused
            If it is beyond a limit. Nothing of it is kept.
        h11.RemoteProtocolError
            If it is malformed, or the connection ends before it is complete.
        """
        head = await self._read_head()
        if head is None:
            return None
        target = head.target.decode("ascii")
        body = await self._read_body(self._limits.body_limit(target), head)
        self.has_begun = False
        return HttpRequest(
            method=head.method.decode("ascii"),
            target=target,
            header_by_name=decode_headers(head.headers),
            body=body,
        )

    def start_next(self) -> None:
        """Prepare for the request after one that was answered."""
        trailing, _ = self._connection.trailing_data
        self._connection.start_next_cycle()
        self._check_head(bytes(trailing))

    async def _read_head(self) -> h11.Request | None:
        while True:
            event = self._connection.next_event()
            if isinstance(event, h11.Request):
                self._head.clear()
                self.has_begun = True
                return event
            if event is not h11.NEED_DATA:
                return None
            data = bytes(await self._stream.receive_some(_SMALL_PART_BYTES))
            self._check_head(data)
            self._connection.receive_data(data)

    def _check_head(self, data: bytes) -> None:
        """Check the limits of a head that has grown by `data`, before it is parsed."""
        self._head += data
        self.has_begun = bool(self._head)
        match = _HEAD_END.search(self._head)
        end = match.end() if match else len(self._head)
        lines = self._head.count(b"\n", 0, end)
        if end > self._limits.head_bytes or lines > self._limits.head_lines:
            raise RequestRefused(
                reason=RefusalReason.HEAD_TOO_LARGE,
                detail=f"the head is larger than {self._limits.head_bytes} bytes "
                f"or {self._limits.head_lines} lines",
            )

    async def _read_body(self, limit: int, head: h11.Request) -> bytes:
        announced = _announced_size(head)
        if announced is not None and announced > limit:
            raise _too_large(limit)
        body = bytearray()
        try:
            await self._read_parts(body, limit, announced)
        except BaseException:
            # Whoever handles the error keeps this frame, and would keep the body.
            body.clear()
            raise
        return bytes(body)

    async def _read_parts(
        self, body: bytearray, limit: int, announced: int | None
    ) -> None:
        events = 0
        while True:
            event = self._connection.next_event()
            if event is h11.NEED_DATA:
                await self._receive_part(len(body), announced)
                continue
            if isinstance(event, h11.EndOfMessage):
                return
            if not isinstance(event, h11.Data):
                raise h11.RemoteProtocolError(f"unexpected {event!r} in the body")
            if len(body) + len(event.data) > limit:
                raise _too_large(limit)
            body += event.data
            if not self._account.charge(self._holding, len(body)):
                raise RequestRefused(
                    reason=RefusalReason.NO_MEMORY,
                    detail="too many bytes of requests at a time",
                )
            events += 1
            if events % _EVENTS_PER_TURN == 0:
                await trio.lowlevel.checkpoint()

    async def _receive_part(self, size: int, announced: int | None) -> None:
        """Receive a part of the body, and little of what follows it."""
        most = _SMALL_PART_BYTES
        if announced is not None:
            most = max(1, min(_LARGE_PART_BYTES, announced - size))
        self._connection.receive_data(bytes(await self._stream.receive_some(most)))


def _announced_size(head: h11.Request) -> int | None:
    """Return the length of the body in bytes, None if the head does not tell it."""
    is_chunked = any(name == b"transfer-encoding" for name, _ in head.headers)
    return None if is_chunked else announced_size(head.headers) or 0


def _too_large(limit: int) -> RequestRefused:
    return RequestRefused(
        reason=RefusalReason.BODY_TOO_LARGE,
        detail=f"the body is larger than {limit} bytes",
    )
