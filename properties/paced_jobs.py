"""Jobs under the faults of `Jobs` beside services with latency targets.

Attendants restart as the scheduler does, workers stand still for good, and speed limits
of fillers arrive late. At the end all services meet their targets, so that all fillers
and all tasks of sound workers must finish.
"""

from __future__ import annotations

from typing import Any

from hypothesis import strategies as st
from hypothesis.stateful import initialize, rule

from properties.jobs import ENTRIES, WORKERS, Jobs
from properties.permanent_faults import PermanentFault
from tests.support.job_world import make_steps

__all__ = ["PacedJobs"]

_TARGET_MS = 45.0
_BELOW_TARGET_MS = 15.0
_OVER_TARGET_MS = 60.0
_WIDE_TASKS = 32
# Together they leave three of eight processors to other jobs.
_WIDE_MILLICORES = 10
_MILLI = 1000
_MAX_FILLERS = 8
# Time in which an attendant has slowed the fillers beside a service over its target.
_SLOWDOWN_S = 4.0


class PacedJobs(Jobs):
    """Adds fillers, services of several kinds, and workers that stand still."""

    def __init__(self) -> None:
        super().__init__()
        self._fillers = 0
        self._has_wide_service = False
        self._spread_services: set[str] = set()

    def teardown(self) -> None:
        """Let all services meet their targets, and wait for every job to end."""
        for worker in self.world.cell.worker_by_name:
            self.change_latencies(worker, False)
        super().teardown()

    @initialize(entry=ENTRIES, is_over=st.booleans())
    def begin(self, entry: str, is_over: bool) -> None:
        """Begin each run with fillers beside services."""
        self.submit_paced_service(entry)
        self.submit_filler(entry, 3, 12.0)
        for worker in self.world.cell.worker_by_name:
            self.change_latencies(worker, is_over)
        self.world.advance(_SLOWDOWN_S)

    @rule(entry=ENTRIES)
    def submit_paced_service(self, entry: str) -> None:
        """A caller submits a service with a latency target, a task for each worker."""
        if self._service_tasks or not self._is_answering(entry):
            return
        tasks = len(self.world.cell.worker_by_name)
        self._service_tasks += tasks
        shape = {"targetMs": _TARGET_MS, "image": "svc", "antiAffinity": 1}
        label = self._submit_service(
            entry, tasks=tasks, shape=shape, latency_ms=_BELOW_TARGET_MS
        )
        self._spread_services.add(label)

    @rule(entry=ENTRIES)
    def submit_wide_service(self, entry: str) -> None:
        """A caller submits a service of many small tasks."""
        if self._has_wide_service or not self._is_answering(entry):
            return
        self._has_wide_service = True
        share = _WIDE_MILLICORES / _MILLI
        shape = {"cpu": _WIDE_MILLICORES}
        self._submit_service(entry, tasks=_WIDE_TASKS, shape=shape, share=share)

    @rule(
        entry=ENTRIES,
        tasks=st.integers(min_value=1, max_value=3),
        work_s=st.sampled_from([2.0, 12.0]),
    )
    def submit_filler(self, entry: str, tasks: int, work_s: float) -> None:
        """A caller submits a job that gets the processors others leave."""
        exceeds_limit = self._fillers + tasks > _MAX_FILLERS
        if not self._is_answering(entry) or exceeds_limit:
            return
        self._fillers += tasks
        label = f"j{next(self._numbers)}"
        shape = make_steps(1, tasks, work_s, fills=True, image="fill")
        status = self.world.submit_job(entry, label, shape, work_s=work_s, share=0)
        self._record_answer(label, status, tasks)

    @rule(worker=WORKERS, is_over=st.booleans())
    def change_latencies(self, worker: str, is_over: bool) -> None:
        """The services on a worker exceed their targets, or meet them."""
        for run in self.world.cell.worker_by_name[worker].run_by_task.values():
            if run.latency_ms:
                run.latency_ms = _OVER_TARGET_MS if is_over else _BELOW_TARGET_MS

    @rule(worker=WORKERS, count=st.integers(min_value=1, max_value=3))
    def delay_speed_limits(self, worker: str, count: int) -> None:
        """The next speed limits are applied seconds late, without an answer."""
        self.world.cell.worker_by_name[worker].late_paces = count

    @rule(worker=WORKERS)
    def hang(self, worker: str) -> None:
        """Tasks on a worker stand still permanently, though it answers."""
        if self.permanent_faults.may_fail(worker):
            self.permanent_faults.lose_worker(worker, PermanentFault.HUNG)

    @rule(worker=WORKERS)
    def restart_with_scheduler(self, worker: str) -> None:
        """An attendant and the scheduler crash and restart at the same time."""
        self.restart(worker)
        if self.world.cell.scheduler():
            self.restart(self.world.cell.scheduler())

    @rule(worker=WORKERS)
    def restart_as_load_falls(self, worker: str) -> None:
        """An attendant crashes, and services meet their targets when it restarts."""
        if self.permanent_faults.is_stopped(worker):
            return
        self.world.kill_daemon(worker)
        self.change_latencies(worker, False)
        self.world.resume(worker)
        self.world.restart_daemon(worker)

    @rule()
    def lose_power(self) -> None:
        """All daemons crash and restart at the same time."""
        for process in list(self.world.cell.scope_by_name):
            self.restart(process)

    def _submit_service(
        self, entry: str, *, tasks: int, shape: dict[str, Any], **spec: Any
    ) -> str:
        """Submit a service and return its label."""
        label = f"j{next(self._numbers)}"
        self._services.add(label)
        steps = make_steps(1, tasks, 1.0, longRunning=True, **shape)
        status = self.world.submit_job(entry, label, steps, lasts=True, **spec)
        self._record_answer(label, status, tasks)
        return label

    def _runs_in_full(self, label: str, running: int) -> bool:
        """Return whether a service runs on all workers that it can run on."""
        if label not in self._spread_services:
            return super()._runs_in_full(label, running)
        workers = self.world.cell.worker_by_name
        recoverable = sum(map(self.permanent_faults.is_recoverable, workers))
        return recoverable <= running <= len(workers)
