"""What unfinished jobs still need, as the decisions under overload see it."""

from __future__ import annotations

import enum
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass
from datetime import timedelta
from typing import NamedTuple

from coltsfoottray.jobs.model import JobId

__all__ = ["MIN_RATE", "JobDemand", "JobKey", "Pool", "PoolKind", "mean_work_by_queue"]

# A pool may have no processors at all for a time.
MIN_RATE = 1e-6


class PoolKind(enum.Enum):
    """Which capacity of its workers a pool consists of."""

    RESERVED = "reserved"
    """Capacity that tasks reserve."""
    SPARE = "spare"
    """Processors that reserving tasks leave idle; fillers use them."""


class Pool(NamedTuple):
    """Capacity that jobs compete for: that of a service's workers, of one kind."""

    service: str
    kind: PoolKind


class JobKey(NamedTuple):
    """Identifies one occurrence of a job."""

    job: JobId
    occurrence: int


@dataclass(frozen=True, kw_only=True)
class JobDemand:
    """What one occurrence of a job still needs.

    Parameters
    ----------
    priority : int
        0 is scheduled first.
    due : timedelta
        Until when it is on time, by the scheduler's steady clock.
    useful_until : timedelta
        Until when its end is of use to its caller, by the same clock.
    work_left, work_total : float
        Work at full speed in processor-seconds.
    path_left : timedelta
        Shortest likely length of the critical path through its unfinished steps.
    """

    key: JobKey
    queue: str
    pool: Pool
    priority: int
    due: timedelta
    useful_until: timedelta
    work_left: float
    work_total: float
    path_left: timedelta

    def length_s(self, rate: float) -> float:
        """Return how long a pool that works at `rate` needs for it alone, in seconds.

        More processors do not shorten its critical path.
        """
        return max(self.path_left.total_seconds(), self.work_left / max(rate, MIN_RATE))


def mean_work_by_queue(demands: Iterable[JobDemand]) -> dict[str, float]:
    """Return the mean work, also of what is done, of the jobs of each queue."""
    total: dict[str, float] = defaultdict(float)
    count: dict[str, int] = defaultdict(int)
    for demand in demands:
        total[demand.queue] += demand.work_total
        count[demand.queue] += 1
    return {queue: total[queue] / count[queue] for queue in total}
