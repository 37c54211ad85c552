"""Jobs as an earlier scheduler would have stored them in the table."""

from __future__ import annotations

from typing import Any

import msgspec

from coltsfoottray.jobs.keys import accepted_key, record_key, summary_key
from coltsfoottray.jobs.model import AcceptedJob, JobId, JobSpec, QueueTerms, StepSpec
from coltsfoottray.jobs.records import (
    JobRecord,
    JobState,
    JobSummary,
    TaskPhase,
    TaskRecord,
)
from coltsfoottray.types import Resources
from standins.metadata_table import MetadataTableStandIn

__all__ = ["store_jobs", "stored_job_id"]

# A worker that is gone, so that the stored runs occupy no room.
_WORKER = "worker-of-another-day"
_LIFE = "1767225600000"
_PAYLOAD = msgspec.json.encode({"work_s": 1000, "text": "x" * 250}).decode()


def stored_job_id(number: int) -> JobId:
    """Return the id of the job that was stored as number `number`."""
    return JobId(f"{number:016x}")


def store_jobs(
    table: MetadataTableStandIn,
    *,
    active: int,
    ended: int,
    tasks: int,
    first: int = 0,
    processors: float = 1.0,
    has_former_format: bool = False,
) -> None:
    """Store jobs of one step, all tasks of the active ones with a run.

    Parameters
    ----------
    active, ended : int
        Number of jobs whose tasks run, and of completed jobs.
    tasks : int
        Number of tasks of each job.
    first : int
        Number of the first job.
    processors : float
        Processors that each task requests.
    has_former_format : bool
        Whether completed jobs still have a record.
    """
    for number in range(active + ended):
        job = stored_job_id(first + number)
        _put(table, accepted_key(job), _accepted(job, tasks, processors))
        is_active = number < active
        state = JobState.RUNNING if is_active else JobState.COMPLETED
        if is_active:
            run = TaskRecord(phase=TaskPhase.ASSIGNED, run=1)
            run.worker, run.life = _WORKER, _LIFE
            record = JobRecord(
                state=state, has_started=True, occurrences=[[[run] * tasks]]
            )
            _put(table, record_key(job), record)
        elif has_former_format:
            record = JobRecord(state=state, has_started=True, occurrences=[[]])
            _put(table, record_key(job), record)
        _put(table, summary_key(job), JobSummary(state=state, has_started=True))


def _accepted(job: JobId, tasks: int, processors: float) -> AcceptedJob:
    demand = Resources(processors=processors, memory_gb=0.1)
    return AcceptedJob(
        id=job,
        queue="r-rebuild",
        terms=QueueTerms(service="svc", priority=1, max_attempts=2),
        spec=JobSpec(
            payload=_PAYLOAD,
            steps=[StepSpec(count=tasks, demand=demand, estimate_ms=1000.0)],
        ),
        accepted_ms=0,
    )


def _put(table: MetadataTableStandIn, key: str, value: Any) -> None:
    group, part, name = key.split("/", 2)
    table.put(group, part, name, msgspec.to_builtins(value))
