"""What log files tell of one request, after every process is gone."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from datetime import UTC, datetime
from pathlib import Path

import msgspec

__all__ = ["LogLine", "read_about"]

# What eliot adds to find its own messages again.
_LIBRARY_FIELDS = ("timestamp", "task_uuid", "task_level", "message_type")


class LogLine(msgspec.Struct, frozen=True, kw_only=True):
    """One line that names the request.

    Parameters
    ----------
    source : str
        The file's name, which stands for the process that wrote it.
    """

    at: datetime
    source: str
    event: str
    fields: dict[str, object]


def read_about(subject: str, files: Iterable[Path]) -> list[LogLine]:
    """Return the lines that name `subject` in any field, oldest first.

    Lines that are not JSON objects, cut off by a crash perhaps, are left out.
    """
    lines = [line for path in files for line in _read(subject, path)]
    return sorted(lines, key=lambda line: line.at)


def _read(subject: str, path: Path) -> Iterator[LogLine]:
    for text in path.read_text(errors="replace").splitlines():
        if subject not in text:
            continue
        try:
            message = msgspec.json.decode(text, type=dict[str, object])
        except msgspec.DecodeError:
            continue
        stamp = message.get("timestamp")
        yield LogLine(
            at=datetime.fromtimestamp(_as_seconds(stamp), UTC),
            source=path.name,
            event=str(message.get("message_type", "")),
            fields={k: v for k, v in message.items() if k not in _LIBRARY_FIELDS},
        )


def _as_seconds(stamp: object) -> float:
    return float(stamp) if isinstance(stamp, int | float) else 0.0
