"""Periodic reports of an attendant to the entry that is the scheduler."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from datetime import timedelta

import trio

from coltsfoottray.agent.attendant import TaskAttendant
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

# Short enough to renew a lease of 7 s in time and to detect a lost scheduler early.
_REPORT_INTERVAL = timedelta(seconds=1)
_TIMEOUT = timedelta(milliseconds=800)
_RETRY_DELAY = timedelta(milliseconds=100)


class Reporter(Service):
    """Sends the attendant's reports at an interval, and on request without delay.

    Parameters
    ----------
    candidates : callable
        Returns the addresses of entries that may be the scheduler or know it.
    """

    def __init__(
        self,
        *,
        attendant: TaskAttendant,
        peers: PeerClient,
        clock: Clock,
        candidates: Callable[[], Awaitable[list[Address]]],
    ) -> None:
        self._attendant = attendant
        self._peers = peers
        self._clock = clock
        self._candidates = candidates
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
            if not is_answered or self._attendant.is_lease_pending:
                with trio.move_on_after(_RETRY_DELAY.total_seconds()):
                    await self._attendant.report_requested.wait()
                continue
            with trio.move_on_after(_REPORT_INTERVAL.total_seconds()):
                await self._attendant.report_requested.wait()

    async def _report(self) -> bool:
        """Send one report; return whether the scheduler has answered."""
        current = self._scheduler
        if current is not None:
            found = await self._report_to(current)
            if self._scheduler is not current:
                # A new scheduler has announced itself in the meantime.
                return True
            self._scheduler = found
            if found is not None:
                return True
            log_event("scheduler:lost", address=str(current))
        for address in await self._candidates():
            self._scheduler = await self._report_to(address)
            if self._scheduler is not None:
                log_event("scheduler:found", address=str(self._scheduler))
                return True
        return False

    async def _report_to(self, address: Address) -> Address | None:
        """Report to `address`, following one redirect.

        Returns
        -------
        Address or None
            The address of the scheduler, None if it has not answered.
        """
        reply = await self._send_report(address)
        if reply is None or reply.is_scheduler:
            return None if reply is None else address
        if reply.scheduler is None or reply.scheduler == address:
            return None
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
