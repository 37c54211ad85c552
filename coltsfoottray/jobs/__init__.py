"""Jobs: what callers hand in, the queues they go to, and the rows that last."""

from __future__ import annotations

from coltsfoottray.jobs.config import Queue, ServiceTerms, SiteConfig
from coltsfoottray.jobs.model import (
    AcceptedJob,
    JobSpec,
    QueueTerms,
    Repetition,
    RunRef,
    StepSpec,
    TaskRef,
)
from coltsfoottray.jobs.records import JobRecord, JobState, TaskPhase, TaskRecord

__all__ = [
    "AcceptedJob",
    "JobRecord",
    "JobSpec",
    "JobState",
    "Queue",
    "QueueTerms",
    "Repetition",
    "RunRef",
    "ServiceTerms",
    "SiteConfig",
    "StepSpec",
    "TaskPhase",
    "TaskRecord",
    "TaskRef",
]
