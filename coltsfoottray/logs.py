"""Structured logging with eliot, limited in volume and without blocking."""

from __future__ import annotations

import os
import sys
import time
from collections.abc import Callable
from typing import IO, Any

import eliot
import msgspec

from coltsfoottray.errors import InputError
from coltsfoottray.settings import LogSettings

__all__ = ["LineWriter", "log_event", "start_logging"]

_LEVELS = ("debug", "info", "decisions")

# Limit on the rate of lines. A scheduler that starts 160 tasks a second writes about
# 200 lines a second.
_LINES_PER_S = 400.0
# A burst of events that lasts one second is written completely.
_BURST_LINES = 800.0
# Limit on the lines that a slow reader has not read yet; beyond it, lines are dropped.
_MAX_PENDING_BYTES = 256 * 1024
_LOG_FILE_MODE = 0o644


def log_event(message_type: str, **fields: object) -> None:
    """Log one structured line; `message_type` has the form `component:event`."""
    eliot.log_message(message_type, **fields)


def start_logging(
    settings: LogSettings,
    *,
    level: str | None = None,
    file: str | None = None,
    default: IO[Any] | None = None,
) -> None:
    """Start logging according to `settings`; `level` and `file` override them.

    Without a file, lines go to `default`, which is standard error if not given.
    """
    selected_level = level or settings.level
    if selected_level not in _LEVELS:
        raise InputError(
            field="--log-level", value=selected_level, expected=f"one of {_LEVELS}"
        )
    path = file or settings.file
    if path is None:
        descriptor = (default or sys.stderr).fileno()
    else:
        descriptor = _open_log_file(path)
    writer = LineWriter(descriptor=descriptor, monotonic=time.monotonic)
    eliot.add_destinations(_make_destination(writer, selected_level))


def _open_log_file(path: str) -> int:
    """Return a descriptor that stays open as long as the process."""
    try:
        return os.open(path, os.O_WRONLY | os.O_APPEND | os.O_CREAT, _LOG_FILE_MODE)
    except OSError as error:
        raise InputError(
            field="log file", value=path, expected=f"a file to write to ({error})"
        ) from error


class LineWriter:
    """Writes lines to a file descriptor without waiting for its reader.

    A reader that stops, a full pipe or a burst of events would otherwise delay the
    decisions that are logged. Lines beyond the limits are dropped and counted, and
    the count is written as soon as the limits allow it.

    Parameters
    ----------
    monotonic : callable
        Returns a monotonic time in seconds.
    """

    def __init__(self, *, descriptor: int, monotonic: Callable[[], float]) -> None:
        self._descriptor = descriptor
        self._monotonic = monotonic
        self._pending = b""
        self._tokens = _BURST_LINES
        self._refilled_at = monotonic()
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def write(self, line: bytes) -> None:
        """Write one line, or drop it if a limit is exceeded."""
        now = self._monotonic()
        refill = (now - self._refilled_at) * _LINES_PER_S
        self._tokens = min(_BURST_LINES, self._tokens + refill)
        self._refilled_at = now
        if self._tokens < 1 or len(self._pending) > _MAX_PENDING_BYTES:
            self.dropped += 1
            self._flush()
            return
        self._tokens -= 1
        if self.dropped:
            dropped_line = {"message_type": "log:dropped", "lines": self.dropped}
            self._pending += msgspec.json.encode(dropped_line) + b"\n"
            self.dropped = 0
        self._pending += line + b"\n"
        self._flush()

    def _flush(self) -> None:
        try:
            written = os.write(self._descriptor, self._pending)
        except BlockingIOError:
            # The reader is slow: pending lines are written together with a later one.
            return
        self._pending = self._pending[written:]


def _make_destination(
    writer: LineWriter, level: str
) -> Callable[[dict[str, Any]], None]:
    def write(message: dict[str, Any]) -> None:
        if level == "decisions":
            message_type = str(message.get("message_type", ""))
            if not message_type.startswith("decision:"):
                return
        writer.write(msgspec.json.encode(message, enc_hook=str))

    return write
