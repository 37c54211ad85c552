"""Interfaces of the platform's services: table, object store and workers."""

from __future__ import annotations

from coltsfoottray.platform.common import (
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
    TableService,
    TableUnavailable,
    TaskStart,
    Transaction,
    WatchedTable,
    WorkerControl,
    WorkerDescription,
)

__all__ = [
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
    "TableService",
    "TableUnavailable",
    "TaskStart",
    "Transaction",
    "WatchedTable",
    "WorkerControl",
    "WorkerDescription",
]
