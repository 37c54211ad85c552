"""Results of the scenarios of one run, and the list of known failures."""

from __future__ import annotations

from dataclasses import dataclass, field
from pathlib import Path

__all__ = ["TALLY", "Tally", "read_known_red"]

_KNOWN_RED_FILE = Path(__file__).parents[2] / "KNOWN-RED.txt"
MAX_KNOWN_RED = 3


@dataclass(kw_only=True)
class Tally:
    """Names of the scenarios that ran, by result."""

    passed: list[str] = field(default_factory=list)
    failed: list[str] = field(default_factory=list)


TALLY = Tally()


def read_known_red() -> dict[str, str]:
    """Return the lines of KNOWN-RED.txt by scenario name.

    A line has the form `name | cause | issue`.
    """
    if not _KNOWN_RED_FILE.exists():
        return {}
    lines = [line for line in _KNOWN_RED_FILE.read_text().splitlines() if line.strip()]
    if len(lines) > MAX_KNOWN_RED:
        raise SystemExit(f"KNOWN-RED.txt: got {len(lines)} lines, expected at most 3")
    return {line.split(" | ")[0]: line for line in lines}
