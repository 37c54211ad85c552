"""Idle connections to one peer, kept for reuse."""

from __future__ import annotations

import abc
from datetime import timedelta
from typing import Generic, TypeVar

__all__ = ["ConnectionPool", "PooledConnection"]

# A peer closes idle connections, so a larger pool would hold connections that are
# closed before they are reused.
_MAX_IDLE_PER_PEER = 32
# Bursts of calls follow each other within seconds; what earlier ones have left only
# costs descriptors.
_MAX_IDLE_TIME = timedelta(seconds=10)
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
    """Idle connections to one peer; the most recently used one is taken first.

    A connection can become silent: it carries nothing more, without an error, while new
    ones work. Only a timeout shows it, and where one connection is silent, those that
    have carried nothing since may be too. All times are those of trio's clock, in s.
    """

    def __init__(self) -> None:
        self._idle: list[ConnectionT] = []

    def __len__(self) -> int:
        return len(self._idle)

    def take(self, *, now: float) -> ConnectionT | None:
        """Return a connection that may work, None if there is none."""
        self.close_unused(now=now)
        while self._idle:
            connection = self._idle.pop()
            if not connection.is_closed_by_peer():
                return connection
            connection.close()
        return None

    def close_unused(self, *, now: float) -> None:
        """Close the connections that have carried nothing for long."""
        self._close_silent_since(now - _MAX_IDLE_TIME.total_seconds())

    def close_suspects(self, *, sent_at: float, now: float) -> int:
        """Close the connections that may be as silent as one that timed out.

        Those that have carried something since the request was sent are kept: a peer
        that answers on other connections is only slow, or has lost one answer.

        Returns
        -------
        int
            The number of connections closed.
        """
        if now - sent_at < _MIN_SILENCE.total_seconds():
            return 0
        return self._close_silent_since(sent_at)

    def put(self, connection: ConnectionT) -> None:
        """Add a connection after a complete exchange; close it if the pool is full."""
        if len(self._idle) == _MAX_IDLE_PER_PEER:
            connection.close()
            return
        connection.is_reused = True
        self._idle.append(connection)

    def close(self) -> None:
        """Close all connections."""
        for connection in self._idle:
            connection.close()
        self._idle.clear()

    def _close_silent_since(self, time: float) -> int:
        kept: list[ConnectionT] = []
        for connection in self._idle:
            if connection.received_at > time:
                kept.append(connection)
            else:
                connection.close()
        closed = len(self._idle) - len(kept)
        self._idle = kept
        return closed
