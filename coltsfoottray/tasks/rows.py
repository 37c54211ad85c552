"""A batch task as the table holds it."""

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
    """What a customer asked for.

    Parameters
    ----------
    task : TaskId
        The customer's name, a slash, and the customer's own id of the task.
    runtime_s : float
        The declared run time, in seconds; often far from the real one.
    payload : dict
        Handed to the worker as it came.
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
    """Where a task stands.

    Parameters
    ----------
    attempt : int
        Fences: a worker's message about any other attempt counts for nothing.
    worker, term
        Where the attempt is bound, and in which term of that worker's lease.
    checkpoint : str
        The object from which the next attempt resumes.
    wants_cancel : bool
        Set by the customer's cancellation while the task runs; the owner then
        stops it.
    reason : str
        The last decision, so that it is explained also by a later owner.
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
    """A row and the version that the next write is conditional on."""

    row: TaskRow
    version: int


def partition_prefix(partition: int) -> str:
    """Return what the keys of a partition's tasks begin with."""
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
