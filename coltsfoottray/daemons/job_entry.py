"""An entry: accepts jobs, answers for them, and schedules when it is its turn."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from datetime import timedelta

import trio
from returns.result import Failure

from coltsfoottray.daemons.common import HTTP_SERVER
from coltsfoottray.daemons.job_common import JobDaemon
from coltsfoottray.http import HttpRequest, HttpResponse
from coltsfoottray.jobs.api import JobApi
from coltsfoottray.jobs.config import ConfigHolder
from coltsfoottray.jobs.keys import (
    CONFIG_KEY,
    JOBS_GROUP,
    LEASE_KEY,
    OPERATOR_GROUP,
    is_scheduler_key,
    job_of,
    job_shard_prefixes,
)
from coltsfoottray.jobs.mirror import Mirror
from coltsfoottray.jobs.view import JobsView
from coltsfoottray.kernel import Kernel, Service, ServiceName
from coltsfoottray.logs import log_event
from coltsfoottray.peers.relay import RELAY, Relay
from coltsfoottray.platform import Row
from coltsfoottray.platform.advice import AdviceClient
from coltsfoottray.platform.ingress import JobIngress
from coltsfoottray.platform.operator import parse_config
from coltsfoottray.scheduler.advice import Adviser
from coltsfoottray.scheduler.lease import LeaseRow, LeaseWatch
from coltsfoottray.scheduler.service import Scheduler
from coltsfoottray.settings import JobEntrySettings
from coltsfoottray.types import Role

__all__ = ["JobEntryDaemon"]

_JOBS_MIRROR = ServiceName("jobs-mirror")
_CONFIG_MIRROR = ServiceName("config-mirror")
_SCHEDULER = ServiceName("scheduler")
_READINESS = ServiceName("readiness")
_BACKGROUND = ServiceName("background")

# The scheduler is told of jobs directly, so that this only bounds how old another
# entry's answers are, and how late news that was not told arrives.
_JOBS_PAUSE = timedelta(milliseconds=300)
# A config is to be in force within seconds of its confirmation.
_CONFIG_PAUSE = timedelta(milliseconds=100)

# Copies older than this cannot tell callers the truth any more.
_MAX_AGE = timedelta(seconds=4)

# The balancer asks once a second and reacts to the second refusal.
_DRAIN = timedelta(seconds=3)
_LAST_ANSWERS = timedelta(seconds=1)


class JobEntryDaemon(JobDaemon):
    """Owns the parts of one entry."""

    role = Role.ENTRY

    def __init__(
        self, *, settings: JobEntrySettings, kernel: Kernel | None = None
    ) -> None:
        super().__init__(settings=settings, kernel=kernel)
        self.settings = settings
        self.holder = ConfigHolder()
        self.view = JobsView()
        self._is_draining = False
        self._watch = LeaseWatch(
            name=settings.name,
            incarnation=self.incarnation,
            peers=self.peers,
            clock=self.clock,
        )
        self._config_mirror = Mirror(
            table=self.table,
            group=OPERATOR_GROUP,
            prefixes=[f"{OPERATOR_GROUP}//"],
            on_row=self._take_operator_row,
            clock=self.clock,
            metrics=self.metrics,
            pause=_CONFIG_PAUSE,
        )
        self._jobs_mirror = Mirror(
            table=self.table,
            group=JOBS_GROUP,
            prefixes=job_shard_prefixes(),
            on_row=self._take_job_row,
            clock=self.clock,
            metrics=self.metrics,
            pause=_JOBS_PAUSE,
        )
        self.scheduler = Scheduler(
            name=settings.name,
            incarnation=self.incarnation,
            address=settings.peers,
            table=self.table,
            mirror=self._jobs_mirror,
            watch=self._watch,
            peers=self.peers,
            holder=self.holder,
            clock=self.clock,
            random=self.random,
            retention=timedelta(seconds=settings.keep_s),
            adviser=self._make_adviser(settings),
            metrics=self.metrics,
        )
        self.scheduler.add_handlers(self.handlers)
        relay = Relay(table=settings.table, transport=self.transport)
        self.handlers.add(RELAY, relay.handle)
        self._background = Background()
        job_api = JobApi(
            table=self.table,
            mirror=self._jobs_mirror,
            view=self.view,
            scheduler=self.scheduler,
            clock=self.clock,
            metrics=self.metrics,
        )
        ingress = JobIngress(
            holder=self.holder, job_api=job_api, spawn=self._background.spawn
        )
        self._register_services(settings, ingress)

    def _make_adviser(self, settings: JobEntrySettings) -> Adviser | None:
        if settings.advice is None:
            return None
        return AdviceClient(address=settings.advice, transport=self.transport)

    def _register_services(
        self, settings: JobEntrySettings, ingress: JobIngress
    ) -> None:
        self.kernel.register(_BACKGROUND, self._background)
        self.register_peer_server()
        callers = self.listeners.http(settings.callers, ingress.handle)
        self.kernel.register(HTTP_SERVER, callers)
        readiness = self.listeners.http(settings.readiness, self._answer_readiness)
        self.kernel.register(_READINESS, readiness)
        self.kernel.register(_CONFIG_MIRROR, self._config_mirror)
        self.kernel.register(_JOBS_MIRROR, self._jobs_mirror)
        self.kernel.register(_SCHEDULER, self.scheduler)
        self.register_metrics()
        self.register_member()

    async def shut_down(self) -> None:
        """Hand scheduling over, let the balancer turn away, answer the last."""
        log_event("daemon:shutdown", name=self.name)
        self._is_draining = True
        await self.scheduler.stop()
        grace = timedelta(seconds=self.settings.grace_s)
        await self.clock.sleep(min(_DRAIN, grace / 2))
        with trio.move_on_after(_LAST_ANSWERS.total_seconds()):
            await self.kernel.stop()
        self.kernel.cancel()

    @property
    def is_ready(self) -> bool:
        """Whether callers are served well here."""
        return (
            not self._is_draining
            and self.holder.current.version > 0
            and self._jobs_mirror.age() < _MAX_AGE
            and self._config_mirror.age() < _MAX_AGE
        )

    async def _answer_readiness(self, request: HttpRequest) -> HttpResponse:
        return HttpResponse(status=200 if self.is_ready else 503)

    def _take_operator_row(self, row: Row) -> None:
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

    def _take_job_row(self, row: Row) -> None:
        if row.key == LEASE_KEY:
            if not row.is_deleted:
                self._watch.observe(row.decode(LeaseRow), row.version)
            return
        self.view.apply(row)
        if row.is_deleted or is_scheduler_key(row.key):
            return
        job_id = job_of(row.key)
        if "/cancel." in row.key:
            self.scheduler.observe_cancelled(job_id)
        elif job_id in self.view.job_by_id:
            self.scheduler.observe_accepted(self.view.job_by_id[job_id])


class Background(Service):
    """Runs what need not be waited for."""

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
