"""Reports to the scheduler, whichever entry that is."""

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
from coltsfoottray.scheduler.messages import REPORT, Acknowledged, Hello, ReportReply
from coltsfoottray.types import Address

__all__ = ["Reporter"]

# Renews a lease of 7 s in good time and shows the scheduler's silence early.
_PERIOD = timedelta(seconds=1)
_TIMEOUT = timedelta(milliseconds=800)
_RETRY = timedelta(milliseconds=100)


class Reporter(Service):
    """Sends the attendant's reports, at once when there is news.

    Parameters
    ----------
    candidates : callable
        Returns the addresses at which the scheduler may be, or which may know.
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

    async def handle_hello(self, hello: Hello) -> Acknowledged:
        """Report to a new scheduler at once.

        An attempt to reach another entry is given up: after a loss of power it may be
        one that has no power yet, whose silence would last until the timeout.
        """
        if hello.epoch > self._epoch:
            self._epoch = hello.epoch
            self._scheduler = hello.scheduler
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
                with trio.move_on_after(_RETRY.total_seconds()):
                    await self._attendant.report_requested.wait()
                continue
            with trio.move_on_after(_PERIOD.total_seconds()):
                await self._attendant.report_requested.wait()

    async def _report(self) -> bool:
        """Report once; return whether the scheduler has answered."""
        named = self._scheduler
        if named is not None:
            found = await self._report_to(named)
            if self._scheduler is not named:
                # Meanwhile another one has introduced itself.
                return True
            self._scheduler = found
            if found is not None:
                return True
            log_event("scheduler:lost", address=str(named))
        for address in await self._candidates():
            self._scheduler = await self._report_to(address)
            if self._scheduler is not None:
                log_event("scheduler:found", address=str(self._scheduler))
                return True
        return False

    async def _report_to(self, address: Address) -> Address | None:
        """Report to `address` or whom it names; return who is the scheduler."""
        reply = await self._ask(address)
        if reply is None or reply.is_scheduler:
            return None if reply is None else address
        if reply.scheduler is None or reply.scheduler == address:
            return None
        named = await self._ask(reply.scheduler)
        if named is None or not named.is_scheduler:
            return None
        return reply.scheduler

    async def _ask(self, address: Address) -> ReportReply | None:
        report = self._attendant.report()
        sent = self._clock.elapsed()
        try:
            reply = await self._peers.call(address, REPORT, report, timeout=_TIMEOUT)
        except CommunicationError as error:
            log_event("scheduler:no-answer", peer=str(address), reason=str(error))
            return None
        if not reply.is_scheduler:
            return reply
        if not self._attendant.apply_reply(report, reply, sent):
            return None
        self._epoch = reply.epoch
        return reply
