"""Choice of the deferred jobs to resume before they become useless.

Load pattern: more work than capacity for minutes. The jobs on time then need all of the
pool, and deferred jobs get little, the shortest first. A job much larger than others of
its queue gets nothing until it is of no use. At its last chance it is therefore
resumed: it ranks with the jobs on time, as if it were due when it has to start. Jobs
that are due earlier still come first.

If all such jobs were resumed, they would make most others late; of those that compete,
one at a time is. Jobs of the usual size are not: each would make another one late.
"""

from __future__ import annotations

import enum
import math
from collections.abc import Collection, Mapping
from datetime import timedelta

from coltsfoottray.clock import as_duration
from coltsfoottray.overload.demand import (
    JobDemand,
    JobKey,
    Pool,
    mean_work_by_queue,
)

__all__ = ["DeferralReason", "deferral_reason", "select_resumed"]

_MILLI = 1000.0

# Multiple of the mean work of its queue from which a job is resumed. Smaller ones come
# before it among the deferred jobs, and get what jobs on time leave.
_MIN_SIZE = 2.0
# A job has to start when it can still take this multiple of its expected length, since
# steps end with their slowest task.
_START_MARGIN = 2.0
# It is resumed earlier than that, so that jobs due later are deferred for it in time.
_RESUME_MARGIN = 3.0
# A resumed job counts as needing this much less, so that it is not deferred again
# because the measured rate of its pool varies.
_HYSTERESIS = 1.25


class DeferralReason(enum.Enum):
    """Why a job is deferred, or no longer deferred."""

    LATE = "late"
    """It cannot be on time, whatever is done."""
    COST = "cost"
    """Others can be on time, at a lower cost for callers."""
    LAST_CHANCE = "last-chance"
    """It is resumed, since it would become useless otherwise."""
    ON_TIME = "on-time"
    """It can be on time after all."""


def deferral_reason(
    demand: JobDemand,
    rate: float | None,
    now: timedelta,
    *,
    is_deferred: bool,
    resumed: Collection[JobKey],
) -> DeferralReason:
    """Return why a job is now deferred, or no longer deferred.

    Parameters
    ----------
    rate : float, optional
        Processors with which its pool works, None if not known.
    """
    if demand.key in resumed:
        return DeferralReason.LAST_CHANCE
    if not is_deferred:
        return DeferralReason.ON_TIME
    length_s = demand.length_s(math.inf if rate is None else rate)
    is_late = length_s > (demand.due - now).total_seconds()
    return DeferralReason.LATE if is_late else DeferralReason.COST


def select_resumed(
    demands: Collection[JobDemand],
    rate_by_pool: Mapping[Pool, float],
    now: timedelta,
    *,
    deferred_before: Collection[JobKey],
    resumed_before: Collection[JobKey],
) -> dict[JobKey, timedelta]:
    """Return the deferred jobs to resume, at most one per pool and priority.

    A job stays resumed until it ends or can no longer be of use. Of others at their
    last chance, the one whose use ends first is resumed. Each priority has its own,
    since one of a lower priority may get nothing while those of higher ones run.

    Parameters
    ----------
    rate_by_pool : mapping
        Processors with which a pool works on its jobs. A pool without a rate has
        enough for all that can be on time.
    deferred_before, resumed_before : collection of JobKey
        The jobs deferred and resumed by the previous decision.

    Returns
    -------
    dict
        For each resumed job the time that it ranks by, as if it were due then.
    """
    mean_work = mean_work_by_queue(demands)
    first: dict[tuple[Pool, int], tuple[bool, timedelta, JobDemand]] = {}
    for demand in demands:
        is_resumed = demand.key in resumed_before
        if not is_resumed and (
            demand.key not in deferred_before
            or demand.work_total < _MIN_SIZE * mean_work[demand.queue]
        ):
            continue
        rate = rate_by_pool.get(demand.pool, math.inf)
        if not _is_last_chance(demand, rate, now, is_resumed=is_resumed):
            continue
        competing = (demand.pool, demand.priority)
        turn = (not is_resumed, demand.useful_until, demand)
        if competing not in first or turn[:2] < first[competing][:2]:
            first[competing] = turn
    return {
        demand.key: _latest_start(demand, rate_by_pool.get(demand.pool, math.inf))
        for _, _, demand in first.values()
    }


def _is_last_chance(
    demand: JobDemand, rate: float, now: timedelta, *, is_resumed: bool
) -> bool:
    """Return whether a job can be of use, and soon can no longer be."""
    left_s = (demand.useful_until - now).total_seconds()
    length_s = demand.length_s(rate)
    if is_resumed:
        return length_s <= left_s * _HYSTERESIS
    return length_s <= left_s <= length_s * _RESUME_MARGIN


def _latest_start(demand: JobDemand, rate: float) -> timedelta:
    length = as_duration(demand.length_s(rate) * _MILLI)
    return demand.useful_until - length * _START_MARGIN
