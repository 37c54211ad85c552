"""Jobs: their specifications, the queues that accept them and their stored rows."""

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
