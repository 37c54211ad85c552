"""What a round must not do because the table has refused to store it."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from coltsfoottray.scheduler.cluster_state import ClusterState
from coltsfoottray.scheduler.job_set import JobSet
from coltsfoottray.scheduler.messages import Report
from coltsfoottray.scheduler.placed_run import PlacedRun

__all__ = ["limit_to_stored", "withdraw_unstored"]


def withdraw_unstored(
    placed: Sequence[PlacedRun], cluster: ClusterState, now_ms: int
) -> list[PlacedRun]:
    """Give up the new runs of jobs that could not be stored; return the others."""
    for run in placed:
        if run.step.job.is_withheld:
            cluster.withdraw(run, now_ms)
    return [run for run in placed if not run.step.job.is_withheld]


def limit_to_stored(
    last_end_by_worker: dict[str, int], reports: Iterable[Report], jobs: JobSet
) -> None:
    """Acknowledge no end of a job that could not be stored, and none after it.

    Otherwise the next scheduler would know of no end, and run the task again.

    Parameters
    ----------
    last_end_by_worker : dict
        Number of the last end to acknowledge by worker, which is lowered.
    """
    for report in reports:
        for end in report.ends:
            job = jobs.by_id.get(end.ref.task.job)
            if job is not None and job.is_withheld:
                last = last_end_by_worker[report.worker]
                last_end_by_worker[report.worker] = min(last, end.number - 1)
