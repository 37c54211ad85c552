"""Batch tasks: their rows in the table, and the one owner that runs each of them."""

from __future__ import annotations

from coltsfoottray.tasks.rows import (
    StoredTask,
    TaskRow,
    TaskSpec,
    checkpoint_name,
    result_name,
    task_key,
)
from coltsfoottray.tasks.store import AcceptConflict, Fenced, TaskStore

__all__ = [
    "AcceptConflict",
    "Fenced",
    "StoredTask",
    "TaskRow",
    "TaskSpec",
    "TaskStore",
    "checkpoint_name",
    "result_name",
    "task_key",
]
