"""Rows that store a job's record, which may be too large for one."""

from __future__ import annotations

import base64
import zlib
from collections.abc import Sequence

import msgspec

from coltsfoottray.decoding import MalformedData, decode_json
from coltsfoottray.jobs.records import JobRecord
from coltsfoottray.platform import MAX_VALUE_BYTES, Row

__all__ = ["decode_record", "encode_record", "is_record_row"]

# Base64 takes 4 bytes for 3.
_MAX_PART_BYTES = MAX_VALUE_BYTES * 3 // 4 - 100
_COMPRESSION_LEVEL = 1
# The record of a job with the most tasks has 2 MB. What another writer has compressed
# may be far larger.
_MAX_UNPACKED_BYTES = 64_000_000


class _Part(msgspec.Struct, kw_only=True):
    """One row of a record that does not fit into one.

    An entry of an earlier version expects a list in `occurrences`. It fails to read the
    row, where it would otherwise take the job for one that has not started.
    """

    occurrences: str
    parts: int


def encode_record(record: JobRecord) -> list[msgspec.Raw]:
    """Return the values of the rows that store a record, at least one."""
    encoded = msgspec.json.encode(record)
    if len(encoded) <= MAX_VALUE_BYTES:
        return [msgspec.Raw(encoded)]
    packed = zlib.compress(encoded, _COMPRESSION_LEVEL)
    pieces = [
        packed[start : start + _MAX_PART_BYTES]
        for start in range(0, len(packed), _MAX_PART_BYTES)
    ]
    return [
        msgspec.Raw(
            msgspec.json.encode(
                _Part(occurrences=base64.b64encode(piece).decode(), parts=len(pieces))
            )
        )
        for piece in pieces
    ]


def decode_record(values: Sequence[msgspec.Raw]) -> JobRecord:
    """Return the record that rows store, in the order of `encode_record`.

    Raises
    ------
    MalformedData
        If a row cannot be read, or one is missing.
    """
    first = decode_json(values[0], dict[str, msgspec.Raw])
    if "parts" not in first:
        return decode_json(values[0], JobRecord)
    parts = [decode_json(value, _Part) for value in values]
    if len(parts) != parts[0].parts:
        raise MalformedData(detail=f"got {len(parts)} of {parts[0].parts} rows")
    try:
        packed = b"".join(base64.b64decode(part.occurrences) for part in parts)
        unpacked = zlib.decompressobj().decompress(packed, _MAX_UNPACKED_BYTES)
    except (ValueError, zlib.error) as error:
        raise MalformedData(detail=str(error)) from error
    return decode_json(unpacked, JobRecord)


def is_record_row(row: Row) -> bool:
    """Return whether a row is certainly one of a record."""
    try:
        first = decode_json(row.value, dict[str, msgspec.Raw])
        kind = _Part if "parts" in first else JobRecord
        decode_json(row.value, kind)
    except MalformedData:
        return False
    return bool(first) and first.keys() <= set(kind.__struct_fields__)
