"""Reading of many rows, in pages as large as the link allows.

Load pattern: an entry that starts, or takes the lease row over, reads all that is
stored, over a link that at the same time carries renewals, pings, reports and orders.
One page at a time is in transit, and each is small enough that these need not wait
longer than they can. What has been read is not read again after a failure.
"""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta

from coltsfoottray.clock import Clock
from coltsfoottray.platform import Row, Snapshot, TableError, WatchedTable

__all__ = ["PageSizer", "RowReader"]

# A quarter of the time within which a ping must be answered.
_TARGET_DURATION = timedelta(milliseconds=100)
_FIRST_ROWS = 16
# The table's limit on the rows of one answer.
_MAX_ROWS = 500
_MAX_CHANGE = 4.0
_RETRY_INTERVAL = timedelta(milliseconds=200)


class PageSizer:
    """Chooses how many rows to request by how long earlier pages took.

    Attributes
    ----------
    rows : int
        Number of rows to request.
    """

    def __init__(self) -> None:
        self.rows = _FIRST_ROWS

    def record_page(self, rows: int, duration: timedelta) -> None:
        """Record the time that a page of `rows` rows took."""
        if rows < self.rows and duration < _TARGET_DURATION:
            # The last page of a group does not show that larger ones are as fast.
            return
        change = _TARGET_DURATION / max(duration, timedelta(milliseconds=1))
        self._scale(min(max(change, 1 / _MAX_CHANGE), _MAX_CHANGE))

    def record_failure(self) -> None:
        """Record that a page did not arrive in time."""
        self._scale(1 / _MAX_CHANGE)

    def _scale(self, factor: float) -> None:
        self.rows = min(max(round(self.rows * factor), 1), _MAX_ROWS)


class RowReader:
    """Reads groups of rows page by page, until all have arrived.

    Parameters
    ----------
    on_failure : callable
        Receives each failure of the table; the page is requested again after it.

    Attributes
    ----------
    rows_read, bytes_read : int
        What has arrived so far.
    """

    def __init__(
        self,
        *,
        table: WatchedTable,
        clock: Clock,
        on_failure: Callable[[TableError], None],
    ) -> None:
        self._table = table
        self._clock = clock
        self._on_failure = on_failure
        self._sizer = PageSizer()
        self.rows_read = 0
        self.bytes_read = 0

    async def read(self, prefix: str) -> Snapshot:
        """Return the rows under a prefix `group/shard/`.

        Later pages may contain later writes. Changes since the version of the first
        page include those writes again, which is harmless.
        """
        rows: list[Row] = []
        version: int | None = None
        first: str | None = ""
        while first is not None:
            requested_at = self._clock.elapsed()
            try:
                page = await self._table.page(
                    prefix, first=first, limit=self._sizer.rows
                )
            except TableError as error:
                self._sizer.record_failure()
                self._on_failure(error)
                await self._clock.sleep(_RETRY_INTERVAL)
                continue
            duration = self._clock.elapsed() - requested_at
            self._sizer.record_page(len(page.rows), duration)
            self.rows_read += len(page.rows)
            self.bytes_read += page.size_bytes
            version = page.version if version is None else version
            rows.extend(page.rows)
            first = page.next_first
        return Snapshot(rows=rows, version=version or 0)
