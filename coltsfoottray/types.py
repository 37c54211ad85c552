"""Shared types of ids, states and values."""

from __future__ import annotations

import enum
import ipaddress
from typing import NewType

import msgspec

__all__ = [
    "NO_LISTS",
    "Address",
    "AttendantId",
    "CustomerId",
    "DaemonId",
    "DataCentre",
    "EntryId",
    "Incarnation",
    "Kind",
    "ListVersion",
    "PlanId",
    "RequestId",
    "Resources",
    "Role",
    "TaskId",
    "TaskState",
]

CustomerId = NewType("CustomerId", str)
PlanId = NewType("PlanId", str)
Kind = NewType("Kind", str)
RequestId = NewType("RequestId", str)
TaskId = NewType("TaskId", str)
DaemonId = NewType("DaemonId", str)
EntryId = NewType("EntryId", DaemonId)
AttendantId = NewType("AttendantId", DaemonId)
DataCentre = NewType("DataCentre", str)
Incarnation = NewType("Incarnation", str)
ListVersion = NewType("ListVersion", int)

NO_LISTS = ListVersion(0)
"""Version of the lists before the first accepted edit."""


_MAX_PORT = 65_535


class Role(enum.Enum):
    """The role of a daemon: an entry, or the attendant of an upstream or a worker."""

    ENTRY = "entry"
    UPSTREAM = "upstream"
    WORKER = "worker"


class TaskState(enum.Enum):
    """The state of a batch task; only its row in the table is authoritative."""

    QUEUED = "queued"
    RUNNING = "running"
    FINISHED = "finished"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def is_final(self) -> bool:
        """Whether the state cannot change any more."""
        return self not in (TaskState.QUEUED, TaskState.RUNNING)


class Address(msgspec.Struct, frozen=True, order=True):
    """An IP address and a port.

    Examples
    --------
    >>> str(Address(host="127.0.0.1", port=80))
    '127.0.0.1:80'
    """

    host: str
    port: int

    def __post_init__(self) -> None:
        # What others write may be no address, which shows only as it is called.
        ipaddress.ip_address(self.host)
        if not 0 <= self.port <= _MAX_PORT:
            raise ValueError(f"port: got {self.port}, expected 0 to {_MAX_PORT}")

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


class Resources(msgspec.Struct, frozen=True, kw_only=True):
    """Processors (cores), memory (GB) and accelerators (whole devices)."""

    processors: float = 0.0
    memory_gb: float = 0.0
    accelerators: int = 0

    def __add__(self, other: Resources) -> Resources:
        return Resources(
            processors=self.processors + other.processors,
            memory_gb=self.memory_gb + other.memory_gb,
            accelerators=self.accelerators + other.accelerators,
        )

    def __sub__(self, other: Resources) -> Resources:
        return Resources(
            processors=self.processors - other.processors,
            memory_gb=self.memory_gb - other.memory_gb,
            accelerators=self.accelerators - other.accelerators,
        )

    def fits_in(self, capacity: Resources) -> bool:
        """Return whether each dimension is at most that of `capacity`."""
        return (
            self.processors <= capacity.processors + _ROUNDING_TOLERANCE
            and self.memory_gb <= capacity.memory_gb + _ROUNDING_TOLERANCE
            and self.accelerators <= capacity.accelerators
        )

    @staticmethod
    def total(parts: list[Resources]) -> Resources:
        """Return the sum of `parts`; zero for an empty list."""
        total = Resources()
        for part in parts:
            total = total + part
        return total


# Sums of fractions of a core have rounding errors, despite which a task that takes a
# whole VM must fit.
_ROUNDING_TOLERANCE = 1e-9
