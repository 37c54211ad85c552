"""Keys of the rows in the table: `group/shard/name`.

Rows of one shard can be written in one transaction. Acceptances and cancellations
are distributed over shards by job id, so that a burst of them does not queue behind
the scheduler's writes. The scheduler's rows are in a shard of their own, together
with its lease row, which is a condition of each of its writes.
"""

from __future__ import annotations

import enum
import zlib
from dataclasses import dataclass

from coltsfoottray.jobs.model import JobId

__all__ = [
    "ATTENDANTS_PREFIX",
    "CONFIG_KEY",
    "JOBS_GROUP",
    "LEARNED_KEY",
    "LEARNED_PREFIX",
    "LEASE_KEY",
    "MEMBERS_GROUP",
    "OPERATOR_GROUP",
    "PRESSURES_KEY",
    "RECORDS_PREFIX",
    "JobKey",
    "JobRowKind",
    "RecordKey",
    "accepted_key",
    "attendants_key",
    "cancel_key",
    "job_shard_prefixes",
    "member_key",
    "parse_job_key",
    "parse_record_key",
    "record_key",
    "summary_key",
]

# Every entry follows this group, some over links of 5 Mbit/s, which carry 0.6 MB/s in
# total.
JOBS_GROUP = "state"
# Read only by the scheduler, when it starts. At 160 task starts per second, these rows
# exceed the capacity of a 5 Mbit/s link.
_RECORDS_GROUP = "progress"
OPERATOR_GROUP = "op"
MEMBERS_GROUP = "members"

# At 8 ms per transaction, a shard takes 125 transactions per second with up to 100 rows
# each. 8 shards are far more than the design size needs for its acceptances.
_JOB_SHARDS = 8
# No record has a million rows.
_MAX_DIGITS = 6

CONFIG_KEY = f"{OPERATOR_GROUP}//config"
LEASE_KEY = f"{JOBS_GROUP}/scheduler/lease"
RECORDS_PREFIX = f"{_RECORDS_GROUP}/scheduler/"
PRESSURES_KEY = f"{RECORDS_PREFIX}pressures"
ATTENDANTS_PREFIX = "attendants/scheduler/"
# In a group of its own: entries of earlier versions take each unknown row among the
# records for that of a job, and either delete it or fail to read the others.
LEARNED_PREFIX = "learned/scheduler/"
LEARNED_KEY = f"{LEARNED_PREFIX}estimates"


class JobRowKind(enum.Enum):
    """What a row says of a job."""

    ACCEPTANCE = "acceptance"
    CANCELLATION = "cancellation"
    SUMMARY = "summary"


@dataclass(frozen=True, kw_only=True)
class JobKey:
    """Key of a row that says something of a job."""

    job: JobId
    kind: JobRowKind


@dataclass(frozen=True, kw_only=True)
class RecordKey:
    """Key of a row of a job's record, of which `part` is the number."""

    job: JobId
    part: int


def accepted_key(job: JobId) -> str:
    """Return the key of the row that accepts a job."""
    return f"{JOBS_GROUP}/{_shard(job)}/job.{job}"


def cancel_key(job: JobId) -> str:
    """Return the key of the row that cancels a job."""
    return f"{JOBS_GROUP}/{_shard(job)}/cancel.{job}"


def record_key(job: JobId, part: int = 0) -> str:
    """Return the key of a row of a job's record, the progress of each task.

    Few jobs have so many tasks that their record has more than one row.
    """
    name = f"part{part}" if part else "job"
    return f"{RECORDS_PREFIX}{name}.{job}"


def parse_record_key(key: str) -> RecordKey | None:
    """Return what a row among the records belongs to, None if it is none of ours."""
    name, _, job = key.removeprefix(RECORDS_PREFIX).partition(".")
    number = name.removeprefix("part")
    is_part = number.isascii() and number.isdecimal() and len(number) <= _MAX_DIGITS
    parsed = RecordKey(job=JobId(job), part=int(number) if is_part else 0)
    return parsed if job and record_key(parsed.job, parsed.part) == key else None


def summary_key(job: JobId) -> str:
    """Return the key of a job's summary, which holds what callers can query."""
    return f"{JOBS_GROUP}/scheduler/job.{job}"


def attendants_key(data_centre: str) -> str:
    """Return the key of the row with the addresses of a data centre's attendants."""
    return f"{ATTENDANTS_PREFIX}{data_centre}"


def member_key(name: str) -> str:
    """Return the key of the row that holds an entry's peer address."""
    return f"{MEMBERS_GROUP}//{name}"


def parse_job_key(key: str) -> JobKey | None:
    """Return what a row of `JOBS_GROUP` is about, None if it is none of ours."""
    job = JobId(key.rpartition("/")[2].partition(".")[2])
    if not job:
        return None
    kind_by_key = {
        accepted_key(job): JobRowKind.ACCEPTANCE,
        cancel_key(job): JobRowKind.CANCELLATION,
        summary_key(job): JobRowKind.SUMMARY,
    }
    kind = kind_by_key.get(key)
    return None if kind is None else JobKey(job=job, kind=kind)


def job_shard_prefixes() -> list[str]:
    """Return the prefix of each shard of `JOBS_GROUP`, the scheduler's last."""
    shards = [f"{JOBS_GROUP}/j{number}/" for number in range(_JOB_SHARDS)]
    return [*shards, f"{JOBS_GROUP}/scheduler/"]


def _shard(job: JobId) -> str:
    return f"j{zlib.crc32(job.encode()) % _JOB_SHARDS}"
