"""Base class of the entry and attendant daemons."""

from __future__ import annotations

import abc
import secrets
from random import Random

import trio

from coltsfoottray.clock import Clock, TrioClock
from coltsfoottray.daemons.intake import IntakeMonitor, PortPlan
from coltsfoottray.daemons.listeners import ListenerFactory, SocketListeners
from coltsfoottray.http import Handler, HttpClient, HttpTransport
from coltsfoottray.kernel import Kernel, Listener, ServiceName
from coltsfoottray.lists import ListHolder
from coltsfoottray.membership import Announcement, make_incarnation
from coltsfoottray.peers import CallHandlers, PeerClient
from coltsfoottray.peers.grpc import GrpcPeerClient
from coltsfoottray.platform import ObjectStore, TableService
from coltsfoottray.platform.http import HttpObjectStore, HttpTable
from coltsfoottray.settings import DaemonSettings
from coltsfoottray.types import DaemonId, DataCentre, Role

__all__ = [
    "CLOCK",
    "HTTP_SERVER",
    "LISTENERS",
    "LISTS",
    "OBJECTS",
    "PEERS",
    "PEER_SERVER",
    "RANDOM",
    "TABLE",
    "TRANSPORT",
    "Daemon",
]

CLOCK = ServiceName("clock")
TRANSPORT = ServiceName("http-transport")
OBJECTS = ServiceName("objects")
TABLE = ServiceName("table")
PEERS = ServiceName("peers")
PEER_SERVER = ServiceName("peer-server")
HTTP_SERVER = ServiceName("http-server")
RANDOM = ServiceName("random")
LISTENERS = ServiceName("listeners")
LISTS = ServiceName("lists")


class Daemon(abc.ABC):
    """One process with its kernel, its identity and its graceful shutdown.

    Parameters
    ----------
    settings : DaemonSettings
        The daemon's settings.
    kernel : Kernel, optional
        Holds the services with which a test replaces the usual ones.
    """

    role: Role

    def __init__(
        self, *, settings: DaemonSettings, kernel: Kernel | None = None
    ) -> None:
        self.settings = settings
        self.kernel = kernel or Kernel()
        self.kernel.register(CLOCK, TrioClock())
        self.clock = self.kernel.find(CLOCK, Clock)
        self.kernel.register(TRANSPORT, HttpClient())
        self.transport = self.kernel.find(TRANSPORT, HttpTransport)
        table = HttpTable(address=settings.table, client=self.transport)
        self.kernel.register(TABLE, table)
        self.table = self.kernel.find(TABLE, TableService)
        objects = HttpObjectStore(address=settings.objects, client=self.transport)
        self.kernel.register(OBJECTS, objects)
        self.objects = self.kernel.find(OBJECTS, ObjectStore)
        self.kernel.register(PEERS, GrpcPeerClient())
        self.peers = self.kernel.find(PEERS, PeerClient)
        self.kernel.register(RANDOM, Random(secrets.randbits(64)))
        self.random = self.kernel.find(RANDOM, Random)
        self.kernel.register(LISTENERS, SocketListeners())
        self.kernel.register(LISTS, ListHolder())
        self.holder = self.kernel.find(LISTS, ListHolder)
        self.handlers = CallHandlers()
        self.incarnation = make_incarnation(self.clock)
        self.is_draining = False
        self.is_leaving = False

    @property
    def daemon_id(self) -> DaemonId:
        """The daemon's name."""
        return DaemonId(self.settings.name)

    async def run(
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Run until cancelled or shut down."""
        await self.kernel.run(task_status=task_status)

    @abc.abstractmethod
    async def shut_down(self) -> None:
        """Accept no new work, finish what is in flight, and end `run`."""

    def describe(self) -> Announcement:
        """Return the current announcement of the daemon."""
        http = self.kernel.find(HTTP_SERVER, Listener).bound_address
        peers = self.kernel.find(PEER_SERVER, Listener).bound_address
        return Announcement(
            daemon=self.daemon_id,
            role=self.role,
            incarnation=self.incarnation,
            data_centre=DataCentre(self.settings.data_centre),
            rack=self.settings.rack,
            http=http,
            peers=peers,
            is_draining=self.is_draining,
            is_leaving=self.is_leaving,
        )

    def register_servers(self, handler: Handler) -> None:
        """Register the HTTP and peer servers, after all handlers have been added."""
        factory = self.kernel.find(LISTENERS, ListenerFactory)
        plan = PortPlan(settings=self.settings.limits)
        http = factory.http(
            self.settings.http,
            handler,
            limits=plan.calls(),
            observer=IntakeMonitor(port="http"),
        )
        self.kernel.register(HTTP_SERVER, http)
        peers = factory.peers(
            self.settings.peers,
            self.handlers,
            limits=plan.peers(self.handlers),
            observer=IntakeMonitor(port="peers"),
        )
        self.kernel.register(PEER_SERVER, peers)
