"""Idle connections of one process, kept for reuse."""

from __future__ import annotations

import abc
from collections import defaultdict
from datetime import timedelta
from typing import Generic, TypeVar

from coltsfoottray.types import Address

__all__ = ["ConnectionPool", "PooledConnection"]

# A peer closes idle connections, so a larger pool would hold connections that are
# closed before they are reused.
_MAX_IDLE_PER_PEER = 32
# Bursts of calls follow each other within seconds; what earlier ones have left only
# costs descriptors.
_MAX_IDLE_TIME = timedelta(seconds=10)
_CLOSE_UNUSED_INTERVAL = timedelta(seconds=1)
# A shorter wait for an answer says nothing about other connections.
_MIN_SILENCE = timedelta(milliseconds=200)


class PooledConnection(abc.ABC):
    """A connection that can be reused.

    Attributes
    ----------
    received_at : float
        When the last byte arrived, or when the connection was opened; trio's clock.
    is_reused : bool
        Whether an earlier exchange on this connection is complete.
    """

    received_at: float
    is_reused: bool = False

    @abc.abstractmethod
    def is_closed_by_peer(self) -> bool:
        """Return whether the peer has closed this idle connection."""

    @abc.abstractmethod
    def close(self) -> None:
        """Close the connection at once."""


ConnectionT = TypeVar("ConnectionT", bound=PooledConnection)


class ConnectionPool(Generic[ConnectionT]):
    """Idle connections by peer; the one used last is taken first.

    A connection can become silent: it carries nothing more, without an error, while new
    ones work. Only a timeout shows it, and the connections to all peers can become
    silent together. All times are those of trio's clock, in s.
    """

    def __init__(self) -> None:
        self._idle_by_address: dict[Address, list[ConnectionT]] = defaultdict(list)
        self._close_unused_at = 0.0

    def count(self, address: Address) -> int:
        """Return the number of idle connections to a peer."""
        return len(self._idle_by_address.get(address, []))

    def take(self, address: Address, *, now: float) -> ConnectionT | None:
        """Return a connection that may work, None if there is none."""
        self._close_unused(now)
        idle = self._idle_by_address[address]
        while idle:
            connection = idle.pop()
            is_unused = connection.received_at <= now - _MAX_IDLE_TIME.total_seconds()
            if not is_unused and not connection.is_closed_by_peer():
                return connection
            connection.close()
        return None

    def put(self, address: Address, connection: ConnectionT) -> None:
        """Add a connection after a complete exchange; close it if there are many."""
        idle = self._idle_by_address[address]
        if len(idle) >= _MAX_IDLE_PER_PEER:
            connection.close()
            return
        connection.is_reused = True
        idle.append(connection)

    def close_suspects(self, *, sent_at: float, now: float) -> int:
        """Close the connections, to any peer, that may be as silent as one that was.

        A caller that needs several peers in turn would otherwise wait for a timeout at
        each. Connections that have carried something since the request was sent are
        kept: a peer that answers on others is only slow, or has lost one answer.

        Parameters
        ----------
        sent_at : float
            When the request was sent that got no answer.

        Returns
        -------
        int
            The number of connections closed.
        """
        if now - sent_at < _MIN_SILENCE.total_seconds():
            return 0
        return self._close_silent_since(sent_at)

    def close(self) -> None:
        """Close all connections."""
        for idle in self._idle_by_address.values():
            for connection in idle:
                connection.close()
        self._idle_by_address.clear()

    def _close_unused(self, now: float) -> None:
        """Close what has not been used for long, also to peers never called again."""
        if now < self._close_unused_at:
            return
        self._close_unused_at = now + _CLOSE_UNUSED_INTERVAL.total_seconds()
        self._close_silent_since(now - _MAX_IDLE_TIME.total_seconds())

    def _close_silent_since(self, time: float) -> int:
        closed = 0
        for address, idle in list(self._idle_by_address.items()):
            kept = [each for each in idle if each.received_at > time]
            for connection in idle:
                if connection.received_at <= time:
                    connection.close()
            closed += len(idle) - len(kept)
            if kept:
                self._idle_by_address[address] = kept
            else:
                del self._idle_by_address[address]
        return closed
