"""Restores the jobs that earlier schedulers stored."""

from __future__ import annotations

from coltsfoottray.clock import Moment
from coltsfoottray.scheduler.cluster_state import ClusterState
from coltsfoottray.scheduler.grants import Grants
from coltsfoottray.scheduler.live import MAX_RESTORED_AGE, LiveJob
from coltsfoottray.scheduler.restore import StoredJob, StoredState

__all__ = ["load_jobs"]


def load_jobs(
    stored: StoredState, cluster: ClusterState, grants: Grants, now: Moment
) -> None:
    """Add the stored jobs to the cluster state, and set aside those that fail."""
    for job in stored.jobs:
        with cluster.jobs.isolate(job.accepted.id):
            _load_job(job, cluster, grants, now)


def _load_job(
    stored: StoredJob, cluster: ClusterState, grants: Grants, now: Moment
) -> None:
    job = LiveJob(
        accepted=stored.accepted,
        record=stored.record,
        rows=stored.rows,
        lengths=cluster.lengths,
        seen=now,
        longest_age=MAX_RESTORED_AGE,
    )
    if stored.is_unreadable:
        cluster.restore_unreadable(job)
    else:
        cluster.restore(job, prior_leases=grants.prior_leases, now=now.elapsed)
    if stored.is_cancelled:
        cluster.cancel(stored.accepted.id, now.time_ms)
