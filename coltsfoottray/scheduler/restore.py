"""Reads the stored state of all jobs when a scheduler takes over."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta

import trio

from coltsfoottray.clock import Clock
from coltsfoottray.jobs.keys import (
    ATTENDANTS_PREFIX,
    PRESSURES_KEY,
    RECORDS_PREFIX,
    is_scheduler_key,
    job_of,
    job_shard_prefixes,
)
from coltsfoottray.jobs.model import AcceptedJob, JobId
from coltsfoottray.jobs.records import JobRecord, JobSummary
from coltsfoottray.logs import log_event
from coltsfoottray.platform import Row, TableUnavailable, WatchedTable

__all__ = ["StoredJob", "StoredState", "read_attendant_rows", "read_stored_state"]

_RETRY_INTERVAL = timedelta(milliseconds=200)


@dataclass(kw_only=True)
class StoredJob:
    """A job as its rows store it."""

    accepted: AcceptedJob
    record: JobRecord | None = None
    version: int = 0
    summary: JobSummary | None = None
    summary_version: int = 0
    is_cancelled: bool = False


@dataclass(kw_only=True)
class StoredState:
    """The stored state of all jobs.

    Parameters
    ----------
    orphan_rows : list of Row
        Rows of jobs whose acceptance has been deleted.
    pressures : Row, optional
        The measured interference between images.
    """

    jobs: list[StoredJob]
    orphan_rows: list[Row]
    pressures: Row | None = None


async def read_attendant_rows(table: WatchedTable, *, clock: Clock) -> list[Row]:
    """Return the rows with the attendants' addresses, retrying until they arrive."""
    return await _read(table, ATTENDANTS_PREFIX, clock=clock)


async def read_stored_state(table: WatchedTable, *, clock: Clock) -> StoredState:
    """Return the stored state of all jobs, retrying until the table answers."""
    rows: list[Row] = []

    async def read(prefix: str) -> None:
        rows.extend(await _read(table, prefix, clock=clock))

    async with trio.open_nursery() as nursery:
        for prefix in [*job_shard_prefixes(), RECORDS_PREFIX]:
            nursery.start_soon(read, prefix)
    return _assemble(rows)


async def _read(table: WatchedTable, prefix: str, *, clock: Clock) -> list[Row]:
    while True:
        try:
            return list((await table.snapshot(prefix)).rows)
        except TableUnavailable as error:
            log_event("scheduler:load-retried", prefix=prefix, reason=str(error))
            await clock.sleep(_RETRY_INTERVAL)


def _assemble(rows: list[Row]) -> StoredState:
    stored_by_id: dict[JobId, StoredJob] = {}
    orphan_rows: list[Row] = []
    pressures = next((row for row in rows if row.key == PRESSURES_KEY), None)
    for row in rows:
        if "/job." in row.key and not is_scheduler_key(row.key):
            accepted = row.decode(AcceptedJob)
            stored_by_id[accepted.id] = StoredJob(accepted=accepted)
    for row in rows:
        if "." not in row.key.rsplit("/", 1)[1]:
            continue
        stored = stored_by_id.get(job_of(row.key))
        if stored is None:
            orphan_rows.append(row)
            continue
        if "/cancel." in row.key:
            stored.is_cancelled = True
        elif row.key.startswith(RECORDS_PREFIX):
            stored.record = row.decode(JobRecord)
            stored.version = row.version
        elif is_scheduler_key(row.key):
            stored.summary = row.decode(JobSummary)
            stored.summary_version = row.version
    return StoredState(
        jobs=list(stored_by_id.values()), orphan_rows=orphan_rows, pressures=pressures
    )
