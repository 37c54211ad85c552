"""An HTTP/1.1 server with one trio task for each connection."""

from __future__ import annotations

from datetime import timedelta

import eliot
import h11
import trio

from coltsfoottray.http.common import (
    TOO_LARGE,
    Handler,
    HttpRequest,
    HttpResponse,
    decode_headers,
    encode_headers,
    read_body,
    read_event,
    send_all,
)
from coltsfoottray.http.problem import Outcome, Problem, call_handler
from coltsfoottray.kernel import Listener
from coltsfoottray.types import Address

__all__ = ["HttpServer"]

_DRAIN_POLL_INTERVAL_S = 0.05
# Longer than usual clients keep an idle connection, and than a large message takes.
_IDLE_TIMEOUT = timedelta(minutes=2)


class HttpServer(Listener):
    """Serves `handler` on `address`.

    Parameters
    ----------
    address : Address
        Where to listen. With port 0 the system chooses a free port, which is then
        in `bound_address`.
    handler : Handler
        Called once for each complete request. An `InputError` that it raises is
        answered with status 400, any other exception with 504.
    """

    def __init__(self, *, address: Address, handler: Handler) -> None:
        self._address = address
        self._handler = handler
        self._in_flight = 0
        self.bound_address = address

    async def run(  # noqa: D102
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        listeners = await trio.open_tcp_listeners(
            self._address.port, host=self._address.host
        )
        port = listeners[0].socket.getsockname()[1]
        self.bound_address = Address(host=self._address.host, port=port)
        task_status.started()
        await trio.serve_listeners(self._serve_connection, listeners)

    async def stop(self) -> None:
        """Wait until all requests in flight have been answered completely."""
        while self._in_flight:
            await trio.sleep(_DRAIN_POLL_INTERVAL_S)

    async def _serve_connection(self, stream: trio.SocketStream) -> None:
        connection = h11.Connection(h11.SERVER)
        async with stream:
            try:
                while await self._serve_request(stream, connection):
                    connection.start_next_cycle()
            except (trio.BrokenResourceError, h11.LocalProtocolError):
                return
            except h11.RemoteProtocolError as error:
                await _send_bad_request(stream, connection, error)

    async def _serve_request(
        self, stream: trio.SocketStream, connection: h11.Connection
    ) -> bool:
        """Serve one request and return whether the connection can serve another.

        A client whose connection has become silent never closes it, and a response to
        it may never leave. Without timeouts both would be kept for good.
        """
        request: HttpRequest | None = None
        with trio.move_on_after(_IDLE_TIMEOUT.total_seconds()):
            request = await _read_request(stream, connection)
        if request is None:
            return False
        self._in_flight += 1
        try:
            response = await self._handle_request(request)
            with trio.move_on_after(_IDLE_TIMEOUT.total_seconds()):
                await _send_response(stream, connection, response)
                return connection.our_state is h11.DONE
        finally:
            self._in_flight -= 1
        return False

    async def _handle_request(self, request: HttpRequest) -> HttpResponse:
        try:
            return await call_handler(self._handler, request)
        except Exception:
            # An error in one handler must not close the other connections.
            eliot.write_traceback()
            return Problem(
                outcome=Outcome.UNKNOWN, detail="internal error; see the log"
            ).to_response()


async def _read_request(
    stream: trio.SocketStream, connection: h11.Connection
) -> HttpRequest | None:
    """Return the next request, None if the client has closed the connection."""
    event = await read_event(stream, connection)
    if not isinstance(event, h11.Request):
        return None
    body = await read_body(stream, connection)
    return HttpRequest(
        method=event.method.decode("ascii"),
        target=event.target.decode("ascii"),
        header_by_name=decode_headers(event.headers),
        body=body,
    )


async def _send_response(
    stream: trio.SocketStream, connection: h11.Connection, response: HttpResponse
) -> None:
    head = h11.Response(
        status_code=response.status,
        headers=encode_headers(response.header_by_name, response.body),
    )
    await send_all(
        stream, connection, [head, h11.Data(data=response.body), h11.EndOfMessage()]
    )


async def _send_bad_request(
    stream: trio.SocketStream,
    connection: h11.Connection,
    error: h11.RemoteProtocolError,
) -> None:
    if connection.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
        return
    is_too_large = error.error_status_hint == TOO_LARGE
    outcome = Outcome.TOO_LARGE if is_too_large else Outcome.INVALID
    problem = Problem(outcome=outcome, detail=str(error))
    try:
        await _send_response(stream, connection, problem.to_response())
    except (trio.BrokenResourceError, h11.LocalProtocolError):
        return
