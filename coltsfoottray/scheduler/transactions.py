"""Splits writes into transactions that the table accepts.

Load pattern: a burst of jobs, or a whole fleet of attendants, changes far more rows in
one round than one transaction may have. A transaction over a limit is refused however
often it is sent, and the scheduler that sends it does nothing else any more.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from coltsfoottray.platform import Check, Put
from coltsfoottray.scheduler.live import LiveJob

__all__ = ["MAX_ENTRIES", "WriteGroup", "count_entries", "split_groups"]

MAX_ENTRIES = 98
"""Entries that a transaction may have besides the lease row, which takes two of 100.

A write has two entries, its condition and the row; a condition alone has one.
"""

# The limit is 1 MB. The rest is for deletions and for the lease row, which grows with
# the number of silent workers.
_MAX_BYTES = 700_000

# Names of fields, the table, the shard and the version of one entry.
_ENTRY_BYTES = 100


@dataclass(frozen=True, kw_only=True)
class WriteGroup:
    """Writes and conditions that belong in the same transaction.

    Parameters
    ----------
    job : LiveJob, optional
        The job whose rows are written.
    record_rows : int
        Number of rows that the job's record has after the write.
    is_start_only : bool
        Whether only the job's first start is written, in its summary.
    """

    puts: list[Put]
    checks: list[Check] = field(default_factory=list)
    job: LiveJob | None = None
    record_rows: int = 0
    is_start_only: bool = False

    @property
    def name(self) -> str:
        """What identifies the group among those of other rounds."""
        if self.job is None or self.is_start_only:
            return self.puts[0].key
        return self.job.id

    @property
    def is_unattributable(self) -> bool:
        """Whether another scheduler would write the same."""
        is_deletion = self.job is None and all(put.is_deletion for put in self.puts)
        return self.is_start_only or is_deletion

    @property
    def entries(self) -> int:
        """Number of entries in a transaction."""
        return count_entries(self.puts, self.checks)

    @property
    def size_bytes(self) -> int:
        """Upper bound on its size in a transaction; values are sent as base64."""
        keys = [*(put.key for put in self.puts for _ in range(2))]
        keys += [check.key for check in self.checks]
        values = sum(len(bytes(put.value)) * 4 // 3 + 4 for put in self.puts)
        return values + sum(len(key) + _ENTRY_BYTES for key in keys)


def count_entries(puts: Iterable[Put], checks: Iterable[Check]) -> int:
    """Return the number of entries that writes and conditions have."""
    return 2 * sum(1 for _ in puts) + sum(1 for _ in checks)


def split_groups(groups: Iterable[WriteGroup]) -> list[list[WriteGroup]]:
    """Split groups, in order, into batches that each fit into one transaction."""
    batches: list[list[WriteGroup]] = []
    entries = size = 0
    for group in groups:
        is_full = not batches or entries + group.entries > MAX_ENTRIES
        if is_full or size + group.size_bytes > _MAX_BYTES:
            batches.append([])
            entries = size = 0
        batches[-1].append(group)
        entries += group.entries
        size += group.size_bytes
    return batches
