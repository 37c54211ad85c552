"""Command of the soak: `python -m soak --seeds 1-3 --seconds 15`."""

from __future__ import annotations

import json
import shutil
import signal
from collections import Counter
from typing import Annotated

import trio
import typer

from soak.session import Outcome, Soak


def main(
    seeds: Annotated[str, typer.Option(help="One seed, or a range as in 1-3.")] = "1",
    seconds: Annotated[float, typer.Option(help="Time with faults, by seed.")] = 15.0,
    settle: Annotated[
        float, typer.Option(help="Time in s after the faults for all jobs to end.")
    ] = 60.0,
    planted: Annotated[
        str, typer.Option(help="A fault in the code: early-loss, false-refusals.")
    ] = "",
) -> None:
    """Play seeds one after the other; the last line of output is a JSON object."""
    # The handler of SIGINT raises, so that all processes are ended. A shell may have
    # set SIGINT to be ignored.
    signal.signal(signal.SIGINT, signal.default_int_handler)
    signal.signal(signal.SIGTERM, lambda *_: signal.raise_signal(signal.SIGINT))
    first, _, last = seeds.partition("-")
    numbers = range(int(first), int(last or first) + 1)
    tally: Counter[str] = Counter()
    failed: list[int] = []
    for seed in numbers:
        soak = Soak(seed=seed, seconds=seconds, settle_s=settle, planted=planted)
        outcome = trio.run(soak.play)
        _print_outcome(outcome)
        tally.update(_summable(outcome))
        if outcome.violations:
            failed.append(seed)
    summary = {
        "seeds": len(numbers),
        "green": len(numbers) - len(failed),
        "failed": failed,
        **tally,
    }
    print(json.dumps(summary))
    raise typer.Exit(1 if failed else 0)


def _print_outcome(outcome: Outcome) -> None:
    """Print a line, or for a failed seed all that is needed to trace it."""
    if not outcome.violations:
        print(f"seed {outcome.seed}: green {outcome.tally}", flush=True)
        shutil.rmtree(outcome.folder)
        return
    print(f"seed {outcome.seed}: FAILED {outcome.tally}")
    print(*(f"  fault {fault}" for fault in outcome.plan), sep="\n")
    print(*(f"  violation: {each}" for each in outcome.violations), sep="\n")
    print(f"  logs: {outcome.folder}", flush=True)


def _summable(outcome: Outcome) -> dict[str, int]:
    return {k: v for k, v in outcome.tally.items() if isinstance(v, int)}


if __name__ == "__main__":
    typer.run(main)
