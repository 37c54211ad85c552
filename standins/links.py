"""Access link of a process, with a limited bandwidth."""

from __future__ import annotations

from dataclasses import dataclass, field

import trio

from coltsfoottray.http.common import extend_deadline

__all__ = ["AccessLink"]

# Concurrent messages on one link take turns after each window of this size, which their
# senders may have in transit without an acknowledgement.
_WINDOW_BYTES = 30_000
_CHUNK_BYTES = 1500


@dataclass(kw_only=True)
class AccessLink:
    """Carries messages to one process.

    Parameters
    ----------
    bytes_per_s : float, optional
        Bandwidth; unlimited if None.
    received_bytes : int
        Bytes received, including those of messages whose transfer was abandoned.
    """

    bytes_per_s: float | None = None
    received_bytes: int = 0
    _lock: trio.Lock = field(default_factory=trio.Lock)

    async def receive(self, size: int, limit: trio.CancelScope) -> None:
        """Receive a response, extending the timeout `limit` after each chunk."""
        while size > 0:
            window = min(size, _WINDOW_BYTES)
            async with self._lock:
                await self._receive_window(window, limit)
            size -= window

    async def receive_request(self, size: int) -> None:
        """Receive a request of another process."""
        if self.bytes_per_s is not None:
            async with self._lock:
                await trio.sleep(size / self.bytes_per_s)
        self.received_bytes += size

    async def _receive_window(self, size: int, limit: trio.CancelScope) -> None:
        while size > 0:
            chunk = min(size, _CHUNK_BYTES)
            if self.bytes_per_s is not None:
                await trio.sleep(chunk / self.bytes_per_s)
            self.received_bytes += chunk
            extend_deadline(limit)
            size -= chunk
