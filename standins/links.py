"""Access link of a process, with a limited bandwidth."""

from __future__ import annotations

from dataclasses import dataclass, field

import trio

from coltsfoottray.http.common import extend_deadline

__all__ = ["AccessLink"]

# Concurrent responses on one link take turns after each chunk of this size.
_CHUNK_BYTES = 1500


@dataclass(kw_only=True)
class AccessLink:
    """Carries responses to one process.

    Parameters
    ----------
    bytes_per_s : float, optional
        Bandwidth; unlimited if None.
    received_bytes : int
        Bytes received, including those of responses whose transfer was abandoned.
    """

    bytes_per_s: float | None = None
    received_bytes: int = 0
    _lock: trio.Lock = field(default_factory=trio.Lock)

    async def receive(self, size: int, limit: trio.CancelScope) -> None:
        """Receive `size` bytes, extending the timeout `limit` after each chunk."""
        while size > 0:
            chunk = min(size, _CHUNK_BYTES)
            if self.bytes_per_s is not None:
                async with self._lock:
                    await trio.sleep(chunk / self.bytes_per_s)
            self.received_bytes += chunk
            extend_deadline(limit)
            size -= chunk
