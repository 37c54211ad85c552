"""The directory of daemons and their peer addresses, one row per daemon."""

from __future__ import annotations

from datetime import timedelta

import msgspec
import trio
from returns.result import Failure

from coltsfoottray.clock import Clock
from coltsfoottray.jobs.keys import MEMBERS_GROUP, member_key
from coltsfoottray.kernel import Service
from coltsfoottray.logs import log_event
from coltsfoottray.platform import Put, TableUnavailable, Transaction, WatchedTable
from coltsfoottray.types import Address, Role

__all__ = ["MemberDirectory", "MemberRow", "Registration", "read_members"]

_RETRY_INTERVAL = timedelta(milliseconds=500)
# Members join and leave with their VMs, about 50 a day at the design size. The only
# effect of a late refresh is that no requests are sent to a new member yet.
_REFRESH_INTERVAL = timedelta(seconds=10)


class MemberRow(msgspec.Struct, frozen=True, kw_only=True):
    """A daemon and the address at which its peers reach it."""

    name: str
    role: Role
    address: Address
    incarnation: str


class MemberDirectory:
    """The members as last read from the table.

    Parameters
    ----------
    own : Address
        This daemon's peer address.
    seeds : list of Address
        Peer addresses of entries to use until the table has been read.
    """

    def __init__(self, *, own: Address, seeds: list[Address]) -> None:
        self._own = own
        self._seeds = seeds
        self._members: list[MemberRow] = []

    def update(self, members: list[MemberRow]) -> None:
        """Replace the known members."""
        self._members = members

    def entries(self) -> list[Address]:
        """Return the peer addresses of the other entries."""
        known = [each.address for each in self._members if each.role is Role.ENTRY]
        return [address for address in known or self._seeds if address != self._own]


class Registration(Service):
    """Writes the daemon's member row and refreshes the directory periodically."""

    def __init__(
        self,
        *,
        member: MemberRow,
        table: WatchedTable,
        directory: MemberDirectory,
        clock: Clock,
    ) -> None:
        self._member = member
        self._table = table
        self._directory = directory
        self._clock = clock

    async def run(  # noqa: D102
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        task_status.started()
        while not await self._write():
            await self._clock.sleep(_RETRY_INTERVAL)
        while True:
            try:
                self._directory.update(await read_members(self._table))
            except TableUnavailable as error:
                log_event("members:unread", reason=str(error))
            await self._clock.sleep(_REFRESH_INTERVAL)

    async def _write(self) -> bool:
        """Write the row; return whether it was stored."""
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
    """Return the members stored in the table.

    Raises
    ------
    TableUnavailable
        If the table did not answer.
    """
    members = []
    for row in await table.scan(f"{MEMBERS_GROUP}//"):
        try:
            members.append(row.decode(MemberRow))
        except msgspec.DecodeError as error:
            log_event("members:row-unreadable", key=row.key, reason=str(error))
    return members
