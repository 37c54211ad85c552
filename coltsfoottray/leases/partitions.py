"""Partitions of the task queue, each owned by one entry."""

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
from coltsfoottray.platform import (
    Put,
    Row,
    TableError,
    TableRefused,
    TableService,
    Transaction,
)
from coltsfoottray.platform.common import ABSENT
from coltsfoottray.types import CustomerId, EntryId, Incarnation

__all__ = [
    "PARTITION_COUNT",
    "PartitionOwnership",
    "partition_key",
    "partition_of",
    "rendezvous",
]

# More partitions than entries, so that they spread over the entries; few enough that
# one scan reads all their rows.
PARTITION_COUNT = 16
_KEY_PREFIX = "partition/"


class _PartitionRow(msgspec.Struct, frozen=True, kw_only=True):
    owner: EntryId
    incarnation: Incarnation


def partition_of(customer: CustomerId) -> int:
    """Return the partition that holds all of a customer's tasks.

    One owner sees everything that a customer runs, so it enforces the quota
    without asking other entries.
    """
    digest = hashlib.blake2b(customer.encode(), digest_size=4).digest()
    return int.from_bytes(digest, "big") % PARTITION_COUNT


def partition_key(partition: int) -> str:
    """Return the key of the partition's row."""
    return f"{_KEY_PREFIX}{partition:02d}"


def rendezvous(key: str, ids: Iterable[str]) -> str:
    """Return the id that rendezvous (highest-random-weight) hashing assigns `key`."""

    def weight(candidate: str) -> bytes:
        return hashlib.blake2b(f"{key}|{candidate}".encode(), digest_size=8).digest()

    return max(ids, key=weight)


class PartitionOwnership(Service):
    """Acquires, keeps and hands over partitions.

    The version of the partition's row is its epoch. Each write of an owner to a
    task row is conditional on the epoch, so an owner that was replaced while it
    was paused can no longer write.
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
        """Wait until the set of owned partitions has changed."""
        await self._changed.wait()

    def drop(self, partition: int) -> None:
        """Remove a partition that this entry no longer owns at the known epoch."""
        if self.epoch_by_partition.pop(partition, None) is not None:
            self._notify_changed()

    async def _try_tick(self) -> None:
        try:
            rows = await self._table.scan(_KEY_PREFIX)
            row_by_key = {row.key: row for row in rows}
            for partition in range(PARTITION_COUNT):
                await self._reconcile(
                    partition, row_by_key.get(partition_key(partition))
                )
        except TableError as error:
            log_event("lease:partitions-untended", error=str(error))

    async def _reconcile(self, partition: int, row: Row | None) -> None:
        live = self._directory.record_by_id
        if self._entry not in live:
            return
        preferred = live[EntryId(rendezvous(partition_key(partition), live))]  # type: ignore[arg-type]
        if row is None:
            if preferred.entry == self._entry:
                await self._assign(partition, ABSENT, preferred)
            return
        owner = row.decode(_PartitionRow)
        if owner.incarnation == self._incarnation:
            self._record_ownership(partition, row.version)
            if preferred.entry != self._entry:
                self.drop(partition)
                await self._assign(partition, row.version, preferred)
            return
        self.drop(partition)
        is_orphan = owner.incarnation not in {r.incarnation for r in live.values()}
        if is_orphan and preferred.entry == self._entry:
            await self._assign(partition, row.version, preferred)

    async def _assign(self, partition: int, version: int, owner: EntryRecord) -> None:
        key = partition_key(partition)
        value = _PartitionRow(owner=owner.entry, incarnation=owner.incarnation)
        try:
            outcome = await self._table.commit(
                Transaction(puts=[Put.of(key, version, value)])
            )
        except TableRefused as error:
            # The other partitions must not wait for this row.
            log_event("lease:partition-refused", key=key, error=str(error))
            return
        if isinstance(outcome, Success) and owner.incarnation == self._incarnation:
            self._record_ownership(partition, outcome.unwrap()[key])

    def _record_ownership(self, partition: int, epoch: int) -> None:
        if self.epoch_by_partition.get(partition) != epoch:
            self.epoch_by_partition[partition] = epoch
            log_event("lease:partition", partition=partition, epoch=epoch)
            self._notify_changed()

    def _notify_changed(self) -> None:
        self._changed.set()
        self._changed = trio.Event()
