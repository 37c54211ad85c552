"""A job as its caller described it."""

from __future__ import annotations

from datetime import timedelta
from typing import NewType

import msgspec

from coltsfoottray.types import Resources

__all__ = [
    "AcceptedJob",
    "AdviceTerms",
    "JobId",
    "JobSpec",
    "QueueTerms",
    "Repetition",
    "RunRef",
    "StepSpec",
    "TaskRef",
]

JobId = NewType("JobId", str)


class TaskRef(msgspec.Struct, frozen=True, array_like=True, order=True):
    """Names one task: job, occurrence of the job, step, index in the step."""

    job: JobId
    occurrence: int
    step: int
    index: int

    def __str__(self) -> str:
        return f"{self.job}.{self.occurrence}.{self.step}.{self.index}"


class RunRef(msgspec.Struct, frozen=True, array_like=True, order=True):
    """Names one run of a task; runs are numbered from 1 and rise."""

    task: TaskRef
    run: int

    def __str__(self) -> str:
        return f"{self.task}#{self.run}"


class StepSpec(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """One step of a job.

    Parameters
    ----------
    count : int
        How many tasks it has.
    demand : Resources
        What each task is given.
    estimate_ms : float
        The caller's guess of a task's duration, often far off.
    after : list of int
        Steps that must have ended well first.
    has_checkpoints : bool
        A run can resume from what an earlier one saved.
    is_gang : bool
        All tasks run together or not at all, under one run number.
    is_one_rack : bool
        Slower when its tasks are spread over several racks.
    label : str
        A label that the worker must carry.
    data_rack : str
        The rack that holds its data; it runs slower elsewhere.
    max_per_worker : int
        At most so many tasks of the step on one worker; 0 for no limit.
    is_speculative : bool
        Copies of a task may run side by side.
    is_service : bool
        Its tasks run until the job is cancelled and are started again however
        they end.
    image : str
        What the tasks run; tasks of one image behave alike.
    target_latency_ms : float
        For a service: its own tail latency must stay below; 0 for none.
    is_filler : bool
        Its processors are not set aside: it gets what the others leave.
    max_unavailable : int
        For a service: so many of its tasks may be away at once by our doing;
        0 for no limit.
    """

    count: int = 1
    demand: Resources = Resources()
    estimate_ms: float = 0.0
    after: list[int] = msgspec.field(default_factory=list)
    has_checkpoints: bool = False
    is_gang: bool = False
    is_one_rack: bool = False
    label: str = ""
    data_rack: str = ""
    max_per_worker: int = 0
    is_speculative: bool = False
    is_service: bool = False
    image: str = ""
    target_latency_ms: float = 0.0
    is_filler: bool = False
    max_unavailable: int = 0

    @property
    def reserved(self) -> Resources:
        """What a task takes from a worker's capacity for certain."""
        if not self.is_filler:
            return self.demand
        return msgspec.structs.replace(self.demand, processors=0.0)


class Repetition(msgspec.Struct, frozen=True, kw_only=True):
    """A job that runs its steps `times` times, each from its due time on."""

    times: int
    first_ms: int
    interval_ms: int

    def due_ms(self, occurrence: int) -> int:
        """Return the due time of an occurrence, in milliseconds since 1970."""
        return self.first_ms + occurrence * self.interval_ms


class JobSpec(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """What a caller handed in; `payload` is passed to each task as it is."""

    payload: str
    steps: list[StepSpec]
    repetition: Repetition | None = None


class AdviceTerms(msgspec.Struct, frozen=True, kw_only=True):
    """How an outside service advises on a queue's steps.

    Parameters
    ----------
    decision_ms, per_worker_ms : float
        How long an answer takes, and how much longer for each worker named.
    validity_ms : float
        For how long its tickets are valid.
    """

    decision_ms: float = 0.0
    per_worker_ms: float = 0.0
    validity_ms: float = 0.0


class QueueTerms(msgspec.Struct, frozen=True, kw_only=True):
    """What a queue promised the job when it was accepted.

    Parameters
    ----------
    service : str
        The pool of workers that runs it.
    priority : int
        0 goes first.
    max_attempts : int
        A task that failed so often makes the job fail.
    slowdown_factor, target_latency_ms : float
        A job is on time within `slowdown_factor` times its longest chain of
        work and `target_latency_ms` more.
    advice : AdviceTerms, optional
        Given where only workers that an outside service allows may run its steps.
    """

    service: str
    priority: int = 0
    max_attempts: int = 1
    slowdown_factor: float = 1.0
    target_latency_ms: float = 0.0
    advice: AdviceTerms | None = None

    @property
    def has_objective(self) -> bool:
        """Whether a job can be on time at all: some time is left beside its work."""
        return self.slowdown_factor > 1.0 or self.target_latency_ms > 0.0


class AcceptedJob(msgspec.Struct, frozen=True, kw_only=True):
    """A job as stored on acceptance; the row never changes.

    Parameters
    ----------
    accepted_ms : int
        When an entry received it, in milliseconds since 1970.
    """

    id: JobId
    queue: str
    terms: QueueTerms
    spec: JobSpec
    accepted_ms: int

    @property
    def accepted(self) -> timedelta:
        """`accepted_ms` since 1970."""
        return timedelta(milliseconds=self.accepted_ms)
