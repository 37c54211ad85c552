"""The open connections of a port, and who gives way at their bound."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

__all__ = ["ConnectionTable", "OpenConnection"]


@dataclass(eq=False, kw_only=True)
class OpenConnection:
    """A connection that a client has opened.

    Parameters
    ----------
    close : callable
        Closes it and frees its descriptor at once.
    is_displaced : bool
        Whether it was closed so that another one gets its place.
    """

    close: Callable[[], None]
    is_displaced: bool = False

    def displace(self) -> None:
        """Close the connection for the sake of another one."""
        self.is_displaced = True
        self.close()


class ConnectionTable:
    """Bounds the connections of a port.

    Clients that open connections and send nothing would otherwise keep others out. At
    the bound, the connection gives way whose client has been waited for longest: to
    send the rest of a request, or to receive an answer. One whose request is being
    handled does not.
    """

    def __init__(self, *, limit: int) -> None:
        self._limit = limit
        self._open: set[OpenConnection] = set()
        # In the order in which the waits began.
        self._waited_for: dict[OpenConnection, None] = {}

    def add(self, connection: OpenConnection) -> bool:
        """Add a connection, and return whether there is a place for it.

        There is none if the requests of all others are being handled.
        """
        if len(self._open) >= self._limit and not self.displace_longest():
            return False
        self._open.add(connection)
        self.wait_for(connection)
        return True

    def displace_longest(self) -> bool:
        """Close the connection whose client has been waited for longest, if any."""
        longest = next(iter(self._waited_for), None)
        if longest is None:
            return False
        self.remove(longest)
        longest.displace()
        return True

    def wait_for(self, connection: OpenConnection) -> None:
        """Note that from now on its client is waited for."""
        if connection in self._open:
            self._waited_for.pop(connection, None)
            self._waited_for[connection] = None

    def work_for(self, connection: OpenConnection) -> None:
        """Note that its request is complete and is being handled."""
        self._waited_for.pop(connection, None)

    def remove(self, connection: OpenConnection) -> None:
        """Forget a connection that is closed."""
        self._open.discard(connection)
        self._waited_for.pop(connection, None)
