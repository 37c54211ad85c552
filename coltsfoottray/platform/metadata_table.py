"""The platform's metadata store as a `WatchedTable`."""

from __future__ import annotations

import base64
from collections.abc import Callable, Sequence
from datetime import timedelta
from urllib.parse import urlencode

import msgspec
from returns.result import Failure, Result, Success

from coltsfoottray.clock import Clock
from coltsfoottray.decoding import MalformedData, decode_json
from coltsfoottray.errors import CommunicationError
from coltsfoottray.http import HttpRequest, HttpResponse, HttpTransport
from coltsfoottray.logs import log_event
from coltsfoottray.metrics import Metrics
from coltsfoottray.platform.common import (
    Changes,
    Check,
    HistoryLost,
    Page,
    Put,
    Row,
    TableConflict,
    TableRefused,
    TableUnavailable,
    Transaction,
    WatchedTable,
    error_of_status,
)
from coltsfoottray.types import Address

__all__ = ["MetadataTable"]

# A call that takes longer counts as failed, even while the store is slow.
_MAX_TIMEOUT = timedelta(seconds=1.5)
# While the store loses answers, each wait for one costs a round of the scheduler. The
# timeout therefore starts short and doubles with each failure. Sending a write again
# is harmless because of its conditions.
_MIN_TIMEOUT = timedelta(milliseconds=300)
# Minimum time that a held request may overrun its hold before it is sent again. A
# longer minimum would delay a config that was written in the meantime.
_MIN_HELD_SLACK = timedelta(milliseconds=500)
_LATENCY_FACTOR = 8
_SMOOTHING = 0.3
# The store's limit on the rows of one answer.
_PAGE_ROWS = 500
_CONFLICT = 412
_HISTORY_LOST = 410
# How much of a refused call is logged.
_MAX_LOGGED_ROWS = 5
_MAX_LOGGED_BYTES = 200


class _Ref(msgspec.Struct, omit_defaults=True):
    table: str
    part: str
    key: str
    schemaVersion: int | None = None  # noqa: N815
    value: str | None = None


class _Tx(msgspec.Struct):
    # Despite its name not a single revision: the rows with the version that each must
    # have, 0 for a row that must not exist.
    expectedRevision: list[_Ref]  # noqa: N815
    upserts: list[_Ref]
    remove: list[_Ref]


class _WireRow(msgspec.Struct):
    table: str
    part: str
    key: str
    value: str = ""
    # Not the version of a schema, but of this row, from a counter of the whole store.
    schemaVersion: int = 0  # noqa: N815
    deleted: bool = False


class _Answer(msgspec.Struct):
    schemaVersion: int = 0  # noqa: N815
    rows: list[_WireRow] = msgspec.field(default_factory=list)
    hasMore: bool = False  # noqa: N815


class _CallHistory:
    """Latency and failures of one kind of call.

    Parts execute transactions one after another. A queue at one of them must not
    change the timeout of calls to others.

    Parameters
    ----------
    reads : _CallHistory, optional
        History of reads, which no part delays: no call is expected to be faster.
    """

    def __init__(self, reads: _CallHistory | None = None) -> None:
        self.smoothed_latency = timedelta(0)
        self._reads = reads or self
        self._failures = 0

    def record_failure(self) -> None:
        self._failures += 1

    def record_response(self, latency: timedelta | None) -> None:
        """Record a response, without its latency if the store has held the call."""
        self._failures = 0
        if latency is not None:
            difference = latency - self.smoothed_latency
            self.smoothed_latency += difference * _SMOOTHING

    def timeout(self) -> timedelta:
        """Return the timeout of the next call."""
        latency = max(self.smoothed_latency, self._reads.smoothed_latency)
        expected = max(latency * _LATENCY_FACTOR, _MIN_TIMEOUT)
        return min(expected * (1 << min(self._failures, 8)), _MAX_TIMEOUT)


