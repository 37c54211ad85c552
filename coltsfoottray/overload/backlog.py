"""The work ahead of a job that is submitted now, by queue.

Load pattern: a burst that takes longer to process than its jobs are of use. Entries
learn of it from the scheduler and can then reject jobs at once.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Collection, Iterable, Mapping
from datetime import timedelta
from typing import NamedTuple

import msgspec

from coltsfoottray.overload.demand import JobDemand, JobKey, Pool

__all__ = ["Backlog", "KnownBacklog", "QueueBacklog", "QueueRank", "make_backlog"]

# A pool whose rate is almost 0 would have a wait without bound. No objective is longer.
_MAX_WAIT_MS = 3_600_000
# Coarse enough that an idle deployment keeps its backlog instead of sending a new one.
_DIGITS = 1


class QueueRank(NamedTuple):
    """What the jobs of a queue compete for, and with which priority."""

    pool: Pool
    priority: int


class QueueBacklog(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """The backlog of one queue.

    Parameters
    ----------
    work : float
        Work ahead of a new job in processor-seconds: that of its pool with the same or
        a higher priority.
    wait_ms : int
        Predicted time until the pool has done that work, in ms.
    rate : float
        Processors that work on it.
    """

    work: float = 0.0
    wait_ms: int = 0
    rate: float = 0.0


class Backlog(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """The backlog of all queues, as computed by a scheduler.

    Parameters
    ----------
    version : int
        Increases with each one, also across schedulers.
    """

    version: int
    by_queue: dict[str, QueueBacklog] = msgspec.field(default_factory=dict)


def make_backlog(
    demands: Iterable[JobDemand],
    *,
    deferred: Collection[JobKey],
    rate_by_pool: Mapping[Pool, float],
    rank_by_queue: Mapping[str, QueueRank],
    version: int,
) -> Backlog:
    """Return the work ahead of a job that is submitted now, by queue.

    A queue whose pool has no rate is left out, since its wait is unknown.

    Parameters
    ----------
    deferred : collection of JobKey
        Jobs that come after a new one of the same priority.
    """
    work_by_rank: dict[QueueRank, float] = defaultdict(float)
    deferred_by_rank: dict[QueueRank, float] = defaultdict(float)
    for demand in demands:
        rank = QueueRank(pool=demand.pool, priority=demand.priority)
        if demand.key in deferred:
            deferred_by_rank[rank] += demand.work_left
        else:
            work_by_rank[rank] += demand.work_left
    backlog_by_rank = {
        rank: _backlog_of(
            _work_ahead(rank, work_by_rank, deferred_by_rank), rate_by_pool[rank.pool]
        )
        for rank in set(rank_by_queue.values())
        if rank.pool in rate_by_pool
    }
    return Backlog(
        version=version,
        by_queue={
            queue: backlog_by_rank[rank]
            for queue, rank in rank_by_queue.items()
            if rank in backlog_by_rank
        },
    )


def _work_ahead(
    rank: QueueRank,
    work_by_rank: Mapping[QueueRank, float],
    deferred_by_rank: Mapping[QueueRank, float],
) -> float:
    """Return the work that comes before a new job.

    Deferred jobs come after it at its own priority, and before it at a higher one.
    """
    return sum(
        work
        for other, work in work_by_rank.items()
        if other.pool == rank.pool and other.priority <= rank.priority
    ) + sum(
        work
        for other, work in deferred_by_rank.items()
        if other.pool == rank.pool and other.priority < rank.priority
    )


def _backlog_of(work: float, rate: float) -> QueueBacklog:
    wait_ms = _MAX_WAIT_MS
    if work * 1000 < rate * _MAX_WAIT_MS:
        wait_ms = round(work / rate * 1000)
    return QueueBacklog(
        work=round(work, _DIGITS),
        wait_ms=wait_ms if work > 0 else 0,
        rate=round(rate, _DIGITS),
    )


class KnownBacklog:
    """The latest backlog that a process knows.

    Parameters
    ----------
    max_age : timedelta
        An older backlog counts as unknown.
    """

    def __init__(self, *, max_age: timedelta) -> None:
        self._max_age = max_age
        self._backlog: Backlog | None = None
        self._received_at = timedelta(0)

    @property
    def version(self) -> int:
        """The version of the latest backlog, 0 for none."""
        return 0 if self._backlog is None else self._backlog.version

    def receive(self, backlog: Backlog | None, now: timedelta) -> None:
        """Keep a backlog unless a newer one is known."""
        if backlog is not None and backlog.version >= self.version:
            self._backlog = backlog
            self._received_at = now

    def confirm(self, now: timedelta) -> None:
        """Record that the scheduler has no newer backlog."""
        self._received_at = now

    def age(self, now: timedelta) -> timedelta:
        """Return the time since the latest backlog was received or confirmed."""
        return now - self._received_at

    def current(self, now: timedelta) -> Backlog | None:
        """Return the latest backlog, None if it is unknown or too old."""
        return self._backlog if self.age(now) <= self._max_age else None
