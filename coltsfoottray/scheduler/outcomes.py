"""The outcomes of runs: what their ends mean for tasks and jobs."""

from __future__ import annotations

from collections.abc import Callable

from coltsfoottray.agent.worker import EndKind
from coltsfoottray.jobs.model import RunRef
from coltsfoottray.jobs.records import JobState, TaskPhase
from coltsfoottray.logs import log_event
from coltsfoottray.scheduler.fleet import Fleet, Worker
from coltsfoottray.scheduler.job_set import JobSet
from coltsfoottray.scheduler.live import LiveJob
from coltsfoottray.scheduler.live_step import LiveStep

__all__ = ["Outcomes"]


class Outcomes:
    """Applies the ends of runs to the records of their tasks, and ends jobs.

    Parameters
    ----------
    max_attempts_of : callable
        Returns how often a task of a job may fail.
    """

    def __init__(
        self,
        *,
        jobs: JobSet,
        fleet: Fleet,
        max_attempts_of: Callable[[LiveJob], int],
    ) -> None:
        self._jobs = jobs
        self._fleet = fleet
        self._max_attempts_of = max_attempts_of

    def apply_end(
        self,
        worker: Worker,
        ref: RunRef,
        kind: EndKind,
        checkpoint: str,
        now_ms: int,
    ) -> None:
        """Release a run that cannot exist any more, and update its task."""
        worker.release(ref)
        job = self._jobs.by_id.get(ref.task.job)
        step = None if job is None else job.find(ref.task)
        if job is None or step is None:
            return
        record = step.records[ref.task.index]
        if record.run != ref.run or record.phase is TaskPhase.DONE:
            return
        if record.phase is TaskPhase.WAITING and kind is not EndKind.DONE:
            return
        job.is_dirty = True
        if checkpoint:
            step.checkpoint_record(ref.task.index).checkpoint = checkpoint
        if kind is EndKind.DONE and not step.spec.is_service:
            self._complete_task(step, ref, now_ms)
            return
        record.unassign(TaskPhase.WAITING)
        step.recount()
        if kind is EndKind.FAILED and not step.spec.is_service:
            self._count_failure(step, ref, now_ms)
        if step.spec.is_gang:
            self._stop_gang(step, ref.run)

    def _complete_task(self, step: LiveStep, ref: RunRef, now_ms: int) -> None:
        ended = [step.records[ref.task.index]]
        if step.spec.is_gang:
            # A gang completes as a whole, so the end of one member completes all.
            ended = step.records
        for record in ended:
            record.unassign(TaskPhase.DONE)
            record.checkpoint = ""
        step.recount()
        job = step.job
        job.close_occurrence(step.occurrence)
        if job.is_complete and not job.record.state.is_final:
            log_event("decision:completed", job=job.id)
            self.finish(job, JobState.COMPLETED, now_ms)

    def _count_failure(self, step: LiveStep, ref: RunRef, now_ms: int) -> None:
        record = step.records[0 if step.spec.is_gang else ref.task.index]
        if ref.run <= record.failed_run:
            # Several members of a gang may report the failure of one run.
            return
        record.failed_run = ref.run
        record.failures += 1
        job = step.job
        allowed = self._max_attempts_of(job)
        if record.failures >= allowed and not job.record.state.is_final:
            log_event(
                "decision:failed",
                job=job.id,
                task=str(ref.task),
                failures=record.failures,
                allowed=allowed,
            )
            self.finish(job, JobState.FAILED, now_ms)

    def _stop_gang(self, step: LiveStep, run: int) -> None:
        """Stop the rest of a gang, which would wait for the member that ended."""
        for placed in self._fleet.placed_runs():
            if placed.step is step and placed.ref.run == run:
                placed.is_stopping = True

    def finish(self, job: LiveJob, state: JobState, now_ms: int) -> None:
        """Enter a final state, and stop the runs that the job still has."""
        job.finish(state, now_ms)
        self._jobs.active_by_id.pop(job.id, None)
        for placed in self._fleet.placed_runs():
            if placed.ref.task.job == job.id:
                placed.is_stopping = True
