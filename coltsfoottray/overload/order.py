"""Choice of the jobs to defer while not all can be on time.

Load pattern: a burst of jobs that together need more than is free for some seconds. In
the order of deadlines each late job makes the next one late too, and most end a little
too late. Moore and Hodgson's algorithm for one machine instead defers, at the first job
that would be late, the one that frees the most work; the others are on time. A pool of
workers is treated as one machine that works at the pool's rate, on which no job ends
sooner than its critical path allows.
"""

from __future__ import annotations

import enum
import heapq
from collections import defaultdict
from collections.abc import Collection, Iterable, Mapping, Sequence
from datetime import timedelta

from coltsfoottray.overload.demand import JobDemand, JobKey, Pool

__all__ = ["JobOrder", "select_deferred"]

# A job that is deferred already counts as freeing this much more work, so that two
# similar jobs do not take turns in being deferred.
_HYSTERESIS = 1.25
_MIN_RATE = 1e-6


class JobOrder(enum.Enum):
    """In which order jobs of one priority get free capacity."""

    DEADLINE = "deadline"
    """Earliest deadline first; jobs that are already late come last."""
    LEAST_COST = "least-cost"
    """The same, but while not all can be on time some are deferred for the others."""


def select_deferred(
    demands: Iterable[JobDemand],
    rate_by_pool: Mapping[Pool, float],
    now: timedelta,
    *,
    deferred_before: Collection[JobKey] = (),
) -> set[JobKey]:
    """Return the jobs that cannot be on time, or whose deferral lets others be.

    Parameters
    ----------
    rate_by_pool : mapping
        Processors with which a pool works on its jobs. A pool without a rate has
        enough for all.
    deferred_before : collection of JobKey
        The jobs deferred by the previous call.
    """
    by_pool: dict[Pool, list[JobDemand]] = defaultdict(list)
    for demand in demands:
        by_pool[demand.pool].append(demand)
    deferred: set[JobKey] = set()
    for pool, competing in by_pool.items():
        rate = rate_by_pool.get(pool)
        if rate is not None:
            deferred |= _select_in_pool(competing, rate, now, deferred_before)
    return deferred


def _select_in_pool(
    demands: Sequence[JobDemand],
    rate: float,
    now: timedelta,
    deferred_before: Collection[JobKey],
) -> set[JobKey]:
    mean_work_by_queue = _mean_work_by_queue(demands)
    deferred: set[JobKey] = set()
    work = 0.0
    by_priority: dict[int, list[JobDemand]] = defaultdict(list)
    for demand in demands:
        by_priority[demand.priority].append(demand)
    for priority in sorted(by_priority):
        # The selected jobs of this priority, the one to defer first at the front.
        selected: list[tuple[float, JobKey, float]] = []
        for demand in sorted(by_priority[priority], key=lambda each: each.due):
            if now + demand.path_left > demand.due:
                deferred.add(demand.key)
                continue
            work += demand.work_left
            benefit = demand.work_left / _value(demand, mean_work_by_queue)
            if demand.key in deferred_before:
                benefit *= _HYSTERESIS
            heapq.heappush(selected, (-benefit, demand.key, demand.work_left))
            end = now + timedelta(seconds=work / max(rate, _MIN_RATE))
            if end > demand.due:
                _, key, freed = heapq.heappop(selected)
                deferred.add(key)
                work -= freed
    return deferred


def _mean_work_by_queue(demands: Sequence[JobDemand]) -> dict[str, float]:
    total: dict[str, float] = defaultdict(float)
    count: dict[str, int] = defaultdict(int)
    for demand in demands:
        total[demand.queue] += demand.work_total
        count[demand.queue] += 1
    return {queue: total[queue] / count[queue] for queue in total}


def _value(demand: JobDemand, mean_work_by_queue: Mapping[str, float]) -> float:
    """Return what a job that is on time is worth to callers, relative to others.

    Each job has a caller who waits for it; a job with more work is worth more to its
    caller, but not in proportion.
    """
    mean = mean_work_by_queue[demand.queue]
    return 1.0 + (demand.work_total / mean if mean > 0 else 0.0)
