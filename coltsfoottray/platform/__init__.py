"""What the platform gives: table service, object store and workers."""

from __future__ import annotations

from coltsfoottray.platform.common import (
    Check,
    ObjectStore,
    Put,
    Row,
    RunningTask,
    TableConflict,
    TableService,
    TableUnavailable,
    TaskStart,
    Transaction,
    WorkerControl,
    WorkerDescription,
)

__all__ = [
    "Check",
    "ObjectStore",
    "Put",
    "Row",
    "RunningTask",
    "TableConflict",
    "TableService",
    "TableUnavailable",
    "TaskStart",
    "Transaction",
    "WorkerControl",
    "WorkerDescription",
]
