"""The daemon of a worker's attendant."""

from __future__ import annotations

from datetime import timedelta

import trio
from msgspec.structs import replace

from coltsfoottray.daemons.attendant import AttendantDaemon
from coltsfoottray.http import HttpRequest, HttpResponse
from coltsfoottray.kernel import Kernel, ServiceName
from coltsfoottray.leases import WorkerLease
from coltsfoottray.membership import Announcement
from coltsfoottray.platform import WorkerControl
from coltsfoottray.platform.http import HttpWorkerControl
from coltsfoottray.settings import WorkerSettings
from coltsfoottray.tasks import TaskStore
from coltsfoottray.types import AttendantId, Role
from coltsfoottray.worker import WorkerAttendant

__all__ = ["WorkerDaemon"]

CONTROL = ServiceName("worker-control")
LEASE = ServiceName("worker-lease")
ATTENDANT = ServiceName("worker-attendant")


class WorkerDaemon(AttendantDaemon):
    """Announces one worker and admits the attempts that its VM runs."""

    role = Role.WORKER

    def __init__(
        self, *, settings: WorkerSettings, kernel: Kernel | None = None
    ) -> None:
        super().__init__(settings=settings, kernel=kernel)
        timing = settings.timing
        self.kernel.register(
            CONTROL,
            HttpWorkerControl(address=settings.control, client=self.transport),
        )
        control = self.kernel.find(CONTROL, WorkerControl)
        self.lease = WorkerLease(
            table=self.table,
            control=control,
            clock=self.clock,
            worker=AttendantId(self.daemon_id),
            incarnation=self.incarnation,
            lease=timing.lease,
        )
        self.attendant = WorkerAttendant(
            worker=AttendantId(self.daemon_id),
            incarnation=self.incarnation,
            control=control,
            lease=self.lease,
            store=TaskStore(table=self.table, clock=self.clock),
            objects=self.objects,
            clock=self.clock,
            interval=timedelta(seconds=timing.report_s),
            checkpoint_interval=timedelta(seconds=timing.checkpoint_s),
            on_change=self._announce,
        )
        self.attendant.add_handlers(self.handlers)
        self.register_servers(_respond_not_found)
        self.kernel.register(LEASE, self.lease)
        self.kernel.register(ATTENDANT, self.attendant)
        self.register_membership()

    async def shut_down(self) -> None:
        """Accept no new attempts, wait for running ones, and stop."""
        self.is_draining = True
        await self.announcer.announce_now()
        with trio.move_on_after(self.settings.timing.drain_s):
            await self.attendant.wait_idle()
        self.is_leaving = True
        await self.announcer.announce_now()
        await self.kernel.stop()

    def describe(self) -> Announcement:  # noqa: D102
        return replace(super().describe(), worker=self.attendant.report())

    async def _announce(self) -> None:
        await self.announcer.announce_now()


async def _respond_not_found(request: HttpRequest) -> HttpResponse:
    return HttpResponse(status=404)
