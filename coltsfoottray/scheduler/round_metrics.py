"""Metrics of the scheduler's rounds, and of the reports that it receives."""

from __future__ import annotations

from datetime import timedelta

from coltsfoottray.clock import Clock, as_duration, as_milliseconds
from coltsfoottray.metrics import Metrics
from coltsfoottray.scheduler.fleet import Fleet
from coltsfoottray.scheduler.messages import Report
from coltsfoottray.scheduler.placed_run import PlacedRun

__all__ = ["RoundMetrics"]


class RoundMetrics:
    """Records what a round has placed, the state of the fleet after it, and reports.

    Rejections and ends are counted once for each report that repeats them.
    """

    def __init__(self, *, fleet: Fleet, clock: Clock, metrics: Metrics) -> None:
        self._fleet = fleet
        self._clock = clock
        self._metrics = metrics

    def record(
        self,
        started_at: timedelta,
        placed: list[PlacedRun],
        *,
        active_jobs: int,
        withheld_jobs: int,
        set_aside_jobs: int,
    ) -> None:
        """Record a round that has been stored.

        Parameters
        ----------
        started_at : timedelta
            When the round began.
        active_jobs : int
            Number of jobs that have not ended.
        withheld_jobs : int
            Number of jobs whose latest changes the table refuses.
        set_aside_jobs : int
            Number of jobs on which the code has failed.
        """
        self._metrics.time("scheduler_round", self._clock.elapsed() - started_at)
        self._record_waits(placed)
        self._metrics.count("runs_placed", len(placed))
        self._metrics.gauge("jobs_active", active_jobs)
        self._metrics.gauge("jobs_withheld", withheld_jobs)
        self._metrics.gauge("jobs_set_aside", set_aside_jobs)
        workers = self._fleet.worker_by_id.values()
        self._metrics.gauge("workers_reachable", sum(w.is_reachable for w in workers))
        self._metrics.gauge("runs_held", sum(len(w.held_by_ref) for w in workers))
        out_of_reach = [w.held_by_ref for w in workers if not w.is_reachable]
        self._metrics.gauge("runs_out_of_reach", sum(map(len, out_of_reach)))

    def count_failed_report(self) -> None:
        """Count a report on which the code has failed."""
        self._metrics.count("reports_failed")

    def record_report(self, report: Report) -> None:
        """Record the rejections and ends in a report."""
        for rejected in report.rejected:
            self._metrics.count("rejections_received", reason=rejected.reason.value)
        for end in report.ends:
            self._metrics.count("ends_received", kind=end.kind.value)

    def _record_waits(self, placed: list[PlacedRun]) -> None:
        """Record how long jobs have waited for their first start."""
        now_ms = as_milliseconds(self._clock.now())
        for run in placed:
            job = run.step.job.accepted
            first = run.ref.run == 1 and not run.step.spec.after
            if first and job.spec.repetition is None:
                waited = as_duration(max(now_ms - job.accepted_ms, 0))
                priority = str(job.terms.priority)
                self._metrics.time("wait_for_start", waited, priority=priority)
