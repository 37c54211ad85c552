"""Run a program with a planted fault: `python -m soak.planted FAULT SETTINGS`."""

from __future__ import annotations

import sys
from pathlib import Path

from coltsfoottray.cli.run import run
from properties.planted import refusals_without_proof, runs_given_up_early

__all__ = ["FAULT_BY_NAME", "main"]

FAULT_BY_NAME = {
    "early-loss": runs_given_up_early,
    "false-refusals": refusals_without_proof,
}


def main(arguments: list[str]) -> None:
    """Run the program that a settings file describes, with a fault in its code."""
    name, settings = arguments
    with FAULT_BY_NAME[name]():
        run(Path(settings))


if __name__ == "__main__":
    main(sys.argv[1:])
