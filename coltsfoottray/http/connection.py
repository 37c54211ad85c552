"""An open connection of the HTTP client, and an interface to observe connections."""

from __future__ import annotations

import abc
from dataclasses import dataclass
from datetime import timedelta

import h11
import trio

from coltsfoottray.http.common import extend_deadline
from coltsfoottray.http.pool import PooledConnection
from coltsfoottray.types import Address

__all__ = ["ClientConnection", "ConnectionObserver", "ExchangeTimeout"]


class ClientConnection(PooledConnection, trio.abc.ReceiveStream):
    """An open connection with its h11 state.

    Attributes
    ----------
    received_bytes : int
        Size of the response received so far.
    """

    def __init__(self, stream: trio.SocketStream) -> None:
        self.stream = stream
        self.connection = h11.Connection(h11.CLIENT)
        self.received_bytes = 0
        self.received_at = trio.current_time()
        self.cancel_scope = trio.CancelScope()

    async def receive_some(self, max_bytes: int | None = None) -> bytes | bytearray:
        """Receive data, which extends the deadline of the exchange."""
        data = await self.stream.receive_some(max_bytes)
        self.received_bytes += len(data)
        if data:
            self.received_at = trio.current_time()
        extend_deadline(self.cancel_scope)
        return data

    async def aclose(self) -> None:
        """Close the connection."""
        await self.stream.aclose()

    @property
    def is_complete(self) -> bool:
        """Whether an exchange is complete, so that another one may follow."""
        return (
            self.connection.our_state is h11.DONE
            and self.connection.their_state is h11.DONE
        )

    def is_closed_by_peer(self) -> bool:  # noqa: D102
        # An idle connection becomes readable only at end of file.
        try:
            self.stream.socket._sock.recv(1)  # type: ignore[attr-defined]
        except BlockingIOError:
            return False
        except OSError:
            return True
        return True

    def close(self) -> None:  # noqa: D102
        self.stream.socket.close()


@dataclass(frozen=True, kw_only=True)
class ExchangeTimeout:
    """An exchange whose response did not arrive in time.

    Parameters
    ----------
    is_reused : bool
        Whether the connection had carried a complete exchange before. A timeout on a
        new one shows that the peer does not answer; on a reused one, the connection
        alone may have stopped transmitting.
    silent_for : timedelta
        Time since the last byte from the peer on this connection.
    closed_connections : int
        Number of idle connections, to any peer, that were closed as suspects.
    idle_connections : int
        Number of idle connections to the same peer that are left.
    """

    peer: Address
    is_reused: bool
    silent_for: timedelta
    closed_connections: int
    idle_connections: int

    def __str__(self) -> str:
        kind = "reused" if self.is_reused else "new"
        return (
            f"timeout on a {kind} connection, silent for "
            f"{self.silent_for.total_seconds():.3f} s, "
            f"{self.closed_connections} idle ones closed, "
            f"{self.idle_connections} left"
        )


class ConnectionObserver(abc.ABC):
    """Observes the connections of an HTTP client."""

    @abc.abstractmethod
    def record_opened(self, peer: Address) -> None:
        """Record that a connection to `peer` was opened."""

    @abc.abstractmethod
    def record_timeout(self, timeout: ExchangeTimeout) -> None:
        """Record an exchange that timed out."""
