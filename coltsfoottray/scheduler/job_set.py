"""All jobs of the scheduler, and those among them that need attention."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from contextlib import contextmanager

import eliot

from coltsfoottray.jobs.model import JobId, RunRef, TaskRef
from coltsfoottray.logs import log_event
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
    set_aside_ids : set
        Jobs that are not planned any more, as the code failed on them. What runs of
        them goes on, and they can be cancelled.
    """

    def __init__(self) -> None:
        self.by_id: dict[JobId, LiveJob] = {}
        self.active_by_id: dict[JobId, LiveJob] = {}
        self.open_by_id: dict[JobId, LiveJob] = {}
        self.set_aside_ids: set[JobId] = set()

    @contextmanager
    def isolate(self, job_id: JobId) -> Iterator[None]:
        """Set a job aside if the code in the context fails, and go on after it.

        One job would otherwise end each scheduler in turn.
        """
        try:
            yield
        except Exception as error:
            self.active_by_id.pop(job_id, None)
            self.set_aside_ids.add(job_id)
            eliot.write_traceback()
            log_event("decision:set-aside", job=job_id, reason=repr(error))

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
        self.set_aside_ids.discard(job_id)

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
        dues = []
        for job in list(self.active_by_id.values()):
            with self.isolate(job.id):
                dues.append(job.next_due_ms)
        return min((due for due in dues if due is not None), default=None)
