"""Calls to a worker in the platform's wire format, and the worker's heartbeats."""

from __future__ import annotations

from collections.abc import Sequence
from datetime import timedelta
from typing import Annotated, Literal, TypeVar

import msgspec
from returns.result import Failure, Result, Success

from coltsfoottray.agent.worker import (
    ClockReading,
    EndKind,
    Heartbeat,
    PollReply,
    Refusal,
    RunEnd,
    RunStatus,
    StartRefused,
    WorkerLink,
    WorkerReplaced,
)
from coltsfoottray.clock import Clock, as_duration
from coltsfoottray.decoding import MalformedData, decode_json
from coltsfoottray.errors import CommunicationError, ExchangeStep
from coltsfoottray.http import HttpRequest, HttpResponse, HttpTransport
from coltsfoottray.jobs.limits import limited
from coltsfoottray.jobs.model import JobId, RunRef, TaskRef
from coltsfoottray.types import Address, Resources

__all__ = ["InstanceLink", "parse_heartbeat"]

# A worker answers an order within a few milliseconds. One that has not answered by
# this timeout may still carry the order out; sending it again is harmless.
ORDER_TIMEOUT = timedelta(milliseconds=700)
_MB_PER_GB = 1000.0
_MILLICORES_PER_CORE = 1000.0
_REPLACED = 421
_UNHEALTHY = (429, 503)
# Largest answers in bytes: to an order, and with the lists of runs.
_MAX_ORDER_ANSWER = 64 * 1024
_MAX_LISTS_ANSWER = 4 * 1024 * 1024
# Many times as many rows as runs that a worker has room for, and ends in a reply.
_MAX_ROWS = 50_000
_MAX_ENDS_PER_REPLY = 500
_FULL_PERCENT = 100.0
# A latency of eleven days in ms, a million processors in thousandths of one.
_MAX_FIGURE = 1e9
_MAX_COUNT = 10**15
_MAX_INDEX_DIGITS = 9
# Larger numbers are not exact, and may not fit into a float.
_MAX_NUMBER = 1e15
# The workers' checkpoints have 16 characters. A longer one would make reports and the
# records of jobs too large; without it the next run starts from an earlier one.
_MAX_CHECKPOINT_LENGTH = 1000
_REFUSAL_BY_REASON = {
    "fence": Refusal.FENCED,
    "old": Refusal.OLD,
    "late": Refusal.LATE,
    "room": Refusal.NO_ROOM,
    "ticket": Refusal.NO_TICKET,
}
T = TypeVar("T")
_END_KIND_BY_VALUE = {kind.value: kind for kind in EndKind}


# A worker that works is far within these ranges. What a number beyond them says cannot
# be used, and would not fit into a duration or a row.
_Count = Annotated[int, msgspec.Meta(ge=0, le=1 << 53)]
_Amount = Annotated[float, msgspec.Meta(ge=0, le=1e12)]
_Text = Annotated[str, msgspec.Meta(max_length=200)]


class _Capacity(msgspec.Struct):
    cpu: _Amount  # millicores
    memoryLimitMb: _Amount  # noqa: N815  total memory, not a limit per task
    gpu: Annotated[int, msgspec.Meta(ge=0, le=1_000_000)] = 0


class _HeartbeatBody(msgspec.Struct):
    service: _Text
    address: _Text
    zone: _Text
    version: _Text
    slots: _Count
    state: Literal["ready", "draining"]
    coldRemainingMs: _Amount  # noqa: N815
    capacity: _Capacity
    labels: msgspec.Raw
    clockMs: _Count  # noqa: N815
    sequence: _Count
    born: Annotated[int, msgspec.Meta(ge=1, le=1 << 53)]
    remainingMs: _Amount = 0.0  # noqa: N815


# Decoded only if they are no more bytes than so many labels in escapes.
_Labels = Annotated[list[_Text], msgspec.Meta(max_length=100)]
_MAX_LABELS_BYTES = 200_000


class _RunLists(msgspec.Struct):
    clockMs: _Count  # noqa: N815
    born: _Count = 0
    running: list[list[object]] = msgspec.field(default_factory=list)
    finished: list[list[object]] = msgspec.field(default_factory=list)


class _Refused(msgspec.Struct):
    reason: str = ""


