"""In-memory metadata table of the platform, with faults."""

from __future__ import annotations

import base64
from collections import Counter
from dataclasses import dataclass, field

import msgspec
import trio

from coltsfoottray.http import HttpRequest, HttpResponse
from standins.faults import Faults

__all__ = ["MetadataTableStandIn"]

WRITE_DELAY_S = 3.0
MAX_QUEUE_S = 1.0
MAX_ENTRIES = 100
MAX_BYTES = 1_000_000
MAX_ROW_BYTES = 65_536


class _Ref(msgspec.Struct, frozen=True):
    table: str
    part: str
    key: str

    @property
    def name(self) -> str:
        return f"{self.table}/{self.part}/{self.key}"


class _Condition(msgspec.Struct):
    table: str
    part: str
    key: str
    schemaVersion: int = 0  # noqa: N815

    @property
    def ref(self) -> _Ref:
        return _Ref(self.table, self.part, self.key)


class _Upsert(_Condition):
    value: str = ""


class _Tx(msgspec.Struct):
    expectedRevision: list[_Condition]  # noqa: N815
    upserts: list[_Upsert]
    remove: list[_Condition]


@dataclass(frozen=True, kw_only=True)
class _Change:
    ref: _Ref
    version: int
    value: str
    is_deleted: bool


