"""Abstract base classes of the platform's services and their messages."""

from __future__ import annotations

import abc
from collections.abc import Sequence
from dataclasses import dataclass
from datetime import timedelta
from typing import TypeVar

import msgspec
from returns.result import Result

from coltsfoottray.errors import ColtsfoottrayError
from coltsfoottray.types import Resources, TaskId

__all__ = [
    "ABSENT",
    "Changes",
    "Check",
    "HistoryLost",
    "ObjectStore",
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

T = TypeVar("T")

# The version a condition names for a row that must not exist.
ABSENT = 0


class Row(msgspec.Struct, frozen=True, kw_only=True):
    """A row; `version` rises with each of its writes and is never reused."""

    key: str
    value: msgspec.Raw
    version: int
    is_deleted: bool = False

    def decode(self, kind: type[T]) -> T:
        """Return the value as a `kind`."""
        return msgspec.json.decode(self.value, type=kind)


class Check(msgspec.Struct, frozen=True, kw_only=True):
    """A condition: `key` is at `version`, or absent where that is `ABSENT`."""

    key: str
    version: int


class Put(msgspec.Struct, frozen=True, kw_only=True):
    """A write on the condition of its `version`; a null deletes the row."""

    key: str
    version: int
    value: msgspec.Raw = msgspec.Raw(b"null")

    @property
    def is_deletion(self) -> bool:
        """Whether the row is to go."""
        return bytes(self.value) == b"null"

    @staticmethod
    def of(key: str, version: int, value: object) -> Put:
        """Return a write of `value` in JSON."""
        return Put(
            key=key, version=version, value=msgspec.Raw(msgspec.json.encode(value))
        )


class Transaction(msgspec.Struct, frozen=True, kw_only=True):
    """Writes that take effect together, if every condition holds, or not at all."""

    puts: list[Put]
    checks: list[Check] = msgspec.field(default_factory=list)


class TableConflict(msgspec.Struct, frozen=True, kw_only=True):
    """A condition did not hold; nothing was written."""

    rows: list[Row]


@dataclass(kw_only=True)
class TableUnavailable(ColtsfoottrayError):
    """The table gave no answer.

    Parameters
    ----------
    detail : str
        What went wrong.
    is_unwritten : bool
        Whether the write certainly did not and will not take effect. Where it
        is false, the write may have taken effect and its answer been lost.
    """

    detail: str
    is_unwritten: bool

    def __str__(self) -> str:
        return f"table service unavailable: {self.detail}"


class TableService(abc.ABC):
    """The platform's transactional table."""

    @abc.abstractmethod
    async def commit(
        self, transaction: Transaction
    ) -> Result[dict[str, int], TableConflict]:
        """Apply `transaction`; return the new version by key.

        Raises
        ------
        TableUnavailable
            If no answer came. The caller reads back what it wrote.
        """

    @abc.abstractmethod
    async def get(self, key: str) -> Row | None:
        """Return the row, raising `TableUnavailable` if no answer came."""

    @abc.abstractmethod
    async def scan(self, prefix: str) -> Sequence[Row]:
        """Return the rows whose key begins with `prefix`, in key order."""


class Snapshot(msgspec.Struct, frozen=True, kw_only=True):
    """Rows as of one moment; changes after it follow from `version` on."""

    rows: list[Row]
    version: int


class Changes(msgspec.Struct, frozen=True, kw_only=True):
    """What changed, in order; the next changes follow from `version` on."""

    rows: list[Row]
    version: int


class HistoryLost(ColtsfoottrayError):
    """The changes asked for are no longer kept; read the rows again."""


class WatchedTable(TableService):
    """A table service that tells what changes.

    Keys are `group/shard/name`. A transaction keeps to one shard of any groups;
    a group is what can be watched as a whole.
    """

    @abc.abstractmethod
    async def snapshot(self, prefix: str) -> Snapshot:
        """Return the rows under `group/shard/`, raising `TableUnavailable`."""

    @abc.abstractmethod
    async def changes(self, group: str, *, after: int, wait: timedelta) -> Changes:
        """Return the changes of `group` since `after`, none after `wait`.

        Raises
        ------
        TableUnavailable
            If no answer came.
        HistoryLost
            If `after` is too long ago.
        """


class ObjectStore(abc.ABC):
    """The platform's object store: whole objects by name, last write wins.

    Each method raises `CommunicationError` if no answer came.
    """

    @abc.abstractmethod
    async def write(self, name: str, data: bytes) -> None:
        """Store `data`."""

    @abc.abstractmethod
    async def read(self, name: str) -> bytes | None:
        """Return the object or None."""

    @abc.abstractmethod
    async def has(self, name: str) -> bool:
        """Return whether there is such an object."""


class RunningTask(msgspec.Struct, frozen=True, kw_only=True):
    """What a worker says of one attempt of a task."""

    task: TaskId
    attempt: int
    demand: Resources
    used: Resources
    done_s: float = 0.0
    slowdown: float = 1.0
    exit_code: int | None = None
    is_suspended: bool = False


class WorkerDescription(msgspec.Struct, frozen=True, kw_only=True):
    """What a worker has in all, and an id of this life of its VM."""

    capacity: Resources
    boot: str


class TaskStart(msgspec.Struct, frozen=True, kw_only=True):
    """An attempt to start.

    Parameters
    ----------
    checkpoint : str
        The object to resume from; empty to start from the beginning.
    holder : str
        The holder of the worker's lease on whose word it starts.
    """

    task: TaskId
    attempt: int
    demand: Resources
    runtime_s: float
    checkpoint: str
    holder: str
    payload: dict[str, object] = msgspec.field(default_factory=dict)


class WorkerControl(abc.ABC):
    """The platform's hold on one worker.

    Tasks run only while the lease is renewed: at its lapse the worker itself
    suspends every task, also when no process of ours is left to ask for it.
    """

    @abc.abstractmethod
    async def describe(self) -> WorkerDescription:
        """Return what the worker is."""

    @abc.abstractmethod
    async def start(self, start: TaskStart) -> None:
        """Start one attempt; one that the worker has already seen is left alone.

        Raises
        ------
        CommunicationError
            Also where the worker refuses because `start.holder` is not the one
            that last renewed the lease.
        """

    @abc.abstractmethod
    async def stop(self, *, task: TaskId, attempt: int) -> None:
        """End an attempt for good; it can never start on this worker again."""

    @abc.abstractmethod
    async def checkpoint(self, *, task: TaskId, attempt: int, name: str) -> None:
        """Write the attempt's state to the object store as `name`."""

    @abc.abstractmethod
    async def renew(self, *, holder: str, duration: timedelta) -> None:
        """Let tasks run for `duration` from the moment the call was sent."""

    @abc.abstractmethod
    async def tasks(self) -> Sequence[RunningTask]:
        """Return every attempt that runs or has ended and was not forgotten."""

    @abc.abstractmethod
    async def forget(self, *, task: TaskId, attempt: int) -> None:
        """Drop an ended attempt from `tasks`."""
