"""The outcomes of runs: what their ends mean for tasks and jobs."""

from __future__ import annotations

from collections.abc import Callable

from coltsfoottray.agent.worker import EndKind, Refusal, RunEnd
from coltsfoottray.jobs.model import RunRef
from coltsfoottray.jobs.records import JobState, TaskPhase
from coltsfoottray.logs import log_event
from coltsfoottray.remembered import drop_oldest
from coltsfoottray.scheduler.fleet import Fleet, Worker
from coltsfoottray.scheduler.job_set import JobSet
from coltsfoottray.scheduler.live import LiveJob
from coltsfoottray.scheduler.live_step import LiveStep

__all__ = ["Outcomes"]

# An end is listed within a lease of some seconds after its run was given up.
_MAX_REMEMBERED = 5000


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
        # Why no outcome was expected of runs any more, oldest first.
        self._given_up: dict[RunRef, str] = {}

    def apply_end(self, worker: Worker, end: RunEnd, now_ms: int) -> None:
        """Apply an end that a worker lists; reports repeat it until it is stored."""
        worker.release(end.ref)
        changed = self._update_task(end.ref, end.kind, end.checkpoint, now_ms)
        is_repeated = end.number <= worker.applied_ends
        worker.applied_ends = max(worker.applied_ends, end.number)
        if end.kind not in (EndKind.DONE, EndKind.FAILED):
            self._remember(end.ref, f"ended: {end.kind.value}")
            return
        why = self._given_up.pop(end.ref, None)
        if why is not None or not (changed or is_repeated):
            self._log_late(worker, end, why or "unknown", changes_task=changed)

    def reject(self, worker: Worker, ref: RunRef, reason: Refusal, now_ms: int) -> None:
        """Give up a run whose start its attendant has rejected."""
        kind = EndKind.STOPPED
        if reason is Refusal.INVALID:
            # The worker will never accept it. It counts as a failure, since otherwise
            # the job would be retried forever.
            kind = EndKind.FAILED
        worker.release(ref)
        self._update_task(ref, kind, "", now_ms)
        self._remember(ref, f"rejected: {reason.value}")

    def give_up(self, worker: Worker, ref: RunRef, why: str, now_ms: int) -> None:
        """Give up a run that cannot exist any more."""
        worker.release(ref)
        self._update_task(ref, EndKind.LAPSED, "", now_ms)
        self._remember(ref, why)

    def _remember(self, ref: RunRef, why: str) -> None:
        """Record why a run was given up; its end may be listed nevertheless."""
        self._given_up[ref] = why
        drop_oldest(self._given_up, _MAX_REMEMBERED)

    def _log_late(
        self, worker: Worker, end: RunEnd, why: str, *, changes_task: bool
    ) -> None:
        """Log an end that is listed after its run was given up, or superseded."""
        step = self._jobs.find_step(end.ref.task)
        if step is None:
            return
        record = step.records[end.ref.task.index]
        log_event(
            "decision:late-end",
            worker=worker.id,
            life=worker.life,
            run=str(end.ref),
            kind=end.kind.value,
            given_up=why,
            changes_task=changes_task,
            phase=record.phase.name.lower(),
            current_run=record.run,
        )

    def _update_task(
        self, ref: RunRef, kind: EndKind, checkpoint: str, now_ms: int
    ) -> bool:
        """Update the task of a run that has ended; return whether that changed it."""
        step = self._jobs.find_step(ref.task)
        if step is None:
            return False
        record = step.records[ref.task.index]
        if step.job.record.state.is_final or record.phase is TaskPhase.DONE:
            return self._release_task(step, ref)
        if kind is EndKind.DONE and not step.spec.is_service:
            self._complete_task(step, ref, now_ms)
            return True
        changed = self._release_task(step, ref, checkpoint)
        if kind is EndKind.FAILED and not step.spec.is_service:
            changed = self._count_failure(step, ref, now_ms) or changed
        return changed

    def _release_task(self, step: LiveStep, ref: RunRef, checkpoint: str = "") -> bool:
        """Let a task wait for its next run; return False if it has a later one."""
        record = step.records[ref.task.index]
        if record.run != ref.run or record.phase is not TaskPhase.ASSIGNED:
            return False
        step.job.is_dirty = True
        if checkpoint:
            step.checkpoint_record(ref.task.index).checkpoint = checkpoint
        record.unassign(TaskPhase.WAITING)
        step.count_waiting(ref.task.index)
        if step.spec.is_gang:
            self._stop_gang(step, ref.run)
        return True

    def _complete_task(self, step: LiveStep, ref: RunRef, now_ms: int) -> None:
        """Record the result of a task, whichever of its runs has produced it."""
        indices = [ref.task.index]
        if step.spec.is_gang:
            # A gang completes as a whole, so the end of one member completes all.
            indices = list(range(len(step.records)))
        for index in indices:
            record = step.records[index]
            if record.run != ref.run:
                self._stop_run(step, index)
            if record.phase is not TaskPhase.DONE:
                step.count_done(index)
            record.unassign(TaskPhase.DONE)
            record.checkpoint = ""
        job = step.job
        job.is_dirty = True
        job.close_occurrence(step.occurrence)
        if job.is_complete and not job.record.state.is_final:
            log_event("decision:completed", job=job.id)
            self.finish(job, JobState.COMPLETED, now_ms)

    def _stop_run(self, step: LiveStep, index: int) -> None:
        """Stop the current run of a task, if it has one."""
        record = step.records[index]
        worker = self._fleet.worker_by_id.get(record.worker)
        placed = worker and worker.held_by_ref.get(
            RunRef(task=step.ref(index), run=record.run)
        )
        if placed:
            placed.is_stopping = True

    def _count_failure(self, step: LiveStep, ref: RunRef, now_ms: int) -> bool:
        """Count the failure of a run; return whether it was not counted before."""
        # Several members of a gang may report the failure of one run.
        record = step.records[0 if step.spec.is_gang else ref.task.index]
        if not record.count_failure(ref.run):
            return False
        step.job.is_dirty = True
        self._apply_limit(step, ref.task.index, now_ms)
        return True

    def apply_limits(self, now_ms: int) -> None:
        """Fail the jobs that exceed a limit, which the operator may have lowered."""
        for job in list(self._jobs.active_by_id.values()):
            for step in job.steps():
                for index in range(len(step.records)):
                    self._apply_limit(step, index, now_ms)

    def _apply_limit(self, step: LiveStep, index: int, now_ms: int) -> None:
        """Fail a job if a task or gang has failed as often as is allowed."""
        record = step.records[0 if step.spec.is_gang else index]
        job = step.job
        may_start = record.phase is not TaskPhase.DONE and not job.record.state.is_final
        if not record.failures or not may_start:
            return
        allowed = self._max_attempts_of(job)
        if record.failures < allowed:
            return
        log_event(
            "decision:failed",
            job=job.id,
            task=str(step.ref(index)),
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
