"""Structured log lines by eliot, bounded in volume and never waited for."""

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

# A scheduler at 160 starts a second writes some 200 lines a second.
_LINES_PER_S = 400.0
# A second of a storm is kept whole.
_BURST_LINES = 800.0
# What a reader that is slow may leave unread here; then lines are dropped.
_MAX_PENDING_BYTES = 256 * 1024


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
    writer = LineWriter(descriptor=stream.fileno(), monotonic=time.monotonic)
    eliot.add_destinations(_as_destination(writer, chosen))


class LineWriter:
    """Writes lines to a descriptor without ever waiting for its reader.

    A reader that stops, a full pipe or a storm of events would otherwise hold up
    the decisions that are logged. Lines beyond the bounds are dropped and counted,
    and the count is written as soon as there is room.

    Parameters
    ----------
    monotonic : callable
        Returns a steady time in seconds.
    """

    def __init__(self, *, descriptor: int, monotonic: Callable[[], float]) -> None:
        self._descriptor = descriptor
        self._monotonic = monotonic
        self._pending = b""
        self._tokens = _BURST_LINES
        self._filled = monotonic()
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def write(self, line: bytes) -> None:
        """Write one line, or drop it."""
        now = self._monotonic()
        refill = (now - self._filled) * _LINES_PER_S
        self._tokens = min(_BURST_LINES, self._tokens + refill)
        self._filled = now
        if self._tokens < 1 or len(self._pending) > _MAX_PENDING_BYTES:
            self.dropped += 1
            self._flush()
            return
        self._tokens -= 1
        if self.dropped:
            note = {"message_type": "log:dropped", "lines": self.dropped}
            self._pending += msgspec.json.encode(note) + b"\n"
            self.dropped = 0
        self._pending += line + b"\n"
        self._flush()

    def _flush(self) -> None:
        try:
            written = os.write(self._descriptor, self._pending)
        except BlockingIOError:
            # The reader is behind; what is pending goes out with a later line.
            return
        self._pending = self._pending[written:]


def _as_destination(writer: LineWriter, level: str) -> Callable[[dict[str, Any]], None]:
    def write(message: dict[str, Any]) -> None:
        if level == "decisions":
            kind = str(message.get("message_type", ""))
            if not kind.startswith("decision:"):
                return
        writer.write(msgspec.json.encode(message, enc_hook=str))

    return write
