"""The specification of a job, as submitted by its caller."""

from __future__ import annotations

from datetime import timedelta
from typing import NewType

import msgspec

from coltsfoottray.clock import as_duration
from coltsfoottray.jobs.images import shorten_name
from coltsfoottray.jobs.limits import (
    MAX_COUNT,
    MAX_DURATION_MS,
    MAX_FACTOR,
    MAX_TIME_MS,
    limit_attributes,
    limit_resources,
    limited,
)
from coltsfoottray.types import Resources

__all__ = [
    "MAX_TASKS",
    "USEFUL_FACTOR",
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

MAX_TASKS = 10_000
"""Largest number of tasks of a job that exist at a time. The progress of all of them
is stored in one transaction, and every scheduler holds it in memory."""

USEFUL_FACTOR = 3.0
"""A job that takes more than this times its objective is worthless to its caller, by
the users' own measure of late work."""


class TaskRef(msgspec.Struct, frozen=True, array_like=True, order=True):
    """Identifies a task: job, occurrence of the job, step, index in the step."""

    job: JobId
    occurrence: int
    step: int
    index: int

    def __str__(self) -> str:
        return f"{self.job}.{self.occurrence}.{self.step}.{self.index}"


class RunRef(msgspec.Struct, frozen=True, array_like=True, order=True):
    """Identifies a run of a task; run numbers start at 1 and increase."""

    task: TaskRef
    run: int

    def __str__(self) -> str:
        return f"{self.task}#{self.run}"


class StepSpec(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """One step of a job.

    Parameters
    ----------
    count : int
        Number of tasks.
    demand : Resources
        Resources of each task.
    estimate_ms : float
        The caller's estimate of a task's duration, often far from the real one.
    after : list of int
        Indices of the steps that must have completed first.
    has_checkpoints : bool
        Whether a run can resume from a checkpoint of an earlier one.
    is_gang : bool
        Whether all tasks run together or not at all, under one run number.
    is_one_rack : bool
        Whether the tasks run slower when they are spread over several racks.
    label : str
        Label that the worker must have.
    data_rack : str
        Rack that holds the step's data; tasks run slower elsewhere.
    max_per_worker : int
        Maximum number of the step's tasks on one worker; 0 for no limit.
    is_speculative : bool
        Whether copies of a task may run concurrently.
    is_service : bool
        Whether the tasks run until the job is cancelled, and are restarted whenever
        they end.
    image : str
        Image that the tasks run, by its short name; tasks of one image behave alike.
    target_latency_ms : float
        For a service: upper bound on its own tail latency; 0 for none.
    is_filler : bool
        Whether no processors are reserved for it; it uses those that are idle.
    max_unavailable : int
        For a service: maximum number of tasks that the scheduler may make unavailable
        at the same time; 0 for no limit.
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

    def __post_init__(self) -> None:
        # Rows and messages of earlier versions have names of any length.
        msgspec.structs.force_setattr(self, "image", shorten_name(self.image))
        demand = limit_resources(self.demand)
        if demand != self.demand:
            msgspec.structs.force_setattr(self, "demand", demand)
        limit_attributes(self, 0.0, MAX_DURATION_MS, "estimate_ms", "target_latency_ms")
        limit_attributes(
            self, 0, MAX_COUNT, "count", "max_per_worker", "max_unavailable"
        )

    @property
    def reserved(self) -> Resources:
        """Resources that a task reserves from a worker's capacity."""
        if not self.is_filler:
            return self.demand
        return msgspec.structs.replace(self.demand, processors=0.0)


class Repetition(msgspec.Struct, frozen=True, kw_only=True):
    """Schedule of a job that runs `times` times, each at its due time or later."""

    times: int
    first_ms: int
    interval_ms: int

    def __post_init__(self) -> None:
        limit_attributes(self, 0, MAX_COUNT, "times")
        limit_attributes(self, -MAX_TIME_MS, MAX_TIME_MS, "first_ms", "interval_ms")

    def due_ms(self, occurrence: int) -> int:
        """Return the due time of an occurrence, in milliseconds since 1970."""
        return limited(self.first_ms + occurrence * self.interval_ms, 0, MAX_TIME_MS)


class JobSpec(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """A job as submitted; `payload` is passed to each task unchanged."""

    payload: str
    steps: list[StepSpec]
    repetition: Repetition | None = None

    @property
    def tasks(self) -> int:
        """Number of tasks of one occurrence."""
        return sum(step.count for step in self.steps)


class AdviceTerms(msgspec.Struct, frozen=True, kw_only=True):
    """How an external service advises on a queue's steps.

    Parameters
    ----------
    decision_ms, per_worker_ms : float
        Time that an answer takes, and the additional time per worker in the request.
    validity_ms : float
        How long its tickets are valid.
    """

    decision_ms: float = 0.0
    per_worker_ms: float = 0.0
    validity_ms: float = 0.0

    def __post_init__(self) -> None:
        limit_attributes(
            self, 0.0, MAX_DURATION_MS, "decision_ms", "per_worker_ms", "validity_ms"
        )


class QueueTerms(msgspec.Struct, frozen=True, kw_only=True):
    """The terms of a queue under which a job runs.

    Parameters
    ----------
    service : str
        Pool of workers that runs the job.
    priority : int
        0 is scheduled first.
    max_attempts : int
        Number of failures of one task after which the job fails.
    slowdown_factor, target_latency_ms : float
        A job is on time if it takes at most `slowdown_factor` times its critical
        path plus `target_latency_ms`.
    advice : AdviceTerms, optional
        Set if only workers that an external service allows may run the steps.
    """

    service: str
    priority: int = 0
    max_attempts: int = 1
    slowdown_factor: float = 1.0
    target_latency_ms: float = 0.0
    advice: AdviceTerms | None = None

    def __post_init__(self) -> None:
        limit_attributes(self, -MAX_COUNT, MAX_COUNT, "priority", "max_attempts")
        limit_attributes(self, 0.0, MAX_FACTOR, "slowdown_factor")
        limit_attributes(self, 0.0, MAX_DURATION_MS, "target_latency_ms")

    @property
    def has_objective(self) -> bool:
        """Whether a job can be on time: its terms allow more than the critical path."""
        return self.slowdown_factor > 1.0 or self.target_latency_ms > 0.0

    def objective_ms(self, path_ms: float) -> float:
        """Return how long a job with this critical path may take to be on time."""
        return self.slowdown_factor * path_ms + self.target_latency_ms


class AcceptedJob(msgspec.Struct, frozen=True, kw_only=True):
    """A job as stored on acceptance; the row never changes.

    Parameters
    ----------
    accepted_ms : int
        Time at which an entry received it, in milliseconds since 1970.
    """

    id: JobId
    queue: str
    terms: QueueTerms
    spec: JobSpec
    accepted_ms: int

    def __post_init__(self) -> None:
        limit_attributes(self, 0, MAX_TIME_MS, "accepted_ms")

    @property
    def accepted(self) -> timedelta:
        """`accepted_ms` as a duration since 1970."""
        return as_duration(self.accepted_ms)
