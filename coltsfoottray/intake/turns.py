"""Turns for requests that keep the processor busy while they are decoded."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from datetime import timedelta

import trio

from coltsfoottray.intake.refusals import RefusalReason, RequestRefused

__all__ = ["Turns", "is_heavy", "weigh_json", "weigh_msgpack"]

_MAX_WAITING = 64
# Clients wait for some seconds; they are told to come back before that.
_MAX_WAIT = timedelta(seconds=1)
# An object takes as long to build as some KiB of text to read. No usual job or report
# has so many objects, or is so long.
_LIGHT_OBJECTS = 128
_BYTES_PER_OBJECT = 4096
_EMPTY_MSGPACK_MAP = b"\x80"


def weigh_json(body: bytes) -> int:
    """Return how dear JSON is to decode, as a number of objects."""
    return body.count(b"{") + len(body) // _BYTES_PER_OBJECT


def weigh_msgpack(body: bytes, *, has_defaults: bool) -> int:
    """Return how dear msgpack is to decode, as a number of objects.

    Parameters
    ----------
    has_defaults : bool
        Whether it may hold objects without any field, which take one byte each.
    """
    empty = body.count(_EMPTY_MSGPACK_MAP) if has_defaults else 0
    return empty + len(body) // _BYTES_PER_OBJECT


def is_heavy(weight: int) -> bool:
    """Return whether a body is decoded in its turn only."""
    return weight > _LIGHT_OBJECTS


class Turns:
    """Lets heavy requests of a process be handled one at a time, in their order.

    Between two of them others get as much time as the earlier one has taken. Without
    that, requests that arrive together are decoded in one go, and nobody else is
    answered until all of them are.

    Parameters
    ----------
    max_waiting : int
        Most that wait for their turn.
    """

    def __init__(self, *, max_waiting: int = _MAX_WAITING) -> None:
        self._max_waiting = max_waiting
        self._lock = trio.Lock()
        self._next_at = 0.0

    @asynccontextmanager
    async def turn(self, weight: int) -> AsyncIterator[None]:
        """Wait for a turn; a light request does not wait.

        Raises
        ------
        RequestRefused
            If too many wait already, or its turn does not come soon.
        """
        if not is_heavy(weight):
            yield
            return
        if self._lock.statistics().tasks_waiting >= self._max_waiting:
            raise _busy()
        await self._acquire()
        began_at = trio.current_time()
        try:
            yield
        finally:
            now = trio.current_time()
            self._next_at = now + (now - began_at)
            self._lock.release()

    async def _acquire(self) -> None:
        """Wait for the lock and for the end of the pause after the turn before."""
        with trio.move_on_after(_MAX_WAIT.total_seconds()):
            await self._lock.acquire()
            try:
                await trio.sleep_until(self._next_at)
                return
            except trio.Cancelled:
                self._lock.release()
                raise
        raise _busy()


def _busy() -> RequestRefused:
    return RequestRefused(
        reason=RefusalReason.BUSY, detail="too many large requests at a time"
    )
