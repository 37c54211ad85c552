"""Steps of jobs in the scheduler's memory: stored records and derived state."""

from __future__ import annotations

import bisect
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from coltsfoottray.jobs.model import RunRef, StepSpec, TaskRef
from coltsfoottray.jobs.records import TaskPhase, TaskRecord
from coltsfoottray.logs import log_event
from coltsfoottray.scheduler.tickets import AdviceState, StepTickets
from coltsfoottray.scheduler.wait_reason import WaitReason

if TYPE_CHECKING:
    from coltsfoottray.scheduler.live import LiveJob

__all__ = ["LiveStep"]


@dataclass(kw_only=True, eq=False)
class LiveStep:
    """One step of one occurrence.

    Parameters
    ----------
    waiting : list of int
        Indices of the tasks without a run.
    orphans : set
        Runs of its tasks that a worker lists and that nobody expects there, with the
        worker. Their tasks wait until they are stopped.
    avoid_by_index : dict
        For each task index, the workers on which the task failed or stalled.
    tickets : StepTickets
        Permissions of the queue's policy to run the step.
    last_tried_round : int
        The last round in which a worker was sought for the step, 0 for none.
    wait_reason : WaitReason, optional
        Why the step waits, as last logged.
    """

    job: LiveJob
    occurrence: int
    number: int
    spec: StepSpec
    records: list[TaskRecord]
    waiting: list[int] = field(default_factory=list)
    done: int = 0
    orphans: set[tuple[RunRef, str]] = field(default_factory=set)
    avoid_by_index: dict[int, set[str]] = field(default_factory=dict)
    tickets: StepTickets = field(default_factory=StepTickets)
    advice_state: AdviceState = field(default_factory=AdviceState)
    last_tried_round: int = 0
    wait_reason: WaitReason | None = None

    def __post_init__(self) -> None:
        self.recount()

    def recount(self) -> None:
        """Derive the counts from the records."""
        running = {ref.task.index for ref, _ in self.orphans}
        self.waiting = [
            index
            for index, record in enumerate(self.records)
            if record.phase is TaskPhase.WAITING and index not in running
        ]
        self.done = sum(record.phase is TaskPhase.DONE for record in self.records)

    def count_done(self, index: int) -> None:
        """Update the counts after one task has completed, in a step of many."""
        self.done += 1
        if index in self.waiting:
            self.waiting.remove(index)

    def count_waiting(self, index: int) -> None:
        """Update the counts after one task has lost its run, in a step of many."""
        is_running = any(ref.task.index == index for ref, _ in self.orphans)
        if not is_running and index not in self.waiting:
            bisect.insort(self.waiting, index)

    def set_orphan(self, ref: RunRef, worker: str, *, exists: bool) -> None:
        """Record whether a worker lists a run that nobody expects there."""
        if exists:
            self.orphans.add((ref, worker))
        else:
            self.orphans.discard((ref, worker))
        self.recount()

    def record_wait_reason(self, reason: WaitReason) -> None:
        """Record why its waiting tasks wait, and log it if it has changed."""
        if not self.waiting:
            self.wait_reason = None
            return
        if self.wait_reason is reason:
            return
        self.wait_reason = reason
        log_event(
            "decision:wait",
            step=f"{self.job.id}.{self.occurrence}.{self.number}",
            lacks=reason.value,
            waiting=len(self.waiting),
        )

    @property
    def is_done(self) -> bool:
        """Whether every task has completed."""
        return self.done == len(self.records)

    @property
    def is_broken_gang(self) -> bool:
        """Whether some member of a gang has no run, so that the others must stop."""
        return self.spec.is_gang and 0 < len(self.waiting) < len(self.records)

    @property
    def has_turn(self) -> bool:
        """Whether the steps that it depends on are done."""
        steps = self.job.steps_by_occurrence[self.occurrence]
        return all(steps[number].is_done for number in self.spec.after)

    @property
    def can_start(self) -> bool:
        """Whether it has waiting tasks and the steps that it depends on are done.

        A gang starts as a whole: while one of its members may still run, no other
        member is started.
        """
        if not self.waiting or self.job.record.state.is_final:
            return False
        return not self.is_broken_gang and self.has_turn

    @property
    def is_deferred(self) -> bool:
        """Whether it is deferred so that other jobs can be on time."""
        return self.occurrence in self.job.deferred_work_by_occurrence

    def checkpoint_record(self, index: int) -> TaskRecord:
        """Return the record that holds a task's checkpoint.

        The members of a gang share one checkpoint, since all must resume from the same.
        """
        return self.records[0 if self.spec.is_gang else index]

    def ref(self, index: int) -> TaskRef:
        """Return the reference to one of its tasks."""
        return TaskRef(
            job=self.job.id,
            occurrence=self.occurrence,
            step=self.number,
            index=index,
        )

    def next_run(self, index: int) -> RunRef:
        """Return the reference to a task's next run.

        The members of a gang share the run number.
        """
        if self.spec.is_gang:
            run = max(record.run for record in self.records) + 1
        else:
            run = self.records[index].run + 1
        return RunRef(task=self.ref(index), run=run)
