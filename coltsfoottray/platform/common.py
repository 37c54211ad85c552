"""Abstract base classes for the platform's services, and their messages."""

from __future__ import annotations

import abc
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from datetime import timedelta
from typing import TypeVar

import msgspec
from returns.result import Result

from coltsfoottray.decoding import MalformedData, decode_json
from coltsfoottray.errors import ColtsfoottrayError
from coltsfoottray.logs import log_event
from coltsfoottray.types import Resources, TaskId

__all__ = [
    "ABSENT",
    "MAX_VALUE_BYTES",
    "Changes",
    "Check",
    "HistoryLost",
    "ObjectStore",
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
    "error_of_status",
    "list_readable",
]

T = TypeVar("T")

# The version in a condition that requires the row to be absent.
ABSENT = 0

MAX_VALUE_BYTES = 48_000
"""Largest value of a row that is written. The table's limit is 64 KiB in base64, which
takes four bytes for three."""


class Row(msgspec.Struct, frozen=True, kw_only=True):
    """A row; `version` increases with each write of the row and is never reused."""

    key: str
    value: msgspec.Raw
    version: int
    is_deleted: bool = False

    def decode(self, kind: type[T]) -> T:
        """Return the value decoded as `kind`.

        Raises
        ------
        MalformedData
            If it cannot be. Another version, or another writer, may have written it.
        """
        return decode_json(self.value, kind)

    def try_decode(self, kind: type[T]) -> T | None:
        """Return the value decoded as `kind`, or log that it is unreadable."""
        try:
            return self.decode(kind)
        except MalformedData as error:
            log_event(
                "table:row-unreadable",
                key=self.key,
                version=self.version,
                reason=str(error),
            )
            return None


def list_readable(rows: Iterable[Row], kind: type[T]) -> list[T]:
    """Return the values of the rows that can be read as `kind`; others are logged."""
    values = [row.try_decode(kind) for row in rows]
    return [value for value in values if value is not None]


class Check(msgspec.Struct, frozen=True, kw_only=True):
    """A condition: the row at `key` has `version`, or is absent if it is `ABSENT`."""

    key: str
    version: int


class Put(msgspec.Struct, frozen=True, kw_only=True):
    """A write, conditional on the row's `version`; a null value deletes the row."""

    key: str
    version: int
    value: msgspec.Raw = msgspec.Raw(b"null")

    @property
    def is_deletion(self) -> bool:
        """Whether the write deletes the row."""
        return bytes(self.value) == b"null"

    @staticmethod
    def of(key: str, version: int, value: object) -> Put:
        """Return a write of `value`, encoded as JSON."""
        return Put(
            key=key, version=version, value=msgspec.Raw(msgspec.json.encode(value))
        )


class Transaction(msgspec.Struct, frozen=True, kw_only=True):
    """Writes that take effect atomically, if every condition holds."""

    puts: list[Put]
    checks: list[Check] = msgspec.field(default_factory=list)


class TableConflict(msgspec.Struct, frozen=True, kw_only=True):
    """The result of a commit of which a condition failed; nothing was written."""

    rows: list[Row]


@dataclass(kw_only=True)
class TableError(ColtsfoottrayError):
    """A call of the table service has failed.

    Parameters
    ----------
    detail : str
        Description of the failure.
    is_unwritten : bool
        Whether the write certainly did not and will not take effect. If false, the
        write may have taken effect and its answer may have been lost.
    """

    detail: str
    is_unwritten: bool

    def __str__(self) -> str:
        return f"table service failed: {self.detail}"


class TableUnavailable(TableError):
    """The table service cannot execute calls now; the same call may succeed later."""

    def __str__(self) -> str:
        return f"table service unavailable: {self.detail}"


class TableRefused(TableError):
    """The table service refuses the call for itself, however often it is made."""

    def __str__(self) -> str:
        return f"table service refused the call: {self.detail}"


# Statuses of the 400s that say nothing about the call itself: too slow, too many calls.
_BUSY = (408, 429)