class InstanceLink(WorkerLink):
    """Calls a worker over HTTP."""

    def __init__(self, *, transport: HttpTransport, clock: Clock) -> None:
        self._transport = transport
        self._clock = clock

    async def poll(  # noqa: D102
        self,
        *,
        heartbeat: Heartbeat,
        fence: int,
        lease_end_ms: int,
        acknowledged: int,
        wait: timedelta,
    ) -> PollReply:
        body: dict[str, object] = {
            "fencingToken": fence,
            "ackCursor": acknowledged,
            "waitMs": int(wait.total_seconds() * 1000),
        }
        if lease_end_ms:
            body["untilMs"] = lease_end_ms
        response = await self._post(
            heartbeat,
            "/v1/hold",
            body,
            ORDER_TIMEOUT + wait,
            max_answer_bytes=_MAX_LISTS_ANSWER,
        )
        if response.status != 200:
            raise _failed(heartbeat, f"status {response.status}")
        _check_rows(heartbeat, response.body)
        lists = _decode(heartbeat, response, _RunLists)
        return PollReply(
            clock=ClockReading(
                reading_ms=lists.clockMs, received=self._clock.elapsed()
            ),
            running=[_as_status(heartbeat, row) for row in lists.running],
            ends=[_as_end(heartbeat, row) for row in lists.finished],
            is_complete=len(lists.finished) < _MAX_ENDS_PER_REPLY,
            born_ms=lists.born,
        )

    async def start(  # noqa: D102
        self,
        *,
        heartbeat: Heartbeat,
        ref: RunRef,
        payload: str,
        checkpoint: str,
        ticket: str,
        fence: int,
        lease_end_ms: int,
    ) -> None:
        body: dict[str, object] = {
            "task": str(ref.task),
            "run": ref.run,
            "spec": payload,
            "untilMs": lease_end_ms,
            "fencingToken": fence,
        }
        if checkpoint:
            body["checkpoint"] = checkpoint
        if ticket:
            body["ticket"] = ticket
        response = await self._post(heartbeat, "/v1/run-start", body, ORDER_TIMEOUT)
        if response.status == 200:
            return
        if response.status in _UNHEALTHY:
            raise StartRefused(reason=Refusal.UNHEALTHY)
        if response.status == 400:
            raise StartRefused(reason=Refusal.INVALID)
        if response.status == 409:
            reason = _decode(heartbeat, response, _Refused).reason
            if reason in _REFUSAL_BY_REASON:
                raise StartRefused(reason=_REFUSAL_BY_REASON[reason])
        raise _failed(heartbeat, f"status {response.status}: {response.body[:200]!r}")

    async def stop(  # noqa: D102
        self, *, heartbeat: Heartbeat, ref: RunRef, fence: int
    ) -> None:
        body: dict[str, object] = {
            "task": str(ref.task),
            "run": ref.run,
            "fencingToken": fence,
        }
        response = await self._post(heartbeat, "/v1/run-stop", body, ORDER_TIMEOUT)
        if response.status != 200:
            raise _failed(
                heartbeat, f"status {response.status}: {response.body[:200]!r}"
            )

    async def pace(  # noqa: D102
        self, *, heartbeat: Heartbeat, ref: RunRef, percent: int, fence: int
    ) -> None:
        body: dict[str, object] = {
            "task": str(ref.task),
            "run": ref.run,
            "percent": percent,
            "fencingToken": fence,
        }
        response = await self._post(heartbeat, "/v1/pace", body, ORDER_TIMEOUT)
        if response.status != 200:
            raise _failed(
                heartbeat, f"status {response.status}: {response.body[:200]!r}"
            )

    async def _post(
        self,
        heartbeat: Heartbeat,
        path: str,
        body: object,
        timeout: timedelta,
        *,
        max_answer_bytes: int = _MAX_ORDER_ANSWER,
    ) -> HttpResponse:
        request = HttpRequest(
            method="POST",
            target=path,
            header_by_name={
                "content-type": "application/json",
                "expect-instance": heartbeat.life.split("/")[0],
            },
            body=msgspec.json.encode(body),
            max_answer_bytes=max_answer_bytes,
        )
        response = await self._transport.send(
            heartbeat.address, request, timeout=timeout
        )
        if response.status == _REPLACED:
            raise WorkerReplaced(life=heartbeat.life, takes_orders=False)
        _check_incarnation(heartbeat, response)
        return response


def parse_heartbeat(instance: str, body: bytes) -> Result[Heartbeat, str]:
    """Return a worker's heartbeat, or the reason why it is invalid.

    A worker may restart under the same id, so its incarnation is identified by the id
    and the start time.
    """
    try:
        heartbeat = decode_json(body, _HeartbeatBody)
        labels = _decode_labels(heartbeat.labels)
    except MalformedData as error:
        return Failure(str(error))
    address = _parse_address(heartbeat.address)
    if address is None:
        return Failure(f"address: got {heartbeat.address!r}, expected IP:port")
    return Success(
        Heartbeat(
            life=f"{instance}/{heartbeat.born}",
            born_ms=heartbeat.born,
            service=heartbeat.service,
            address=address,
            data_centre=heartbeat.zone,
            capacity=_as_resources(heartbeat.capacity),
            labels=labels,
            # The first label is the worker's kind, the second its rack.
            rack=labels[1] if len(labels) > 1 else "",
            is_draining=heartbeat.state == "draining",
            remaining=as_duration(heartbeat.remainingMs),
            sequence=heartbeat.sequence,
        )
    )


