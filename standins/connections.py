"""Connections of the network in memory, which can become silent."""

from __future__ import annotations

import enum
from collections.abc import Mapping

import trio

from coltsfoottray.http.pool import PooledConnection
from coltsfoottray.types import Address

__all__ = ["Direction", "MemoryConnection", "Parting"]


class Direction(enum.Enum):
    """What is lost on a connection that has become silent."""

    BOTH = "both"
    ANSWERS = "answers"
    """Requests arrive and are carried out; only their answers are lost."""


class Parting(enum.StrEnum):
    """What becomes of connections between processes that live and are parted."""

    REFUSED = "refused"
    RESET = "reset"
    SILENT = "silent"


class MemoryConnection(PooledConnection):
    """An open connection from a process to the listener at an address.

    Parameters
    ----------
    listener_by_address : dict
        The current listeners. The peer has closed the connection if another one
        listens at its address.
    open_connections : set of MemoryConnection
        Contains this connection until it is closed.

    Attributes
    ----------
    silent : Direction, optional
        What is lost on it without an error; None if it works.
    """

    def __init__(
        self,
        *,
        sender: str,
        address: Address,
        listener_by_address: Mapping[Address, object],
        open_connections: set[MemoryConnection],
    ) -> None:
        self.sender = sender
        self.address = address
        self.silent: Direction | None = None
        self.received_at = trio.current_time()
        self._listener_by_address = listener_by_address
        self._listener = listener_by_address.get(address)
        self._open_connections = open_connections
        open_connections.add(self)

    def is_closed_by_peer(self) -> bool:  # noqa: D102
        listener = self._listener_by_address.get(self.address)
        return not self.silent and listener is not self._listener

    def close(self) -> None:  # noqa: D102
        self._open_connections.discard(self)
