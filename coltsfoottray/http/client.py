"""A pooled HTTP/1.1 client."""

from __future__ import annotations

from collections import defaultdict
from datetime import timedelta

import h11
import trio

from coltsfoottray.errors import CommunicationError, ExchangeStep
from coltsfoottray.http.common import (
    DEFAULT_TIMEOUT,
    HttpRequest,
    HttpResponse,
    HttpTransport,
    OnResponseStart,
    decode_headers,
    encode_headers,
    extend_deadline,
    read_body,
    read_event,
    send_all,
)
from coltsfoottray.types import Address

__all__ = ["HttpClient"]

CONNECT_TIMEOUT = timedelta(seconds=1)
# Peers close idle connections; a pool beyond this is never reused in time.
MAX_IDLE_PER_PEER = 32


class _Link(trio.abc.ReceiveStream):
    """One open connection, its h11 state, and how much of the answer has come."""

    def __init__(self, stream: trio.SocketStream) -> None:
        self.stream = stream
        self.connection = h11.Connection(h11.CLIENT)
        self.received_bytes = 0
        self.limit = trio.CancelScope()

    async def receive_some(self, max_bytes: int | None = None) -> bytes | bytearray:
        data = await self.stream.receive_some(max_bytes)
        self.received_bytes += len(data)
        extend_deadline(self.limit)
        return data

    async def aclose(self) -> None:
        await self.stream.aclose()

    def is_closed_by_peer(self) -> bool:
        """Whether an idle link has become readable, which means end of file."""
        try:
            self.stream.socket._sock.recv(1)  # type: ignore[attr-defined]
        except BlockingIOError:
            return False
        except OSError:
            return True
        return True


class HttpClient(HttpTransport):
    """Sends requests over kept-alive connections, one request on each at a time."""

    def __init__(self) -> None:
        self._idle_by_address: dict[Address, list[_Link]] = defaultdict(list)

    async def send(  # noqa: D102
        self,
        address: Address,
        request: HttpRequest,
        *,
        timeout: timedelta = DEFAULT_TIMEOUT,
        on_response_start: OnResponseStart | None = None,
    ) -> HttpResponse:
        link = await self._open(address)
        link.received_bytes = 0
        step = ExchangeStep.SEND
        try:
            with trio.fail_after(timeout.total_seconds()) as link.limit:
                await _send_request(link, address, request)
                step = ExchangeStep.RECEIVE
                response = await _read_response(link, on_response_start)
        except (
            trio.TooSlowError,
            trio.BrokenResourceError,
            trio.ClosedResourceError,
            h11.ProtocolError,
        ) as error:
            detail = str(error) or type(error).__name__
            raise CommunicationError(
                step=step,
                peer=str(address),
                detail=detail,
                received_bytes=link.received_bytes,
            ) from error
        finally:
            self._give_back(address, link)
        return response

    def close(self) -> None:
        """Close every idle connection."""
        for links in self._idle_by_address.values():
            for link in links:
                link.stream.socket.close()
        self._idle_by_address.clear()

    async def _open(self, address: Address) -> _Link:
        idle = self._idle_by_address[address]
        while idle:
            link = idle.pop()
            if not link.is_closed_by_peer():
                return link
            link.stream.socket.close()
        try:
            with trio.fail_after(CONNECT_TIMEOUT.total_seconds()):
                stream = await trio.open_tcp_stream(address.host, address.port)
        except (OSError, trio.TooSlowError) as error:
            raise CommunicationError(
                step=ExchangeStep.CONNECT,
                peer=str(address),
                detail=str(error) or "timeout",
                is_refused=_is_refused(error),
            ) from error
        assert isinstance(stream, trio.SocketStream)
        return _Link(stream)

    def _give_back(self, address: Address, link: _Link) -> None:
        """Keep a link whose exchange is complete, close any other."""
        complete = (
            link.connection.our_state is h11.DONE
            and link.connection.their_state is h11.DONE
        )
        idle = self._idle_by_address[address]
        if complete and len(idle) < MAX_IDLE_PER_PEER:
            link.connection.start_next_cycle()
            idle.append(link)
        else:
            link.stream.socket.close()


async def _send_request(link: _Link, address: Address, request: HttpRequest) -> None:
    header_by_name = {"host": str(address), **request.header_by_name}
    head = h11.Request(
        method=request.method,
        target=request.target,
        headers=encode_headers(header_by_name, request.body),
    )
    await send_all(
        link.stream,
        link.connection,
        [head, h11.Data(data=request.body), h11.EndOfMessage()],
    )


async def _read_response(
    link: _Link, on_response_start: OnResponseStart | None
) -> HttpResponse:
    event = await read_event(link, link.connection)
    while isinstance(event, h11.InformationalResponse):
        event = await read_event(link, link.connection)
    if not isinstance(event, h11.Response):
        raise h11.RemoteProtocolError(f"connection ended before a response: {event!r}")
    if on_response_start is not None:
        on_response_start(event.status_code)
    body = await read_body(link, link.connection)
    return HttpResponse(
        status=event.status_code,
        header_by_name=decode_headers(event.headers),
        body=body,
    )


def _is_refused(error: Exception) -> bool:
    """Whether a failed connection was refused, and not given up without an answer."""
    causes: list[BaseException | None] = [error.__cause__]
    if isinstance(error.__cause__, BaseExceptionGroup):
        causes = list(error.__cause__.exceptions)
    return any(isinstance(cause, ConnectionError) for cause in causes)
