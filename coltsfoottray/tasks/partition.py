"""An owned partition of the queue, in memory."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from datetime import timedelta

import trio

from coltsfoottray.tasks.rows import StoredTask
from coltsfoottray.types import AttendantId, CustomerId, Resources, TaskId, TaskState

__all__ = ["OwnedPartition"]


class OwnedPartition:
    """The rows of one partition that are not final, by id.

    Built from the table when the partition is taken, and from then on changed
    only together with the table. `epoch` fences every write.
    """

    def __init__(self, *, index: int, epoch: int) -> None:
        self.index = index
        self.epoch = epoch
        self.task_by_id: dict[TaskId, StoredTask] = {}
        self.busy: set[TaskId] = set()
        self.started_at_by_task: dict[TaskId, timedelta] = {}
        self.changed = trio.Event()

    def load(self, tasks: Iterable[StoredTask]) -> None:
        """Take rows as the table has them now."""
        for stored in tasks:
            self.put(stored)

    def put(self, stored: StoredTask) -> None:
        """Keep a row if it is newer than the one held, and not final."""
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
        """Return idle queued tasks: urgent first, then by worth, then by age."""
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
        """Return idle running tasks."""
        return [
            stored
            for task, stored in self.task_by_id.items()
            if stored.row.state is TaskState.RUNNING and task not in self.busy
        ]

    def in_use(self, customer: CustomerId) -> Resources:
        """Return what a customer's running tasks, and those being placed, use."""
        return Resources.total(
            [stored.row.spec.demand for stored in self._held_by(customer)]
        )

    def workers_of(self, customer: CustomerId) -> set[AttendantId]:
        """Return the workers a customer's tasks are bound to."""
        return {
            stored.row.worker
            for stored in self._held_by(customer)
            if stored.row.state is TaskState.RUNNING
        }

    def _held_by(self, customer: CustomerId) -> Sequence[StoredTask]:
        return [
            stored
            for task, stored in self.task_by_id.items()
            if stored.row.spec.customer == customer
            and (stored.row.state is TaskState.RUNNING or task in self.busy)
        ]
