"""Decoding of what others have written, which fails with one typed error only."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeVar

import msgspec

from coltsfoottray.errors import ColtsfoottrayError

__all__ = ["MalformedData", "decode_json", "decode_msgpack"]

# Beside its own error, a decoder raises these for data that is nested too deeply, and
# for numbers and texts that do not fit into the types of the language.
_ERRORS = (msgspec.DecodeError, RecursionError, ValueError, OverflowError)

T = TypeVar("T")


@dataclass(kw_only=True)
class MalformedData(ColtsfoottrayError):
    """Data that cannot be decoded, or is not of the type that is expected."""

    detail: str

    def __str__(self) -> str:
        return self.detail


def decode_json(data: bytes | str | msgspec.Raw, kind: type[T]) -> T:
    """Return JSON decoded as `kind`.

    Raises
    ------
    MalformedData
        If it cannot be.
    """
    try:
        return msgspec.json.decode(data, type=kind)
    except _ERRORS as error:
        raise MalformedData(detail=str(error)) from error


def decode_msgpack(data: bytes, kind: type[T]) -> T:
    """Return msgpack decoded as `kind`.

    Raises
    ------
    MalformedData
        If it cannot be.
    """
    try:
        return msgspec.msgpack.decode(data, type=kind)
    except _ERRORS as error:
        raise MalformedData(detail=str(error)) from error
