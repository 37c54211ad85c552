"""The daemon of an attendant whose worker runs tasks of jobs."""

from __future__ import annotations

from datetime import timedelta

import trio

from coltsfoottray.agent.attendant import TaskAttendant
from coltsfoottray.agent.evacuation import EvacuationGuard
from coltsfoottray.agent.fencing import FencingLink
from coltsfoottray.agent.reporter import Reporter
from coltsfoottray.daemons.job_common import JobDaemon
from coltsfoottray.jobs.keys import LEASE_KEY
from coltsfoottray.jobs.status import JobDaemonStatus
from coltsfoottray.kernel import Kernel, ServiceName
from coltsfoottray.logs import log_event
from coltsfoottray.platform import TableError
from coltsfoottray.platform.heartbeats import HeartbeatHandler
from coltsfoottray.platform.instance import InstanceLink
from coltsfoottray.scheduler.lease_row import LeaseRow
from coltsfoottray.scheduler.messages import ORDERS, SCHEDULER_ANNOUNCEMENT
from coltsfoottray.settings import JobAttendantSettings
from coltsfoottray.types import Address, Role

__all__ = ["JobAttendantDaemon"]

_ATTENDANT = ServiceName("attendant")
_REPORTER = ServiceName("reporter")
_HEARTBEATS = ServiceName("heartbeats")
_STOP_TIMEOUT_S = 0.5
# Covers a take-over; a process is killed 6 s after it was asked to stop.
_MAX_LOSS_REPORT_S = 3.0


class JobAttendantDaemon(JobDaemon):
    """Creates and runs the services of one attendant."""

    role = Role.WORKER

    def __init__(
        self, *, settings: JobAttendantSettings, kernel: Kernel | None = None
    ) -> None:
        super().__init__(settings=settings, kernel=kernel)
        self.settings = settings
        self.evacuations = EvacuationGuard(
            data_centre=settings.data_centre,
            in_force_within=timedelta(milliseconds=settings.evacuation_ms),
            metrics=self.metrics,
        )
        self.attendant = TaskAttendant(
            name=settings.name,
            incarnation=self.incarnation,
            address=settings.peers,
            data_centre=settings.data_centre,
            evacuations=self.evacuations,
            link=FencingLink(
                link=InstanceLink(transport=self.transport, clock=self.clock)
            ),
            clock=self.clock,
            metrics=self.metrics,
        )
        reporter = Reporter(
            attendant=self.attendant,
            peers=self.peers,
            clock=self.clock,
            random=self.random,
            entries=self.members.entries,
            read_holder=self._read_holder,
        )
        self.handlers.add(ORDERS, self.attendant.handle_orders)
        self.handlers.add(SCHEDULER_ANNOUNCEMENT, reporter.handle_announcement)
        self.register_peer_server()
        handler = HeartbeatHandler(attendant=self.attendant, turns=self.turns)
        server = self.make_server(
            "heartbeats",
            settings.heartbeats,
            handler.handle,
            self.ports.heartbeats(),
        )
        self.kernel.register(_HEARTBEATS, server)
        self.kernel.register(_ATTENDANT, self.attendant)
        self.kernel.register(_REPORTER, reporter)
        self.register_metrics()
        self.register_directory()

    def status(self) -> JobDaemonStatus:  # noqa: D102
        return JobDaemonStatus(
            daemon=self.name,
            evacuated=sorted(self.evacuations.data_centres),
            operator_rows_age_s=self.evacuations.age_s(self.clock.elapsed()),
        )

    async def shut_down(self) -> None:
        """Stop without draining, because the worker's lease outlasts a restart.

        Nobody else can tell how long a worker that does not answer may still run.
        """
        log_event("daemon:shutdown", name=self.name)
        with trio.move_on_after(_MAX_LOSS_REPORT_S):
            await self.attendant.report_loss()
        with trio.move_on_after(_STOP_TIMEOUT_S):
            await self.kernel.stop()
        self.kernel.cancel()

    async def _read_holder(self) -> Address | None:
        """Return the address of the scheduler according to the lease row."""
        try:
            row = await self.table.get(LEASE_KEY)
        except TableError as error:
            log_event("table:unavailable", reason=str(error))
            return None
        lease = None if row is None else row.try_decode(LeaseRow)
        return None if lease is None else lease.address
