"""Keys of the rows that last: `group/shard/name`.

Rows of one shard can be written in one transaction. Acceptances and cancellations
are spread over shards by job id, so that a burst of them does not queue behind
the scheduler's writes; the scheduler's rows are in one shard of their own,
where its lease row guards each of its writes.
"""

from __future__ import annotations

import zlib

from coltsfoottray.jobs.model import JobId

__all__ = [
    "CONFIG_KEY",
    "JOBS_GROUP",
    "LEASE_KEY",
    "MEMBERS_GROUP",
    "OPERATOR_GROUP",
    "PRESSURES_KEY",
    "RECORDS_PREFIX",
    "accepted_key",
    "cancel_key",
    "is_scheduler_key",
    "job_of",
    "job_shard_prefixes",
    "member_key",
    "record_key",
    "summary_key",
]

# Every entry follows this group, also over links of 5 Mbit/s: 0.6 MB a second for all.
JOBS_GROUP = "state"
# What only the scheduler reads, and only when it begins: at 160 starts a second it is
# more than such a link carries.
_RECORDS_GROUP = "progress"
OPERATOR_GROUP = "op"
MEMBERS_GROUP = "members"

# At 8 ms a transaction a shard takes 125 a second, each with up to 100 rows;
# 8 of them are far above the acceptances of the size designed for.
_JOB_SHARDS = 8

CONFIG_KEY = f"{OPERATOR_GROUP}//config"
LEASE_KEY = f"{JOBS_GROUP}/scheduler/lease"
RECORDS_PREFIX = f"{_RECORDS_GROUP}/scheduler/"
PRESSURES_KEY = f"{RECORDS_PREFIX}pressures"


def accepted_key(job: JobId) -> str:
    """Return the key of a job's acceptance."""
    return f"{JOBS_GROUP}/{_shard(job)}/job.{job}"


def cancel_key(job: JobId) -> str:
    """Return the key of a job's cancellation."""
    return f"{JOBS_GROUP}/{_shard(job)}/cancel.{job}"


def record_key(job: JobId) -> str:
    """Return the key of a job's progress, task by task."""
    return f"{RECORDS_PREFIX}job.{job}"


def summary_key(job: JobId) -> str:
    """Return the key of what callers may ask of a job's progress."""
    return f"{JOBS_GROUP}/scheduler/job.{job}"


def member_key(name: str) -> str:
    """Return the key under which a daemon tells its peer address."""
    return f"{MEMBERS_GROUP}//{name}"


def is_scheduler_key(key: str) -> bool:
    """Whether the scheduler alone writes the row."""
    return "/scheduler/" in key


def job_shard_prefixes() -> list[str]:
    """Return the prefix of each shard of the jobs' rows, the scheduler's last."""
    shards = [f"{JOBS_GROUP}/j{number}/" for number in range(_JOB_SHARDS)]
    return [*shards, f"{JOBS_GROUP}/scheduler/"]


def job_of(key: str) -> JobId:
    """Return the job that a key is about."""
    return JobId(key.rsplit(".", 1)[1])


def _shard(job: JobId) -> str:
    return f"j{zlib.crc32(job.encode()) % _JOB_SHARDS}"
