"""An HTTP/1.1 server with one trio task for each connection."""

from __future__ import annotations

import errno
import socket

import trio

from coltsfoottray.http.common import Handler
from coltsfoottray.http.session import Port, Session
from coltsfoottray.intake import (
    ByteAccount,
    ConnectionTable,
    IntakeObserver,
    OpenConnection,
    PortLimits,
    RefusalReason,
    SilentObserver,
)
from coltsfoottray.kernel import Listener
from coltsfoottray.types import Address

__all__ = ["HttpServer"]

_DRAIN_POLL_INTERVAL_S = 0.05
# What the kernel receives for a connection that is not read counts as memory. The
# kernel doubles this for its own overhead.
_RECEIVE_BUFFER_BYTES = 64 * 1024
_NO_CAPACITY = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
_NO_CAPACITY_PAUSE_S = 0.05


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
    limits : PortLimits, optional
        What it takes from its clients.
    observer : IntakeObserver, optional
        Is told of clients that are turned away.
    """

    def __init__(
        self,
        *,
        address: Address,
        handler: Handler,
        limits: PortLimits | None = None,
        observer: IntakeObserver | None = None,
    ) -> None:
        limits = limits or PortLimits()
        self._address = address
        self._port = Port(
            handler=handler,
            limits=limits,
            observer=observer or SilentObserver(),
            connections=ConnectionTable(limit=limits.connections),
            account=ByteAccount(capacity=limits.held_bytes, now=trio.current_time),
        )
        self.bound_address = address

    @property
    def in_flight(self) -> int:
        """Number of requests that are handled, or whose answers have not left."""
        return self._port.in_flight

    async def run(  # noqa: D102
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        listeners = await trio.open_tcp_listeners(
            self._address.port, host=self._address.host
        )
        port = listeners[0].socket.getsockname()[1]
        self.bound_address = Address(host=self._address.host, port=port)
        async with trio.open_nursery() as nursery:
            for listener in listeners:
                # Accepted connections inherit it.
                listener.socket.setsockopt(
                    socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES
                )
                nursery.start_soon(self._accept, listener, nursery)
            task_status.started()

    async def stop(self) -> None:
        """Wait until all requests in flight have been answered completely."""
        while self.in_flight:
            await trio.sleep(_DRAIN_POLL_INTERVAL_S)

    async def _accept(
        self, listener: trio.SocketListener, nursery: trio.Nursery
    ) -> None:
        async with listener:
            while True:
                try:
                    stream = await listener.accept()
                except OSError as error:
                    if error.errno not in _NO_CAPACITY:
                        raise
                    await self._make_capacity()
                    continue
                self._admit(stream, nursery)

    async def _make_capacity(self) -> None:
        """Close a connection that waits, since the process can open no other."""
        self._port.observer.record_refused(RefusalReason.NO_DESCRIPTOR)
        self._port.connections.displace_longest()
        await trio.sleep(_NO_CAPACITY_PAUSE_S)

    def _admit(self, stream: trio.SocketStream, nursery: trio.Nursery) -> None:
        connection = OpenConnection(close=stream.socket.close)
        if self._port.connections.add(connection):
            nursery.start_soon(self._serve, stream, connection)
            return
        connection.close()
        self._port.observer.record_refused(RefusalReason.NO_CONNECTION)

    async def _serve(
        self, stream: trio.SocketStream, connection: OpenConnection
    ) -> None:
        session = Session(stream=stream, connection=connection, port=self._port)
        try:
            async with stream:
                await session.run()
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            if connection.is_displaced:
                self._port.observer.record_refused(RefusalReason.DISPLACED)
        finally:
            self._port.connections.remove(connection)
