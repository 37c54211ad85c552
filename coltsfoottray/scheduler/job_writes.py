"""The writes that store a job: the rows of its record, and its summary."""

from __future__ import annotations

from collections.abc import Container, Mapping, Sequence
from datetime import timedelta

import msgspec

from coltsfoottray.jobs.keys import record_key, summary_key
from coltsfoottray.jobs.record_rows import encode_record
from coltsfoottray.logs import log_event
from coltsfoottray.platform import Check, Put
from coltsfoottray.platform.common import ABSENT
from coltsfoottray.scheduler.job_rows import JobRows
from coltsfoottray.scheduler.live import LiveJob
from coltsfoottray.scheduler.transactions import WriteGroup

__all__ = ["make_job_group", "make_start_group", "mark_stored"]


def make_job_group(job: LiveJob, *, drops_records: bool) -> WriteGroup:
    """Return the writes that store a job.

    The summary that callers ask for has a row of its own, which changes once or twice
    per job. All entries follow these rows. If they followed the records, each change of
    a task would send them all tasks of the job, which is too much for an entry's link
    of 5 Mbit/s.

    Parameters
    ----------
    drops_records : bool
        Whether the record of a job that has ended may be deleted.
    """
    values = []
    checks = []
    if job.needs_record or not drops_records:
        values = encode_record(job.record)
    puts = _record_puts(job, values)
    if job.has_new_summary:
        puts.append(_summary_put(job))
    elif job.needs_summary_check:
        checks.append(Check(key=summary_key(job.id), version=ABSENT))
    return WriteGroup(puts=puts, checks=checks, job=job, record_rows=len(values))


def make_start_group(job: LiveJob) -> WriteGroup:
    """Return the write of a job's first start, in its summary alone."""
    return WriteGroup(puts=[_summary_put(job)], job=job, is_start_only=True)


def mark_stored(
    group: WriteGroup,
    versions: Mapping[str, int],
    deleted: Container[str],
    sent: timedelta,
) -> None:
    """Record in a group's job that its rows are stored."""
    job = group.job
    if job is None:
        return
    summary_version = versions.get(summary_key(job.id), job.rows.summary_version)
    if group.is_start_only:
        job.mark_start_stored(summary_version)
        return
    if job.is_withheld:
        log_event("decision:stored-again", job=job.id)
    key = record_key(job.id)
    version = 0 if key in deleted else versions.get(key, job.rows.version)
    rows = JobRows(
        version=version,
        record_rows=group.record_rows,
        summary=job.record.summary,
        summary_version=summary_version,
    )
    job.mark_stored(rows, sent)


def _record_puts(job: LiveJob, values: Sequence[msgspec.Raw]) -> list[Put]:
    """Return the writes that replace the rows of a job's record by `values`."""
    puts = []
    for part in range(max(len(values), job.rows.record_rows)):
        key = record_key(job.id, part)
        version = job.rows.version if part < job.rows.record_rows else ABSENT
        if part < len(values):
            puts.append(Put(key=key, version=version, value=values[part]))
        else:
            puts.append(Put(key=key, version=version))
    return puts


def _summary_put(job: LiveJob) -> Put:
    return Put.of(summary_key(job.id), job.rows.summary_version, job.record.summary)
