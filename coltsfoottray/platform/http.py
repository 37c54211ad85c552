"""HTTP clients for the platform's services."""

from __future__ import annotations

from collections.abc import Sequence
from datetime import timedelta
from urllib.parse import quote

import msgspec
from returns.result import Failure, Result, Success

from coltsfoottray.errors import CommunicationError, ExchangeStep
from coltsfoottray.http import HttpRequest, HttpResponse, HttpTransport
from coltsfoottray.platform.common import (
    ObjectStore,
    Row,
    RunningTask,
    TableConflict,
    TableService,
    TableUnavailable,
    TaskStart,
    Transaction,
    WorkerControl,
    WorkerDescription,
    error_of_status,
)
from coltsfoottray.types import Address, TaskId

__all__ = ["HttpObjectStore", "HttpTable", "HttpWorkerControl"]

TABLE_TIMEOUT = timedelta(seconds=2)
_CONTROL_TIMEOUT = timedelta(seconds=2)
# The worker answers once it has written its state to the object store.
_CHECKPOINT_TIMEOUT = timedelta(seconds=30)
_CONFLICT = 409


class HttpTable(TableService):
    """The table service over HTTP."""

    def __init__(self, *, address: Address, client: HttpTransport) -> None:
        self._address = address
        self._client = client

    async def commit(  # noqa: D102
        self, transaction: Transaction
    ) -> Result[dict[str, int], TableConflict]:
        response = await self._send(
            HttpRequest(
                method="POST",
                target="/commit",
                body=msgspec.json.encode(transaction),
            )
        )
        if response.status == _CONFLICT:
            return Failure(msgspec.json.decode(response.body, type=TableConflict))
        return Success(msgspec.json.decode(response.body, type=dict[str, int]))

    async def get(self, key: str) -> Row | None:  # noqa: D102
        rows = await self._rows(f"/rows?key={quote(key)}")
        return rows[0] if rows else None

    async def scan(self, prefix: str) -> Sequence[Row]:  # noqa: D102
        return await self._rows(f"/rows?prefix={quote(prefix)}")

    async def _rows(self, target: str) -> list[Row]:
        response = await self._send(HttpRequest(method="GET", target=target))
        return msgspec.json.decode(response.body, type=list[Row])

    async def _send(self, request: HttpRequest) -> HttpResponse:
        try:
            response = await self._client.send(
                self._address, request, timeout=TABLE_TIMEOUT
            )
        except CommunicationError as error:
            raise TableUnavailable(
                detail=str(error), is_unwritten=error.is_unseen
            ) from error
        if response.status not in (200, _CONFLICT):
            # The service returns an error status only before it writes anything.
            raise error_of_status(response.status)
        return response


class HttpObjectStore(ObjectStore):
    """The object store over HTTP."""

    def __init__(self, *, address: Address, client: HttpTransport) -> None:
        self._address = address
        self._client = client

    async def write(self, name: str, data: bytes) -> None:  # noqa: D102
        request = HttpRequest(method="PUT", target=f"/objects/{quote(name)}", body=data)
        _expect_ok(await self._client.send(self._address, request), self._address)

    async def read(self, name: str) -> bytes | None:  # noqa: D102
        request = HttpRequest(method="GET", target=f"/objects/{quote(name)}")
        response = await self._client.send(self._address, request)
        if response.status == 404:
            return None
        _expect_ok(response, self._address)
        return response.body

    async def has(self, name: str) -> bool:  # noqa: D102
        request = HttpRequest(method="HEAD", target=f"/objects/{quote(name)}")
        response = await self._client.send(self._address, request)
        if response.status == 404:
            return False
        _expect_ok(response, self._address)
        return True


class HttpWorkerControl(WorkerControl):
    """The control interface of a worker over HTTP."""

    def __init__(self, *, address: Address, client: HttpTransport) -> None:
        self._address = address
        self._client = client

    async def describe(self) -> WorkerDescription:  # noqa: D102
        body = await self._call("GET", "/description")
        return msgspec.json.decode(body, type=WorkerDescription)

    async def start(self, start: TaskStart) -> None:  # noqa: D102
        body = msgspec.json.encode(start)
        await self._call(
            "POST", _attempt_path(start.task, start.attempt, "start"), body
        )

    async def stop(self, *, task: TaskId, attempt: int) -> None:  # noqa: D102
        await self._call("POST", _attempt_path(task, attempt, "stop"))

    async def checkpoint(  # noqa: D102
        self, *, task: TaskId, attempt: int, name: str
    ) -> None:
        target = f"{_attempt_path(task, attempt, 'checkpoint')}?name={quote(name)}"
        await self._call("POST", target, timeout=_CHECKPOINT_TIMEOUT)

    async def renew(self, *, holder: str, duration: timedelta) -> None:  # noqa: D102
        seconds = duration.total_seconds()
        await self._call("POST", f"/renew?holder={quote(holder)}&seconds={seconds}")

    async def tasks(self) -> Sequence[RunningTask]:  # noqa: D102
        body = await self._call("GET", "/tasks")
        return msgspec.json.decode(body, type=list[RunningTask])

    async def forget(self, *, task: TaskId, attempt: int) -> None:  # noqa: D102
        await self._call("POST", _attempt_path(task, attempt, "forget"))

    async def _call(
        self,
        method: str,
        target: str,
        body: bytes = b"",
        *,
        timeout: timedelta = _CONTROL_TIMEOUT,
    ) -> bytes:
        request = HttpRequest(method=method, target=target, body=body)
        response = await self._client.send(self._address, request, timeout=timeout)
        _expect_ok(response, self._address)
        return response.body


def _attempt_path(task: TaskId, attempt: int, verb: str) -> str:
    return f"/tasks/{quote(task, safe='')}/{attempt}/{verb}"


def _expect_ok(response: HttpResponse, address: Address) -> None:
    if response.status != 200:
        raise CommunicationError(
            step=ExchangeStep.RECEIVE,
            peer=str(address),
            detail=f"status {response.status}: {response.body[:200]!r}",
        )
