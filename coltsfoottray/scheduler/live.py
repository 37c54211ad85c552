"""Jobs in the scheduler's memory: their stored records and state derived from them."""

from __future__ import annotations

from dataclasses import dataclass, field
from datetime import timedelta

from coltsfoottray.jobs.model import AcceptedJob, JobId, RunRef, StepSpec, TaskRef
from coltsfoottray.jobs.records import (
    JobRecord,
    JobState,
    JobSummary,
    TaskPhase,
    TaskRecord,
)
from coltsfoottray.logs import log_event
from coltsfoottray.scheduler.lengths import LengthEstimator
from coltsfoottray.scheduler.tickets import AdviceState, Ticket
from coltsfoottray.scheduler.wait_reason import WaitReason

__all__ = ["LiveJob", "LiveStep"]

# Time in which a start is usually stored, sent and carried out.
_ORDER_LATENCY = timedelta(milliseconds=300)


@dataclass(kw_only=True, eq=False)
class LiveStep:
    """One step of one occurrence.

    Parameters
    ----------
    waiting : list of int
        Indices of the tasks without a run.
    failed_runs : set of int
        The runs whose failure has been counted. In a gang, several tasks may report
        the failure of one run.
    avoid_by_index : dict
        For each task index, the workers on which the task failed or stalled.
    ticket_by_life : dict
        For each incarnation of a worker, the ticket that allows it to run the step.
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
    failed_runs: set[int] = field(default_factory=set)
    avoid_by_index: dict[int, set[str]] = field(default_factory=dict)
    ticket_by_life: dict[str, Ticket] = field(default_factory=dict)
    advice_state: AdviceState = field(default_factory=AdviceState)
    last_tried_round: int = 0
    wait_reason: WaitReason | None = None

    def __post_init__(self) -> None:
        self.recount()

    def recount(self) -> None:
        """Derive the counts from the records."""
        self.waiting = [
            index
            for index, record in enumerate(self.records)
            if record.phase is TaskPhase.WAITING
        ]
        self.done = sum(record.phase is TaskPhase.DONE for record in self.records)

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

    def valid_lives(self, now: timedelta) -> set[str]:
        """Return the worker incarnations with tickets that outlast sending a start."""
        return {
            life
            for life, ticket in self.ticket_by_life.items()
            if ticket.expires_at > now + _ORDER_LATENCY
        }

    @property
    def is_done(self) -> bool:
        """Whether every task has completed."""
        return self.done == len(self.records)

    @property
    def can_start(self) -> bool:
        """Whether it has waiting tasks and the steps that it depends on are done.

        A gang starts as a whole: while one of its members may still run, no other
        member is started.
        """
        if not self.waiting or self.job.record.state.is_final:
            return False
        if self.spec.is_gang and len(self.waiting) < len(self.records):
            return False
        steps = self.job.steps_by_occurrence[self.occurrence]
        return all(steps[number].is_done for number in self.spec.after)

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


class LiveJob:
    """One accepted job.

    Parameters
    ----------
    accepted : AcceptedJob
        The acceptance as stored.
    record : JobRecord, optional
        Its progress as stored, None for a job that has not started.
    version : int
        Version of the record's row, 0 if there is none.
    summary : JobSummary, optional
        The part of the progress that callers ask for, stored in a row of its own.
    summary_version : int
        Version of the summary's row, 0 if there is none.
    lengths : LengthEstimator
        Estimates how long its tasks take.
    """

    def __init__(
        self,
        *,
        accepted: AcceptedJob,
        record: JobRecord | None = None,
        version: int = 0,
        summary: JobSummary | None = None,
        summary_version: int = 0,
        lengths: LengthEstimator,
    ) -> None:
        self.accepted = accepted
        self._lengths = lengths
        self._lengths_revision = -1
        self._expected_ms: list[float] = []
        self.stored_summary = summary
        self.summary_version = summary_version
        self.record = record or JobRecord()
        self.version = version
        self.is_dirty = False
        # Whether checkpoints arrived since the job was last stored, and when that was.
        self.has_new_checkpoints = False
        self.stored_at = timedelta(0)
        # Since when none of its tasks has run although one could.
        self.idle_since: timedelta | None = None
        self._critical_path_ms = 0.0
        for number, seen_ms in self.record.length_ms_by_step.items():
            self._report_length(number, seen_ms)
        self.steps_by_occurrence: list[list[LiveStep]] = [
            self._make_steps(number, tasks)
            for number, tasks in enumerate(self.record.occurrences)
        ]

    @property
    def id(self) -> JobId:
        """The id that its caller chose."""
        return self.accepted.id

    @property
    def times(self) -> int:
        """The number of its occurrences."""
        repetition = self.accepted.spec.repetition
        return 1 if repetition is None else repetition.times

    @property
    def next_due_ms(self) -> int | None:
        """When the next occurrence is due, None if all have been."""
        number = len(self.record.occurrences)
        if number >= self.times or self.record.state.is_final:
            return None
        repetition = self.accepted.spec.repetition
        return 0 if repetition is None else repetition.due_ms(number)

    def add_due_occurrences(self, now_ms: int) -> None:
        """Add the occurrences that are due."""
        while (due := self.next_due_ms) is not None and due <= now_ms:
            tasks = [
                [TaskRecord() for _ in range(step.count)]
                for step in self.accepted.spec.steps
            ]
            number = len(self.record.occurrences)
            self.record.occurrences.append(tasks)
            self.steps_by_occurrence.append(self._make_steps(number, tasks))

    @property
    def critical_path_ms(self) -> float:
        """The expected length of its critical path in ms."""
        self._update_expected_lengths()
        return self._critical_path_ms

    def critical_path_left_ms(self, occurrence: int) -> float:
        """Return the expected critical path through an occurrence's unfinished steps.

        Returns
        -------
        float
            Its length in ms.
        """
        self._update_expected_lengths()
        steps = self.steps_by_occurrence[occurrence]
        left = [
            0.0 if step.is_done else self._expected_ms[step.number] for step in steps
        ]
        return _longest_path([step.spec for step in steps], left)

    def record_length(self, step: int, seen_ms: float) -> None:
        """Record how long a task of a step took, or is likely to take."""
        known = self.record.length_ms_by_step
        if step not in known:
            known[step] = round(seen_ms)
            self._report_length(step, known[step])

    def _report_length(self, step: int, seen_ms: float) -> None:
        declared_ms = self.accepted.spec.steps[step].estimate_ms
        self._lengths.add_observation(
            self.accepted.queue, declared_ms=declared_ms, seen_ms=seen_ms
        )

    def _update_expected_lengths(self) -> None:
        if self._lengths_revision == self._lengths.revision:
            return
        self._lengths_revision = self._lengths.revision
        steps = self.accepted.spec.steps
        self._expected_ms = [
            self._expected_length_ms(number, step.estimate_ms)
            for number, step in enumerate(steps)
        ]
        self._critical_path_ms = _longest_path(steps, self._expected_ms)

    def _expected_length_ms(self, step: int, declared_ms: float) -> float:
        """Return how long a task of a step is expected to take, in ms."""
        if not self.accepted.terms.has_objective:
            # Without an objective no job is late, and the declared length alone
            # determines its urgency.
            return declared_ms
        seen_ms = self.record.length_ms_by_step.get(step)
        if seen_ms is not None:
            return float(seen_ms)
        return self._lengths.expected_ms(self.accepted.queue, declared_ms)

    def steps(self) -> list[LiveStep]:
        """Return the steps of all unfinished occurrences."""
        return [step for steps in self.steps_by_occurrence for step in steps]

    def find(self, task: TaskRef) -> LiveStep | None:
        """Return the step that contains `task`, None if its occurrence is done."""
        if task.occurrence >= len(self.steps_by_occurrence):
            return None
        steps = self.steps_by_occurrence[task.occurrence]
        if task.step >= len(steps) or task.index >= len(steps[task.step].records):
            return None
        return steps[task.step]

    def close_occurrence(self, number: int) -> None:
        """Drop the tasks of an occurrence if all have completed."""
        if all(step.is_done for step in self.steps_by_occurrence[number]):
            self.record.occurrences[number] = []
            self.steps_by_occurrence[number] = []

    @property
    def stored_state(self) -> JobState:
        """The stored state, the only one that is reported to callers."""
        if self.stored_summary is None:
            return JobState.QUEUED
        return self.stored_summary.state

    @property
    def has_new_summary(self) -> bool:
        """Whether the summary has changed since it was stored."""
        return self.record.summary != self.stored_summary

    @property
    def needs_record(self) -> bool:
        """Whether a new scheduler needs more than its summary."""
        return not self.record.state.is_final or not self.is_idle

    def mark_stored(self, version: int, summary_version: int, sent: timedelta) -> None:
        """Record that its rows are up to date, by a write sent at `sent`.

        Parameters
        ----------
        version, summary_version : int
            Versions of the record and of the summary, 0 for a row that is deleted.
        """
        self.version = version
        self.summary_version = summary_version
        self.stored_summary = self.record.summary
        self.stored_at = sent
        self.is_dirty = False
        self.has_new_checkpoints = False

    def finish(self, state: JobState, now_ms: int) -> None:
        """Enter a final state."""
        self.record.state = state
        self.record.ended_ms = now_ms
        self.is_dirty = True

    @property
    def is_idle(self) -> bool:
        """Whether none of its tasks has a run."""
        return not any(
            record.phase is TaskPhase.ASSIGNED
            for step in self.steps()
            for record in step.records
        )

    @property
    def is_complete(self) -> bool:
        """Whether every occurrence is done."""
        return len(self.record.occurrences) >= self.times and not any(
            self.steps_by_occurrence
        )

    def _make_steps(
        self, occurrence: int, tasks: list[list[TaskRecord]]
    ) -> list[LiveStep]:
        return [
            LiveStep(
                job=self,
                occurrence=occurrence,
                number=number,
                spec=self.accepted.spec.steps[number],
                records=records,
            )
            for number, records in enumerate(tasks)
        ]


def _longest_path(steps: list[StepSpec], length_ms: list[float]) -> float:
    """Return the length of the critical path through the steps, in ms."""
    ends: list[float] = []
    for number, step in enumerate(steps):
        before = [ends[each] for each in step.after if each < number]
        ends.append(max(before, default=0.0) + length_ms[number])
    return max(ends, default=0.0)
