"""Traces in JSON Lines, which are checked completely before anything starts."""

from __future__ import annotations

import enum
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec
from returns.result import Failure, Result, Success

from coltsfoottray.lists import ListName

__all__ = [
    "CancelEvent",
    "EditEvent",
    "Event",
    "FaultEvent",
    "FaultKind",
    "RequestEvent",
    "TaskEvent",
    "TraceError",
    "load_trace",
]


_EVENTS = ["request", "task", "cancel", "edit", "fault"]


class FaultKind(enum.Enum):
    """Faults that a trace can inject."""

    STORE_DOWN = "store-down"
    STORE_SLOW = "store-slow"
    STORE_ANSWER_LOST = "store-answer-lost"
    UPSTREAM_DRAIN = "upstream-drain"
    WORKER_LOST = "worker-lost"
    ENTRY_KILLED = "entry-killed"
    ATTENDANT_KILLED = "attendant-killed"


class _Event(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Base of all events; `at` is in seconds from the start of the trace."""

    at: float

    def __post_init__(self) -> None:
        if self.at < 0:
            raise ValueError(f"at: got {self.at}, expected 0 or more")


class RequestEvent(_Event, frozen=True, kw_only=True, tag="request", tag_field="event"):
    """A caller's request.

    Parameters
    ----------
    service_ms : float
        Time in milliseconds until the upstream responds.
    retry_of : str, optional
        Id of the request that this one retries with the same idempotency key.
    """

    customer: str
    kind: str
    id: str
    idempotent: bool = True
    worth: float = 1.0
    service_ms: float = 20.0
    retry_of: str | None = None


class TaskEvent(_Event, frozen=True, kw_only=True, tag="task", tag_field="event"):
    """A batch task.

    Parameters
    ----------
    real_memory_gb, real_runtime_s : float, optional
        Actual values, where they differ from the declared ones.
    outcome : str
        "fails" makes the task fail at its end.
    """

    customer: str
    kind: str
    id: str
    processors: float
    memory_gb: float
    runtime_s: float
    accelerators: int = 0
    real_memory_gb: float | None = None
    real_runtime_s: float | None = None
    outcome: str = "finishes"
    worth: float = 1.0


class CancelEvent(_Event, frozen=True, kw_only=True, tag="cancel", tag_field="event"):
    """The cancellation of a task."""

    id: str


class EditEvent(_Event, frozen=True, kw_only=True, tag="edit", tag_field="event"):
    """An operator's edit of one list."""

    list: ListName
    change: dict[str, Any]


class FaultEvent(_Event, frozen=True, kw_only=True, tag="fault", tag_field="event"):
    """A fault.

    Parameters
    ----------
    target : str
        Name of the daemon or worker.
    for_s : float
        Duration in seconds of a fault that ends by itself.
    """

    what: FaultKind
    target: str = ""
    for_s: float = 0.0


Event = RequestEvent | TaskEvent | CancelEvent | EditEvent | FaultEvent


@dataclass(frozen=True, kw_only=True)
class TraceError:
    """A line that was rejected, and why."""

    line: int
    message: str

    def __str__(self) -> str:
        return f"line {self.line}: {self.message}"


def load_trace(path: Path) -> Result[Sequence[Event], list[TraceError]]:
    """Return the events in `path` ordered by time, or the errors of all bad lines."""
    try:
        lines = path.read_bytes().splitlines()
    except OSError as error:
        return Failure([TraceError(line=0, message=str(error))])
    decoder = msgspec.json.Decoder(Event)
    event_by_line: dict[int, Event] = {}
    errors: list[TraceError] = []
    for number, line in enumerate(lines, start=1):
        if not line.strip():
            continue
        try:
            event_by_line[number] = decoder.decode(line)
        except msgspec.DecodeError as error:
            message = f"{error}{_hint(str(error))}"
            errors.append(TraceError(line=number, message=message))
    errors += _find_bad_references(event_by_line)
    if errors:
        return Failure(sorted(errors, key=lambda error: error.line))
    return Success(sorted(event_by_line.values(), key=lambda event: event.at))


def _hint(message: str) -> str:
    """Return the accepted values where msgspec's message does not list them."""
    if "$.event" in message:
        return f"; expected one of {_EVENTS}, and link is not built yet"
    if "$.what" in message:
        faults = [fault.value for fault in FaultKind]
        return f"; expected one of {faults}, others are not built yet"
    return ""


def _find_bad_references(event_by_line: dict[int, Event]) -> list[TraceError]:
    """Return an error for each event that names an undefined request or task."""
    events = event_by_line.values()
    requests = {event.id for event in events if isinstance(event, RequestEvent)}
    tasks = {event.id for event in events if isinstance(event, TaskEvent)}
    errors = []
    for number, event in event_by_line.items():
        if isinstance(event, RequestEvent) and event.retry_of is not None:
            if event.retry_of not in requests:
                message = f"retry_of: got {event.retry_of!r}, expected a request's id"
                errors.append(TraceError(line=number, message=message))
        elif isinstance(event, CancelEvent) and event.id not in tasks:
            message = f"id: got {event.id!r}, expected a task's id"
            errors.append(TraceError(line=number, message=message))
    return errors
