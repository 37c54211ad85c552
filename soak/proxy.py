"""A proxy whose open connections can be made silent."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field

import trio

from coltsfoottray.types import Address
from standins.connections import Direction

__all__ = ["Proxy"]

_CHUNK_BYTES = 65_536


@dataclass(kw_only=True, eq=False)
class _Connection:
    silent: Direction | None = None


@dataclass(kw_only=True)
class Proxy:
    """Passes connections on to one address.

    Parameters
    ----------
    target : Address
        Where connections are passed on to.
    """

    target: Address
    connections: set[_Connection] = field(default_factory=set)

    def silence(self, direction: Direction) -> None:
        """Make the open connections silent; new ones work."""
        for connection in self.connections:
            connection.silent = direction

    async def handle(self, client: trio.SocketStream) -> None:
        """Serve one connection until either end closes it."""
        connection = _Connection()
        self.connections.add(connection)
        try:
            async with client:
                await self._connect(connection, client)
        except (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            # The target refuses connections, or an end has reset one.
            return
        finally:
            self.connections.discard(connection)

    async def _connect(
        self, connection: _Connection, client: trio.SocketStream
    ) -> None:
        target = await trio.open_tcp_stream(self.target.host, self.target.port)
        async with target, trio.open_nursery() as nursery:

            async def pass_on(
                source: trio.SocketStream,
                sink: trio.SocketStream,
                silencing: Sequence[Direction],
            ) -> None:
                """Pass bytes on until an end closes; drop them, and ends, if silent."""
                try:
                    while data := await source.receive_some(_CHUNK_BYTES):
                        if connection.silent not in silencing:
                            await sink.send_all(data)
                except (trio.BrokenResourceError, trio.ClosedResourceError):
                    pass
                if connection.silent is None:
                    nursery.cancel_scope.cancel()

            nursery.start_soon(pass_on, client, target, [Direction.BOTH])
            nursery.start_soon(pass_on, target, client, list(Direction))