def error_of_status(status: int) -> TableError:
    """Return the error that an error status of the table stands for.

    The table answers with one only before it writes anything.
    """
    detail = f"status {status}"
    if 400 <= status < 500 and status not in _BUSY:
        return TableRefused(detail=detail, is_unwritten=True)
    return TableUnavailable(detail=detail, is_unwritten=True)


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
            If the table did not answer. The caller reads the rows to determine
            whether the write took effect.
        TableRefused
            If the table refuses the transaction for itself.
        """

    @abc.abstractmethod
    async def get(self, key: str) -> Row | None:
        """Return the row or None, raising `TableError` without an answer."""

    @abc.abstractmethod
    async def scan(self, prefix: str) -> Sequence[Row]:
        """Return the rows whose key starts with `prefix`, in key order."""


class Snapshot(msgspec.Struct, frozen=True, kw_only=True):
    """Rows at one point in time; pass `version` to `changes` for what follows."""

    rows: list[Row]
    version: int


class Page(msgspec.Struct, frozen=True, kw_only=True):
    """Some of the rows under a prefix, as of a single moment.

    Parameters
    ----------
    next_first : str, optional
        Name from which to continue, None after the last page.
    size_bytes : int
        Size of the answer.
    """

    rows: list[Row]
    version: int
    next_first: str | None = None
    size_bytes: int = 0


class Changes(msgspec.Struct, frozen=True, kw_only=True):
    """Changed rows, in order; pass `version` to `changes` for what follows."""

    rows: list[Row]
    version: int


class HistoryLost(ColtsfoottrayError):
    """The changes are no longer kept, or too many; the rows must be read again."""


class WatchedTable(TableService):
    """A table service that reports changes.

    Keys are `group/shard/name`. The rows of a transaction must have the same shard, but
    may be in different groups. A group is the unit that can be watched.
    """

    @abc.abstractmethod
    async def page(self, prefix: str, *, first: str, limit: int) -> Page:
        """Return up to `limit` rows under `group/shard/`, from the name `first` on.

        Raises
        ------
        TableUnavailable
            If the table did not answer.
        """

    @abc.abstractmethod
    async def changes(self, group: str, *, after: int, wait: timedelta) -> Changes:
        """Return the changes of `group` since version `after`.

        If there are none, wait up to `wait` for one; the result may then be empty.

        Raises
        ------
        TableUnavailable
            If the table did not answer.
        HistoryLost
            If the changes since `after` are no longer kept.
        """


class ObjectStore(abc.ABC):
    """The platform's object store: whole objects by name, last write wins.

    Each method raises `CommunicationError` if the store does not answer.
    """

    @abc.abstractmethod
    async def write(self, name: str, data: bytes) -> None:
        """Store `data` as `name`."""

    @abc.abstractmethod
    async def read(self, name: str) -> bytes | None:
        """Return the object, None if there is none."""

    @abc.abstractmethod
    async def has(self, name: str) -> bool:
        """Return whether the object exists."""


class RunningTask(msgspec.Struct, frozen=True, kw_only=True):
    """A worker's report on one attempt of a task."""

    task: TaskId
    attempt: int
    demand: Resources
    used: Resources
    done_s: float = 0.0
    slowdown: float = 1.0
    exit_code: int | None = None
    is_suspended: bool = False


class WorkerDescription(msgspec.Struct, frozen=True, kw_only=True):
    """A worker's total capacity, and an id of the current boot of its VM."""

    capacity: Resources
    boot: str


class TaskStart(msgspec.Struct, frozen=True, kw_only=True):
    """An attempt to start.

    Parameters
    ----------
    checkpoint : str
        Object to resume from; empty to start from the beginning.
    holder : str
        Holder of the worker's lease that requests the start.
    """

    task: TaskId
    attempt: int
    demand: Resources
    runtime_s: float
    checkpoint: str
    holder: str
    payload: dict[str, object] = msgspec.field(default_factory=dict)


class WorkerControl(abc.ABC):
    """The platform's control interface of one worker.

    Tasks run only while the lease is renewed. When it lapses, the worker itself
    suspends every task, even if no process of coltsfoottray is left to request it.
    """

    @abc.abstractmethod
    async def describe(self) -> WorkerDescription:
        """Return the worker's capacity and boot id."""

    @abc.abstractmethod
    async def start(self, start: TaskStart) -> None:
        """Start an attempt; has no effect if the worker already knows the attempt.

        Raises
        ------
        CommunicationError
            Also if the worker refuses because `start.holder` is not the holder that
            last renewed the lease.
        """

    @abc.abstractmethod
    async def stop(self, *, task: TaskId, attempt: int) -> None:
        """Stop an attempt permanently; it can never start on this worker again."""

    @abc.abstractmethod
    async def checkpoint(self, *, task: TaskId, attempt: int, name: str) -> None:
        """Write the attempt's state to the object store as `name`."""

    @abc.abstractmethod
    async def renew(self, *, holder: str, duration: timedelta) -> None:
        """Let tasks run for `duration`, counted from when the call was sent."""

    @abc.abstractmethod
    async def tasks(self) -> Sequence[RunningTask]:
        """Return every attempt that runs, or has ended and was not forgotten."""

    @abc.abstractmethod
    async def forget(self, *, task: TaskId, attempt: int) -> None:
        """Remove an ended attempt from `tasks`."""
