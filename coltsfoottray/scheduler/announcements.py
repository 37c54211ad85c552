"""Announcements of a new scheduler to all attendants.

Attendants find a new scheduler by themselves when the previous one is silent, but not
when that one is only cut off from the table and still answers them.

Load pattern: after a take-over every attendant of the fleet reports at once, with all
its runs, over the one link of the new scheduler. Each announcement therefore waits for
the report that it causes, and only a few are in progress, so that the reports arrive
at the rate that the link carries.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Mapping
from datetime import timedelta
from random import Random

import trio

from coltsfoottray.clock import Clock
from coltsfoottray.errors import CommunicationError
from coltsfoottray.logs import log_event
from coltsfoottray.peers import PeerClient
from coltsfoottray.scheduler.messages import (
    SCHEDULER_ANNOUNCEMENT,
    SchedulerAnnouncement,
)
from coltsfoottray.types import Address

__all__ = ["Announcements"]

_MAX_IN_PROGRESS = 8
_CALL_TIMEOUT = timedelta(milliseconds=200)
_REPORT_TIMEOUT = timedelta(milliseconds=200)
# After a power loss, daemons restart within a second of each other. Announcements are
# repeated for at least that long.
_MAX_ROUNDS = 10
_ROUND_INTERVAL = timedelta(milliseconds=100)


class Announcements:
    """Announces a scheduler to attendants, a few at a time.

    Parameters
    ----------
    wait_for_report : callable
        Waits until a worker's attendant has reported to the scheduler.
    """

    def __init__(
        self,
        *,
        peers: PeerClient,
        clock: Clock,
        random: Random,
        wait_for_report: Callable[[str], Awaitable[None]],
    ) -> None:
        self._peers = peers
        self._clock = clock
        self._random = random
        self._wait_for_report = wait_for_report

    async def run(
        self,
        announcement: SchedulerAnnouncement,
        address_by_worker: Mapping[str, Address],
    ) -> None:
        """Announce a scheduler, repeatedly to attendants that do not answer."""
        remaining = dict(address_by_worker)
        for _ in range(_MAX_ROUNDS):
            remaining = await self._announce_to_all(announcement, remaining)
            if not remaining:
                return
            log_event("scheduler:announcements-failed", count=len(remaining))
            await self._clock.sleep(_ROUND_INTERVAL)
        # These attendants have ended, or find the scheduler by themselves later.
        log_event("scheduler:announcements-ended", unreached=sorted(remaining))

    async def _announce_to_all(
        self,
        announcement: SchedulerAnnouncement,
        address_by_worker: Mapping[str, Address],
    ) -> dict[str, Address]:
        """Announce to each attendant once; return those that did not answer."""
        limiter = trio.CapacityLimiter(_MAX_IN_PROGRESS)
        unanswered: dict[str, Address] = {}

        async def announce(worker: str) -> None:
            async with limiter:
                if not await self._announce_to(
                    worker, address_by_worker[worker], announcement
                ):
                    unanswered[worker] = address_by_worker[worker]

        workers = list(address_by_worker)
        self._random.shuffle(workers)
        async with trio.open_nursery() as nursery:
            for worker in workers:
                nursery.start_soon(announce, worker)
        return unanswered

    async def _announce_to(
        self, worker: str, address: Address, announcement: SchedulerAnnouncement
    ) -> bool:
        try:
            await self._peers.call(
                address, SCHEDULER_ANNOUNCEMENT, announcement, timeout=_CALL_TIMEOUT
            )
        except CommunicationError:
            return False
        with trio.move_on_after(_REPORT_TIMEOUT.total_seconds()):
            await self._wait_for_report(worker)
        return True
