"""An entry's view of all jobs, built from the rows that it has received."""

from __future__ import annotations

from coltsfoottray.decoding import MalformedData
from coltsfoottray.jobs.keys import (
    JOBS_GROUP,
    LEASE_KEY,
    JobKey,
    JobRowKind,
    parse_job_key,
)
from coltsfoottray.jobs.model import AcceptedJob, JobId
from coltsfoottray.jobs.records import JobState, JobSummary
from coltsfoottray.logs import log_event
from coltsfoottray.metrics import Metrics
from coltsfoottray.platform import Row

__all__ = ["JobsView"]


_NOT_STARTED = JobSummary()


class JobsView:
    """Accepted jobs, their states and cancellations; may lag behind the table."""

    def __init__(self, *, metrics: Metrics) -> None:
        self._metrics = metrics
        self.job_by_id: dict[JobId, AcceptedJob] = {}
        self.cancelled: set[JobId] = set()
        self._summary_by_id: dict[JobId, JobSummary] = {}

    def apply(self, row: Row) -> JobKey | None:
        """Apply a row or its deletion to the view.

        Returns
        -------
        JobKey or None
            What has changed, None if the row is another writer's.
        """
        if row.key == LEASE_KEY:
            return None
        key = parse_job_key(row.key)
        try:
            if key is None:
                raise MalformedData(detail="no key of a job")
            self._apply(row, key)
        except MalformedData as error:
            log_event(
                "jobs:row-unreadable",
                key=row.key,
                version=row.version,
                reason=str(error),
            )
            self._metrics.count("rows_unreadable", group=JOBS_GROUP)
            return None
        return key

    def _apply(self, row: Row, key: JobKey) -> None:
        if key.kind is JobRowKind.SUMMARY:
            if row.is_deleted:
                self._summary_by_id.pop(key.job, None)
            else:
                self._summary_by_id[key.job] = row.decode(JobSummary)
        elif key.kind is JobRowKind.CANCELLATION:
            if row.is_deleted:
                self.cancelled.discard(key.job)
            else:
                self.cancelled.add(key.job)
        elif row.is_deleted:
            self.job_by_id.pop(key.job, None)
        else:
            self.job_by_id[key.job] = _decode_acceptance(row, key.job)

    def is_prevented(self, job_id: JobId) -> bool:
        """Return whether a job was cancelled and is not accepted."""
        return job_id in self.cancelled and job_id not in self.job_by_id

    def prevented_jobs(self) -> set[JobId]:
        """Return the jobs that were cancelled and are not accepted."""
        return self.cancelled - self.job_by_id.keys()

    def has_prevented(self, count: int) -> bool:
        """Return whether at least `count` jobs were cancelled and are not accepted."""
        return len(self.cancelled) >= count and len(self.prevented_jobs()) >= count

    def summarized_jobs(self) -> list[JobId]:
        """Return the jobs that have a summary, also without an acceptance."""
        return list(self._summary_by_id)

    def summary_of(self, job_id: JobId) -> JobSummary | None:
        """Return a job's stored summary, None if there is none."""
        return self._summary_by_id.get(job_id)

    def state_of(self, job_id: JobId) -> JobState:
        """Return the state of an accepted job."""
        state = self._summary_by_id.get(job_id, _NOT_STARTED).state
        if job_id in self.cancelled and not state.is_final:
            return JobState.CANCELLED
        return state

    def pending(self, queue: str) -> int:
        """Return the number of the queue's jobs of which no task has started.

        A job that has ended is not pending, whether or not a task of it has started.
        """
        return sum(
            job.queue == queue
            and job.id not in self.cancelled
            and self._is_pending(job.id)
            for job in self.job_by_id.values()
        )

    def _is_pending(self, job_id: JobId) -> bool:
        summary = self._summary_by_id.get(job_id, _NOT_STARTED)
        return not summary.has_started and not summary.state.is_final


def _decode_acceptance(row: Row, job_id: JobId) -> AcceptedJob:
    job = row.decode(AcceptedJob)
    if job.id != job_id:
        raise MalformedData(detail=f"it is about the job {job.id!r}")
    return job
