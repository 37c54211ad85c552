"""The entry daemon."""

from __future__ import annotations

from datetime import timedelta

import trio

from coltsfoottray.claims import ClaimMembers, ClaimMemory, Claims, MemberRow
from coltsfoottray.daemons.common import HTTP_SERVER, LISTENERS, Daemon
from coltsfoottray.daemons.intake import IntakeMonitor, PortPlan
from coltsfoottray.daemons.listeners import ListenerFactory
from coltsfoottray.entry import BatchApi, CallerApi, EntryApi, OperatorApi
from coltsfoottray.entry.metrics import LatencyMetrics
from coltsfoottray.explain import Journal
from coltsfoottray.kernel import Kernel, Listener, ServiceName
from coltsfoottray.leases import EntryLease, PartitionOwnership
from coltsfoottray.leases.lost_workers import LostWorkerDetector
from coltsfoottray.lists import ListEditor, ListFollower
from coltsfoottray.membership import (
    WATCH,
    Announcer,
    EntryDirectory,
    EntryRecord,
    Registry,
)
from coltsfoottray.peers import CallHandlers
from coltsfoottray.peers.http import HttpPeerClient, HttpPeerHandler
from coltsfoottray.placement import make_policy
from coltsfoottray.requests import AttendantClient
from coltsfoottray.requests.dispatcher import Dispatcher
from coltsfoottray.routing import make_router
from coltsfoottray.routing.table import RoutingTable
from coltsfoottray.settings import EntrySettings
from coltsfoottray.tasks import TaskStore
from coltsfoottray.tasks.owner import QueueOwner
from coltsfoottray.tasks.placer import Placer
from coltsfoottray.tasks.supervisor import AttemptSupervisor
from coltsfoottray.tasks.workers import WorkerViews
from coltsfoottray.types import DataCentre, EntryId, Role

__all__ = ["EntryDaemon"]

REGISTRY = ServiceName("registry")
JOURNAL = ServiceName("journal")
METRICS = ServiceName("metrics")
STORE = ServiceName("task-store")
OWNERSHIP = ServiceName("ownership")
QUEUE_OWNER = ServiceName("queue-owner")
LOST_WORKERS = ServiceName("lost-workers")
LIST_FOLLOWER = ServiceName("list-follower")
ENTRY_LEASE = ServiceName("entry-lease")
CLAIM_MEMBERS = ServiceName("claim-members")
CLAIM_SERVER = ServiceName("claim-server")
CLAIMS = ServiceName("claims")
ANNOUNCER = ServiceName("announcer")


