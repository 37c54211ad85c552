"""The stored rows of a job."""

from __future__ import annotations

from dataclasses import dataclass

from coltsfoottray.jobs.records import JobState, JobSummary

__all__ = ["JobRows"]


@dataclass(frozen=True, kw_only=True)
class JobRows:
    """What is stored of a job.

    Parameters
    ----------
    version : int
        Version of the record's rows, 0 if there are none. All are written together.
    record_rows : int
        Number of these rows.
    summary : JobSummary, optional
        The part of the progress that callers ask for, stored in a row of its own. A job
        without one has not started.
    summary_version : int
        Version of the summary's row, 0 if there is none.
    """

    version: int = 0
    record_rows: int = 0
    summary: JobSummary | None = None
    summary_version: int = 0

    @property
    def state(self) -> JobState:
        """The stored state, the only one that is reported to callers."""
        return JobState.QUEUED if self.summary is None else self.summary.state

    @property
    def is_empty(self) -> bool:
        """Whether nothing is stored."""
        return not (self.version or self.summary_version)
