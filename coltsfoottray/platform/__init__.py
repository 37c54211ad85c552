"""Interfaces of the platform's services: table, object store and workers."""

from __future__ import annotations

from coltsfoottray.platform.common import (
    MAX_VALUE_BYTES,
    Changes,
    Check,
    HistoryLost,
    ObjectStore,
    Page,
    Put,
    Row,
    RunningTask,
    Snapshot,
    TableConflict,
    TableError,
    TableRefused,
    TableService,
    TableUnavailable,
    TaskStart,
    Transaction,
    WatchedTable,
    WorkerControl,
    WorkerDescription,
)

__all__ = [
    "MAX_VALUE_BYTES",
    "Changes",
    "Check",
    "HistoryLost",
    "ObjectStore",
    "Page",
    "Put",
    "Row",
    "RunningTask",
    "Snapshot",
    "TableConflict",
    "TableError",
    "TableRefused",
    "TableService",
    "TableUnavailable",
    "TaskStart",
    "Transaction",
    "WatchedTable",
    "WorkerControl",
    "WorkerDescription",
]
