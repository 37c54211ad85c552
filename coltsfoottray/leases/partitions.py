"""Partitions of the queue, each owned by one entry."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from datetime import timedelta

import msgspec
import trio
from returns.result import Success

from coltsfoottray.clock import Clock
from coltsfoottray.kernel import Service
from coltsfoottray.logs import log_event
from coltsfoottray.membership import EntryDirectory, EntryRecord
from coltsfoottray.platform import Put, Row, TableService, TableUnavailable, Transaction
from coltsfoottray.platform.common import ABSENT
from coltsfoottray.types import CustomerId, EntryId, Incarnation

__all__ = [
    "PARTITION_COUNT",
    "PartitionOwnership",
    "partition_key",
    "partition_of",
    "rendezvous",
]

# More than there are entries, so that they spread; few enough to read at once.
PARTITION_COUNT = 16
_PREFIX = "partition/"


class _PartitionRow(msgspec.Struct, frozen=True, kw_only=True):
    owner: EntryId
    incarnation: Incarnation


def partition_of(customer: CustomerId) -> int:
    """Return the partition that holds all of a customer's tasks.

    One owner sees everything a customer runs, so its quota is kept without
    asking anybody.
    """
    digest = hashlib.blake2b(customer.encode(), digest_size=4).digest()
    return int.from_bytes(digest, "big") % PARTITION_COUNT


def partition_key(partition: int) -> str:
    """Return the key of the partition's row."""
    return f"{_PREFIX}{partition:02d}"


def rendezvous(key: str, ids: Iterable[str]) -> str:
    """Return the id that highest-random-weight hashing gives `key`."""

    def weight(candidate: str) -> bytes:
        return hashlib.blake2b(f"{key}|{candidate}".encode(), digest_size=8).digest()

    return max(ids, key=weight)


class PartitionOwnership(Service):
    """Takes, keeps and hands over partitions.

    The version of the partition's row is its epoch. Each write about a task
    names it as a condition, so an owner that was replaced while it was paused
    writes nothing more.
    """

    def __init__(
        self,
        *,
        table: TableService,
        directory: EntryDirectory,
        clock: Clock,
        entry: EntryId,
        incarnation: Incarnation,
        interval: timedelta,
    ) -> None:
        self._table = table
        self._directory = directory
        self._clock = clock
        self._entry = entry
        self._incarnation = incarnation
        self._interval = interval
        self.epoch_by_partition: dict[int, int] = {}
        self._changed = trio.Event()

    async def run(  # noqa: D102
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        await self._try_tick()
        task_status.started()
        while True:
            await self._clock.sleep(self._interval)
            await self._try_tick()

    async def wait_changed(self) -> None:
        """Return after the set of owned partitions has changed."""
        await self._changed.wait()

    def drop(self, partition: int) -> None:
        """Stop owning a partition whose epoch has moved on."""
        if self.epoch_by_partition.pop(partition, None) is not None:
            self._signal()

    async def _try_tick(self) -> None:
        try:
            rows = await self._table.scan(_PREFIX)
            row_by_key = {row.key: row for row in rows}
            for partition in range(PARTITION_COUNT):
                await self._tend(partition, row_by_key.get(partition_key(partition)))
        except TableUnavailable as error:
            log_event("lease:partitions-untended", error=str(error))

    async def _tend(self, partition: int, row: Row | None) -> None:
        live = self._directory.record_by_id
        if self._entry not in live:
            return
        wanted = live[EntryId(rendezvous(partition_key(partition), live))]  # type: ignore[arg-type]
        if row is None:
            if wanted.entry == self._entry:
                await self._write(partition, ABSENT, wanted)
            return
        owner = row.decode(_PartitionRow)
        if owner.incarnation == self._incarnation:
            self._own(partition, row.version)
            if wanted.entry != self._entry:
                self.drop(partition)
                await self._write(partition, row.version, wanted)
            return
        self.drop(partition)
        is_orphan = owner.incarnation not in {r.incarnation for r in live.values()}
        if is_orphan and wanted.entry == self._entry:
            await self._write(partition, row.version, wanted)

    async def _write(self, partition: int, version: int, owner: EntryRecord) -> None:
        key = partition_key(partition)
        value = _PartitionRow(owner=owner.entry, incarnation=owner.incarnation)
        outcome = await self._table.commit(
            Transaction(puts=[Put.of(key, version, value)])
        )
        if isinstance(outcome, Success) and owner.incarnation == self._incarnation:
            self._own(partition, outcome.unwrap()[key])

    def _own(self, partition: int, epoch: int) -> None:
        if self.epoch_by_partition.get(partition) != epoch:
            self.epoch_by_partition[partition] = epoch
            log_event("lease:partition", partition=partition, epoch=epoch)
            self._signal()

    def _signal(self) -> None:
        self._changed.set()
        self._changed = trio.Event()
