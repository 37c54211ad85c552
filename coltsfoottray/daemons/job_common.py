"""Base class of the daemons for jobs."""

from __future__ import annotations

import abc
import secrets
from random import Random

import trio

from coltsfoottray.clock import Clock, SuspendAwareClock
from coltsfoottray.daemons.common import (
    CLOCK,
    LISTENERS,
    PEER_SERVER,
    PEERS,
    RANDOM,
    TABLE,
    TRANSPORT,
)
from coltsfoottray.daemons.connections import ConnectionMonitor
from coltsfoottray.daemons.intake import IntakeMonitor, PortPlan
from coltsfoottray.daemons.listeners import ListenerFactory, SocketListeners
from coltsfoottray.http import (
    Handler,
    HttpClient,
    HttpRequest,
    HttpResponse,
    HttpTransport,
)
from coltsfoottray.intake import PortLimits
from coltsfoottray.jobs.members import (
    DirectoryRefresh,
    MemberDirectory,
    MemberRow,
    Registration,
)
from coltsfoottray.jobs.records import STATE_FORMAT
from coltsfoottray.jobs.status import JobDaemonStatus
from coltsfoottray.kernel import Kernel, Listener, ServiceName
from coltsfoottray.logs import log_event
from coltsfoottray.membership import make_incarnation
from coltsfoottray.metrics import Metrics
from coltsfoottray.peers import CallHandlers, PeerClient
from coltsfoottray.peers.http import HttpPeerClient, HttpPeerHandler
from coltsfoottray.peers.relay import RelayTransport
from coltsfoottray.platform import WatchedTable
from coltsfoottray.platform.metadata_table import MetadataTable
from coltsfoottray.settings import JobDaemonSettings
from coltsfoottray.types import Address, Role

__all__ = ["JobDaemon"]

_METRICS_SERVER = ServiceName("metrics-server")
_REGISTRATION = ServiceName("registration")
_DIRECTORY = ServiceName("directory")


class JobDaemon(abc.ABC):
    """One process for jobs, with its kernel, its identity and its shutdown.

    Parameters
    ----------
    kernel : Kernel, optional
        Holds the services with which a test replaces the usual ones.
    """

    role: Role

    def __init__(
        self, *, settings: JobDaemonSettings, kernel: Kernel | None = None
    ) -> None:
        self.kernel = kernel or Kernel()
        self.name = settings.name
        self.kernel.register(CLOCK, SuspendAwareClock())
        self.clock = self.kernel.find(CLOCK, Clock)
        self.metrics = Metrics()
        connections = ConnectionMonitor(metrics=self.metrics)
        self.kernel.register(TRANSPORT, HttpClient(observer=connections))
        self.transport = self.kernel.find(TRANSPORT, HttpTransport)
        self._metrics_address = settings.metrics
        self.kernel.register(PEERS, HttpPeerClient(transport=self.transport))
        self.peers = self.kernel.find(PEERS, PeerClient)
        self.kernel.register(RANDOM, Random(secrets.randbits(64)))
        self.random = self.kernel.find(RANDOM, Random)
        self.members = MemberDirectory(
            own=settings.peers,
            seeds=[
                Address(host=seed.host, port=settings.peers.port)
                for seed in settings.seeds
            ],
        )
        relay_transport = RelayTransport(
            direct=self.transport,
            peers=self.peers,
            relays=self.members.entries,
            clock=self.clock,
            random=self.random,
        )
        table = MetadataTable(
            address=settings.table,
            transport=relay_transport,
            clock=self.clock,
            metrics=self.metrics,
        )
        self.kernel.register(TABLE, table)
        self.table = self.kernel.find(TABLE, WatchedTable)
        self.kernel.register(LISTENERS, SocketListeners())
        self.listeners = self.kernel.find(LISTENERS, ListenerFactory)
        self.handlers = CallHandlers()
        self.ports = PortPlan(settings=settings.limits)
        self.turns = self.ports.turns()
        self.incarnation = make_incarnation(self.clock)
        self.address = settings.peers

    async def run(
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Run until cancelled or shut down."""
        log_event(
            "daemon:start",
            name=self.name,
            role=self.role.value,
            incarnation=self.incarnation,
        )
        await self.kernel.run(task_status=task_status)
        log_event("daemon:stop", name=self.name, incarnation=self.incarnation)

    @abc.abstractmethod
    async def shut_down(self) -> None:
        """Accept no new work, finish what is in flight, and end `run`."""

    def register_peer_server(self) -> None:
        """Register the server of peer calls, after all handlers have been added."""
        handler = HttpPeerHandler(handlers=self.handlers, turns=self.turns)
        server = self.make_server(
            "peers", self.address, handler.handle, self.ports.peers(self.handlers)
        )
        self.kernel.register(PEER_SERVER, server)

    def make_server(
        self, port: str, address: Address, handler: Handler, limits: PortLimits
    ) -> Listener:
        """Return an HTTP server; `port` is its name for operators."""
        observer = IntakeMonitor(port=port, metrics=self.metrics)
        return self.listeners.http(address, handler, limits=limits, observer=observer)

    def register_metrics(self) -> None:
        """Register the metrics server if the settings give its address."""
        if self._metrics_address is not None:
            server = self.make_server(
                "metrics",
                self._metrics_address,
                self._handle_operator,
                self.ports.queries(),
            )
            self.kernel.register(_METRICS_SERVER, server)

    async def _handle_operator(self, request: HttpRequest) -> HttpResponse:
        """Return the status at `/status`, and all metrics at any other path."""
        if request.path == "/status":
            return HttpResponse.of_json(self.status())
        return await self.metrics.handle(request)

    @abc.abstractmethod
    def status(self) -> JobDaemonStatus:
        """Return what the daemon believes, for operators."""

    def register_directory(self) -> None:
        """Register the service that reads the directory of entries."""
        service = DirectoryRefresh(
            table=self.table,
            directory=self.members,
            clock=self.clock,
            random=self.random,
            metrics=self.metrics,
        )
        self.kernel.register(_DIRECTORY, service)

    def register_member(self) -> None:
        """Register the service that writes this daemon's row of the directory."""
        member = MemberRow(
            name=self.name,
            role=self.role,
            address=self.address,
            incarnation=self.incarnation,
            state_format=STATE_FORMAT,
        )
        service = Registration(
            member=member, table=self.table, clock=self.clock, random=self.random
        )
        self.kernel.register(_REGISTRATION, service)
