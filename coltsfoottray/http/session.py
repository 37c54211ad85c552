"""One connection of a client to the HTTP server."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass

import eliot
import h11
import trio

from coltsfoottray.http.common import (
    Handler,
    HttpRequest,
    HttpResponse,
    send_response,
)
from coltsfoottray.http.incoming import RequestReader
from coltsfoottray.http.problem import Outcome, Problem, call_handler
from coltsfoottray.http.refusal import as_refused, send_refusal
from coltsfoottray.intake import (
    ByteAccount,
    ConnectionTable,
    IntakeObserver,
    OpenConnection,
    PortLimits,
    RefusalReason,
    RequestRefused,
)

__all__ = ["Port", "Session"]


@dataclass(kw_only=True)
class Port:
    """What the connections of one server share.

    Parameters
    ----------
    in_flight : int
        Requests that are handled, or whose answers have not left.
    """

    handler: Handler
    limits: PortLimits
    observer: IntakeObserver
    connections: ConnectionTable
    account: ByteAccount
    in_flight: int = 0

    @contextmanager
    def handling(self) -> Iterator[None]:
        """Count a request while it is handled and answered."""
        if self.in_flight >= self.limits.handlers:
            raise RequestRefused(
                reason=RefusalReason.BUSY, detail="too many requests at a time"
            )
        self.in_flight += 1
        try:
            yield
        finally:
            self.in_flight -= 1


class Session:
    """Serves the requests of one connection, until it ends or one is refused."""

    def __init__(
        self, *, stream: trio.SocketStream, connection: OpenConnection, port: Port
    ) -> None:
        self._stream = stream
        self._connection = connection
        self._port = port
        self._protocol = h11.Connection(
            h11.SERVER, max_incomplete_event_size=port.limits.head_bytes
        )
        self._holding = port.account.open(connection.displace)
        self._reader = RequestReader(
            stream=stream,
            connection=self._protocol,
            limits=port.limits,
            account=port.account,
            holding=self._holding,
        )

    async def run(self) -> None:
        """Serve requests, and answer the one that is refused."""
        try:
            await self._serve_requests()
            return
        except h11.LocalProtocolError:
            return
        except h11.RemoteProtocolError as error:
            refused = as_refused(error)
        except RequestRefused as error:
            refused = error
        finally:
            self._port.account.close(self._holding)
        self._port.observer.record_refused(refused.reason)
        self._port.connections.wait_for(self._connection)
        await send_refusal(self._stream, self._protocol, refused)

    async def _serve_requests(self) -> None:
        while await self._serve_request():
            self._port.account.close(self._holding)
            self._reader.start_next()

    async def _serve_request(self) -> bool:
        """Serve one request and return whether the connection can serve another.

        A client whose connection has become silent never closes it, and a response to
        it may never leave. Without timeouts both would be kept for good.
        """
        request = await self._read()
        if request is None:
            return False
        with self._port.handling():
            self._port.connections.work_for(self._connection)
            response = await self._handle(request)
            self._port.connections.wait_for(self._connection)
            with trio.move_on_after(self._request_time_s):
                await send_response(self._stream, self._protocol, response)
                return self._protocol.our_state is h11.DONE
        return False

    async def _read(self) -> HttpRequest | None:
        """Return the next request, None if none has arrived in time."""
        self._holding.began_at = trio.current_time()
        self._holding.is_complete = False
        with trio.move_on_after(self._request_time_s):
            request = await self._reader.read()
            self._holding.is_complete = True
            return request
        if self._reader.has_begun:
            self._port.observer.record_refused(RefusalReason.TOO_SLOW)
        return None

    async def _handle(self, request: HttpRequest) -> HttpResponse:
        try:
            return await call_handler(self._port.handler, request, self._port.observer)
        except Exception:
            # An error in one handler must not close the other connections.
            eliot.write_traceback()
            return Problem(
                outcome=Outcome.UNKNOWN, detail="internal error; see the log"
            ).to_response()

    @property
    def _request_time_s(self) -> float:
        return self._port.limits.request_time.total_seconds()
