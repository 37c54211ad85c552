"""Jobs in the scheduler's memory: stored records and derived state."""

from __future__ import annotations

import dataclasses
from datetime import timedelta

from coltsfoottray.clock import Moment
from coltsfoottray.jobs.model import MAX_TASKS, AcceptedJob, JobId, TaskRef
from coltsfoottray.jobs.records import (
    JobRecord,
    JobState,
    JobSummary,
    TaskPhase,
    TaskRecord,
)
from coltsfoottray.scheduler.critical_path import CriticalPath
from coltsfoottray.scheduler.job_rows import JobRows
from coltsfoottray.scheduler.lengths import LengthEstimator
from coltsfoottray.scheduler.live_step import LiveStep

__all__ = ["MAX_RESTORED_AGE", "LiveJob"]

# A job or an occurrence that is new to a scheduler has become due this long ago at the
# most; more is an error of the time of day.
MAX_NOTICE_AGE = timedelta(seconds=3)
# A job that an earlier scheduler has stored may be older than any objective.
MAX_RESTORED_AGE = timedelta(days=1)


class LiveJob:
    """One accepted job.

    Parameters
    ----------
    accepted : AcceptedJob
        The acceptance as stored.
    record : JobRecord, optional
        Its progress as stored, None for a job that has not started.
    rows : JobRows
        What is stored of it.
    lengths : LengthEstimator
        Estimates how long its tasks take.
    seen : Moment
        When this scheduler learned of the job.
    longest_age : timedelta
        How long before that it may have been accepted.
    """

    def __init__(
        self,
        *,
        accepted: AcceptedJob,
        seen: Moment,
        longest_age: timedelta = MAX_NOTICE_AGE,
        record: JobRecord | None = None,
        rows: JobRows | None = None,
        lengths: LengthEstimator,
    ) -> None:
        self.accepted = accepted
        self.record = record or JobRecord()
        self.rows = rows or JobRows()
        self.is_dirty = False
        # Whether checkpoints arrived since the job was last stored, and when that was.
        self.has_new_checkpoints = False
        self.stored_at = seen.elapsed
        # Whether runs were settled since then that a new scheduler has to know of.
        self.has_newly_settled = False
        # Whether its first start is known and not stored yet.
        self.has_new_start = False
        # The state in which the table refused to store it, None if it did not. Nothing
        # of the job is started until it is stored.
        self.withheld_in: JobState | None = None
        # Work left, in processor-seconds, by occurrence that is deferred so that other
        # jobs can be on time.
        self.deferred_work_by_occurrence: dict[int, float] = {}
        # When occurrences count as due that are resumed at their last chance.
        self.resumed_due_by_occurrence: dict[int, timedelta] = {}
        # Since when none of its tasks has run although one could.
        self.idle_since: timedelta | None = None
        self._path = CriticalPath(
            accepted=accepted,
            seen_ms_by_step=self.record.length_ms_by_step,
            lengths=lengths,
            has_ended=self.record.state.is_final,
        )
        self.steps_by_occurrence: list[list[LiveStep]] = [
            self._make_steps(number, tasks)
            for number, tasks in enumerate(self.record.occurrences)
        ]
        # When each occurrence should have started, by the scheduler's steady clock: the
        # time of day may jump, and differs between VMs.
        self._start_by_occurrence = [
            seen.since(self._start_ms(number), longest=longest_age)
            for number in range(len(self.record.occurrences))
        ]
        self.accepted_at = seen.since(accepted.accepted_ms, longest=longest_age)

    @property
    def id(self) -> JobId:
        """The id that its caller chose."""
        return self.accepted.id

    @property
    def times(self) -> int:
        """The number of its occurrences."""
        repetition = self.accepted.spec.repetition
        if repetition is None or not self.accepted.spec.steps:
            # Occurrences without tasks would all be due and done at the same moment.
            return 1
        return repetition.times

    @property
    def next_due_ms(self) -> int | None:
        """When the next occurrence is due, None if all have been.

        None also while it would have too many tasks at a time: the next one waits until
        an earlier one has ended.
        """
        number = len(self.record.occurrences)
        if number >= self.times or self.record.state.is_final:
            return None
        if not self._has_room_for_occurrence():
            return None
        repetition = self.accepted.spec.repetition
        return 0 if repetition is None else repetition.due_ms(number)

    def _has_room_for_occurrence(self) -> bool:
        unfinished = sum(bool(steps) for steps in self.steps_by_occurrence)
        return (unfinished + 1) * self.accepted.spec.tasks <= MAX_TASKS

    def start_of(self, occurrence: int) -> timedelta:
        """Return when an occurrence should have started, by the steady clock."""
        if self.accepted.spec.repetition is None:
            return self.accepted_at
        return self._start_by_occurrence[occurrence]

    def _start_ms(self, occurrence: int) -> int:
        repetition = self.accepted.spec.repetition
        if repetition is None:
            return self.accepted.accepted_ms
        return repetition.due_ms(occurrence)

    def add_due_occurrences(self, now: Moment) -> None:
        """Add the occurrences that are due."""
        while (due := self.next_due_ms) is not None and due <= now.time_ms:
            tasks = [
                [TaskRecord() for _ in range(step.count)]
                for step in self.accepted.spec.steps
            ]
            number = len(self.record.occurrences)
            self.record.occurrences.append(tasks)
            start = now.since(self._start_ms(number), longest=MAX_NOTICE_AGE)
            self._start_by_occurrence.append(start)
            self.steps_by_occurrence.append(self._make_steps(number, tasks))

    @property
    def critical_path_ms(self) -> float:
        """The expected length of its critical path in ms."""
        return self._path.length_ms()

    def critical_path_left_ms(self, occurrence: int) -> float:
        """Return the expected critical path through an occurrence's unfinished steps.

        Returns
        -------
        float
            Its length in ms.
        """
        steps = self.steps_by_occurrence[occurrence]
        return self._path.left_ms([step.is_done for step in steps])

    def expected_length_ms(self, step: int) -> float:
        """Return how long a task of a step is expected to take, in ms."""
        return self._path.expected_ms(step)

    def path_after_ms(self, step: int) -> float:
        """Return the expected length of the steps that wait for a step, in ms."""
        return self._path.after_ms(step)

    def record_length(self, step: int, seen_ms: float) -> None:
        """Record how long a task of a step took, or is likely to take."""
        self._path.record(step, seen_ms)

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
    def has_new_summary(self) -> bool:
        """Whether the summary has changed since it was stored."""
        return self.record.summary != (self.rows.summary or JobSummary())

    @property
    def needs_summary_check(self) -> bool:
        """Whether its first write must depend on there being no summary.

        A job that has ended has only a summary: its tasks must not start again if its
        acceptance is taken for a new one.
        """
        return self.rows.is_empty and not self.has_new_summary

    @property
    def needs_record(self) -> bool:
        """Whether a new scheduler needs more than its summary."""
        return not self.record.state.is_final or not self.is_idle

    @property
    def is_withheld(self) -> bool:
        """Whether the table has refused its latest changes."""
        return self.withheld_in is not None

    def withhold(self) -> None:
        """Start nothing more until its changes are stored, which the table refuses."""
        self.withheld_in = self.record.state
        self.is_dirty = True

    def mark_stored(self, rows: JobRows, sent: timedelta) -> None:
        """Record that `rows` are up to date, by a write sent at `sent`."""
        self.rows = rows
        self.withheld_in = None
        self.stored_at = sent
        self.is_dirty = False
        self.has_new_checkpoints = False
        self.has_newly_settled = False
        self.has_new_start = False

    def mark_begun(self) -> None:
        """Record that a worker has started one of its tasks."""
        if self.record.has_started or self.record.state.is_final:
            return
        self.record.has_started = True
        self.record.state = JobState.RUNNING
        self.has_new_start = True

    def mark_start_stored(self, summary_version: int) -> None:
        """Record that its first start is stored, in its summary alone."""
        self.rows = dataclasses.replace(
            self.rows, summary=self.record.summary, summary_version=summary_version
        )
        self.has_new_start = False

    def finish(self, state: JobState, now_ms: int) -> None:
        """Enter a final state."""
        self.record.state = state
        self.record.ended_ms = now_ms
        self.is_dirty = True
        self._path.mark_ended()

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