@dataclass(kw_only=True)
class MetadataTableStandIn:
    """Rows with versions from one counter, and the history of their changes.

    Parameters
    ----------
    late_writes : int
        Number of transactions that will get no response and be applied only after
        `WRITE_DELAY_S`, if their conditions still hold.
    failed_reads_by_table : dict
        By table, the number of reads that will fail as unavailable.
    version : int
        Version of the latest change.
    withheld_tables : set of str
        Reads of these tables get no response.
    withholds_changes : bool
        Requests for changes get no response.
    transactions_per_s : float, optional
        Rate at which one part executes transactions, one after another; unlimited if
        None. While more than `MAX_QUEUE_S` of them wait, further ones are rejected.
    calls_by_table : Counter
        Number of transactions and reads by table.
    oversized : int
        Number of transactions refused for their entries, bytes or rows.
    refused_keys : set of str
        Rows `table/part/key` of which the store refuses each write for good, however
        small; a key that ends with `*` stands for all that begin so.
    undeletable_keys : set of str
        Rows `table/part/key` of which the store refuses the deletion for good.
    refused : int
        Number of transactions refused for such a row.
    transactions_by_part, entries_by_part : Counter
        Number of transactions sent, and of their entries, by part.
    largest_transaction : int
        Largest number of entries in a transaction.
    current_by_ref : dict
        Latest change of each row that exists.
    changes : list
        History of changes, oldest first, for the feed.
    dropped_up_to : int
        Version of the latest change that was dropped from the history.
    """

    faults: Faults = field(default_factory=Faults)
    late_writes: int = 0
    failed_reads_by_table: Counter[str] = field(default_factory=Counter)
    version: int = 0
    calls: int = 0
    withheld_tables: set[str] = field(default_factory=set)
    withheld_feeds: set[str] = field(default_factory=set)
    withholds_changes: bool = False
    transactions_per_s: float | None = None
    calls_by_table: Counter[str] = field(default_factory=Counter)
    oversized: int = 0
    refused_keys: set[str] = field(default_factory=set)
    undeletable_keys: set[str] = field(default_factory=set)
    refused: int = 0
    transactions_by_part: Counter[str] = field(default_factory=Counter)
    entries_by_part: Counter[str] = field(default_factory=Counter)
    largest_transaction: int = 0
    current_by_ref: dict[_Ref, _Change] = field(default_factory=dict)
    changes: list[_Change] = field(default_factory=list)
    dropped_up_to: int = 0

    def __post_init__(self) -> None:
        self._changed = trio.Event()
        self._busy_until_by_part: dict[str, float] = {}

    def put(self, table: str, part: str, key: str, value: object) -> None:
        """Write a row with `value`, as an operator does."""
        self.put_text(table, part, key, msgspec.json.encode(value).decode())

    def put_text(self, table: str, part: str, key: str, text: str) -> None:
        """Write a row with any text as its value, as another writer does."""
        encoded = base64.b64encode(text.encode()).decode()
        self.version += 1
        self._record_change(_Ref(table, part, key), encoded, is_deleted=False)

    def remove(self, table: str, part: str, key: str) -> None:
        """Delete a row, as an operator does."""
        self.version += 1
        self._record_change(_Ref(table, part, key), "", is_deleted=True)

    def value_of(self, table: str, part: str, key: str) -> object:
        """Return a row's decoded value, or None if there is no such row."""
        change = self.current_by_ref.get(_Ref(table, part, key))
        if change is None:
            return None
        return msgspec.json.decode(base64.b64decode(change.value))

    def occupy(self, part: str, seconds: float) -> None:
        """Let a part execute nothing for some time."""
        self._busy_until_by_part[part] = trio.current_time() + seconds

    def drop_history(self) -> None:
        """Drop all changes from the history; the rows stay."""
        self.dropped_up_to = self.version
        self.changes.clear()

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Serve the table's HTTP interface."""
        self.calls += 1
        if not await self.faults.before_call():
            return HttpResponse(status=503)
        if request.path == "/v1/rows-tx":
            tx = msgspec.json.decode(request.body, type=_Tx)
            return await self._transact(tx, size_bytes=len(request.body))
        if request.path == "/v1/rows-get":
            self.calls_by_table[request.query["table"]] += 1
            if self.failed_reads_by_table[request.query["table"]] > 0:
                self.failed_reads_by_table[request.query["table"]] -= 1
                return HttpResponse(status=503)
            if request.query["table"] in self.withheld_tables:
                await trio.sleep_forever()
            return self._read(request.query)
        if request.path == "/v1/rows-feed":
            if request.query["table"] in self.withheld_feeds:
                await trio.sleep_forever()
            return await self._feed(request.query)
        return HttpResponse(status=404)

    async def _transact(self, tx: _Tx, *, size_bytes: int) -> HttpResponse:
        items = [*tx.expectedRevision, *tx.upserts, *tx.remove]
        row_bytes = max((len(row.value) for row in tx.upserts), default=0)
        is_oversized = size_bytes > MAX_BYTES or row_bytes > MAX_ROW_BYTES
        if len(items) > MAX_ENTRIES or is_oversized:
            self.oversized += 1
            return HttpResponse(status=400)
        if len({item.part for item in items}) != 1:
            return HttpResponse(status=400)
        if self._is_refused(tx):
            self.refused += 1
            return HttpResponse(status=400)
        self.transactions_by_part[items[0].part] += 1
        self.entries_by_part[items[0].part] += len(items)
        self.largest_transaction = max(self.largest_transaction, len(items))
        self.calls_by_table.update({item.table for item in items})
        if not await self._wait_for_turn(items[0].part):
            return HttpResponse(status=429)
        if self.late_writes > 0:
            self.late_writes -= 1
            await trio.sleep(WRITE_DELAY_S)
            self._apply(tx)
            await trio.sleep_forever()
        response = self._apply(tx)
        await self.faults.after_write()
        return response

    def _is_refused(self, tx: _Tx) -> bool:
        deleted = {item.ref.name for item in tx.remove}
        written = deleted | {item.ref.name for item in tx.upserts}
        is_refused = any(
            name.startswith(key[:-1]) if key.endswith("*") else name == key
            for key in self.refused_keys
            for name in written
        )
        return is_refused or not deleted.isdisjoint(self.undeletable_keys)

    async def _wait_for_turn(self, part: str) -> bool:
        """Wait until the part executes a transaction; return False if it is busy."""
        now = trio.current_time()
        turn = max(self._busy_until_by_part.get(part, now), now)
        if turn - now > MAX_QUEUE_S:
            return False
        if self.transactions_per_s is not None:
            turn += 1 / self.transactions_per_s
        self._busy_until_by_part[part] = turn
        if turn > now:
            await trio.sleep_until(turn)
        return True

    def _apply(self, tx: _Tx) -> HttpResponse:
        conflicts = [
            item.ref
            for item in tx.expectedRevision
            if self._version_of(item.ref) != item.schemaVersion
        ]
        if conflicts:
            found = [self.current_by_ref.get(ref) for ref in conflicts]
            rows = [_encode_row(change) for change in found if change is not None]
            return self._make_response({"rows": rows}, status=412)
        self.version += 1
        for upsert in tx.upserts:
            self._record_change(upsert.ref, upsert.value, is_deleted=False)
        for removal in tx.remove:
            self._record_change(removal.ref, "", is_deleted=True)
        return self._make_response({})

    def _version_of(self, ref: _Ref) -> int:
        change = self.current_by_ref.get(ref)
        return 0 if change is None else change.version

    def _record_change(self, ref: _Ref, value: str, *, is_deleted: bool) -> None:
        change = _Change(
            ref=ref, version=self.version, value=value, is_deleted=is_deleted
        )
        self.changes.append(change)
        if is_deleted:
            self.current_by_ref.pop(ref, None)
        else:
            self.current_by_ref[ref] = change
        changed, self._changed = self._changed, trio.Event()
        changed.set()

    def _read(self, query: dict[str, str]) -> HttpResponse:
        limit = int(query.get("limit", "500"))
        part = query.get("part", "")
        found = [
            change
            for ref, change in self.current_by_ref.items()
            if (ref.table, ref.part) == (query["table"], part)
            and ref.key >= query.get("from", "")
        ]
        found.sort(key=lambda change: change.ref.key)
        rows = [_encode_row(change) for change in found[:limit]]
        return self._make_response({"rows": rows, "hasMore": len(found) > limit})

    async def _feed(self, query: dict[str, str]) -> HttpResponse:
        if self.withholds_changes:
            await trio.sleep_forever()
        after = int(query["after"])
        with trio.move_on_after(int(query["waitMs"]) / 1000):
            while not self._changes_since(query["table"], after):
                if after < self.dropped_up_to:
                    break
                await self._changed.wait()
        if after < self.dropped_up_to:
            return HttpResponse(status=410)
        rows = [
            _encode_row(change) for change in self._changes_since(query["table"], after)
        ]
        if self.withholds_changes:
            await trio.sleep_forever()
        return self._make_response({"rows": rows})

    def _changes_since(self, table: str, after: int) -> list[_Change]:
        return [c for c in self.changes if c.ref.table == table and c.version > after]

    def _make_response(
        self, body: dict[str, object], status: int = 200
    ) -> HttpResponse:
        complete = {"schemaVersion": self.version, "nowMs": 0, **body}
        return HttpResponse.of_json(complete, status=status)


def _encode_row(change: _Change) -> dict[str, object]:
    row: dict[str, object] = {
        "table": change.ref.table,
        "part": change.ref.part,
        "key": change.ref.key,
        "value": change.value,
        "schemaVersion": change.version,
    }
    if change.is_deleted:
        row["deleted"] = True
    return row
