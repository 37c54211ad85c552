"""Runs the scenarios and prints `N passed, N failed` as the last line.

Usage: `python -m tests [--slots N] [--beside COMMAND]... [PATHS...]`; other options are
those of behave that select scenarios.
"""

from __future__ import annotations

import argparse
import os
import signal
import sys
import traceback
from collections.abc import Sequence
from pathlib import Path

from tests.runner.commands import make_command_job
from tests.runner.jobs import Job, JobKind, Result, Verdict
from tests.runner.known_red import KNOWN_RED_FILE, read_known_red
from tests.runner.order import LONGEST_FILE, order_jobs, read_longest
from tests.runner.pool import run_jobs
from tests.runner.report import format_block, summarize
from tests.runner.suite import Suite, read_names


def main(arguments: Sequence[str]) -> int:
    """Run all scenarios, or only those that `arguments` select, and return a status."""
    options, selection = _parse(arguments)
    known_red = read_known_red(options.known_red)
    try:
        suite = Suite(selection)
        scenarios = suite.read_jobs()
        all_names = read_names(suite.base_folder)
    except Exception:
        traceback.print_exc()
        print("0 passed, 1 failed")
        return 1
    jobs = [*_make_command_jobs(options), *scenarios]
    summary = summarize(_run(jobs, options.slots), known_red, all_names)
    print(*summary.lines, sep="\n", flush=True)
    return summary.status


def _parse(arguments: Sequence[str]) -> tuple[argparse.Namespace, list[str]]:
    parser = argparse.ArgumentParser(prog="python -m tests", allow_abbrev=False)
    parser.add_argument(
        "--slots",
        type=int,
        default=len(os.sched_getaffinity(0)),
        help="scenarios at a time; as many as processors by default",
    )
    parser.add_argument(
        "--beside",
        action="append",
        default=[],
        metavar="COMMAND",
        help="a command to run beside the scenarios",
    )
    parser.add_argument(
        "--beside-programs",
        action="append",
        default=[],
        metavar="COMMAND",
        help="the same for a command that starts programs with timings",
    )
    parser.add_argument("--known-red", type=Path, default=KNOWN_RED_FILE)
    return parser.parse_known_args(arguments)


def _make_command_jobs(options: argparse.Namespace) -> list[Job]:
    return [
        *(make_command_job(each, slots=2) for each in options.beside_programs),
        *(make_command_job(each) for each in options.beside),
    ]


def _run(jobs: Sequence[Job], slots: int) -> list[Result]:
    """Run `jobs`, print what is to be read, and return the results in their order."""
    result_by_job: dict[int, Result] = {}
    for result in run_jobs(order_jobs(jobs, read_longest(LONGEST_FILE)), slots):
        result_by_job[id(result.job)] = result
        if _is_to_be_read(result):
            print(f"\n{format_block(result)}", flush=True)
        else:
            print(".", end="", flush=True)
    print()
    return [result_by_job[id(job)] for job in jobs]


def _is_to_be_read(result: Result) -> bool:
    is_good = result.verdict in (Verdict.PASSED, Verdict.SKIPPED)
    return result.job.kind is JobKind.COMMAND or not is_good


if __name__ == "__main__":
    # Makes the iteration order of sets the same in all runs.
    if os.environ.get("PYTHONHASHSEED") != "0":
        os.environ["PYTHONHASHSEED"] = "0"
        os.execv(sys.executable, [sys.executable, "-m", "tests", *sys.argv[1:]])
    # Ends the jobs too.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    sys.exit(main(sys.argv[1:]))
