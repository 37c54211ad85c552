"""Runs jobs in several processes at a time."""

from __future__ import annotations

import time
from collections.abc import Iterator, Sequence

from tests.runner.child import Child
from tests.runner.jobs import Job, Result

__all__ = ["run_jobs"]

_POLL_INTERVAL_S = 0.02


def run_jobs(jobs: Sequence[Job], slots: int) -> Iterator[Result]:
    """Yield the result of each job as it ends.

    A job starts as soon as its slots are free, in the order of `jobs`. A job that takes
    more slots than there are runs alone.
    """
    waiting = list(jobs)
    children: list[Child] = []
    try:
        while waiting or children:
            for job in _choose(waiting, slots - _count_slots(children, slots), slots):
                waiting.remove(job)
                children.append(Child(job))
            for child in list(children):
                result = child.poll()
                if result is not None:
                    children.remove(child)
                    yield result
            time.sleep(_POLL_INTERVAL_S)
    finally:
        for child in children:
            child.kill()


def _count_slots(children: Sequence[Child], slots: int) -> int:
    return sum(min(child.job.slots, slots) for child in children)


def _choose(waiting: Sequence[Job], free: int, slots: int) -> list[Job]:
    """Return the first waiting jobs that fit into the free slots."""
    chosen = []
    for job in waiting:
        if not free:
            break
        needed = min(job.slots, slots)
        if needed <= free:
            chosen.append(job)
            free -= needed
    return chosen
