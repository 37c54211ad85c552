"""What log files tell, after every process is gone."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import UTC, datetime
from pathlib import Path

import msgspec

__all__ = ["LogLine", "LogLines", "read_lines", "read_lines_about"]

# What eliot adds to find its own messages again.
_LIBRARY_FIELDS = ("timestamp", "task_uuid", "task_level", "message_type")


class LogLine(msgspec.Struct, frozen=True, kw_only=True):
    """One line.

    Parameters
    ----------
    source : str
        The file's name, which stands for the process that wrote it.
    """

    at: datetime
    source: str
    event: str
    fields: dict[str, object]


@dataclass(kw_only=True)
class LogLines:
    """Lines of several files, oldest first.

    Parameters
    ----------
    skipped : int
        Lines that are no JSON objects, cut off by a crash perhaps.
    dropped : int
        Lines that the processes say they did not write, for their number.
    """

    lines: list[LogLine] = field(default_factory=list)
    skipped: int = 0
    dropped: int = 0


def read_lines(files: Iterable[Path], *, naming: str = "") -> LogLines:
    """Return the lines that hold the text `naming`, all if it is empty."""
    found = LogLines()
    for path in files:
        for text in path.read_text(errors="replace").splitlines():
            if text and naming in text:
                _take(found, path.name, text)
    found.lines.sort(key=lambda line: line.at)
    return found


def read_lines_about(subject: str, files: Iterable[Path]) -> list[LogLine]:
    """Return the lines that name `subject` in any field, oldest first."""
    return read_lines(files, naming=subject).lines


def _take(found: LogLines, source: str, text: str) -> None:
    try:
        message = msgspec.json.decode(text, type=dict[str, object])
    except msgspec.DecodeError:
        found.skipped += 1
        return
    event = str(message.get("message_type", ""))
    if event == "log:dropped":
        found.dropped += _as_number(message.get("lines"))
        return
    found.lines.append(
        LogLine(
            at=datetime.fromtimestamp(_as_seconds(message.get("timestamp")), UTC),
            source=source,
            event=event,
            fields={k: v for k, v in message.items() if k not in _LIBRARY_FIELDS},
        )
    )


def _as_seconds(stamp: object) -> float:
    return float(stamp) if isinstance(stamp, int | float) else 0.0


def _as_number(count: object) -> int:
    return count if isinstance(count, int) else 0
