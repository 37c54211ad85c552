"""Deferral of jobs while not all can be on time, and the backlog."""

from __future__ import annotations

from collections import defaultdict
from datetime import timedelta

from coltsfoottray.jobs.model import JobId
from coltsfoottray.logs import log_event
from coltsfoottray.metrics import Metrics
from coltsfoottray.overload.capacity import CapacityMeter
from coltsfoottray.overload.demand import JobDemand, JobKey, Pool
from coltsfoottray.overload.last_chance import deferral_reason, select_resumed
from coltsfoottray.overload.order import select_deferred
from coltsfoottray.scheduler.backlog_feed import BacklogFeed
from coltsfoottray.scheduler.cluster_state import ClusterState
from coltsfoottray.scheduler.demand import list_demands, measure_pools

__all__ = ["OverloadControl"]

# Reports arrive once a second from each worker; between two of them little changes but
# what jobs have come.
_PERIOD = timedelta(milliseconds=250)


class OverloadControl:
    """Marks the jobs that are deferred, for the planner and the attendants.

    Parameters
    ----------
    backlog_feed : BacklogFeed
        Is updated with the work that is not deferred.
    """

    def __init__(
        self, *, cluster: ClusterState, backlog_feed: BacklogFeed, metrics: Metrics
    ) -> None:
        self._cluster = cluster
        self.backlog_feed = backlog_feed
        self._metrics = metrics
        self._meter = CapacityMeter()
        self._deferred: set[JobKey] = set()
        self._resumed: dict[JobKey, timedelta] = {}
        self._updated_at: timedelta | None = None

    @property
    def meter(self) -> CapacityMeter:
        """Measures the rates of the pools."""
        return self._meter

    def update(self, now: timedelta) -> None:
        """Decide anew which jobs are deferred, if that is due."""
        if self._updated_at is not None and now - self._updated_at < _PERIOD:
            return
        self._updated_at = now
        self._meter.update(measure_pools(self._cluster, now), now)
        rate_by_pool = self._meter.rate_by_pool()
        demands = list_demands(self._cluster)
        self._resumed = select_resumed(
            demands,
            rate_by_pool,
            now,
            deferred_before=self._deferred,
            resumed_before=self._resumed,
        )
        deferred = select_deferred(
            demands,
            rate_by_pool,
            now,
            deferred_before=self._deferred,
            resumed=self._resumed,
        )
        self._log_changes(demands, deferred, rate_by_pool, now)
        self._deferred = deferred
        self._mark_jobs(demands)
        self._metrics.gauge("jobs_deferred", len(deferred))
        self.backlog_feed.update(
            demands, deferred=deferred, rate_by_pool=rate_by_pool, now=now
        )

    def _mark_jobs(self, demands: list[JobDemand]) -> None:
        work_by_job: dict[JobId, dict[int, float]] = defaultdict(dict)
        due_by_job: dict[JobId, dict[int, timedelta]] = defaultdict(dict)
        for demand in demands:
            if demand.key in self._deferred:
                work_by_job[demand.key.job][demand.key.occurrence] = demand.work_left
        for key, due in self._resumed.items():
            due_by_job[key.job][key.occurrence] = due
        for job in self._cluster.jobs.active_by_id.values():
            job.deferred_work_by_occurrence = work_by_job.get(job.id, {})
            job.resumed_due_by_occurrence = due_by_job.get(job.id, {})
        for worker in self._cluster.fleet.worker_by_id.values():
            worker.update_deferred()

    def _log_changes(
        self,
        demands: list[JobDemand],
        deferred: set[JobKey],
        rate_by_pool: dict[Pool, float],
        now: timedelta,
    ) -> None:
        for demand in demands:
            is_deferred = demand.key in deferred
            if is_deferred == (demand.key in self._deferred):
                continue
            rate = rate_by_pool.get(demand.pool)
            log_event(
                "decision:defer" if is_deferred else "decision:undefer",
                reason=deferral_reason(
                    demand, rate, now, is_deferred=is_deferred, resumed=self._resumed
                ).value,
                job=demand.key.job,
                occurrence=demand.key.occurrence,
                queue=demand.queue,
                priority=demand.priority,
                due_in_s=round((demand.due - now).total_seconds(), 2),
                work_left=round(demand.work_left, 1),
                path_left_s=round(demand.path_left.total_seconds(), 2),
                processors=None if rate is None else round(rate, 1),
            )
            if is_deferred:
                self._metrics.count("deferrals", queue=demand.queue)