class MetadataTable(WatchedTable):
    """Translates `group/shard/name` into the store's table, part and key."""

    def __init__(
        self,
        *,
        address: Address,
        transport: HttpTransport,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._address = address
        self._transport = transport
        self._clock = clock
        self._metrics = metrics
        self._reads = _CallHistory()
        self._history_by_target: dict[str, _CallHistory] = {}

    async def commit(  # noqa: D102
        self, transaction: Transaction
    ) -> Result[dict[str, int], TableConflict]:
        conditions: list[Check | Put] = [*transaction.checks, *transaction.puts]
        body = _Tx(
            expectedRevision=[_as_ref(c.key, version=c.version) for c in conditions],
            upserts=[
                _as_ref(put.key, value=put.value)
                for put in transaction.puts
                if not put.is_deletion
            ],
            remove=[_as_ref(put.key) for put in transaction.puts if put.is_deletion],
        )
        response = await self._send(
            HttpRequest(
                method="POST",
                target="/v1/rows-tx",
                header_by_name={"content-type": "application/json"},
                body=msgspec.json.encode(body),
            ),
            history=self._history(f"transaction {conditions[0].key.split('/')[1]}"),
            describe=lambda: _describe(transaction),
        )
        answer = _decode(response)
        if response.status == _CONFLICT:
            return Failure(TableConflict(rows=[_as_row(row) for row in answer.rows]))
        return Success({put.key: answer.schemaVersion for put in transaction.puts})

    async def get(self, key: str) -> Row | None:  # noqa: D102
        table, part, name = _split_key(key)
        query = {"table": table, "part": part, "from": name, "limit": "1"}
        answer = _decode(await self._read(query))
        rows = [_as_row(row) for row in answer.rows if row.key == name]
        return rows[0] if rows else None

    async def scan(self, prefix: str) -> Sequence[Row]:  # noqa: D102
        rows: list[Row] = []
        first: str | None = ""
        while first is not None:
            page = await self.page(prefix, first=first, limit=_PAGE_ROWS)
            rows.extend(page.rows)
            first = page.next_first
        return rows

    async def page(self, prefix: str, *, first: str, limit: int) -> Page:  # noqa: D102
        table, part, _ = _split_key(prefix)
        query = {"table": table, "part": part, "limit": str(limit)}
        if first:
            query["from"] = first
        response = await self._read(query)
        answer = _decode(response)
        has_more = answer.hasMore and bool(answer.rows)
        return Page(
            rows=[_as_row(row) for row in answer.rows],
            version=answer.schemaVersion,
            next_first=answer.rows[-1].key + "\0" if has_more else None,
            size_bytes=len(response.body),
        )

    async def changes(  # noqa: D102
        self, group: str, *, after: int, wait: timedelta
    ) -> Changes:
        query = {
            "table": group,
            "after": str(after),
            "waitMs": str(int(wait.total_seconds() * 1000)),
        }
        target = f"/v1/rows-feed?{urlencode(query)}"
        try:
            response = await self._send(
                HttpRequest(method="GET", target=target),
                history=self._history(f"changes {group}"),
                held=wait,
            )
        except TableUnavailable as error:
            if _is_too_large(error.__cause__):
                raise HistoryLost(f"{group}: too many changes after {after}") from error
            raise
        if response.status == _HISTORY_LOST:
            raise HistoryLost(f"{group}: changes after {after} are no longer kept")
        answer = _decode(response)
        rows = [_as_row(row) for row in answer.rows]
        return Changes(rows=rows, version=max(after, answer.schemaVersion))

    async def _read(self, query: dict[str, str]) -> HttpResponse:
        target = f"/v1/rows-get?{urlencode(query)}"
        request = HttpRequest(method="GET", target=target)
        return await self._send(request, history=self._reads)

    def _history(self, target: str) -> _CallHistory:
        if target not in self._history_by_target:
            self._history_by_target[target] = _CallHistory(self._reads)
        return self._history_by_target[target]

    async def _send(
        self,
        request: HttpRequest,
        *,
        history: _CallHistory,
        held: timedelta = timedelta(0),
        describe: Callable[[], dict[str, object]] = dict,
    ) -> HttpResponse:
        """Send `request`, which the store may hold for `held` before it answers.

        If the store refuses the call itself, what `describe` returns is logged.
        """
        started = self._clock.elapsed()
        timeout = history.timeout()
        if held:
            timeout = held + max(timeout, _MIN_HELD_SLACK)
        try:
            response = await self._transport.send(
                self._address, request, timeout=timeout
            )
        except CommunicationError as failure:
            history.record_failure()
            self._count_call(request, failure.step.value, failure.received_bytes)
            raise TableUnavailable(
                detail=str(failure), is_unwritten=failure.is_unseen
            ) from failure
        latency = self._clock.elapsed() - started
        history.record_response(None if held else latency)
        self._count_call(request, str(response.status), len(response.body))
        if not held:
            self._metrics.time("table_call", latency, call=request.path[4:])
        if response.status in (200, _CONFLICT, _HISTORY_LOST):
            return response
        error = error_of_status(response.status)
        if isinstance(error, TableRefused):
            log_event(
                "table:refused",
                call=request.path[4:],
                status=response.status,
                answer=response.body[:_MAX_LOGGED_BYTES].decode(errors="replace"),
                call_bytes=len(request.body),
                **describe(),
            )
        raise error

    def _count_call(self, request: HttpRequest, outcome: str, size: int) -> None:
        call = request.path[4:]
        self._metrics.count("table_calls", call=call, outcome=outcome)
        self._metrics.count("table_answer_bytes", size, call=call, outcome=outcome)


def _is_too_large(cause: BaseException | None) -> bool:
    """Return whether an answer was larger than can be received."""
    return isinstance(cause, CommunicationError) and cause.is_too_large


def _describe(transaction: Transaction) -> dict[str, object]:
    """Return what tells which limit a transaction may have exceeded."""
    by_size = sorted(transaction.puts, key=lambda put: -len(bytes(put.value)))
    return {
        "entries": 2 * len(transaction.puts) + len(transaction.checks),
        "largest": {
            put.key: len(bytes(put.value)) for put in by_size[:_MAX_LOGGED_ROWS]
        },
    }


def _split_key(key: str) -> tuple[str, str, str]:
    table, part, name = key.split("/", 2)
    return table, part, name


def _as_ref(
    key: str, *, version: int | None = None, value: msgspec.Raw | None = None
) -> _Ref:
    table, part, name = _split_key(key)
    text = None if value is None else base64.b64encode(bytes(value)).decode()
    return _Ref(table=table, part=part, key=name, schemaVersion=version, value=text)


def _as_row(row: _WireRow) -> Row:
    try:
        value = base64.b64decode(row.value)
    except ValueError:
        # Left to whoever reads the row, as any other value that cannot be decoded.
        value = b""
    return Row(
        key=f"{row.table}/{row.part}/{row.key}",
        value=msgspec.Raw(value),
        version=row.schemaVersion,
        is_deleted=row.deleted,
    )


def _decode(response: HttpResponse) -> _Answer:
    try:
        return decode_json(response.body or b"{}", _Answer)
    except MalformedData as error:
        raise TableUnavailable(
            detail=f"answer cannot be decoded: {error}", is_unwritten=False
        ) from error
