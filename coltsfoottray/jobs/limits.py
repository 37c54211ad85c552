"""Limits of the numbers that callers and operators name.

They apply where a job enters the product's own types, from whichever source: a caller's
request, a row or a message. Nothing that runs comes near them; they keep sums and
products of such numbers within what durations, rows and messages hold.
"""

from __future__ import annotations

from typing import Any, TypeVar

import msgspec

from coltsfoottray.types import Resources

__all__ = [
    "MAX_COUNT",
    "MAX_DURATION_MS",
    "MAX_FACTOR",
    "MAX_TIME_MS",
    "limit_attributes",
    "limit_resources",
    "limited",
]

MAX_TIME_MS = 10**15
"""Latest time that anything is due, in milliseconds since 1970; it never comes."""

MAX_DURATION_MS = 1e11
"""Longest duration that is told from longer ones, 3 years in milliseconds."""

MAX_COUNT = 10**9
MAX_FACTOR = 1e6
_MAX_AMOUNT = 1e9

Number = TypeVar("Number", int, float)


def limited(value: Number, low: Number, high: Number) -> Number:
    """Return `value`, or the end of the range that it is beyond."""
    return min(max(value, low), high)


def limit_attributes(struct: msgspec.Struct, low: Any, high: Any, *names: str) -> None:
    """Limit attributes of a frozen struct that is being made."""
    for name in names:
        value = getattr(struct, name)
        if not low <= value <= high:
            msgspec.structs.force_setattr(struct, name, limited(value, low, high))


def limit_resources(resources: Resources) -> Resources:
    """Return resources of which each dimension is within what can be added up."""
    processors = limited(resources.processors, 0.0, _MAX_AMOUNT)
    memory_gb = limited(resources.memory_gb, 0.0, _MAX_AMOUNT)
    accelerators = limited(resources.accelerators, 0, MAX_COUNT)
    return Resources(
        processors=processors, memory_gb=memory_gb, accelerators=accelerators
    )
