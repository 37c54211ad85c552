"""Recording of the log lines that a scenario causes."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import eliot

__all__ = ["record_log_lines"]


def record_log_lines(context: Any, record: Callable[[Any], None]) -> None:
    """Pass each log line to `record` until the scenario ends.

    Without a destination, eliot keeps messages for the first one: those of earlier
    scenarios, about jobs with the same names.
    """
    eliot.add_destinations(_discard)
    eliot.remove_destination(_discard)
    eliot.add_destinations(record)
    context.closers.append(lambda: eliot.remove_destination(record))


def _discard(message: Any) -> None:
    """Drop a message."""
