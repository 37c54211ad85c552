"""Heartbeats that are not believed until something else confirms them.

A heartbeat can come from another writer and have any content. A call that is answered
cannot: it shows which incarnation of a worker is at an address.
"""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta

import trio

from coltsfoottray.agent.worker import Heartbeat
from coltsfoottray.types import Address

__all__ = ["HeartbeatFilter", "WorkerCandidates"]

# A worker sends a heartbeat about every second. Late ones arrive all at once.
_MIN_REPETITIONS = 3
_MIN_REPETITION_SPAN = timedelta(seconds=1.5)

# A worker that restarts is one candidate; the others are of other writers.
_MAX_CANDIDATES = 8


class HeartbeatFilter:
    """Selects the heartbeats that update what is known of an incarnation.

    The sequence identifies late heartbeats, and the description of an incarnation does
    not change. A heartbeat that contradicts this is believed once several in a row
    agree with each other, and none in between with what is known.
    """

    def __init__(self) -> None:
        self._disputing: Heartbeat | None = None
        self._repetitions = 0
        self._disputed_since = timedelta(0)

    def accepts(self, known: Heartbeat, heartbeat: Heartbeat, now: timedelta) -> bool:
        """Return whether `heartbeat`, of the same incarnation, replaces `known`."""
        has_same_description = heartbeat.has_same_description(known)
        if has_same_description and heartbeat.sequence > known.sequence:
            self._disputing = None
            return True
        if has_same_description and heartbeat.is_draining and not known.is_draining:
            # A worker that drains does not stop doing so, so a late one holds too.
            return True
        return self._is_repeated(heartbeat, now)

    def _is_repeated(self, heartbeat: Heartbeat, now: timedelta) -> bool:
        before = self._disputing
        is_continued = (
            before is not None
            and heartbeat.sequence > before.sequence
            and heartbeat.has_same_description(before)
        )
        if not is_continued:
            self._repetitions = 0
            self._disputed_since = now
        self._disputing = heartbeat
        self._repetitions += 1
        return (
            self._repetitions >= _MIN_REPETITIONS
            and now - self._disputed_since >= _MIN_REPETITION_SPAN
        )


@dataclass(frozen=True, kw_only=True)
class _Candidate:
    heartbeat: Heartbeat
    received: timedelta


class WorkerCandidates:
    """Heartbeats of other incarnations, or of the known one at another address.

    Each is a reason for one call, once the known worker does not answer any more.
    """

    def __init__(self) -> None:
        self._by_origin: dict[tuple[str, Address], _Candidate] = {}
        self._added = trio.Event()

    def add(self, heartbeat: Heartbeat, now: timedelta) -> bool:
        """Add a candidate; return whether it was not one already."""
        origin = (heartbeat.life, heartbeat.address)
        is_new = self._by_origin.pop(origin, None) is None
        self._by_origin[origin] = _Candidate(heartbeat=heartbeat, received=now)
        if len(self._by_origin) > _MAX_CANDIDATES:
            del self._by_origin[next(iter(self._by_origin))]
        self._added.set()
        return is_new

    def take_all(self) -> list[Heartbeat]:
        """Remove all candidates and return them, the latest first."""
        candidates = [each.heartbeat for each in self._by_origin.values()]
        self.clear()
        return candidates[::-1]

    def refute(self, answered_since: timedelta) -> list[Heartbeat]:
        """Remove the candidates that the known worker's answer refutes.

        Parameters
        ----------
        answered_since : timedelta
            When the call was sent that the known worker has answered.
        """
        refuted = [
            origin
            for origin, candidate in self._by_origin.items()
            if candidate.received <= answered_since
        ]
        return [self._by_origin.pop(origin).heartbeat for origin in refuted]

    def clear(self) -> None:
        """Remove all candidates."""
        self._by_origin.clear()
        self._added = trio.Event()

    async def wait(self, timeout: timedelta) -> None:
        """Wait until there is a candidate, or for `timeout`."""
        with trio.move_on_after(timeout.total_seconds()):
            await self._added.wait()
