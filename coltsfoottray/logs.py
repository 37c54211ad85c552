"""Structured log lines by eliot."""

from __future__ import annotations

import sys
from collections.abc import Callable
from typing import IO, Any

import eliot
import msgspec

from coltsfoottray.errors import InputError
from coltsfoottray.settings import LogSettings

__all__ = ["log_event", "start_logging"]

_LEVELS = ("debug", "info", "decisions")


def log_event(message_type: str, **fields: object) -> None:
    """Write one structured line; `message_type` is `part:what-happened`."""
    eliot.log_message(message_type, **fields)


def start_logging(
    settings: LogSettings,
    *,
    level: str | None = None,
    file: str | None = None,
    default: IO[Any] | None = None,
) -> None:
    """Send log lines where `settings`, or the two options, say.

    Without a file they go to `default`, which is standard error if not given.
    """
    chosen = level or settings.level
    if chosen not in _LEVELS:
        raise InputError(
            field="--log-level", value=chosen, expected=f"one of {_LEVELS}"
        )
    name = file or settings.file
    stream = default or sys.stderr
    if name is not None:
        stream = open(name, "a")  # noqa: SIM115
    eliot.add_destinations(_as_destination(stream, chosen))


def _as_destination(stream: IO[Any], level: str) -> Callable[[dict[str, Any]], None]:
    def write(message: dict[str, Any]) -> None:
        if level == "decisions":
            kind = str(message.get("message_type", ""))
            if not kind.startswith("decision:"):
                return
        stream.write(msgspec.json.encode(message, enc_hook=str).decode() + "\n")
        stream.flush()

    return write
