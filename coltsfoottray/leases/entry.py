"""An entry's lease, kept as its row in the list of entries."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from datetime import timedelta

import msgspec
import trio
from returns.result import Success

from coltsfoottray.clock import Clock
from coltsfoottray.kernel import Service
from coltsfoottray.leases.observer import LeaseObserver
from coltsfoottray.logs import log_event
from coltsfoottray.membership import EntryDirectory, EntryRecord
from coltsfoottray.membership.entries import ENTRY_PREFIX
from coltsfoottray.platform import (
    Put,
    Row,
    TableError,
    TableRefused,
    TableService,
    Transaction,
)
from coltsfoottray.platform.common import ABSENT, list_readable

__all__ = ["EntryLease"]


class EntryLease(Service):
    """Registers the entry, renews its row and deletes the rows of lapsed entries.

    No invariant depends on the timing of this lease: it only serves to discover
    entries and to distribute the queue's partitions. An owner's writes to task
    rows are fenced by the partition's row.
    """

    def __init__(
        self,
        *,
        table: TableService,
        directory: EntryDirectory,
        clock: Clock,
        describe: Callable[[], EntryRecord],
        lease: timedelta,
    ) -> None:
        self._table = table
        self._directory = directory
        self._clock = clock
        self._describe = describe
        self._renewals = 0
        self._interval = lease / 3
        self._observer = LeaseObserver(
            clock=clock, lease=lease, max_gap=self._interval * 2
        )
        self._version: int | None = None

    async def run(  # noqa: D102
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        await self._try_tick()
        task_status.started()
        while True:
            await self._clock.sleep(self._interval)
            await self._try_tick()

    async def stop(self) -> None:
        """Delete the row, so that other entries need not wait for its lapse."""
        if self._version is None:
            return
        key = ENTRY_PREFIX + self._describe().entry
        put = Put(key=key, version=self._version)
        try:
            await self._table.commit(Transaction(puts=[put]))
        except TableError as error:
            log_event("lease:entry-left-to-lapse", error=str(error))

    async def _try_tick(self) -> None:
        try:
            await self._renew()
            rows = await self._table.scan(ENTRY_PREFIX)
            await self._remove_lapsed(rows)
        except TableError as error:
            log_event("lease:entry-not-renewed", error=str(error))

    async def _renew(self) -> None:
        self._renewals += 1
        record = msgspec.structs.replace(self._describe(), renewals=self._renewals)
        key = ENTRY_PREFIX + record.entry
        if self._version is None:
            row = await self._table.get(key)
            self._version = ABSENT if row is None else row.version
        put = Put.of(key, self._version, record)
        version, self._version = self._version, None
        outcome = await self._table.commit(Transaction(puts=[put]))
        if isinstance(outcome, Success):
            self._version = outcome.unwrap()[key]
        else:
            log_event("lease:entry-row-moved", expected_version=version)

    async def _remove(self, key: str, put: Put) -> None:
        try:
            await self._table.commit(Transaction(puts=[put]))
        except TableRefused as error:
            # The others must not wait for this row.
            log_event("lease:entry-undeleted", row=key, error=str(error))
            return
        log_event("lease:entry-lapsed", row=key)

    async def _remove_lapsed(self, rows: Sequence[Row]) -> None:
        lapsed = self._observer.observe(rows)
        own_key = ENTRY_PREFIX + self._describe().entry
        for row in lapsed:
            if row.key != own_key:
                put = Put(key=row.key, version=row.version)
                await self._remove(row.key, put)
        lapsed_keys = {row.key for row in lapsed}
        live = [row for row in rows if row.key not in lapsed_keys]
        self._directory.replace_all(list_readable(live, EntryRecord))
