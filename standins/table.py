"""In-memory table service and object store of the platform."""

from __future__ import annotations

from urllib.parse import unquote

import msgspec

from coltsfoottray.http import HttpRequest, HttpResponse
from coltsfoottray.platform import Check, Put, Row, TableConflict, Transaction
from standins.faults import Faults

__all__ = ["TableStandIn"]


class TableStandIn:
    """Stores rows by conditional multi-row transactions, and objects by name."""

    def __init__(self) -> None:
        self.faults = Faults()
        self.row_by_key: dict[str, Row] = {}
        self.object_by_name: dict[str, bytes] = {}
        # Rows of which the store refuses each write for good.
        self.refused_keys: set[str] = set()
        self.commits = 0
        self.rows_written = 0
        self.reads = 0
        self.bytes_in = 0
        self.bytes_out = 0
        # Versions continue after a row is deleted, so that none is ever reused.
        self._last_version_by_key: dict[str, int] = {}

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Serve the table's HTTP interface."""
        if not await self.faults.before_call():
            return HttpResponse(status=503)
        response = await self._serve(request)
        self.bytes_in += len(request.body) + len(request.target)
        self.bytes_out += len(response.body)
        return response

    async def _serve(self, request: HttpRequest) -> HttpResponse:
        if request.path == "/commit":
            transaction = request.decode(Transaction)
            response = self._commit(transaction)
            await self.faults.after_write()
            return response
        if request.path == "/rows":
            self.reads += 1
            return HttpResponse.of_json(self._read_rows(request.query))
        if request.path.startswith("/objects/"):
            return self._handle_object(request)
        return HttpResponse(status=404)

    def _commit(self, transaction: Transaction) -> HttpResponse:
        if any(put.key in self.refused_keys for put in transaction.puts):
            return HttpResponse(status=400)
        conditions: list[Check | Put] = [*transaction.checks, *transaction.puts]
        conflicts = [c.key for c in conditions if self._version(c.key) != c.version]
        if conflicts:
            rows = [self.row_by_key[key] for key in conflicts if key in self.row_by_key]
            return HttpResponse.of_json(TableConflict(rows=rows), status=409)
        self.commits += 1
        self.rows_written += len(transaction.puts)
        versions = {put.key: self._apply(put) for put in transaction.puts}
        return HttpResponse.of_json(versions)

    def _version(self, key: str) -> int:
        row = self.row_by_key.get(key)
        return 0 if row is None else row.version

    def _apply(self, put: Put) -> int:
        version = self._last_version_by_key.get(put.key, 0) + 1
        self._last_version_by_key[put.key] = version
        if put.is_deletion:
            self.row_by_key.pop(put.key, None)
        else:
            value = msgspec.Raw(bytes(put.value))
            self.row_by_key[put.key] = Row(key=put.key, value=value, version=version)
        return version

    def _read_rows(self, query: dict[str, str]) -> list[Row]:
        if "key" in query:
            row = self.row_by_key.get(query["key"])
            return [] if row is None else [row]
        prefix = query.get("prefix", "")
        return [
            self.row_by_key[key]
            for key in sorted(self.row_by_key)
            if key.startswith(prefix)
        ]

    def _handle_object(self, request: HttpRequest) -> HttpResponse:
        name = unquote(request.path.removeprefix("/objects/"))
        if request.method == "PUT":
            self.object_by_name[name] = request.body
            return HttpResponse(status=200)
        data = self.object_by_name.get(name)
        if request.method == "HEAD":
            return HttpResponse(status=404 if data is None else 200)
        return HttpResponse(status=404 if data is None else 200, body=data or b"")
