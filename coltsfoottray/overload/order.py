"""Choice of the jobs to defer while not all can be on time.

Load pattern: a burst of jobs that together need more than is free for some seconds. In
the order of deadlines each late job makes the next one late too, and most end a little
too late. Moore and Hodgson's algorithm for one machine instead defers, at the first job
that would be late, the one that frees the most work; the others are on time. A pool of
workers is treated as one machine that works at the pool's rate, on which a job ends no
sooner than its critical path after the work ahead of it.

Deferred jobs get what those on time leave, the shortest work first, so that as many as
possible still end while they are of use. A long job would get nothing in that order for
as long as shorter ones arrive; the bound is its last chance to be of use, when it comes
before other deferred jobs. If even this is not enough, overload/last_chance.py resumes
it.
"""

from __future__ import annotations

import enum
import heapq
import math
from collections import defaultdict
from collections.abc import Collection, Iterable, Mapping, Sequence
from datetime import timedelta
from types import MappingProxyType
from typing import NamedTuple

from coltsfoottray.overload.demand import (
    MIN_RATE,
    JobDemand,
    JobKey,
    Pool,
    mean_work_by_queue,
)

__all__ = ["DeferredTurn", "JobOrder", "deferred_turn", "select_deferred"]

# A job that is deferred already counts as freeing this much more work, so that two
# similar jobs do not take turns in being deferred.
_HYSTERESIS = 1.25
# A deferred job gets only a part of the pool, so its path takes longer than expected.
_LAST_CHANCE_MARGIN = 2.0


class JobOrder(enum.Enum):
    """In which order jobs of one priority get free capacity."""

    DEADLINE = "deadline"
    """Earliest deadline first; jobs that are already late come last."""
    LEAST_COST = "least-cost"
    """The same, but while not all can be on time some are deferred for the others."""


class _Selected(NamedTuple):
    """A job that is not deferred; the smallest is to be deferred first."""

    negative_benefit: float
    negative_due: timedelta
    key: JobKey
    work: float


class DeferredTurn(enum.Enum):
    """When a deferred job gets capacity, compared to other deferred jobs."""

    LAST_CHANCE = "last-chance"
    """Before others: it becomes useless unless it starts now."""
    SHORTEST_FIRST = "shortest-first"
    """By the work that it needs, the least first."""
    TOO_LATE = "too-late"
    """After all others: it becomes useless even if it starts now."""


def deferred_turn(
    *,
    now: timedelta,
    useful_until: timedelta,
    path_left: timedelta,
    min_path_left: timedelta,
) -> DeferredTurn:
    """Return when a deferred job gets capacity, compared to other deferred jobs.

    Parameters
    ----------
    useful_until : timedelta
        Until when its end is of use to its caller.
    path_left : timedelta
        Expected length of the critical path through its unfinished steps.
    min_path_left : timedelta
        The shortest that this path may turn out to be.
    """
    if now + min_path_left > useful_until:
        return DeferredTurn.TOO_LATE
    if now + path_left * _LAST_CHANCE_MARGIN >= useful_until:
        return DeferredTurn.LAST_CHANCE
    return DeferredTurn.SHORTEST_FIRST


def select_deferred(
    demands: Iterable[JobDemand],
    rate_by_pool: Mapping[Pool, float],
    now: timedelta,
    *,
    deferred_before: Collection[JobKey] = (),
    resumed: Mapping[JobKey, timedelta] = MappingProxyType({}),
) -> set[JobKey]:
    """Return the jobs that cannot be on time, or whose deferral lets others be.

    Parameters
    ----------
    rate_by_pool : mapping
        Processors with which a pool works on its jobs. A pool without a rate has
        enough for all that can be on time.
    deferred_before : collection of JobKey
        The jobs deferred by the previous call.
    resumed : mapping
        Jobs that are not deferred, with the times that they rank by as if due then.
    """
    by_pool: dict[Pool, list[JobDemand]] = defaultdict(list)
    for demand in demands:
        by_pool[demand.pool].append(demand)
    deferred: set[JobKey] = set()
    for pool, competing in by_pool.items():
        rate = max(rate_by_pool.get(pool, math.inf), MIN_RATE)
        deferred |= _select_in_pool(competing, rate, now, deferred_before, resumed)
    return deferred


def _select_in_pool(
    demands: Sequence[JobDemand],
    rate: float,
    now: timedelta,
    deferred_before: Collection[JobKey],
    resumed: Mapping[JobKey, timedelta],
) -> set[JobKey]:
    mean_work = mean_work_by_queue(demands)
    deferred: set[JobKey] = set()
    work_of_higher = 0.0
    by_priority: dict[int, list[JobDemand]] = defaultdict(list)
    for demand in demands:
        by_priority[demand.priority].append(demand)
    for priority in sorted(by_priority):
        # The selected jobs of this priority, the one to defer first at the front.
        selected: list[_Selected] = []
        work = work_of_higher
        for demand in sorted(
            by_priority[priority], key=lambda each: resumed.get(each.key, each.due)
        ):
            if demand.key in resumed:
                # It is not in `selected`, so that it is deferred for no other.
                work += demand.work_left
                continue
            benefit = demand.work_left / _value(demand, mean_work)
            if demand.key in deferred_before:
                benefit *= _HYSTERESIS
            new = _Selected(-benefit, -demand.due, demand.key, demand.work_left)
            slack_s = (demand.due - now).total_seconds() - demand.length_s(rate)
            if work / rate <= slack_s:
                heapq.heappush(selected, new)
                work += new.work
            elif slack_s >= 0 and _can_replace(selected, new, work - slack_s * rate):
                replaced = heapq.heapreplace(selected, new)
                deferred.add(replaced.key)
                work += new.work - replaced.work
            else:
                deferred.add(demand.key)
        # Also deferred jobs come before those of lower priorities.
        work_of_higher += sum(each.work_left for each in by_priority[priority])
    return deferred


def _can_replace(selected: Sequence[_Selected], new: _Selected, excess: float) -> bool:
    """Return whether the first job selected is to be deferred for a new one.

    It must free the excess of work alone. Several that are deferred for one job would
    cost callers more than that job.
    """
    return bool(selected) and selected[0] < new and selected[0].work >= excess


def _value(demand: JobDemand, mean_work: Mapping[str, float]) -> float:
    """Return what a job that is on time is worth to callers, relative to others.

    Each job has a caller who waits for it; a job with more work is worth more to its
    caller, but not in proportion.
    """
    mean = mean_work[demand.queue]
    return 1.0 + (demand.work_total / mean if mean > 0 else 0.0)
