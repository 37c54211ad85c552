"""All jobs of the scheduler, and those among them that need attention."""

from __future__ import annotations

from collections.abc import Iterable

from coltsfoottray.jobs.model import JobId, RunRef, TaskRef
from coltsfoottray.scheduler.live import LiveJob
from coltsfoottray.scheduler.live_step import LiveStep
from coltsfoottray.types import Resources

__all__ = ["JobSet"]


class JobSet:
    """Jobs by id.

    Most of them ended long ago, so what a round looks at is kept apart.

    Attributes
    ----------
    by_id : dict
        All jobs.
    active_by_id : dict
        Jobs that have not ended.
    open_by_id : dict
        Jobs that may have something to store: active ones, and ended ones until their
        end is stored and none of their runs is left.
    """

    def __init__(self) -> None:
        self.by_id: dict[JobId, LiveJob] = {}
        self.active_by_id: dict[JobId, LiveJob] = {}
        self.open_by_id: dict[JobId, LiveJob] = {}

    def add(self, job: LiveJob) -> None:
        """Add a job, ended or not."""
        self.by_id[job.id] = job
        if job.needs_record:
            self.open_by_id[job.id] = job
        if not job.record.state.is_final:
            self.active_by_id[job.id] = job

    def remove(self, job_id: JobId) -> None:
        """Remove a job whose retention has passed."""
        self.by_id.pop(job_id, None)
        self.active_by_id.pop(job_id, None)
        self.open_by_id.pop(job_id, None)

    def mark_begun(self, started: Iterable[RunRef]) -> None:
        """Record that workers have started runs."""
        for ref in started:
            job = self.by_id.get(ref.task.job)
            if job is not None:
                job.mark_begun()

    def find_step(self, task: TaskRef) -> LiveStep | None:
        """Return the step that contains a task, None if it is not known or done."""
        job = self.by_id.get(task.job)
        return None if job is None else job.find(task)

    def demand_of(self, ref: RunRef) -> Resources:
        """Return the resources that a run reserves, none for an unknown job."""
        job = self.by_id.get(ref.task.job)
        steps = [] if job is None else job.accepted.spec.steps
        if ref.task.step >= len(steps):
            return Resources()
        return steps[ref.task.step].reserved

    def close_ended(self) -> None:
        """Close the jobs that have ended and are stored as they will remain."""
        closed = [
            job.id
            for job in self.open_by_id.values()
            if not job.needs_record and not job.is_dirty
        ]
        for job_id in closed:
            del self.open_by_id[job_id]

    def next_due_ms(self) -> int | None:
        """Return when the next occurrence of any job is due, None if there is none."""
        dues = [job.next_due_ms for job in self.active_by_id.values()]
        return min((due for due in dues if due is not None), default=None)
