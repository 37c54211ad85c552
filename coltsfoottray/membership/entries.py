"""Directory of the entries, read from the table."""

from __future__ import annotations

from collections.abc import Sequence
from datetime import timedelta

import msgspec
import trio

from coltsfoottray.clock import Clock
from coltsfoottray.kernel import Service
from coltsfoottray.logs import log_event
from coltsfoottray.platform import TableError, TableService
from coltsfoottray.platform.common import list_readable
from coltsfoottray.types import Address, DaemonId, EntryId, Incarnation

__all__ = ["ENTRY_PREFIX", "EntryDirectory", "EntryRecord"]

ENTRY_PREFIX = "entry/"
# Between reads of the rows until the first entry is known.
INITIAL_INTERVAL = timedelta(milliseconds=250)


class EntryRecord(msgspec.Struct, frozen=True, kw_only=True):
    """Row of an entry, rewritten at each renewal of its lease."""

    entry: EntryId
    incarnation: Incarnation
    http: Address
    peers: Address
    renewals: int = 0


class EntryDirectory(Service):
    """Keeps the known entries, also during outages of the table.

    Parameters
    ----------
    interval : timedelta
        Time between reads of the rows.
    seeds : sequence of Address
        Addresses of entries to use until the rows have been read once.
    """

    def __init__(
        self,
        *,
        table: TableService,
        clock: Clock,
        interval: timedelta,
        seeds: Sequence[Address] = (),
    ) -> None:
        self._table = table
        self._clock = clock
        self._interval = interval
        self.record_by_id = {
            record.entry: record for record in map(_make_seed_record, seeds)
        }
        self._is_read = False
        self._changed = trio.Event()

    async def run(  # noqa: D102
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        await self.refresh()
        task_status.started()
        while True:
            is_known = self._is_read and bool(self.record_by_id)
            await self._clock.sleep(self._interval if is_known else INITIAL_INTERVAL)
            await self.refresh()

    async def refresh(self) -> None:
        """Read the rows once; keep the known entries if the table is unavailable."""
        try:
            rows = await self._table.scan(ENTRY_PREFIX)
        except TableError as error:
            log_event("membership:entries-unread", error=str(error))
            return
        self.replace_all(list_readable(rows, EntryRecord))

    def replace_all(self, records: Sequence[EntryRecord]) -> None:
        """Replace all known entries by `records`."""
        self._is_read = True
        self.record_by_id = {record.entry: record for record in records}
        self._changed.set()
        self._changed = trio.Event()

    async def wait_changed(self) -> None:
        """Wait for the next refresh."""
        await self._changed.wait()


def _make_seed_record(seed: Address) -> EntryRecord:
    """Return a record for announcements to the entry at `seed`."""
    return EntryRecord(
        entry=EntryId(DaemonId(f"seed {seed}")),
        incarnation=Incarnation(""),
        http=seed,
        peers=seed,
    )
