"""Reads log files, which remain when the processes have ended."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import UTC, datetime
from pathlib import Path

import msgspec

from coltsfoottray.decoding import MalformedData, decode_json

__all__ = ["LogLine", "LogLines", "read_lines", "read_lines_about"]

# Fields that eliot adds to each message, to identify it.
_ELIOT_FIELDS = ("timestamp", "task_uuid", "task_level", "message_type")


class LogLine(msgspec.Struct, frozen=True, kw_only=True):
    """One line of a log file.

    Parameters
    ----------
    source : str
        The process that wrote the line: the last word in front of its JSON, where a
        collector has put one there, or else the name of the file.
    """

    at: datetime
    source: str
    event: str
    fields: dict[str, object]


@dataclass(kw_only=True)
class LogLines:
    """The lines of several files, oldest first.

    Parameters
    ----------
    skipped : int
        Number of lines without a complete JSON object, for instance because a crash
        truncated them.
    first_skipped : str
        The first of these, empty if there is none.
    dropped : int
        Number of lines that the processes dropped because of the limits on logging,
        as they logged it.
    """

    lines: list[LogLine] = field(default_factory=list)
    skipped: int = 0
    first_skipped: str = ""
    dropped: int = 0


def read_lines(files: Iterable[Path], *, containing: str = "") -> LogLines:
    """Return the lines that contain the text `containing`; all if it is empty."""
    result = LogLines()
    for path in files:
        for text in path.read_text(errors="replace").splitlines():
            if text and containing in text:
                _parse_line(result, path.name, text)
    result.lines.sort(key=lambda line: line.at)
    return result


def read_lines_about(subject: str, files: Iterable[Path]) -> list[LogLine]:
    """Return the lines with `subject` in any field, oldest first."""
    return read_lines(files, containing=subject).lines


def _parse_line(result: LogLines, source: str, text: str) -> None:
    prefix, _, _ = text.partition("{")
    try:
        message = decode_json(text[len(prefix) :], dict[str, object])
    except MalformedData:
        result.skipped += 1
        result.first_skipped = result.first_skipped or text
        return
    words = prefix.split()
    event = str(message.get("message_type", ""))
    if event == "log:dropped":
        result.dropped += _to_count(message.get("lines"))
        return
    result.lines.append(
        LogLine(
            at=datetime.fromtimestamp(_to_seconds(message.get("timestamp")), UTC),
            source=words[-1] if words else source,
            event=event,
            fields={k: v for k, v in message.items() if k not in _ELIOT_FIELDS},
        )
    )


def _to_seconds(timestamp: object) -> float:
    return float(timestamp) if isinstance(timestamp, int | float) else 0.0


def _to_count(count: object) -> int:
    return count if isinstance(count, int) else 0
