"""What a gRPC server takes from its clients, within the limits of its port."""

from __future__ import annotations

import asyncio
import struct
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

from grpclib.config import Configuration
from grpclib.const import Status
from grpclib.exceptions import GRPCError
from grpclib.server import Server, Stream

from coltsfoottray.intake import (
    ByteAccount,
    ConnectionTable,
    IntakeObserver,
    OpenConnection,
    PortLimits,
    RefusalReason,
)

__all__ = ["GrpcIntake", "LimitedServer"]

# Before each message: whether it is compressed, and its length.
_PREFIX = struct.Struct(">?I")
# What a client may send before it is read, on all its streams together.
_WINDOW_BYTES = 64 * 1024


class GrpcIntake:
    """Receives messages and bounds their size, their sum, and the connections."""

    def __init__(self, *, limits: PortLimits, observer: IntakeObserver) -> None:
        self.observer = observer
        self.connections = ConnectionTable(limit=limits.connections)
        self._limits = limits
        self._account = ByteAccount(capacity=limits.held_bytes, now=time.monotonic)

    @asynccontextmanager
    async def receive(self, stream: Stream[Any, Any]) -> AsyncIterator[bytes]:
        """Receive the only message of a call and hold it.

        grpclib itself receives messages of any length. The announced length is checked,
        and charged, before any of the message is received.

        Raises
        ------
        GRPCError
            If it is too large, or there is no room for it now.
        """
        task = asyncio.current_task()
        assert task is not None
        holding = self._account.open(lambda: _cancel(task))
        try:
            async with asyncio.timeout(self._limits.request_time.total_seconds()):
                prefix = await stream._stream.recv_data(_PREFIX.size)
                size = self._check_size(prefix)
                if not self._account.charge(holding, size):
                    raise self._refuse(
                        RefusalReason.NO_MEMORY, "too many bytes of calls at a time"
                    )
                data = await stream._stream.recv_data(size)
            holding.is_complete = True
            yield data
        finally:
            self._account.close(holding)

    def _check_size(self, prefix: bytes) -> int:
        if len(prefix) < _PREFIX.size:
            raise self._refuse(RefusalReason.MALFORMED, "the call has no message")
        is_compressed, size = _PREFIX.unpack(prefix)
        if is_compressed:
            raise self._refuse(RefusalReason.MALFORMED, "compression is not supported")
        limit = self._limits.body_bytes
        if size > limit:
            raise self._refuse(
                RefusalReason.BODY_TOO_LARGE, f"the call is larger than {limit} bytes"
            )
        return int(size)

    def _refuse(self, reason: RefusalReason, detail: str) -> GRPCError:
        self.observer.record_refused(reason)
        return GRPCError(Status.RESOURCE_EXHAUSTED, detail)


def _cancel(task: asyncio.Task[Any]) -> None:
    task.cancel()


class LimitedServer(Server):
    """A gRPC server with a bound on its connections and on what it receives unread."""

    def __init__(self, *args: Any, intake: GrpcIntake, **options: Any) -> None:
        config = Configuration(
            http2_connection_window_size=_WINDOW_BYTES,
            http2_stream_window_size=_WINDOW_BYTES,
        )
        super().__init__(*args, config=config, **options)
        self._intake = intake

    def _protocol_factory(self) -> Any:
        """Return the protocol of a new connection, which enters it into the table."""
        protocol: Any = super()._protocol_factory()
        connect, disconnect = protocol.connection_made, protocol.connection_lost
        connections: list[OpenConnection] = []

        def connection_made(transport: Any) -> None:
            connection = OpenConnection(close=transport.abort)
            connections.append(connection)
            connect(transport)
            if not self._intake.connections.add(connection):
                self._intake.observer.record_refused(RefusalReason.NO_CONNECTION)
                connection.close()

        def connection_lost(error: BaseException | None) -> None:
            for connection in connections:
                self._intake.connections.remove(connection)
                if connection.is_displaced:
                    self._intake.observer.record_refused(RefusalReason.DISPLACED)
            disconnect(error)

        protocol.connection_made = connection_made
        protocol.connection_lost = connection_lost
        return protocol
