"""An in-memory copy of one group of rows that follows the table's changes."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from datetime import timedelta

import msgspec
import trio

from coltsfoottray.clock import Clock
from coltsfoottray.jobs.paging import RowReader
from coltsfoottray.kernel import Service
from coltsfoottray.logs import log_event
from coltsfoottray.metrics import Metrics
from coltsfoottray.platform import HistoryLost, Row, TableError, WatchedTable

__all__ = ["Mirror"]

# How long the table holds a request for changes when there are none. A process
# detects within this time, plus the call's timeout, that it cannot reach the table.
_CHANGES_WAIT = timedelta(seconds=1)
_RETRY_INTERVAL = timedelta(milliseconds=200)
_NULL = msgspec.Raw(b"null")


class Mirror(Service):
    """Follows a group and calls `on_row` for each row and change, in version order.

    Parameters
    ----------
    prefixes : list of str
        Prefixes of the group's shards, for the first read.
    on_row : callable
        Receives each new version of a row, or its deletion.
    pause : timedelta
        Longest time between two requests for changes. Each request is billed, and
        changes made in the meantime arrive in one answer.

    Attributes
    ----------
    version : int
        The copy contains all changes up to this version.
    """

    def __init__(
        self,
        *,
        table: WatchedTable,
        group: str,
        prefixes: Sequence[str],
        on_row: Callable[[Row], None],
        clock: Clock,
        metrics: Metrics,
        pause: timedelta,
    ) -> None:
        self._table = table
        self._group = group
        self._prefixes = prefixes
        self._on_row = on_row
        self._clock = clock
        self._metrics = metrics
        self._pause = pause
        self._reader = RowReader(
            table=table, clock=clock, on_failure=self._record_failure
        )
        self._advanced = trio.Event()
        self._is_wanted = trio.Event()
        self._version_by_key: dict[str, int] = {}
        self.version = 0
        self.loaded = trio.Event()
        self.as_of: timedelta | None = None
        self._failing_since: timedelta | None = None

    async def wait_for(self, version: int) -> None:
        """Wait until the copy contains all changes up to `version`."""
        while self.version < version:
            self._is_wanted.set()
            await self._advanced.wait()

    def version_of(self, key: str) -> int:
        """Return the version of a row in the copy, 0 if the copy has no such row."""
        return self._version_by_key.get(key, 0)

    def age(self) -> timedelta:
        """Return an upper bound on the age of the copy."""
        if self.as_of is None:
            return timedelta(days=1)
        return self._clock.elapsed() - self.as_of

    def failing_for(self) -> timedelta:
        """Return how long the table has been unavailable, 0 while it answers."""
        if self._failing_since is None:
            return timedelta(0)
        return self._clock.elapsed() - self._failing_since

    def age_s(self) -> float:
        """Return `age` in seconds, for logs."""
        return round(self.age().total_seconds(), 3)

    async def run(  # noqa: D102
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        task_status.started()
        while True:
            try:
                await self._load()
                while True:
                    await self._follow()
                    with trio.move_on_after(self._pause.total_seconds()):
                        await self._is_wanted.wait()
            except HistoryLost as error:
                log_event("mirror:history-lost", group=self._group, reason=str(error))
            except TableError as error:
                self._record_failure(error)
                await self._clock.sleep(_RETRY_INTERVAL)

    async def _load(self) -> None:
        """Read every row, unless the changes since the copy's version are available."""
        if self.loaded.is_set() and await self._can_resume():
            return
        requested_at = self._clock.elapsed()
        snapshots = [await self._reader.read(each) for each in self._prefixes]
        row_by_key = {row.key: row for each in snapshots for row in each.rows}
        for key in [key for key in self._version_by_key if key not in row_by_key]:
            # The deletion was not observed. Its version is unknown, but is newer.
            version = self._version_by_key[key] + 1
            self._apply(Row(key=key, value=_NULL, version=version, is_deleted=True))
        for row in sorted(row_by_key.values(), key=lambda row: row.version):
            self._apply(row)
        self._advance(min(each.version for each in snapshots))
        self._record_success(requested_at)
        self.loaded.set()

    async def _can_resume(self) -> bool:
        try:
            await self._follow(wait=timedelta(0))
        except HistoryLost:
            return False
        return True

    async def _follow(self, wait: timedelta = _CHANGES_WAIT) -> None:
        requested_at = self._clock.elapsed()
        changes = await self._table.changes(self._group, after=self.version, wait=wait)
        for row in changes.rows:
            self._apply(row)
        self._advance(changes.version)
        self._record_success(requested_at)

    def _advance(self, version: int) -> None:
        self.version = version
        self._is_wanted = trio.Event()
        advanced, self._advanced = self._advanced, trio.Event()
        advanced.set()

    def _apply(self, row: Row) -> None:
        if self._version_by_key.get(row.key, 0) >= row.version:
            return
        if row.is_deleted:
            self._version_by_key.pop(row.key, None)
        else:
            self._version_by_key[row.key] = row.version
        self._on_row(row)

    def _record_success(self, requested_at: timedelta) -> None:
        self.as_of = requested_at
        self._record_age()
        if self._failing_since is not None:
            self._failing_since = None
            log_event("table:regained", group=self._group, version=self.version)

    def _record_age(self) -> None:
        self._metrics.gauge("copy_age_seconds", self.age_s(), group=self._group)

    def _record_failure(self, error: TableError) -> None:
        self._record_age()
        if self._failing_since is None:
            self._failing_since = self._clock.elapsed()
            log_event("table:lost", group=self._group, reason=str(error))
