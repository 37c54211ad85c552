"""Stored progress of a job, written by the scheduler.

Each job has two rows: a record with the progress of each task, and a short summary of
what callers can query. The record is written before a run is ordered, the summary once
a worker is known to have started one. Once the job has ended and none of its runs is
left, the record is deleted, so that a new scheduler reads only active jobs.
"""

from __future__ import annotations

import enum

import msgspec

__all__ = [
    "STATE_FORMAT",
    "JobRecord",
    "JobState",
    "JobSummary",
    "TaskPhase",
    "TaskRecord",
]

STATE_FORMAT = 1
"""Since 1, a job that has ended needs no record: its summary says when it ended."""


class JobState(enum.Enum):
    """State of a job."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def is_final(self) -> bool:
        """Whether no other state can follow."""
        return self not in (JobState.QUEUED, JobState.RUNNING)


class JobSummary(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """The part of a job's progress that callers can query.

    Parameters
    ----------
    has_started : bool
        Whether a worker is known to have started one of its tasks.
    ended_ms : int
        Time at which it reached its final state, in milliseconds since 1970.
    """

    state: JobState = JobState.QUEUED
    has_started: bool = False
    ended_ms: int = 0


class TaskPhase(enum.IntEnum):
    """Phase of a task."""

    WAITING = 0
    ASSIGNED = 1
    """A run may exist on the assigned worker, whether or not it has started."""
    DONE = 2


class TaskRecord(msgspec.Struct, array_like=True, omit_defaults=True):
    """Progress of one task.

    Parameters
    ----------
    run : int
        Number of its latest run, 0 before the first.
    failures : int
        Number of runs that ended with a failure of the task. The first task of a gang
        has those of the gang.
    worker, life : str
        Worker that the run is assigned to, and the worker's incarnation; empty unless
        it is assigned.
    checkpoint : str
        Checkpoint that the next run resumes from; empty to start from the beginning.
    failed_run : int
        Highest number of a run that is counted in `failures`, 0 for none.
    failed_runs : list of int
        Numbers of the runs that are counted in `failures`. Entries of earlier versions
        count without it.
    is_settled : bool
        Whether the incarnation `life` has confirmed the run, which no other can have
        then, and held no lease meant for an earlier one: the run lasts no longer than
        the leases that its attendant issues.
    """

    phase: TaskPhase = TaskPhase.WAITING
    run: int = 0
    failures: int = 0
    worker: str = ""
    life: str = ""
    checkpoint: str = ""
    failed_run: int = 0
    failed_runs: list[int] = msgspec.field(default_factory=list)
    is_settled: bool = False

    def unassign(self, phase: TaskPhase) -> None:
        """End the assignment of its latest run."""
        self.phase = phase
        self.worker = ""
        self.life = ""
        self.is_settled = False

    def count_failure(self, run: int) -> bool:
        """Count the failure of a run; return whether it is a new one.

        Each failed run counts once, whatever has become of the task since: its end may
        be listed again, after that of a later run, or after the run was given up.
        """
        # Of the failures that an earlier version counted, only the last run is known.
        is_older = run <= self.failed_run and len(self.failed_runs) < self.failures
        if run in self.failed_runs or is_older:
            return False
        self.failed_runs.append(run)
        self.failed_run = max(self.failed_run, run)
        self.failures += 1
        return True


class JobRecord(msgspec.Struct, kw_only=True, omit_defaults=True):
    """Progress of one job.

    Parameters
    ----------
    ended_ms : int
        Time at which it reached its final state, in milliseconds since 1970.
    has_started : bool
        Whether a worker is known to have started one of its tasks.
    occurrences : list
        Tasks by occurrence and step. A completed occurrence is an empty list.
    length_ms_by_step : dict
        Duration of a task in milliseconds by step, for the steps where it is known.
    """

    state: JobState = JobState.QUEUED
    ended_ms: int = 0
    has_started: bool = False
    occurrences: list[list[list[TaskRecord]]] = msgspec.field(default_factory=list)
    length_ms_by_step: dict[int, int] = msgspec.field(default_factory=dict)

    @property
    def summary(self) -> JobSummary:
        """The part of the record that callers can query."""
        return JobSummary(
            state=self.state, has_started=self.has_started, ended_ms=self.ended_ms
        )

    def apply_summary(self, summary: JobSummary) -> None:
        """Take over what the summary says; it may have been written later."""
        self.state = summary.state
        self.has_started = summary.has_started
        self.ended_ms = summary.ended_ms

    @classmethod
    def of_ended(cls, summary: JobSummary) -> JobRecord:
        """Return the record of an ended job, of which only a summary is left."""
        return cls(
            state=summary.state,
            has_started=summary.has_started,
            ended_ms=summary.ended_ms,
        )
