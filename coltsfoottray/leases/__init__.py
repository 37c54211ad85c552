"""Leases in the table: of entries, of partitions of the queue and of workers."""

from __future__ import annotations

from coltsfoottray.leases.entry import EntryLease
from coltsfoottray.leases.observer import LeaseObserver
from coltsfoottray.leases.partitions import (
    PARTITION_COUNT,
    PartitionOwnership,
    partition_key,
    partition_of,
)
from coltsfoottray.leases.worker import WorkerLease, WorkerLeaseRow, worker_key

__all__ = [
    "PARTITION_COUNT",
    "EntryLease",
    "LeaseObserver",
    "PartitionOwnership",
    "WorkerLease",
    "WorkerLeaseRow",
    "partition_key",
    "partition_of",
    "worker_key",
]
