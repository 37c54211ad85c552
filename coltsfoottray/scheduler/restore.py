"""Reads the stored state of all jobs when a scheduler takes over.

Load pattern: the previous scheduler has died, nothing is placed meanwhile, and the
state is larger the larger the fleet. Acceptances, cancellations and summaries are
taken from the entry's copy, which it keeps anyway. Only the records are read, of which
there is one for each job that has not ended.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from datetime import timedelta

from coltsfoottray.clock import Clock
from coltsfoottray.decoding import MalformedData
from coltsfoottray.jobs.keys import (
    ATTENDANTS_PREFIX,
    LEARNED_KEY,
    LEARNED_PREFIX,
    PRESSURES_KEY,
    RECORDS_PREFIX,
    parse_record_key,
    summary_key,
)
from coltsfoottray.jobs.mirror import Mirror
from coltsfoottray.jobs.model import AcceptedJob, JobId
from coltsfoottray.jobs.paging import RowReader
from coltsfoottray.jobs.record_rows import decode_record, is_record_row
from coltsfoottray.jobs.records import JobRecord
from coltsfoottray.jobs.view import JobsView
from coltsfoottray.logs import log_event
from coltsfoottray.platform import Row, TableError, WatchedTable
from coltsfoottray.scheduler.job_rows import JobRows

__all__ = ["LoadCost", "StateReader", "StoredJob", "StoredState"]


@dataclass(kw_only=True)
class StoredJob:
    """A job as its rows store it.

    Parameters
    ----------
    is_unreadable : bool
        Whether its record cannot be read: what runs of it is not known.
    """

    accepted: AcceptedJob
    record: JobRecord | None = None
    rows: JobRows = field(default_factory=JobRows)
    is_cancelled: bool = False
    is_unreadable: bool = False


@dataclass(kw_only=True)
class StoredState:
    """The stored state of all jobs.

    Parameters
    ----------
    orphan_version_by_key : dict
        Versions of the scheduler's rows for jobs whose acceptance has been deleted.
    pressures : Row, optional
        The measured interference between images.
    learned : Row, optional
        The observed lengths of tasks and rates of pools, if they were to be read.
    """

    jobs: list[StoredJob]
    orphan_version_by_key: dict[str, int]
    pressures: Row | None = None
    learned: Row | None = None


@dataclass(frozen=True, kw_only=True)
class LoadCost:
    """What it took to read the stored state."""

    bytes_read: int
    rows_read: int
    duration: timedelta


class StateReader:
    """Reads what earlier schedulers have stored.

    Parameters
    ----------
    mirror, view : Mirror, JobsView
        This entry's copy of acceptances, cancellations and summaries.
    """

    def __init__(
        self, *, table: WatchedTable, mirror: Mirror, view: JobsView, clock: Clock
    ) -> None:
        self._mirror = mirror
        self._view = view
        self._clock = clock
        self._started_at = clock.elapsed()
        # The version up to which the copy is complete, once that is far enough.
        self._copied: int | None = None
        self._reader = RowReader(
            table=table, clock=clock, on_failure=self._record_failure
        )

    def progress(self) -> int:
        """Return a number that changes whenever anything has arrived."""
        copied = self._mirror.version if self._copied is None else self._copied
        return copied + self._reader.bytes_read

    def cost(self) -> LoadCost:
        """Return what has been read so far, and the time that it took."""
        return LoadCost(
            bytes_read=self._reader.bytes_read,
            rows_read=self._reader.rows_read,
            duration=self._clock.elapsed() - self._started_at,
        )

    async def read_attendants(self) -> list[Row]:
        """Return the rows with the addresses of attendants."""
        return (await self._reader.read(ATTENDANTS_PREFIX)).rows

    async def read_jobs(self, version: int, *, with_learned: bool) -> StoredState:
        """Return the state of all jobs.

        Parameters
        ----------
        version : int
            Version of the lease row as this scheduler has written it. No other
            scheduler has written any of the rows since.
        with_learned : bool
            Whether to read what earlier schedulers have learned.
        """
        await self._mirror.wait_for(version)
        self._copied = version
        rows = (await self._reader.read(RECORDS_PREFIX)).rows
        stored = self._assemble(rows)
        if with_learned:
            learned = (await self._reader.read(LEARNED_PREFIX)).rows
            stored.learned = next((r for r in learned if r.key == LEARNED_KEY), None)
        return stored

    def _assemble(self, rows: list[Row]) -> StoredState:
        stored_by_id = {
            job.id: self._stored_job(job) for job in self._view.job_by_id.values()
        }
        orphans = {
            summary_key(job): self._mirror.version_of(summary_key(job))
            for job in self._view.summarized_jobs()
            if job not in stored_by_id
        }
        rows_by_job: dict[JobId, list[tuple[int, Row]]] = {}
        pressures = None
        for row in rows:
            if row.key == PRESSURES_KEY:
                pressures = row
                continue
            key = parse_record_key(row.key)
            if key is None:
                # Another writer's: it is passed over, and never deleted.
                log_event("table:row-unknown", key=row.key, version=row.version)
            elif key.job in stored_by_id:
                rows_by_job.setdefault(key.job, []).append((key.part, row))
            elif is_record_row(row):
                orphans[row.key] = row.version
        for job_id, record_rows in rows_by_job.items():
            parts = [row for _, row in sorted(record_rows, key=lambda each: each[0])]
            _set_record(stored_by_id[job_id], parts)
        return StoredState(
            jobs=list(stored_by_id.values()),
            orphan_version_by_key=orphans,
            pressures=pressures,
        )

    def _stored_job(self, accepted: AcceptedJob) -> StoredJob:
        stored = StoredJob(
            accepted=accepted, is_cancelled=accepted.id in self._view.cancelled
        )
        summary = self._view.summary_of(accepted.id)
        if summary is not None:
            version = self._mirror.version_of(summary_key(accepted.id))
            stored.rows = JobRows(summary=summary, summary_version=version)
            if summary.state.is_final:
                stored.record = JobRecord.of_ended(summary)
        return stored

    @staticmethod
    def _record_failure(error: TableError) -> None:
        log_event("scheduler:load-retried", reason=str(error))


def _set_record(stored: StoredJob, rows: list[Row]) -> None:
    """Set the record of a job from its rows, in the order of their parts."""
    stored.rows = replace(stored.rows, version=rows[0].version, record_rows=len(rows))
    try:
        stored.record = decode_record([row.value for row in rows])
    except MalformedData as error:
        stored.is_unreadable = True
        log_event(
            "decision:withhold", job=stored.accepted.id, reason=f"record: {error}"
        )
        return
    if stored.rows.summary is not None:
        stored.record.apply_summary(stored.rows.summary)