def _decode_labels(raw: msgspec.Raw) -> list[str]:
    size = len(bytes(raw))
    if size > _MAX_LABELS_BYTES:
        raise MalformedData(
            detail=f"labels: got {size} bytes, expected at most {_MAX_LABELS_BYTES}"
        )
    try:
        return decode_json(raw, _Labels)
    except MalformedData as error:
        raise MalformedData(detail=f"labels: {error}") from error


def _parse_address(text: str) -> Address | None:
    """Return the address that `text` states, None if nobody can be called there."""
    host, _, port = text.rpartition(":")
    if not (port.isascii() and port.isdecimal()) or not int(port):
        return None
    try:
        return Address(host=host, port=int(port))
    except ValueError:
        return None


class _StartTime(msgspec.Struct):
    born: _Count = 0


def _check_incarnation(heartbeat: Heartbeat, response: HttpResponse) -> None:
    """Raise `WorkerReplaced` if the answer is from a new incarnation with the same id.

    Its lists would be mistaken for those of the previous incarnation: the numbering of
    ends starts again, and missing runs look like runs that have not started yet. The
    start time, if the answer contains it, distinguishes the two.
    """
    try:
        born = decode_json(response.body or b"{}", _StartTime).born
    except MalformedData as error:
        raise _failed(heartbeat, str(error)) from error
    instance, _, known = heartbeat.life.rpartition("/")
    if born and str(born) != known:
        raise WorkerReplaced(
            life=heartbeat.life, takes_orders=True, answered_by=f"{instance}/{born}"
        )


def _as_resources(capacity: _Capacity) -> Resources:
    return Resources(
        processors=capacity.cpu / _MILLICORES_PER_CORE,
        memory_gb=capacity.memoryLimitMb / _MB_PER_GB,
        accelerators=capacity.gpu,
    )


def _check_rows(heartbeat: Heartbeat, body: bytes) -> None:
    """Count what takes many times its bytes once it is decoded."""
    rows = body.count(b"[") + body.count(b"{")
    if rows > _MAX_ROWS:
        raise _failed(heartbeat, f"got {rows} rows, expected at most {_MAX_ROWS}")


def _as_status(heartbeat: Heartbeat, row: Sequence[object]) -> RunStatus:
    try:
        task, run, checkpoint, percent, *rest = row
        return RunStatus(
            ref=_as_ref(str(task), run),
            checkpoint=_as_checkpoint(checkpoint),
            percent=limited(_as_float(percent), 0.0, _FULL_PERCENT),
            figure=limited(_as_float(rest[0]), 0.0, _MAX_FIGURE) if rest else 0.0,
        )
    except (ValueError, TypeError) as error:
        raise _failed(heartbeat, f"row {row!r}: {error}") from error


def _as_end(heartbeat: Heartbeat, row: Sequence[object]) -> RunEnd:
    try:
        number, task, run, kind, checkpoint, *_ = row
        return RunEnd(
            number=_as_count(number),
            ref=_as_ref(str(task), run),
            kind=_END_KIND_BY_VALUE[str(kind)],
            checkpoint=_as_checkpoint(checkpoint),
        )
    except (ValueError, TypeError, KeyError) as error:
        raise _failed(heartbeat, f"row {row!r}: {error}") from error


def _as_checkpoint(value: object) -> str:
    """Return a checkpoint, empty for none or one that is too long."""
    text = str(value)
    return text if len(text) <= _MAX_CHECKPOINT_LENGTH else ""


def _as_ref(task: str, run: object) -> RunRef:
    job, *numbers = task.split(".")
    occurrence, step, index = (_as_index(number) for number in numbers)
    ref = TaskRef(job=JobId(job), occurrence=occurrence, step=step, index=index)
    return RunRef(task=ref, run=_as_count(run))


def _as_index(text: str) -> int:
    if not (text.isascii() and text.isdecimal()) or len(text) > _MAX_INDEX_DIGITS:
        raise ValueError(f"got {text!r}, expected a number")
    return int(text)


def _as_count(value: object) -> int:
    number = _as_float(value)
    if not (0 <= number <= _MAX_COUNT and number.is_integer()):
        raise ValueError(f"got {value!r}, expected a count")
    return int(number)


def _as_float(value: object) -> float:
    if isinstance(value, int | float) and abs(value) < _MAX_NUMBER:
        return float(value)
    raise TypeError(f"got {value!r}, expected a number")


def _decode(heartbeat: Heartbeat, response: HttpResponse, kind: type[T]) -> T:
    try:
        return decode_json(response.body, kind)
    except MalformedData as error:
        raise _failed(heartbeat, str(error)) from error


def _failed(heartbeat: Heartbeat, detail: str) -> CommunicationError:
    return CommunicationError(
        step=ExchangeStep.DECODE,
        peer=f"worker {heartbeat.life} at {heartbeat.address}",
        detail=detail,
    )
