"""The in-memory state of an owned partition of the queue."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from datetime import timedelta

import trio

from coltsfoottray.tasks.rows import StoredTask
from coltsfoottray.types import AttendantId, CustomerId, Resources, TaskId, TaskState

__all__ = ["OwnedPartition"]


class OwnedPartition:
    """The rows of one partition that are not in a final state, by task id.

    Loaded from the table when the partition is acquired, and afterwards changed
    only together with the table. `epoch` fences every write, and `busy` holds the
    tasks that are being placed or supervised.
    """

    def __init__(self, *, index: int, epoch: int) -> None:
        self.index = index
        self.epoch = epoch
        self.task_by_id: dict[TaskId, StoredTask] = {}
        self.busy: set[TaskId] = set()
        self.started_at_by_task: dict[TaskId, timedelta] = {}
        self.changed = trio.Event()

    def load(self, tasks: Iterable[StoredTask]) -> None:
        """Store rows just read from the table."""
        for stored in tasks:
            self.put(stored)

    def put(self, stored: StoredTask) -> None:
        """Store a row unless a newer one is held; a final row removes the task."""
        task = stored.row.spec.task
        held = self.task_by_id.get(task)
        if held is not None and held.version > stored.version:
            return
        if stored.row.state.is_final:
            self.task_by_id.pop(task, None)
            self.started_at_by_task.pop(task, None)
        else:
            self.task_by_id[task] = stored

    def queued(self) -> list[StoredTask]:
        """Return queued tasks not busy: urgent first, then by worth, then by age."""
        return sorted(
            (
                stored
                for task, stored in self.task_by_id.items()
                if stored.row.state is TaskState.QUEUED and task not in self.busy
            ),
            key=lambda stored: (
                not stored.row.spec.is_urgent,
                -stored.row.spec.worth,
                stored.row.accepted_at,
                stored.row.spec.task,
            ),
        )

    def running(self) -> list[StoredTask]:
        """Return running tasks that are not busy."""
        return [
            stored
            for task, stored in self.task_by_id.items()
            if stored.row.state is TaskState.RUNNING and task not in self.busy
        ]

    def in_use(self, customer: CustomerId) -> Resources:
        """Return the resources that a customer's running and busy tasks use."""
        return Resources.total(
            [stored.row.spec.demand for stored in self._tasks_using_resources(customer)]
        )

    def workers_of(self, customer: CustomerId) -> set[AttendantId]:
        """Return the workers to which a customer's running tasks are bound."""
        return {
            stored.row.worker
            for stored in self._tasks_using_resources(customer)
            if stored.row.state is TaskState.RUNNING
        }

    def _tasks_using_resources(self, customer: CustomerId) -> Sequence[StoredTask]:
        return [
            stored
            for task, stored in self.task_by_id.items()
            if stored.row.spec.customer == customer
            and (stored.row.state is TaskState.RUNNING or task in self.busy)
        ]
