"""The daemon of an upstream's attendant."""

from __future__ import annotations

import trio
from msgspec.structs import replace

from coltsfoottray.daemons.attendant import AttendantDaemon
from coltsfoottray.kernel import Kernel
from coltsfoottray.membership import Announcement
from coltsfoottray.settings import UpstreamSettings
from coltsfoottray.types import Role
from coltsfoottray.upstream import (
    ConcurrencyLimiter,
    ExecutionLedger,
    UpstreamAttendant,
)

__all__ = ["UpstreamDaemon"]

_MB = 1_000_000


class UpstreamDaemon(AttendantDaemon):
    """Announces one upstream instance and admits the requests that it runs."""

    role = Role.UPSTREAM

    def __init__(
        self, *, settings: UpstreamSettings, kernel: Kernel | None = None
    ) -> None:
        super().__init__(settings=settings, kernel=kernel)
        self.attendant = UpstreamAttendant(
            upstream=settings.upstream,
            incarnation=self.incarnation,
            ledger=ExecutionLedger(
                clock=self.clock,
                retention=settings.timing.retention,
                max_response_bytes=int(settings.answer_mb * _MB),
            ),
            limiter=ConcurrencyLimiter(
                slots=settings.slots, connections=settings.connections
            ),
            holder=self.holder,
            transport=self.transport,
            clock=self.clock,
        )
        self.register_servers(self.attendant.handle)
        self.register_membership()

    async def shut_down(self) -> None:
        """Refuse new requests and announce that, finish those in flight, and stop."""
        self.is_draining = self.attendant.is_draining = True
        await self.announcer.announce_now()
        with trio.move_on_after(self.settings.timing.drain_s):
            await self.attendant.drain()
        self.is_leaving = True
        await self.announcer.announce_now()
        await self.kernel.stop()

    def describe(self) -> Announcement:  # noqa: D102
        return replace(super().describe(), load=self.attendant.load())
