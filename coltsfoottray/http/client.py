"""An HTTP/1.1 client with a connection pool."""

from __future__ import annotations

from datetime import timedelta

import h11
import trio

from coltsfoottray.errors import CommunicationError, ExchangeStep
from coltsfoottray.http.common import (
    DEFAULT_TIMEOUT,
    TOO_LARGE,
    HttpRequest,
    HttpResponse,
    HttpTransport,
    OnResponseStart,
    announced_size,
    decode_headers,
    encode_headers,
    read_body,
    read_event,
    send_all,
)
from coltsfoottray.http.connection import (
    ClientConnection,
    ConnectionObserver,
    ExchangeTimeout,
)
from coltsfoottray.http.pool import ConnectionPool
from coltsfoottray.types import Address

__all__ = ["HttpClient"]

CONNECT_TIMEOUT = timedelta(seconds=1)


class HttpClient(HttpTransport):
    """Sends requests over keep-alive connections, one request at a time on each.

    Parameters
    ----------
    observer : ConnectionObserver, optional
        Is told of connections that are opened, and of timeouts on them.
    """

    def __init__(self, *, observer: ConnectionObserver | None = None) -> None:
        self._observer = observer
        self._pool: ConnectionPool[ClientConnection] = ConnectionPool()

    async def send(  # noqa: D102
        self,
        address: Address,
        request: HttpRequest,
        *,
        timeout: timedelta = DEFAULT_TIMEOUT,
        on_response_start: OnResponseStart | None = None,
    ) -> HttpResponse:
        pooled = await self._acquire(address)
        pooled.received_bytes = 0
        sent_at = trio.current_time()
        step = ExchangeStep.SEND
        try:
            with trio.fail_after(timeout.total_seconds()) as pooled.cancel_scope:
                await _send_request(pooled, address, request)
                step = ExchangeStep.RECEIVE
                response = await _read_response(pooled, request, on_response_start)
        except (
            trio.TooSlowError,
            trio.BrokenResourceError,
            trio.ClosedResourceError,
            h11.ProtocolError,
        ) as error:
            detail = str(error) or type(error).__name__
            if isinstance(error, trio.TooSlowError):
                detail = str(self._handle_timeout(address, pooled, sent_at))
            raise CommunicationError(
                step=step,
                peer=str(address),
                detail=detail,
                received_bytes=pooled.received_bytes,
                is_too_large=getattr(error, "error_status_hint", 0) == TOO_LARGE,
            ) from error
        finally:
            self._release(address, pooled, sent_at)
        return response

    def close(self) -> None:
        """Close every idle connection."""
        self._pool.close()

    async def _acquire(self, address: Address) -> ClientConnection:
        pooled = self._pool.take(address, now=trio.current_time())
        if pooled is not None:
            return pooled
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
        if self._observer is not None:
            self._observer.record_opened(address)
        return ClientConnection(stream)

    def _release(
        self, address: Address, pooled: ClientConnection, sent_at: float
    ) -> None:
        """Put a connection back into the pool if its exchange is complete.

        An exchange that ends before anything has arrived, as its caller gives up, shows
        as much as a timeout.
        """
        if pooled.is_complete:
            pooled.connection.start_next_cycle()
            self._pool.put(address, pooled)
            return
        pooled.close()
        if pooled.received_at < sent_at:
            self._pool.close_suspects(sent_at=sent_at, now=trio.current_time())

    def _handle_timeout(
        self, address: Address, pooled: ClientConnection, sent_at: float
    ) -> ExchangeTimeout:
        """Close what may be silent too, so that no later request tries it."""
        now = trio.current_time()
        timeout = ExchangeTimeout(
            peer=address,
            is_reused=pooled.is_reused,
            silent_for=timedelta(seconds=now - pooled.received_at),
            closed_connections=self._pool.close_suspects(sent_at=sent_at, now=now),
            idle_connections=self._pool.count(address),
        )
        if self._observer is not None:
            self._observer.record_timeout(timeout)
        return timeout


async def _send_request(
    pooled: ClientConnection, address: Address, request: HttpRequest
) -> None:
    header_by_name = {"host": str(address), **request.header_by_name}
    head = h11.Request(
        method=request.method,
        target=request.target,
        headers=encode_headers(header_by_name, request.body),
    )
    await send_all(
        pooled.stream,
        pooled.connection,
        [head, h11.Data(data=request.body), h11.EndOfMessage()],
    )


async def _read_response(
    pooled: ClientConnection,
    request: HttpRequest,
    on_response_start: OnResponseStart | None,
) -> HttpResponse:
    event = await read_event(pooled, pooled.connection)
    while isinstance(event, h11.InformationalResponse):
        event = await read_event(pooled, pooled.connection)
    if not isinstance(event, h11.Response):
        raise h11.RemoteProtocolError(f"connection ended before a response: {event!r}")
    if on_response_start is not None:
        on_response_start(event.status_code)
    # The answer to a HEAD announces a body that does not come.
    announced = None if request.method == "HEAD" else announced_size(event.headers)
    body = await read_body(
        pooled,
        pooled.connection,
        announced=announced,
        limit=request.max_answer_bytes,
    )
    return HttpResponse(
        status=event.status_code,
        header_by_name=decode_headers(event.headers),
        body=body,
    )


def _is_refused(error: Exception) -> bool:
    """Return whether the peer's VM says that no process listens.

    A reset or a timeout does not say so.
    """
    causes: list[BaseException | None] = [error.__cause__]
    if isinstance(error.__cause__, BaseExceptionGroup):
        causes = list(error.__cause__.exceptions)
    return any(isinstance(cause, ConnectionRefusedError) for cause in causes)
