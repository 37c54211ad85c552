"""Batch tasks as stored in the table, and the names of their rows and objects."""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from coltsfoottray.leases.partitions import partition_of
from coltsfoottray.types import (
    AttendantId,
    CustomerId,
    DaemonId,
    Kind,
    Resources,
    TaskId,
)
from coltsfoottray.types import TaskState as State

__all__ = [
    "StoredTask",
    "TaskRow",
    "TaskSpec",
    "checkpoint_name",
    "partition_prefix",
    "result_name",
    "task_key",
]


class TaskSpec(msgspec.Struct, frozen=True, kw_only=True):
    """A customer's specification of a task.

    Parameters
    ----------
    task : TaskId
        The customer's name, a slash, and the customer's own id of the task.
    runtime_s : float
        The declared run time in seconds; often far from the real one.
    payload : dict
        Passed to the worker unchanged.
    """

    task: TaskId
    customer: CustomerId
    kind: Kind
    demand: Resources
    runtime_s: float
    worth: float = 1.0
    is_urgent: bool = False
    payload: dict[str, object] = msgspec.field(default_factory=dict)


class TaskRow(msgspec.Struct, frozen=True, kw_only=True):
    """The state of a task.

    Parameters
    ----------
    attempt : int
        The number of the latest attempt. It fences: a worker's message about
        any other attempt is ignored.
    worker, term
        The worker that the attempt is bound to, and the term of its lease.
    checkpoint : str
        The name of the object from which the next attempt resumes.
    wants_cancel : bool
        Set when the customer cancels the task while it runs; the owner then
        stops it.
    reason : str
        The reason for the last decision, stored so that a later owner can
        explain it too.
    """

    spec: TaskSpec
    state: State
    accepted_at: str
    attempt: int = 0
    worker: AttendantId = AttendantId(DaemonId(""))
    term: int = 0
    checkpoint: str = ""
    evictions: int = 0
    failures: int = 0
    wants_cancel: bool = False
    reason: str = ""


@dataclass(kw_only=True)
class StoredTask:
    """A task's row and the version on which the next write is conditional."""

    row: TaskRow
    version: int


def partition_prefix(partition: int) -> str:
    """Return the prefix of the keys of a partition's tasks."""
    return f"task/{partition:02d}/"


def checkpoint_name(task: TaskId, attempt: int) -> str:
    """Return the name of the object that holds an attempt's checkpoint."""
    return f"checkpoint/{task}/{attempt}"


def result_name(task: TaskId, attempt: int) -> str:
    """Return the name of the object that holds an attempt's exit code."""
    return f"result/{task}/{attempt}"


def task_key(spec: TaskSpec) -> str:
    """Return the key of the task's row."""
    return f"{partition_prefix(partition_of(spec.customer))}{spec.task}"
