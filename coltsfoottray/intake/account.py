"""The account of the bytes of requests that a port holds."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

__all__ = ["ByteAccount", "Holding"]

# A body inside the limits that is on its way for less time is not given up for others.
_GRACE = timedelta(seconds=2)


@dataclass(eq=False, kw_only=True)
class Holding:
    """The bytes of one request.

    Parameters
    ----------
    began_at : float
        Time in s at which the request began to arrive.
    displace : callable
        Closes the connection over which the request arrives.
    """

    began_at: float
    displace: Callable[[], None]
    size: int = 0
    is_complete: bool = False


class ByteAccount:
    """Bounds the sum of the requests that arrive or are handled.

    A client that sends slowly, or never ends, would keep others out for as long as it
    likes. At the bound, requests that are not complete give way, the oldest first.
    Small requests are not charged, so that large ones cannot keep them out; the number
    of connections bounds them.

    Parameters
    ----------
    capacity : int
        The bound in bytes.
    now : callable
        Returns a steady time in s.
    """

    UNCHARGED_BYTES = 16 * 1024

    def __init__(self, *, capacity: int, now: Callable[[], float]) -> None:
        self._capacity = capacity
        self._now = now
        # In the order in which they were first charged.
        self._holdings: dict[Holding, None] = {}
        self.held_bytes = 0

    def open(self, displace: Callable[[], None]) -> Holding:
        """Return the holding of a request that begins to arrive."""
        return Holding(began_at=self._now(), displace=displace)

    def charge(self, holding: Holding, size: int) -> bool:
        """Charge a request that has grown to `size`; return whether there is room.

        Others may be displaced to make room. Without room, nothing is charged.
        """
        growth = max(0, size - self.UNCHARGED_BYTES) - holding.size
        if growth <= 0:
            return True
        if not self._make_room(growth, holding):
            return False
        self._holdings[holding] = None
        holding.size += growth
        self.held_bytes += growth
        return True

    def close(self, holding: Holding) -> None:
        """Release what a request holds."""
        self._holdings.pop(holding, None)
        self.held_bytes -= holding.size
        holding.size = 0

    def _make_room(self, growth: int, holding: Holding) -> bool:
        """Displace as few as possible; return whether there is room afterwards."""
        missing = self.held_bytes + growth - self._capacity
        latest_begin = self._now() - _GRACE.total_seconds()
        chosen: list[Holding] = []
        for other in self._holdings:
            if missing <= 0:
                break
            is_old = other.began_at <= latest_begin and not other.is_complete
            if is_old and other is not holding:
                chosen.append(other)
                missing -= other.size
        if missing > 0:
            return False
        for other in chosen:
            self.close(other)
            other.displace()
        return True
