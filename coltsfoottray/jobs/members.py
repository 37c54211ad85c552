"""The directory of entries and their peer addresses, one row per entry.

All processes of a fleet can start in the same instant. Only entries therefore write a
row, at a random moment, and the directory is read after that, once by each process.
Attendants are known to the scheduler from their reports.
"""

from __future__ import annotations

from datetime import timedelta
from random import Random

import msgspec
import trio
from returns.result import Failure

from coltsfoottray.backoff import Backoff
from coltsfoottray.clock import Clock
from coltsfoottray.decoding import MalformedData
from coltsfoottray.jobs.keys import MEMBERS_GROUP, member_key
from coltsfoottray.kernel import Service
from coltsfoottray.logs import log_event
from coltsfoottray.metrics import Metrics
from coltsfoottray.platform import (
    Put,
    Row,
    TableError,
    Transaction,
    WatchedTable,
)
from coltsfoottray.types import Address, Role

__all__ = ["DirectoryRefresh", "MemberDirectory", "MemberRow", "Registration"]

# Entries write their rows within this time after a start, which keeps 40 of them far
# below the rate at which one part of the table executes transactions.
_REGISTRATION_SPREAD = timedelta(seconds=1)
_FIRST_RETRY = timedelta(milliseconds=500)
_LONGEST_RETRY = timedelta(seconds=8)
# The first read follows the writes, and is spread over the same time.
_FIRST_READ_DELAY = timedelta(seconds=1.5)
_FIRST_READ_SPREAD = timedelta(seconds=1)
# Entries join and leave with their VMs, about 50 a day at the design size. The only
# effect of a late refresh is that no requests are sent to a new entry yet.
_REFRESH_INTERVAL = timedelta(seconds=10)
_REFRESH_SPREAD = timedelta(seconds=4)


class MemberRow(msgspec.Struct, frozen=True, kw_only=True):
    """An entry and the address at which its peers reach it.

    Parameters
    ----------
    incarnation : str
        The process that wrote the row. A later one at the same address keeps it.
    state_format : int
        The newest format of the scheduler's rows that it can read.
    """

    name: str
    role: Role
    address: Address
    incarnation: str
    state_format: int = 0

    def stands_for(self, other: MemberRow) -> bool:
        """Return whether peers learn the same from both rows."""
        return (self.name, self.role, self.address, self.state_format) == (
            other.name,
            other.role,
            other.address,
            other.state_format,
        )


class MemberDirectory:
    """The entries as last read from the table.

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

    def can_all_read(self, state_format: int) -> bool:
        """Return whether all entries are known to read a format of stored state."""
        entries = [each for each in self._members if each.role is Role.ENTRY]
        return bool(entries) and all(
            each.state_format >= state_format for each in entries
        )

    def entries(self) -> list[Address]:
        """Return the peer addresses of the other entries."""
        known = [each.address for each in self._members if each.role is Role.ENTRY]
        return [address for address in known or self._seeds if address != self._own]


class Registration(Service):
    """Writes an entry's row unless an equal one is stored."""

    def __init__(
        self, *, member: MemberRow, table: WatchedTable, clock: Clock, random: Random
    ) -> None:
        self._member = member
        self._table = table
        self._clock = clock
        self._random = random
        self._backoff = Backoff(
            first=_FIRST_RETRY, longest=_LONGEST_RETRY, random=random
        )
        self._version = 0

    async def run(  # noqa: D102
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        task_status.started()
        await self._clock.sleep(_REGISTRATION_SPREAD * self._random.random())
        while not await self._write():
            await self._clock.sleep(self._backoff.next_delay())

    async def _write(self) -> bool:
        """Write the row; return whether it, or one that says the same, is stored.

        A write without an answer may still be executed. The next attempt then finds
        the row in the conflict and does not write it again.
        """
        put = Put.of(member_key(self._member.name), self._version, self._member)
        try:
            outcome = await self._table.commit(Transaction(puts=[put]))
        except TableError as error:
            log_event("members:unwritten", reason=str(error))
            return False
        if not isinstance(outcome, Failure):
            return True
        rows = outcome.failure().rows
        self._version = rows[0].version if rows else 0
        return any(self._is_current(row) for row in rows)

    def _is_current(self, row: Row) -> bool:
        """Return whether a row says the same as this entry's own would."""
        member = row.try_decode(MemberRow)
        return member is not None and member.stands_for(self._member)


class DirectoryRefresh(Service):
    """Reads the directory from the table periodically."""

    def __init__(
        self,
        *,
        table: WatchedTable,
        directory: MemberDirectory,
        clock: Clock,
        random: Random,
        metrics: Metrics,
    ) -> None:
        self._table = table
        self._directory = directory
        self._clock = clock
        self._random = random
        self._metrics = metrics
        # Versions of the rows that cannot be read, by key. Each is logged once.
        self._unreadable_by_key: dict[str, int] = {}

    async def run(  # noqa: D102
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        task_status.started()
        await self._sleep(_FIRST_READ_DELAY, _FIRST_READ_SPREAD)
        while True:
            try:
                self._directory.update(await self._read())
            except TableError as error:
                log_event("members:unread", reason=str(error))
            await self._sleep(_REFRESH_INTERVAL, _REFRESH_SPREAD)

    async def _read(self) -> list[MemberRow]:
        """Return the members stored in the table.

        Raises
        ------
        TableError
            If the table did not answer.
        """
        members = []
        unreadable_by_key = {}
        for row in await self._table.scan(f"{MEMBERS_GROUP}//"):
            try:
                members.append(row.decode(MemberRow))
            except MalformedData as error:
                unreadable_by_key[row.key] = row.version
                self._record_unreadable(row, error)
        self._unreadable_by_key = unreadable_by_key
        return members

    def _record_unreadable(self, row: Row, error: MalformedData) -> None:
        if self._unreadable_by_key.get(row.key) == row.version:
            return
        self._metrics.count("rows_unreadable", group=MEMBERS_GROUP)
        log_event(
            "members:row-unreadable",
            key=row.key,
            version=row.version,
            reason=str(error),
        )

    async def _sleep(self, shortest: timedelta, spread: timedelta) -> None:
        await self._clock.sleep(shortest + spread * self._random.random())
