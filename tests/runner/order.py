"""The order in which jobs start: the longest first, so that they do not end last."""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path

from tests.runner.jobs import Job, JobKind

__all__ = ["LONGEST_FILE", "order_jobs", "read_longest"]

# Names of scenarios, the longest first; it affects the order only.
LONGEST_FILE = Path(__file__).parent / "longest.txt"
# State machines that are not listed yet may be long.
_STATE_MACHINES_FILE = "fuzz.feature"


def read_longest(path: Path) -> list[str]:
    """Return the names of the longest scenarios."""
    return path.read_text().splitlines()


def order_jobs(jobs: Sequence[Job], longest: Sequence[str]) -> list[Job]:
    """Return what runs alone, what starts real programs, the longest, then the rest.

    What takes several slots, or all of them, is started while they are free.
    """
    rank_by_name = {name: rank for rank, name in enumerate(longest)}
    return sorted(jobs, key=lambda job: _rank(job, rank_by_name))


def _rank(job: Job, rank_by_name: dict[str, int]) -> tuple[int, int]:
    if job.slots > 1:
        return (0, -job.slots)
    if job.kind is JobKind.COMMAND:
        return (1, 0)
    if job.name in rank_by_name:
        return (2, rank_by_name[job.name])
    is_state_machine = _STATE_MACHINES_FILE in job.place
    return (3, 0) if is_state_machine else (4, 0)
