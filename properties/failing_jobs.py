"""Jobs under the faults of `Jobs` whose tasks fail, on workers that restart.

A task may fail only as often as its queue allows, whatever the scheduler believes of
its runs. Workers come back under their id before their attendant learns of it, fall
silent, and carry polls out late.
"""

from __future__ import annotations

from typing import Any

from hypothesis import strategies as st
from hypothesis.stateful import initialize, rule

from properties.jobs import ENTRIES, WORKERS, Jobs
from standins.job_cell import MAX_ATTEMPTS
from tests.support.job_world import job_id, make_steps

__all__ = ["FailingJobs"]

_MS_PER_S = 1000
# A failing job is given up at its first task that fails too often.
_MAX_FAILING_JOBS = 12
_DURATIONS_MS = st.sampled_from([20, 100, 300, 1200])
_LATE_STARTS: dict[str, Any] = {
    "entry": ENTRIES,
    "worker": WORKERS,
    # An attendant rejects a start after five calls without an answer.
    "late_starts": st.integers(min_value=1, max_value=6),
    "work_s": st.sampled_from([0.3, 2.0, 3.0]),
    # The next start is carried out 0.2 s to 0.7 s after the worker has restarted.
    "rejected_ms": st.sampled_from([3000, 3800, 4000]),
    "unnoticed_ms": st.sampled_from([1000, 4000]),
}


class FailingJobs(Jobs):
    """Adds tasks that fail, workers that restart unnoticed, and late polls."""

    def __init__(self) -> None:
        super().__init__()
        self._failing: set[str] = set()

    @rule(
        entry=ENTRIES,
        tasks=st.integers(min_value=1, max_value=4),
        work_s=st.sampled_from([0.1, 0.6, 2.0, 5.0, 8.0]),
    )
    def submit_failing(self, entry: str, tasks: int, work_s: float) -> None:
        """A caller submits a job whose tasks fail."""
        if not self._is_answering(entry) or len(self._failing) >= _MAX_FAILING_JOBS:
            return
        label = f"j{next(self._numbers)}"
        self._failing.add(label)
        shape = make_steps(1, tasks, work_s)
        status = self.world.submit_job(entry, label, shape, work_s=work_s, fails=True)
        self._record_answer(label, status, tasks)

    @rule(worker=WORKERS, ms=_DURATIONS_MS)
    def restart_worker(self, worker: str, ms: int) -> None:
        """A worker restarts under its id, and reports itself only later."""
        machine = self.world.cell.worker_by_name[worker]
        machine.sends_heartbeats = False
        machine.crash()
        self.world.advance(ms / _MS_PER_S)
        machine.sends_heartbeats = True

    @rule(worker=WORKERS, entry=ENTRIES, ms=_DURATIONS_MS, restarts=st.booleans())
    def restart_worker_before_starts(
        self, worker: str, entry: str, ms: int, restarts: bool
    ) -> None:
        """A worker restarts unnoticed and accepts starts meant for its predecessor."""
        machine = self.world.cell.worker_by_name[worker]
        machine.sends_heartbeats = False
        machine.crash()
        self.submit_failing(entry, 4, 5.0)
        if restarts:
            self.restart(worker)
        self.world.advance(ms / _MS_PER_S)
        machine.sends_heartbeats = True

    @rule(**_LATE_STARTS)
    def carry_out_after_restart(
        self,
        entry: str,
        worker: str,
        late_starts: int,
        work_s: float,
        rejected_ms: int,
        unnoticed_ms: int,
    ) -> None:
        """A worker restarts unnoticed, and carries out starts sent to its predecessor.

        By then their sender may have rejected them, and the task may have a later run.
        """
        machine = self.world.cell.worker_by_name[worker]
        machine.late_starts = late_starts
        self.submit_failing(entry, 1, work_s)
        self.world.advance(rejected_ms / _MS_PER_S)
        machine.sends_heartbeats = False
        machine.crash()
        self.world.advance(unnoticed_ms / _MS_PER_S)
        machine.sends_heartbeats = True

    @initialize(**_LATE_STARTS)
    def begin(self, **arguments: Any) -> None:
        """Begin each run with late starts in an idle cell."""
        self.carry_out_after_restart(**arguments)

    @rule(worker=WORKERS, ms=st.sampled_from([1000, 4000, 6500, 9000]))
    def silence(self, worker: str, ms: int) -> None:
        """A worker answers nothing for a while."""
        if self.permanent_faults.is_unresponsive(worker):
            return
        machine = self.world.cell.worker_by_name[worker]
        machine.is_unreachable = True
        self.world.advance(ms / _MS_PER_S)
        machine.is_unreachable = False

    @rule(worker=WORKERS, count=st.integers(min_value=1, max_value=3))
    def delay_polls(self, worker: str, count: int) -> None:
        """The next polls are carried out seconds late and not answered."""
        self.world.cell.worker_by_name[worker].late_polls = count

    def _has_ended(self, label: str) -> bool:
        if label not in self._failing:
            return super()._has_ended(label)
        state = self.world.state_of(self.permanent_faults.recoverable_entry(), label)
        may_be_cancelled = label in self._cancel_requested
        # Ended jobs are removed after the retention period.
        if state == "failed" or (state == "410" and not may_be_cancelled):
            assert self._has_failed(label), f"{label} ended, but no task has failed"
            return True
        return may_be_cancelled and state in ("cancelled", "410")

    def _has_failed(self, label: str) -> bool:
        """Return whether a task of a job has failed as often as is allowed."""
        runs_by_task = self.world.cell.observer.failed_runs_by_task
        return any(
            len(set(runs)) >= MAX_ATTEMPTS
            for task, runs in runs_by_task.items()
            if task.startswith(job_id(label))
        )
