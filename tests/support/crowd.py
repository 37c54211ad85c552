"""Crowds of clients that keep to no limits, on plain sockets."""

from __future__ import annotations

import selectors
import socket
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

__all__ = ["Client", "Crowd", "Payload"]

# Nothing more is sent once the server takes nothing for so long; nothing asserts it.
_NO_PROGRESS_S = 3.0
_POLL_S = 0.05
_READ_BYTES = 65536


@dataclass(frozen=True, kw_only=True)
class Payload:
    """What one client sends: a head, then `piece` again and again.

    Parameters
    ----------
    size : int
        Bytes to send after the head.
    """

    head: bytes
    piece: bytes = b""
    size: int = 0

    def __len__(self) -> int:
        return len(self.head) + self.size

    def pieces_from(self, position: int) -> bytes:
        """Return what is to be sent next, empty at the end."""
        if position < len(self.head):
            return self.head[position:]
        offset = position - len(self.head)
        if offset >= self.size:
            return b""
        start = offset % len(self.piece)
        return self.piece[start : start + self.size - offset]


@dataclass(kw_only=True)
class Client:
    """One connection of a crowd.

    Parameters
    ----------
    reads : bool
        Whether it receives what the server sends.
    """

    payload: Payload
    reads: bool = True
    sent: int = 0
    received: bytearray = field(default_factory=bytearray)
    socket: socket.socket | None = None
    is_ended: bool = False

    def connect(self, port: int) -> None:
        """Open the connection."""
        self.socket = socket.socket()
        self.socket.setblocking(False)
        self.socket.connect_ex(("127.0.0.1", port))

    def move(self) -> bool:
        """Send and receive what is possible; return whether anything was."""
        try:
            # Both, even if one of them is not possible.
            return any([self._try(self._send), self._try(self._receive)])
        except OSError:
            self._end()
            return True

    @staticmethod
    def _try(move: Callable[[], bool]) -> bool:
        try:
            return move()
        except BlockingIOError:
            return False

    def close(self) -> None:
        """Close the connection."""
        if self.socket is not None:
            self.socket.close()

    def _send(self) -> bool:
        piece = self.payload.pieces_from(self.sent)
        if not piece:
            return False
        self.sent += self.socket.send(piece)
        return True

    def _receive(self) -> bool:
        if not self.reads:
            return False
        data = self.socket.recv(_READ_BYTES)
        self.received += data
        if not data:
            self._end()
        return True

    def _end(self) -> None:
        self.is_ended = True


@dataclass(kw_only=True)
class Crowd:
    """Clients that come at once and stay until they are closed."""

    clients: list[Client]

    def play(self, port: int) -> Iterator[None]:
        """Connect and send; yield from time to time until nothing moves any more."""
        for client in self.clients:
            client.connect(port)
            yield
        moved_at = time.monotonic()
        with selectors.DefaultSelector() as selector:
            for client in self.clients:
                selector.register(client.socket, selectors.EVENT_READ, client)
            while time.monotonic() < moved_at + _NO_PROGRESS_S:
                open_clients = [each for each in self.clients if not each.is_ended]
                if not open_clients:
                    return
                if any([each.move() for each in open_clients]):
                    moved_at = time.monotonic()
                else:
                    selector.select(_POLL_S)
                yield

    def close(self) -> None:
        """Close all connections."""
        for client in self.clients:
            client.close()
