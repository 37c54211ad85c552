"""What is stored of a job's progress, written by the scheduler.

One row a job tells of each task, and a short one what callers may ask for; the two
are written together.
"""

from __future__ import annotations

import enum

import msgspec

__all__ = ["JobRecord", "JobState", "JobSummary", "TaskPhase", "TaskRecord"]


class JobState(enum.Enum):
    """Where a job stands."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def is_final(self) -> bool:
        """Whether no later state can follow."""
        return self not in (JobState.QUEUED, JobState.RUNNING)


class JobSummary(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """The part of a job's progress that callers ask for.

    Parameters
    ----------
    has_started : bool
        Whether any of its tasks was ever assigned.
    """

    state: JobState = JobState.QUEUED
    has_started: bool = False


class TaskPhase(enum.IntEnum):
    """Where a task stands."""

    WAITING = 0
    ASSIGNED = 1
    """A run may exist on the worker named, whether or not it has begun."""
    DONE = 2


class TaskRecord(msgspec.Struct, array_like=True, omit_defaults=True):
    """One task.

    Parameters
    ----------
    run : int
        The number of its last run, 0 before the first.
    failures : int
        Runs that ended by a failure of the task.
    worker, life : str
        Where the run is, and in which life of that worker.
    checkpoint : str
        What the next run resumes from; empty for the beginning.
    """

    phase: TaskPhase = TaskPhase.WAITING
    run: int = 0
    failures: int = 0
    worker: str = ""
    life: str = ""
    checkpoint: str = ""


class JobRecord(msgspec.Struct, kw_only=True, omit_defaults=True):
    """One job.

    Parameters
    ----------
    ended_ms : int
        When it reached its final state, in milliseconds since 1970.
    has_started : bool
        Whether any of its tasks was ever assigned.
    occurrences : list
        The tasks by occurrence and step. An occurrence that has ended well is
        an empty list.
    length_ms_by_step : dict
        How long a task of a step took, for the steps of which that is known.
    """

    state: JobState = JobState.QUEUED
    ended_ms: int = 0
    has_started: bool = False
    occurrences: list[list[list[TaskRecord]]] = msgspec.field(default_factory=list)
    length_ms_by_step: dict[int, int] = msgspec.field(default_factory=dict)

    @property
    def summary(self) -> JobSummary:
        """What callers may ask for."""
        return JobSummary(state=self.state, has_started=self.has_started)
