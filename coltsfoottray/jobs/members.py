"""Where daemons are reached by one another: a row each."""

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

__all__ = ["MemberRow", "Registration", "read_members"]

_RETRY = timedelta(milliseconds=500)


class MemberRow(msgspec.Struct, frozen=True, kw_only=True):
    """Where a daemon is reached by its peers."""

    name: str
    role: Role
    address: Address
    incarnation: str


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
        """Write the row unless it stands; return whether it does."""
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
