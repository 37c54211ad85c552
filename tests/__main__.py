"""Runs behave and prints `N passed, N failed` as the last line."""

from __future__ import annotations

import os
import sys

from behave.__main__ import main as behave_main

from tests.support.tally import TALLY, read_known_red


def main(arguments: list[str]) -> int:
    """Run all scenarios, or only those that `arguments` select, and return a status."""
    known_red = read_known_red()
    status = behave_main(["--no-capture", *arguments])
    expected = [name for name in TALLY.failed if name in known_red]
    unexpected = [name for name in TALLY.failed if name not in known_red]
    for name in expected:
        print(f"known red: {known_red[name]}")
    for name in unexpected:
        print(f"failed: {name}")
    repaired = [name for name in TALLY.passed if name in known_red]
    for name in repaired:
        print(f"listed as known red, but passes; remove it from the list: {name}")
    is_broken = bool(status) and not TALLY.failed
    failed = len(unexpected) + len(repaired) + is_broken
    print(f"{len(TALLY.passed) - len(repaired)} passed, {failed} failed")
    return 1 if failed or not TALLY.passed else 0


if __name__ == "__main__":
    # Makes the iteration order of sets the same in all runs.
    if os.environ.get("PYTHONHASHSEED") != "0":
        os.environ["PYTHONHASHSEED"] = "0"
        os.execv(sys.executable, [sys.executable, "-m", "tests", *sys.argv[1:]])
    sys.exit(main(sys.argv[1:]))
