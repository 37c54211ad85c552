"""The entry daemon for jobs, which also schedules while it holds the lease."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from datetime import timedelta
from functools import partial

import trio
from returns.result import Failure

from coltsfoottray.daemons.common import HTTP_SERVER
from coltsfoottray.daemons.job_common import JobDaemon
from coltsfoottray.http import HttpRequest, HttpResponse
from coltsfoottray.jobs.admission import JobAdmission
from coltsfoottray.jobs.api import JobApi
from coltsfoottray.jobs.config import ConfigHolder
from coltsfoottray.jobs.evacuations import Evacuations
from coltsfoottray.jobs.keys import (
    CONFIG_KEY,
    JOBS_GROUP,
    LEASE_KEY,
    OPERATOR_GROUP,
    JobRowKind,
    job_shard_prefixes,
)
from coltsfoottray.jobs.mirror import Mirror
from coltsfoottray.jobs.records import STATE_FORMAT
from coltsfoottray.jobs.status import JobDaemonStatus
from coltsfoottray.jobs.view import JobsView
from coltsfoottray.kernel import Kernel, Service, ServiceName
from coltsfoottray.logs import log_event
from coltsfoottray.overload.admission import AdmissionPolicy
from coltsfoottray.overload.backlog import KnownBacklog
from coltsfoottray.peers.relay import RELAY, Relay
from coltsfoottray.platform import Row
from coltsfoottray.platform.advice import AdviceClient
from coltsfoottray.platform.ingress import JobIngress
from coltsfoottray.platform.operator import parse_config, read_evacuated_data_centre
from coltsfoottray.scheduler.advice import Adviser
from coltsfoottray.scheduler.backlog_watch import BacklogWatch
from coltsfoottray.scheduler.lease import LeaseWatch
from coltsfoottray.scheduler.service import Scheduler
from coltsfoottray.settings import JobEntrySettings
from coltsfoottray.types import Role

__all__ = ["JobEntryDaemon"]

_JOBS_MIRROR = ServiceName("jobs-mirror")
_CONFIG_MIRROR = ServiceName("config-mirror")
_SCHEDULER = ServiceName("scheduler")
_READINESS = ServiceName("readiness")
_BACKGROUND = ServiceName("background")

# Entries notify the scheduler of jobs directly. This interval therefore bounds only
# how old the responses of other entries are, and how late a change without a
# notification arrives.
_JOBS_POLL_INTERVAL = timedelta(milliseconds=300)
# A configuration must be in force within seconds of its confirmation.
_CONFIG_POLL_INTERVAL = timedelta(milliseconds=100)

# With older copies of the rows, responses to callers may be wrong, so the entry is not
# ready.
_MAX_COPY_AGE = timedelta(seconds=4)

# The load balancer checks readiness once a second and reacts to the second failure.
_DRAIN_TIME = timedelta(seconds=3)
_LAST_RESPONSES_TIMEOUT = timedelta(seconds=1)


class JobEntryDaemon(JobDaemon):
    """Creates and runs the services of one entry."""

    role = Role.ENTRY

    def __init__(
        self, *, settings: JobEntrySettings, kernel: Kernel | None = None
    ) -> None:
        super().__init__(settings=settings, kernel=kernel)
        self.settings = settings
        self.holder = ConfigHolder()
        self.view = JobsView(metrics=self.metrics)
        self._is_draining = False
        overload = settings.overload
        self.backlog = KnownBacklog(
            max_age=timedelta(seconds=overload.backlog_max_age_s)
        )
        backlog_watch = BacklogWatch(
            known=self.backlog,
            is_enabled=overload.uses_backlog,
            clock=self.clock,
            metrics=self.metrics,
        )
        self._lease_watch = LeaseWatch(
            name=settings.name,
            incarnation=self.incarnation,
            peers=self.peers,
            backlog=backlog_watch,
            clock=self.clock,
        )
        self._config_mirror = Mirror(
            table=self.table,
            group=OPERATOR_GROUP,
            prefixes=[f"{OPERATOR_GROUP}//"],
            on_row=self._apply_operator_row,
            clock=self.clock,
            metrics=self.metrics,
            pause=_CONFIG_POLL_INTERVAL,
        )
        self.evacuations = Evacuations(
            known_data_centres=settings.region_by_data_centre,
            age=self._config_mirror.age,
            metrics=self.metrics,
        )
        self._jobs_mirror = Mirror(
            table=self.table,
            group=JOBS_GROUP,
            prefixes=job_shard_prefixes(),
            on_row=self._apply_job_row,
            clock=self.clock,
            metrics=self.metrics,
            pause=_JOBS_POLL_INTERVAL,
        )
        self.scheduler = Scheduler(
            name=settings.name,
            incarnation=self.incarnation,
            address=settings.peers,
            table=self.table,
            mirror=self._jobs_mirror,
            view=self.view,
            drops_records=partial(self.members.can_all_read, STATE_FORMAT),
            watch=self._lease_watch,
            peers=self.peers,
            holder=self.holder,
            evacuations=self.evacuations,
            backlog=backlog_watch,
            clock=self.clock,
            random=self.random,
            retention=timedelta(seconds=settings.keep_s),
            adviser=self._make_adviser(settings),
            job_order=overload.order,
            metrics=self.metrics,
        )
        self.scheduler.add_handlers(self.handlers)
        relay = Relay(table=settings.table, transport=self.transport)
        self.handlers.add(RELAY, relay.handle)
        self._background_tasks = BackgroundTasks()
        job_api = JobApi(
            table=self.table,
            mirror=self._jobs_mirror,
            view=self.view,
            scheduler=self.scheduler,
            clock=self.clock,
            metrics=self.metrics,
            backlog=self.backlog,
            admission=self._make_admission(settings),
        )
        ingress = JobIngress(
            holder=self.holder,
            job_api=job_api,
            spawn=self._background_tasks.spawn,
            turns=self.turns,
        )
        self._register_services(settings, ingress)

    def _make_adviser(self, settings: JobEntrySettings) -> Adviser | None:
        if settings.advice is None:
            return None
        return AdviceClient(address=settings.advice, transport=self.transport)

    def _make_admission(self, settings: JobEntrySettings) -> JobAdmission | None:
        if settings.overload.admission is AdmissionPolicy.ALL:
            return None
        return JobAdmission(
            clock=self.clock,
            random=self.random,
            count_entries=lambda: len(self.members.entries()) + 1,
            metrics=self.metrics,
        )

    def _register_services(
        self, settings: JobEntrySettings, ingress: JobIngress
    ) -> None:
        self.kernel.register(_BACKGROUND, self._background_tasks)
        self.register_peer_server()
        callers = self.make_server(
            "callers", settings.callers, ingress.handle, self.ports.callers()
        )
        self.kernel.register(HTTP_SERVER, callers)
        readiness = self.make_server(
            "readiness",
            settings.readiness,
            self._handle_readiness,
            self.ports.queries(),
        )
        self.kernel.register(_READINESS, readiness)
        self.kernel.register(_CONFIG_MIRROR, self._config_mirror)
        self.kernel.register(_JOBS_MIRROR, self._jobs_mirror)
        self.kernel.register(_SCHEDULER, self.scheduler)
        self.register_metrics()
        self.register_member()
        self.register_directory()

    async def shut_down(self) -> None:
        """Resign as scheduler, wait for the load balancer, and finish open requests."""
        log_event("daemon:shutdown", name=self.name)
        self._is_draining = True
        await self.scheduler.stop()
        grace = timedelta(seconds=self.settings.grace_s)
        await self.clock.sleep(min(_DRAIN_TIME, grace / 2))
        with trio.move_on_after(_LAST_RESPONSES_TIMEOUT.total_seconds()):
            await self.kernel.stop()
        self.kernel.cancel()

    @property
    def is_ready(self) -> bool:
        """Whether the entry should receive callers' requests.

        That is so if it is not draining, has a configuration, and its copies of the
        configuration and of the jobs are recent.
        """
        return (
            not self._is_draining
            and self.holder.current.version > 0
            and self._jobs_mirror.age() < _MAX_COPY_AGE
            and self._config_mirror.age() < _MAX_COPY_AGE
        )

    def status(self) -> JobDaemonStatus:  # noqa: D102
        return JobDaemonStatus(
            daemon=self.name,
            config_version=self.holder.current.version,
            is_scheduler=self.scheduler.active is not None,
            evacuated=sorted(self.evacuations.data_centres),
            operator_rows_age_s=self._config_mirror.age_s(),
        )

    async def _handle_readiness(self, request: HttpRequest) -> HttpResponse:
        return HttpResponse(status=200 if self.is_ready else 503)

    def _apply_operator_row(self, row: Row) -> None:
        data_centre = read_evacuated_data_centre(row.key)
        if data_centre is not None:
            self.evacuations.set_evacuated(data_centre, is_evacuated=not row.is_deleted)
            self.scheduler.replan()
            return
        if row.key != CONFIG_KEY or row.is_deleted:
            return
        config = parse_config(row.value)
        if isinstance(config, Failure):
            log_event("config:unreadable", version=row.version, reason=config.failure())
            return
        if self.holder.replace_if_newer(config.unwrap()):
            self.metrics.gauge("config_version", self.holder.current.version)
            log_event(
                "config:in-force",
                version=self.holder.current.version,
                queues=len(self.holder.current.queues),
                size_bytes=len(bytes(row.value)),
            )
            self.scheduler.replan()

    def _apply_job_row(self, row: Row) -> None:
        if row.key == LEASE_KEY:
            self._lease_watch.apply(row)
            return
        key = self.view.apply(row)
        if key is None or row.is_deleted:
            return
        if key.kind is JobRowKind.CANCELLATION:
            self.scheduler.observe_cancelled(key.job)
        elif key.kind is JobRowKind.ACCEPTANCE:
            self.scheduler.observe_accepted(self.view.job_by_id[key.job])


class BackgroundTasks(Service):
    """Runs functions whose callers do not wait for them."""

    def __init__(self) -> None:
        self._nursery: trio.Nursery | None = None

    async def run(
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            task_status.started()
            await trio.sleep_forever()

    def spawn(self, function: Callable[[], Awaitable[None]]) -> None:
        """Run an async function in the background."""
        assert self._nursery is not None
        self._nursery.start_soon(function)
