"""What the runner runs, and what became of it."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum

__all__ = ["ALL_SLOTS", "TIME_LIMIT", "Job", "JobKind", "Result", "Verdict"]

# Reached only by what hangs, also on a machine that is busy.
TIME_LIMIT = timedelta(minutes=20)


# More than any pool has: the job runs alone.
ALL_SLOTS = 1 << 16


class Verdict(Enum):
    """How a job ended."""

    PASSED = "passed"
    FAILED = "failed"
    # Its process ended without a verdict, or was ended at the time limit.
    DIED = "died"
    # Not selected by the options.
    SKIPPED = "skipped"


class JobKind(Enum):
    """Whether a job counts as a scenario."""

    SCENARIO = "scenario"
    COMMAND = "command"


@dataclass(frozen=True, kw_only=True)
class Job:
    """A function that runs in a process of its own.

    Parameters
    ----------
    name : str
        The scenario's name, or the command.
    place : str
        The file and line of a scenario.
    run : Callable[[], Verdict]
        What the process does.
    slots : int
        How many of the pool's slots it takes while it runs.
    time_limit : timedelta
        When it is ended as hanging.
    """

    kind: JobKind
    name: str
    place: str = ""
    run: Callable[[], Verdict]
    slots: int = 1
    time_limit: timedelta = TIME_LIMIT


@dataclass(frozen=True, kw_only=True)
class Result:
    """What became of a job."""

    job: Job
    verdict: Verdict
    duration: timedelta
    # Differs from the duration where the machine is busy or the job waits.
    processor_time: timedelta
    output: str
    reason: str = ""
