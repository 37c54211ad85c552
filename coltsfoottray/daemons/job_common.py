"""What the daemons for jobs have in common."""

from __future__ import annotations

import abc
import secrets
from datetime import timedelta
from random import Random

import msgspec
import trio
from returns.result import Failure

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
from coltsfoottray.daemons.listeners import ListenerFactory, SocketListeners
from coltsfoottray.http import HttpClient, HttpTransport
from coltsfoottray.jobs.keys import MEMBERS_GROUP, member_key
from coltsfoottray.kernel import Kernel, Service
from coltsfoottray.logs import log_event
from coltsfoottray.membership import make_incarnation
from coltsfoottray.peers import CallHandlers, PeerClient
from coltsfoottray.peers.http import HttpPeerClient, HttpPeerHandler
from coltsfoottray.platform import Put, TableUnavailable, Transaction, WatchedTable
from coltsfoottray.platform.rows import RowsTable
from coltsfoottray.settings import JobDaemonSettings
from coltsfoottray.types import Address, Role

__all__ = ["JobDaemon", "MemberRow", "Registration", "read_members"]

_RETRY = timedelta(milliseconds=500)


class MemberRow(msgspec.Struct, frozen=True, kw_only=True):
    """Where a daemon is reached by its peers."""

    name: str
    role: Role
    address: Address
    incarnation: str


class JobDaemon(abc.ABC):
    """One process of the jobs' path: its kernel, its identity, its end.

    Parameters
    ----------
    kernel : Kernel, optional
        Holds the parts that a test has put in place of the usual ones.
    """

    role: Role

    def __init__(
        self, *, settings: JobDaemonSettings, kernel: Kernel | None = None
    ) -> None:
        self.kernel = kernel or Kernel()
        self.name = settings.name
        self.kernel.register(CLOCK, SuspendAwareClock())
        self.clock = self.kernel.find(CLOCK, Clock)
        self.kernel.register(TRANSPORT, HttpClient())
        self.transport = self.kernel.find(TRANSPORT, HttpTransport)
        table = RowsTable(address=settings.table, transport=self.transport)
        self.kernel.register(TABLE, table)
        self.table = self.kernel.find(TABLE, WatchedTable)
        self.kernel.register(PEERS, HttpPeerClient(transport=self.transport))
        self.peers = self.kernel.find(PEERS, PeerClient)
        self.kernel.register(RANDOM, Random(secrets.randbits(64)))
        self.random = self.kernel.find(RANDOM, Random)
        self.kernel.register(LISTENERS, SocketListeners())
        self.listeners = self.kernel.find(LISTENERS, ListenerFactory)
        self.handlers = CallHandlers()
        self.incarnation = make_incarnation(self.clock)
        self.address = settings.peers
        self.seeds = [
            Address(host=seed.host, port=settings.peers.port) for seed in settings.seeds
        ]

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
        """Take nothing new, finish what is in flight, and end `run`."""

    def register_peer_server(self) -> None:
        """Register the server of peer calls; all handlers must have been added."""
        handler = HttpPeerHandler(handlers=self.handlers)
        server = self.listeners.http(self.address, handler.handle)
        self.kernel.register(PEER_SERVER, server)

    def as_member(self) -> MemberRow:
        """Return how this daemon is found."""
        return MemberRow(
            name=self.name,
            role=self.role,
            address=self.address,
            incarnation=self.incarnation,
        )


class Registration(Service):
    """Writes the daemon's row among the members once it starts."""

    def __init__(self, *, member: MemberRow, table: WatchedTable, clock: Clock) -> None:
        self._member = member
        self._table = table
        self._clock = clock

    async def run(  # noqa: D102
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        task_status.started()
        while not await self._write():
            await self._clock.sleep(_RETRY)
        await trio.sleep_forever()

    async def _write(self) -> bool:
        key = member_key(self._member.name)
        try:
            row = await self._table.get(key)
            version = 0 if row is None else row.version
            put = Put.of(key, version, self._member)
            outcome = await self._table.commit(Transaction(puts=[put]))
        except TableUnavailable as error:
            log_event("members:unwritten", reason=str(error))
            return False
        return not isinstance(outcome, Failure)


async def read_members(table: WatchedTable) -> list[MemberRow]:
    """Return the members that the table names, raising `TableUnavailable`."""
    members = []
    for row in await table.scan(f"{MEMBERS_GROUP}//"):
        try:
            members.append(row.decode(MemberRow))
        except msgspec.DecodeError as error:
            log_event("members:row-unreadable", key=row.key, reason=str(error))
    return members
