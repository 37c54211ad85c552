"""Reads and writes of task rows."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from msgspec.structs import replace
from returns.result import Failure, Result, Success

from coltsfoottray.clock import Clock
from coltsfoottray.leases import partition_key
from coltsfoottray.leases.partitions import partition_of
from coltsfoottray.platform import Check, Put, Row, TableService, Transaction
from coltsfoottray.platform.common import ABSENT
from coltsfoottray.platform.retry import commit_with_retry
from coltsfoottray.tasks.rows import (
    StoredTask,
    TaskRow,
    TaskSpec,
    partition_prefix,
    task_key,
)
from coltsfoottray.types import CustomerId, TaskId, TaskState

__all__ = ["AcceptConflict", "Fenced", "TaskStore"]


@dataclass(frozen=True, kw_only=True)
class AcceptConflict:
    """The task's id was accepted before with a different spec."""

    earlier: TaskSpec


@dataclass(frozen=True, kw_only=True)
class Fenced:
    """The write was refused: the row or the partition's epoch has changed."""

    keys: list[str]


class TaskStore:
    """Reads and writes the task rows in the table."""

    def __init__(self, *, table: TableService, clock: Clock) -> None:
        self._table = table
        self._clock = clock

    async def accept(self, spec: TaskSpec) -> Result[TaskRow, AcceptConflict]:
        """Write a new task; sending the same spec again changes nothing.

        Raises
        ------
        TableError
            If the table does not answer; with `is_unwritten` the task was not
            accepted.
        """
        row = TaskRow(
            spec=spec,
            state=TaskState.QUEUED,
            accepted_at=self._clock.now().isoformat(),
        )
        put = Put.of(task_key(spec), ABSENT, row)
        outcome = await self._table.commit(Transaction(puts=[put]))
        if isinstance(outcome, Success):
            return Success(row)
        found = await self._table.get(put.key)
        earlier = row if found is None else found.decode(TaskRow)
        if earlier.spec == spec:
            return Success(earlier)
        return Failure(AcceptConflict(earlier=earlier.spec))

    async def find(self, customer: CustomerId, task: TaskId) -> StoredTask | None:
        """Return the task's row, None if there is none."""
        key = f"{partition_prefix(partition_of(customer))}{task}"
        row = await self._table.get(key)
        return None if row is None else _as_stored(row)

    async def cancel(self, stored: StoredTask) -> bool:
        """Cancel a queued task, or ask the owner to stop a running one.

        Any entry may do this. The owner's next write then fails because the
        version has changed, and the owner reads the row again.

        Returns
        -------
        bool
            False if the row has changed in the meantime; read it and try again.
        """
        if stored.row.state is TaskState.QUEUED:
            row = replace(stored.row, state=TaskState.CANCELLED, reason="cancelled")
        else:
            row = replace(stored.row, wants_cancel=True)
        put = Put.of(task_key(row.spec), stored.version, row)
        transaction = Transaction(puts=[put])
        outcome = await commit_with_retry(self._table, transaction, clock=self._clock)
        return isinstance(outcome, Success)

    async def load(self, partition: int) -> Sequence[StoredTask]:
        """Return every task of `partition`."""
        rows = await self._table.scan(partition_prefix(partition))
        return [_as_stored(row) for row in rows]

    async def update(
        self, stored: StoredTask, row: TaskRow, *, epoch: int
    ) -> Result[StoredTask, Fenced]:
        """Replace `stored` with `row`, as the owner of its partition at `epoch`."""
        key = task_key(row.spec)
        fence = Check(key=partition_key(partition_of(row.spec.customer)), version=epoch)
        transaction = Transaction(
            puts=[Put.of(key, stored.version, row)], checks=[fence]
        )
        outcome = await commit_with_retry(self._table, transaction, clock=self._clock)
        if isinstance(outcome, Failure):
            conflict = outcome.failure()
            return Failure(Fenced(keys=[row.key for row in conflict.rows]))
        return Success(StoredTask(row=row, version=outcome.unwrap()[key]))


def _as_stored(row: Row) -> StoredTask:
    return StoredTask(row=row.decode(TaskRow), version=row.version)