class EntryDaemon(Daemon):
    """Admits and routes requests and places tasks; all entries are equivalent."""

    role = Role.ENTRY

    def __init__(
        self, *, settings: EntrySettings, kernel: Kernel | None = None
    ) -> None:
        super().__init__(settings=settings, kernel=kernel)
        self.entry_settings = settings
        self.entry_id = EntryId(self.daemon_id)
        self._register_base_services()
        self._make_claims()
        self.operators = self._make_operators()
        api = EntryApi(
            callers=self._make_callers(),
            batch=self._make_batch(),
            operators=self.operators,
        )
        self.register_servers(api.handle)
        self._register_background_services()

    async def shut_down(self) -> None:
        """Fail the health check, finish what is in flight, and stop."""
        self.is_draining = self.operators.is_draining = True
        with trio.move_on_after(self.settings.timing.drain_s):
            await self.kernel.find(HTTP_SERVER, Listener).stop()
        await self.kernel.stop()

    def record(self) -> EntryRecord:
        """Return the row that describes this entry in the table."""
        announcement = self.describe()
        return EntryRecord(
            entry=self.entry_id,
            incarnation=self.incarnation,
            http=announcement.http,
            peers=announcement.peers,
        )

    def _register_base_services(self) -> None:
        timing = self.settings.timing
        self.journal = Journal(
            clock=self.clock, daemon=self.settings.name, holder=self.holder
        )
        self.kernel.register(JOURNAL, self.journal)
        self.metrics = LatencyMetrics()
        self.kernel.register(METRICS, self.metrics)
        self.registry = Registry(
            clock=self.clock,
            holder=self.holder,
            incarnation=self.incarnation,
            silence=timedelta(seconds=timing.silence_s),
        )
        self.kernel.register(REGISTRY, self.registry)
        self.handlers.add(WATCH, self.registry.handle_watch)
        # Not started as a service: the entry lease, which reads the rows for its own
        # purposes, updates it.
        self.directory = EntryDirectory(
            table=self.table,
            clock=self.clock,
            interval=timing.lease,
            seeds=self.settings.seeds,
        )
        self.store = TaskStore(table=self.table, clock=self.clock)
        self.kernel.register(STORE, self.store)

    def _register_background_services(self) -> None:
        timing = self.settings.timing
        self.kernel.register(
            LIST_FOLLOWER,
            ListFollower(
                table=self.table,
                clock=self.clock,
                holder=self.holder,
                interval=timedelta(seconds=timing.lists_poll_s),
            ),
        )
        self.kernel.register(
            ENTRY_LEASE,
            EntryLease(
                table=self.table,
                directory=self.directory,
                clock=self.clock,
                describe=self.record,
                lease=timing.lease,
            ),
        )
        self.kernel.register(
            ANNOUNCER,
            Announcer(
                peers=self.peers,
                directory=self.directory,
                clock=self.clock,
                holder=self.holder,
                describe=self.describe,
                hold=timing.hold,
                skip=self.entry_id,
            ),
        )
        for name, service in (
            (CLAIM_MEMBERS, self.claim_members),
            (CLAIMS, self.claims),
            (LOST_WORKERS, self.lost_workers),
            (OWNERSHIP, self.ownership),
            (QUEUE_OWNER, self.queue_owner),
        ):
            self.kernel.register(name, service)

    def _make_claims(self) -> None:
        retention = self.settings.timing.retention
        peers = HttpPeerClient(transport=self.transport)
        memory = ClaimMemory(
            clock=self.clock,
            incarnation=self.incarnation,
            retention=retention,
            max_claims=self.entry_settings.max_claims,
        )
        self.claim_members = ClaimMembers(
            table=self.table,
            peers=peers,
            clock=self.clock,
            memory=memory,
            describe=self._member_row,
            retention=retention,
            outage_grace=timedelta(seconds=self.settings.timing.outage_grace_s),
            interval=self.settings.timing.lease / 3,
        )
        self.claims = Claims(
            entry=self.entry_id,
            incarnation=self.incarnation,
            members=self.claim_members,
            memory=memory,
            peers=peers,
            table=self.table,
            clock=self.clock,
        )
        handlers = CallHandlers()
        self.claim_members.add_handlers(handlers)
        self.claims.add_handlers(handlers)
        factory = self.kernel.find(LISTENERS, ListenerFactory)
        handler = HttpPeerHandler(handlers=handlers)
        server = factory.http(
            self.entry_settings.claims,
            handler.handle,
            limits=PortPlan(settings=self.settings.limits).calls(),
            observer=IntakeMonitor(port="claims"),
        )
        self.kernel.register(CLAIM_SERVER, server)

    def _member_row(self) -> MemberRow:
        return MemberRow(
            entry=self.entry_id,
            incarnation=self.incarnation,
            claims=self.kernel.find(CLAIM_SERVER, Listener).bound_address,
        )

    def _make_callers(self) -> CallerApi:
        data_centre = DataCentre(self.settings.data_centre)
        dispatcher = Dispatcher(
            table=RoutingTable(registry=self.registry),
            router=make_router(
                self.entry_settings.routing,
                data_centre=data_centre,
                random=self.random,
            ),
            attendants=AttendantClient(transport=self.transport),
            claims=self.claims,
            holder=self.holder,
            journal=self.journal,
            clock=self.clock,
        )
        return CallerApi(
            dispatcher=dispatcher,
            holder=self.holder,
            journal=self.journal,
            metrics=self.metrics,
            clock=self.clock,
            default_deadline=timedelta(seconds=self.entry_settings.deadline_s),
        )

    def _make_batch(self) -> BatchApi:
        timing = self.settings.timing
        policy = make_policy(self.entry_settings.placement)
        self.views = WorkerViews(
            registry=self.registry, policy=policy, clock=self.clock
        )
        self.lost_workers = LostWorkerDetector(
            table=self.table, clock=self.clock, lease=timing.lease
        )
        self.ownership = PartitionOwnership(
            table=self.table,
            directory=self.directory,
            clock=self.clock,
            entry=self.entry_id,
            incarnation=self.incarnation,
            interval=timing.lease / 3,
        )
        placer = Placer(
            store=self.store,
            views=self.views,
            policy=policy,
            peers=self.peers,
            holder=self.holder,
            journal=self.journal,
            clock=self.clock,
        )
        supervisor = AttemptSupervisor(
            store=self.store,
            views=self.views,
            placer=placer,
            lost_workers=self.lost_workers,
            peers=self.peers,
            objects=self.objects,
            journal=self.journal,
            clock=self.clock,
        )
        self.queue_owner = QueueOwner(
            entry=self.entry_id,
            ownership=self.ownership,
            directory=self.directory,
            registry=self.registry,
            store=self.store,
            views=self.views,
            placer=placer,
            supervisor=supervisor,
            peers=self.peers,
            clock=self.clock,
        )
        self.queue_owner.add_handlers(self.handlers)
        return BatchApi(
            store=self.store,
            owner=self.queue_owner,
            holder=self.holder,
            journal=self.journal,
        )

    def _make_operators(self) -> OperatorApi:
        return OperatorApi(
            entry=self.daemon_id,
            editor=ListEditor(table=self.table, clock=self.clock, holder=self.holder),
            holder=self.holder,
            registry=self.registry,
            directory=self.directory,
            journal=self.journal,
            metrics=self.metrics,
            members=self.claim_members,
        )
