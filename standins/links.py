"""What comes to a process over its network link in a second."""

from __future__ import annotations

from dataclasses import dataclass, field

import trio

from coltsfoottray.http.common import extend_deadline

__all__ = ["AccessLink"]

# What travels at once of an answer; answers on one link take turns after it.
_PIECE_BYTES = 1500


@dataclass(kw_only=True)
class AccessLink:
    """Carries answers to one process, at any rate if none is set.

    Parameters
    ----------
    bytes_per_s : float, optional
        What it carries.
    received_bytes : int
        What has come, also of answers that were given up on their way.
    """

    bytes_per_s: float | None = None
    received_bytes: int = 0
    _turn: trio.Lock = field(default_factory=trio.Lock)

    async def receive(self, size: int, limit: trio.CancelScope) -> None:
        """Let `size` bytes come in; `limit` is extended as they do."""
        while size > 0:
            piece = min(size, _PIECE_BYTES)
            if self.bytes_per_s is not None:
                async with self._turn:
                    await trio.sleep(piece / self.bytes_per_s)
            self.received_bytes += piece
            extend_deadline(limit)
            size -= piece
