"""What unfinished jobs still need, as the decisions under overload see it."""

from __future__ import annotations

import enum
from dataclasses import dataclass
from datetime import timedelta
from typing import NamedTuple

from coltsfoottray.jobs.model import JobId

__all__ = ["JobDemand", "JobKey", "Pool", "PoolKind"]


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
    work_left, work_total : float
        Work at full speed in processor-seconds.
    path_left : timedelta
        Expected length of the critical path through its unfinished steps.
    """

    key: JobKey
    queue: str
    pool: Pool
    priority: int
    due: timedelta
    work_left: float
    work_total: float
    path_left: timedelta
