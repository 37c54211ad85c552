"""Bounds on what a process remembers."""

from __future__ import annotations

from typing import Any

__all__ = ["drop_oldest"]


def drop_oldest(remembered: dict[Any, Any], limit: int) -> None:
    """Drop the oldest entries beyond `limit`."""
    while len(remembered) > limit:
        del remembered[next(iter(remembered))]
