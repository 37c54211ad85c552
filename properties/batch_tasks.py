"""Batch tasks under crashes, pauses, cuts, lost VMs and outages."""

from __future__ import annotations

import itertools

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from coltsfoottray.types import TaskState
from tests.support.world import CUSTOMERS, World

__all__ = ["BatchTasks"]

ENTRIES = st.sampled_from(["entry-1", "entry-2"])
WORKERS = st.sampled_from(["worker-01", "worker-02"])
PROCESSES = st.one_of(ENTRIES, WORKERS)
# A lost start is detected after seconds, a lost worker after its lease of 3 s.
SETTLE_TIMEOUT_S = 240.0
# A single worker may have to run all tasks sequentially.
_MAX_WORK_S = 150.0


class BatchTasks(RuleBasedStateMachine):
    """Checks attempts, finished tasks and reservations against an oracle."""

    def __init__(self) -> None:
        super().__init__()
        self.world = World(entries=2, instances=1, workers=2)
        self._numbers = itertools.count()
        self._accepted: set[str] = set()
        self._work_s = 0.0
        self._lost_vms: set[str] = set()
        self._frozen_vms: set[str] = set()

    def teardown(self) -> None:
        """Recover all but one faulty VM and wait for every accepted task to end."""
        try:
            self._heal_all()
            self.world.wait_until(
                self._are_all_final, limit_s=SETTLE_TIMEOUT_S, step_s=0.5
            )
            self.check_safety()
            self._check_ends()
        finally:
            self.world.close()

    @rule(
        entry=ENTRIES,
        customer=st.sampled_from(CUSTOMERS),
        processors=st.sampled_from([2, 5, 8]),
        runtime_s=st.sampled_from([0.2, 3.0, 9.0]),
    )
    def submit(
        self, entry: str, customer: str, processors: int, runtime_s: float
    ) -> None:
        """A customer submits a new task."""
        if not self._is_answering(entry) or self._work_s + runtime_s > _MAX_WORK_S:
            return
        self._work_s += runtime_s
        task = f"t{next(self._numbers)}"
        status = self.world.submit(
            entry, task, customer, processors=processors, runtime_s=runtime_s
        )
        if status == 202:
            self._accepted.add(task)

    @rule(data=st.data(), entry=ENTRIES)
    def cancel(self, data: st.DataObject, entry: str) -> None:
        """A customer cancels a task."""
        if self._accepted and self._is_answering(entry):
            task = data.draw(st.sampled_from(sorted(self._accepted)))
            row = self.world.rows()[task]
            self.world.cancel(entry, task, row.spec.customer)

    @rule(ms=st.sampled_from([1, 5, 300, 2000, 5000]))
    def advance(self, ms: int) -> None:
        """Let time pass."""
        self.world.advance(ms / 1000)

    @rule(process=PROCESSES)
    def lose_reply(self, process: str) -> None:
        """The next reply from a process is lost."""
        self.world.fabric.faults(process).lost_replies = 1

    @rule(process=PROCESSES)
    def delay_request(self, process: str) -> None:
        """The next message to a process arrives late."""
        self.world.fabric.faults(process).late_requests = 1

    @rule(entry=ENTRIES, other=st.one_of(WORKERS, st.just("table")))
    def cut(self, entry: str, other: str) -> None:
        """An entry cannot reach a worker's attendant, or the table."""
        self.world.fabric.cut.add(frozenset((entry, other)))

    @rule(worker=WORKERS)
    def cut_worker_from_table(self, worker: str) -> None:
        """A worker's attendant cannot reach the table."""
        self.world.fabric.cut.add(frozenset((worker, "table")))

    @rule()
    def heal_cuts(self) -> None:
        """All processes reach each other again."""
        self.world.fabric.cut.clear()

    @rule(process=PROCESSES)
    def pause(self, process: str) -> None:
        """Freeze a process."""
        self.world.fabric.faults(process).pause()

    @rule(process=PROCESSES)
    def resume(self, process: str) -> None:
        """Resume a frozen process."""
        self.world.resume(process)

    @rule(entry=ENTRIES)
    def restart_entry(self, entry: str) -> None:
        """An entry crashes and restarts with empty memory."""
        if self.world.cell.table.faults.is_down:
            return
        if entry in self.world.cell.entry_by_name:
            self.world.kill(entry)
        self.world.resume(entry)
        self.world.run(self.world.cell.start_entry, entry)

    @rule(worker=WORKERS)
    def restart_attendant(self, worker: str) -> None:
        """A worker's attendant restarts; the worker keeps running."""
        if worker not in self._lost_vms:
            self.world.kill(worker)
            self.world.resume(worker)
            self.world.run(self.world.cell.start_attendant, worker)

    @rule(worker=WORKERS)
    def lose_vm(self, worker: str) -> None:
        """A worker's VM is lost together with its attendant."""
        if worker not in self._lost_vms:
            self._lost_vms.add(worker)
            self.world.lose_worker(worker)

    @rule(worker=WORKERS)
    def replace_vm(self, worker: str) -> None:
        """A new VM replaces a lost one under the same name."""
        if worker in self._lost_vms:
            self._lost_vms.discard(worker)
            self.resume_vm(worker)
            self.world.resume(worker)
            self.world.run(self.world.cell.replace_worker, worker)

    @rule(worker=WORKERS)
    def pause_vm(self, worker: str) -> None:
        """Freeze a VM, temporarily or permanently; its attendant keeps running."""
        self._frozen_vms.add(worker)
        self.world.fabric.faults(f"{worker}/vm").pause()

    @rule(worker=WORKERS)
    def resume_vm(self, worker: str) -> None:
        """Resume a frozen VM."""
        self._frozen_vms.discard(worker)
        self.world.resume(f"{worker}/vm")

    @rule(worker=WORKERS)
    def restart_vm(self, worker: str) -> None:
        """A VM crashes and restarts empty at once; its attendant keeps running."""
        if worker not in self._lost_vms:
            self.world.run(self._restart_vm, worker)

    @rule(is_down=st.booleans())
    def table(self, is_down: bool) -> None:
        """The table becomes unavailable or available again."""
        self.world.cell.table.faults.is_down = is_down

    @rule()
    def lose_table_answer(self) -> None:
        """The next write takes effect, but its response is lost."""
        self.world.cell.table.faults.lost_answers = 1

    @invariant()
    def check_safety(self) -> None:
        """No task runs twice, and no VM is overcommitted."""
        observer = self.world.cell.observer
        assert not observer.doubled, observer.doubled
        assert observer.overcommitted == 0

    def _check_ends(self) -> None:
        observer = self.world.cell.observer
        for task, row in self.world.rows().items():
            finishes = observer.finishes_by_task[row.spec.task]
            if row.state is TaskState.FINISHED:
                assert finishes >= 1, (
                    f"{task} never ended but is marked finished: {row}"
                )
        assert not +observer.running_by_task, observer.running_by_task

    def _are_all_final(self) -> bool:
        """Return whether all tasks are final, also those whose acceptance was lost."""
        rows = self.world.rows()
        is_complete = self._accepted <= set(rows)
        return is_complete and all(row.state.is_final for row in rows.values())

    def _is_answering(self, entry: str) -> bool:
        faults = self.world.fabric.faults(entry)
        return entry in self.world.cell.entry_by_name and faults.running.is_set()

    async def _restart_vm(self, worker: str) -> None:
        self.world.cell.worker_stand_in_by_name[worker].restart()

    def _heal_all(self) -> None:
        """Recover from all faults, except those of one lost or frozen VM."""
        self.world.fabric.cut.clear()
        self.world.cell.table.faults.is_down = False
        faulty = sorted(self._lost_vms | self._frozen_vms)
        for worker in faulty[1:]:
            self.resume_vm(worker)
            self.replace_vm(worker)
        frozen = {f"{worker}/vm" for worker in faulty[:1]}
        for process in sorted(set(self.world.fabric.faults_by_process) - frozen):
            self.world.resume(process)
