"""Slots, connections and each customer's share of them."""

from __future__ import annotations

import math
from collections import Counter

import trio

from coltsfoottray.types import CustomerId

__all__ = ["ConcurrencyLimiter"]


class ConcurrencyLimiter:
    """Bounds what an instance holds at once, in all and for each customer.

    Parameters
    ----------
    slots : int
        Requests the upstream works on at once.
    connections : int
        Requests that may be here at once, working or waiting for a slot.
    """

    def __init__(self, *, slots: int, connections: int) -> None:
        self.slots = slots
        self.connections = connections
        self.in_flight = 0
        self._in_flight_by_customer: Counter[CustomerId] = Counter()
        self._running_by_customer: Counter[CustomerId] = Counter()
        self._running = 0
        self._is_closed = False
        self._freed = trio.Condition()

    def try_acquire_connection(self, customer: CustomerId, share: float) -> str | None:
        """Take a connection; return why not, or None when taken."""
        if self.in_flight >= self.connections:
            return f"all {self.connections} connections are taken"
        allowed = math.ceil(share * self.connections)
        if self._in_flight_by_customer[customer] >= allowed:
            return f"{customer} holds its share of {allowed} connections here"
        self.in_flight += 1
        self._in_flight_by_customer[customer] += 1
        return None

    def release_connection(self, customer: CustomerId) -> None:
        """Give the connection back."""
        self.in_flight -= 1
        self._in_flight_by_customer[customer] -= 1
        if not self._in_flight_by_customer[customer]:
            del self._in_flight_by_customer[customer]

    async def acquire_slot(self, customer: CustomerId, share: float) -> bool:
        """Wait for a slot, in order of arrival among those who may have one.

        Returns
        -------
        bool
            False if the gate was closed while waiting; no slot is then held.
        """
        allowed = math.ceil(share * self.slots)
        async with self._freed:
            while (
                self._running >= self.slots
                or self._running_by_customer[customer] >= allowed
            ):
                if self._is_closed:
                    return False
                await self._freed.wait()
            self._running += 1
            self._running_by_customer[customer] += 1
        return True

    async def close(self) -> None:
        """Send away those who wait; those who hold a slot go on."""
        self._is_closed = True
        await self.notify_waiters()

    def release_slot(self, customer: CustomerId) -> None:
        """Give the slot back."""
        self._running -= 1
        self._running_by_customer[customer] -= 1
        if not self._running_by_customer[customer]:
            del self._running_by_customer[customer]

    async def notify_waiters(self) -> None:
        """Let those who wait look again."""
        with trio.CancelScope(shield=True):
            async with self._freed:
                self._freed.notify_all()
