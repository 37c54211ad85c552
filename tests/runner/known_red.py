"""The list of known failures."""

from __future__ import annotations

from pathlib import Path

__all__ = ["KNOWN_RED_FILE", "read_known_red"]

KNOWN_RED_FILE = Path(__file__).parents[2] / "KNOWN-RED.txt"
MAX_KNOWN_RED = 3


def read_known_red(path: Path) -> dict[str, str]:
    """Return the lines of KNOWN-RED.txt by scenario name.

    A line has the form `name | cause | issue`.
    """
    if not path.exists():
        return {}
    lines = [line for line in path.read_text().splitlines() if line.strip()]
    if len(lines) > MAX_KNOWN_RED:
        raise SystemExit(f"KNOWN-RED.txt: got {len(lines)} lines, expected at most 3")
    return {line.split(" | ")[0]: line for line in lines}
