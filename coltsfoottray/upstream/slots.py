"""Limits on slots and connections, in total and per customer."""

from __future__ import annotations

import math
from collections import Counter

import trio

from coltsfoottray.types import CustomerId

__all__ = ["ConcurrencyLimiter"]


class ConcurrencyLimiter:
    """Limits the concurrent requests of an instance, in total and per customer.

    Parameters
    ----------
    slots : int
        Number of requests that the upstream processes at once.
    connections : int
        Number of requests that may be admitted at once, whether the upstream
        processes them or they wait for a slot.
    """

    def __init__(self, *, slots: int, connections: int) -> None:
        self.slots = slots
        self.connections = connections
        self.in_flight = 0
        self._in_flight_by_customer: Counter[CustomerId] = Counter()
        self._running_by_customer: Counter[CustomerId] = Counter()
        self._running = 0
        self._is_closed = False
        self._slot_freed = trio.Condition()

    def try_acquire_connection(self, customer: CustomerId, share: float) -> str | None:
        """Acquire a connection, or return the reason why none is available.

        Parameters
        ----------
        share : float
            The fraction of all connections, 0 to 1, that the customer may hold; the
            limit is rounded up.

        Returns
        -------
        str or None
            None if the connection was acquired.
        """
        if self.in_flight >= self.connections:
            return f"all {self.connections} connections are in use"
        limit = math.ceil(share * self.connections)
        if self._in_flight_by_customer[customer] >= limit:
            return f"{customer} already uses its share of {limit} connections"
        self.in_flight += 1
        self._in_flight_by_customer[customer] += 1
        return None

    def release_connection(self, customer: CustomerId) -> None:
        """Release one connection of `customer`."""
        self.in_flight -= 1
        self._in_flight_by_customer[customer] -= 1
        if not self._in_flight_by_customer[customer]:
            del self._in_flight_by_customer[customer]

    async def acquire_slot(self, customer: CustomerId, share: float) -> bool:
        """Wait for a slot.

        Requests get slots in order of arrival, except that those of a customer that
        uses its share of slots are passed over.

        Parameters
        ----------
        share : float
            The fraction of all slots, 0 to 1, that the customer may hold; the limit
            is rounded up.

        Returns
        -------
        bool
            False if the limiter was closed while the request waited; it then holds no
            slot.
        """
        limit = math.ceil(share * self.slots)
        async with self._slot_freed:
            while (
                self._running >= self.slots
                or self._running_by_customer[customer] >= limit
            ):
                if self._is_closed:
                    return False
                await self._slot_freed.wait()
            self._running += 1
            self._running_by_customer[customer] += 1
        return True

    async def close(self) -> None:
        """Reject all waiting requests; requests that hold a slot keep it."""
        self._is_closed = True
        await self.notify_waiters()

    def release_slot(self, customer: CustomerId) -> None:
        """Release one slot of `customer`."""
        self._running -= 1
        self._running_by_customer[customer] -= 1
        if not self._running_by_customer[customer]:
            del self._running_by_customer[customer]

    async def notify_waiters(self) -> None:
        """Wake all waiting requests so that they check again for a free slot."""
        with trio.CancelScope(shield=True):
            async with self._slot_freed:
                self._slot_freed.notify_all()
