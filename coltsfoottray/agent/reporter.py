"""Periodic reports of an attendant to the entry that is the scheduler."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Sequence
from datetime import timedelta
from random import Random

import trio

from coltsfoottray.agent.attendant import TaskAttendant
from coltsfoottray.backoff import Backoff
from coltsfoottray.clock import Clock
from coltsfoottray.errors import CommunicationError
from coltsfoottray.kernel import Service
from coltsfoottray.logs import log_event
from coltsfoottray.peers import PeerClient
from coltsfoottray.scheduler.messages import (
    REPORT,
    Acknowledged,
    ReportReply,
    SchedulerAnnouncement,
)
from coltsfoottray.types import Address

__all__ = ["Reporter"]

# Short enough to renew a lease of 6.4 s in time and to detect a lost scheduler early.
_REPORT_INTERVAL = timedelta(seconds=1)
_TIMEOUT = timedelta(milliseconds=800)
_LEASE_RETRY_DELAY = timedelta(milliseconds=100)
# While there is no scheduler, all attendants look for one at the same time. A new one
# announces itself, so that a long delay does not make them find it later.
_FIRST_SEARCH_DELAY = timedelta(milliseconds=150)
_LONGEST_SEARCH_DELAY = timedelta(seconds=2)
_ENTRIES_PER_SEARCH = 3


class Reporter(Service):
    """Sends the attendant's reports at an interval, and on request without delay.

    Parameters
    ----------
    entries : callable
        Returns the addresses of the entries, any of which knows the scheduler.
    read_holder : callable
        Returns the scheduler's address according to the table, None if unknown.
    """

    def __init__(
        self,
        *,
        attendant: TaskAttendant,
        peers: PeerClient,
        clock: Clock,
        random: Random,
        entries: Callable[[], Sequence[Address]],
        read_holder: Callable[[], Awaitable[Address | None]],
    ) -> None:
        self._attendant = attendant
        self._peers = peers
        self._clock = clock
        self._random = random
        self._entries = entries
        self._read_holder = read_holder
        self._backoff = Backoff(
            first=_FIRST_SEARCH_DELAY, longest=_LONGEST_SEARCH_DELAY, random=random
        )
        self._scheduler: Address | None = None
        self._epoch = 0
        self._attempt = trio.CancelScope()

    async def handle_announcement(
        self, announcement: SchedulerAnnouncement
    ) -> Acknowledged:
        """Report to a new scheduler without delay.

        A report in progress to another entry is cancelled: after a power failure that
        entry may still be off, and the report would block until its timeout.
        """
        if announcement.epoch > self._epoch:
            self._epoch = announcement.epoch
            self._scheduler = announcement.scheduler
            self._attempt.cancel()
            self._attendant.report_requested.set()
        return Acknowledged()

    async def run(  # noqa: D102
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        task_status.started()
        while True:
            self._attendant.report_requested = trio.Event()
            is_answered = False
            with trio.CancelScope() as self._attempt:
                is_answered = await self._report()
            if self._attempt.cancelled_caught:
                continue
            with trio.move_on_after(self._delay(is_answered).total_seconds()):
                await self._attendant.report_requested.wait()

    def _delay(self, is_answered: bool) -> timedelta:
        """Return the time until the next report."""
        if not is_answered:
            return self._backoff.next_delay()
        self._backoff.reset()
        if self._attendant.is_lease_pending:
            return _LEASE_RETRY_DELAY
        return _REPORT_INTERVAL

    async def _report(self) -> bool:
        """Send one report; return whether the scheduler has answered."""
        current = self._scheduler
        # Entries may refer to a lost scheduler for a while; it is asked only once.
        tried: set[Address] = set()
        if current is not None:
            found = await self._report_to(current, tried)
            if self._scheduler is not current:
                # A new scheduler has announced itself in the meantime.
                return True
            self._scheduler = found
            if found is not None:
                return True
            log_event("scheduler:lost", address=str(current))
        entries = list(self._entries())
        for address in self._random.sample(
            entries, min(_ENTRIES_PER_SEARCH, len(entries))
        ):
            if await self._find_through(address, tried):
                return True
        holder = await self._read_holder()
        return holder is not None and await self._find_through(holder, tried)

    async def _find_through(self, address: Address, tried: set[Address]) -> bool:
        """Report to `address`; return whether it is or knows the scheduler."""
        self._scheduler = await self._report_to(address, tried)
        if self._scheduler is None:
            return False
        log_event("scheduler:found", address=str(self._scheduler))
        return True

    async def _report_to(self, address: Address, tried: set[Address]) -> Address | None:
        """Report to `address`, following one redirect, except to what was `tried`.

        Returns
        -------
        Address or None
            The address of the scheduler, None if it has not answered.
        """
        if address in tried:
            return None
        tried.add(address)
        reply = await self._send_report(address)
        if reply is None or reply.is_scheduler:
            return None if reply is None else address
        if reply.scheduler is None or reply.scheduler in tried:
            return None
        tried.add(reply.scheduler)
        redirected = await self._send_report(reply.scheduler)
        if redirected is None or not redirected.is_scheduler:
            return None
        return reply.scheduler

    async def _send_report(self, address: Address) -> ReportReply | None:
        report = self._attendant.report()
        sent_at = self._clock.elapsed()
        try:
            reply = await self._peers.call(address, REPORT, report, timeout=_TIMEOUT)
        except CommunicationError as error:
            log_event("scheduler:no-answer", peer=str(address), reason=str(error))
            return None
        if not reply.is_scheduler:
            return reply
        if not self._attendant.apply_reply(report, reply, sent_at):
            return None
        self._epoch = reply.epoch
        return reply
