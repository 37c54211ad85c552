"""The history of each job by its log lines: attempts at its tasks, and their waits."""

from __future__ import annotations

import enum
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from datetime import datetime, timedelta

from coltsfoottray.explain.logfiles import LogLine

__all__ = [
    "Attempt",
    "AttemptOutcome",
    "History",
    "JobHistory",
    "Span",
    "TaskKey",
    "WaitRecord",
]

# While the table does not answer, the scheduler retries several times in this period,
# so that log lines further apart belong to different outages.
_MAX_OUTAGE_GAP = timedelta(seconds=1)

Span = tuple[datetime, datetime]
TaskKey = tuple[int, int, int]
"""Occurrence, step and index of a task in its job."""


class AttemptOutcome(enum.Enum):
    """How an attempt at a task ended; `OPEN` if it has not."""

    OPEN = "open"
    DONE = "done"
    FAILED = "failed"
    LOST = "lost"
    STOPPED = "stopped"
    REJECTED = "rejected"


_OUTCOME_BY_END = {
    "done": AttemptOutcome.DONE,
    "failed": AttemptOutcome.FAILED,
    "stopped": AttemptOutcome.STOPPED,
    "lapsed": AttemptOutcome.LOST,
    "broken": AttemptOutcome.STOPPED,
    "alone": AttemptOutcome.STOPPED,
}


@dataclass(kw_only=True)
class Attempt:
    """One run of a task, beginning with its placement.

    Parameters
    ----------
    is_service : bool
        Whether the task is a service. All its running time is useful then, whatever
        the outcome of the attempt.
    speed_changes : list of (datetime, float)
        Times at which the speed changed, and the new speed in percent.
    """

    placed_at: datetime
    worker: str
    is_service: bool = False
    started_at: datetime | None = None
    ended_at: datetime | None = None
    outcome: AttemptOutcome = AttemptOutcome.OPEN
    speed_changes: list[tuple[datetime, float]] = field(default_factory=list)


@dataclass(frozen=True, kw_only=True)
class WaitRecord:
    """Why tasks of a step wait from `at` on.

    Parameters
    ----------
    reason : str
        The value `lacks` of the log line; empty once no task of the step waits.
    """

    at: datetime
    reason: str


@dataclass(kw_only=True)
class JobHistory:
    """The history of one job, as far as the log lines record it.

    Parameters
    ----------
    accepted_at, ended_at : datetime, optional
        None if no line records the time.
    """

    id: str
    queue: str = ""
    accepted_at: datetime | None = None
    ended_at: datetime | None = None
    attempts_by_task: dict[TaskKey, list[Attempt]] = field(default_factory=dict)
    waits_by_step: dict[tuple[int, int], list[WaitRecord]] = field(default_factory=dict)


class History:
    """The history of all jobs, with the outages of the scheduler and of the table.

    Parameters
    ----------
    lines : sequence of LogLine
        Lines of all processes, oldest first.

    Attributes
    ----------
    first, last : datetime
        Times of the first and the last line.
    """

    def __init__(self, lines: Sequence[LogLine]) -> None:
        self.job_by_id: dict[str, JobHistory] = {}
        self.scheduler_outages: list[Span] = []
        self.table_outages: list[Span] = []
        self.first = lines[0].at if lines else datetime.min
        self.last = lines[-1].at if lines else datetime.min
        self._scheduler_source = ""
        self._last_time_by_source: dict[str, datetime] = {}
        self._no_scheduler_since: datetime | None = None
        handler_by_event: dict[str, Callable[[LogLine], None]] = {
            "decision:submit": self._handle_submit,
            "decision:place": self._handle_place,
            "decision:wait": self._handle_wait,
            "decision:pace": self._handle_pace,
            "decision:ends": self._handle_ends,
            "decision:runs-lost": self._handle_runs_lost,
            "decision:start-rejected": self._handle_rejection,
            "decision:withdraw": self._handle_rejection,
            "decision:completed": self._handle_job_end,
            "decision:failed": self._handle_job_end,
            "decision:cancel": self._handle_cancel,
            "worker:started": self._handle_start,
            "scheduler:claimed": self._handle_claim,
            "scheduler:loaded": self._handle_load,
            "scheduler:deposed": self._handle_scheduler_end,
            "scheduler:resigned": self._handle_scheduler_end,
            "scheduler:table-unavailable": self._handle_table_outage,
        }
        for line in lines:
            if line.event in handler_by_event:
                handler_by_event[line.event](line)
            self._last_time_by_source[line.source] = line.at

    def _get_job(self, job_id: str) -> JobHistory:
        return self.job_by_id.setdefault(job_id, JobHistory(id=job_id))

    def _last_attempt(self, run: str) -> Attempt | None:
        job, key = _parse_task(run.partition("#")[0])
        attempts = self._get_job(job).attempts_by_task.get(key, [])
        return attempts[-1] if attempts else None

    def _handle_submit(self, line: LogLine) -> None:
        job = self._get_job(str(line.fields["job"]))
        job.queue = str(line.fields.get("queue", ""))
        if job.accepted_at is None and line.fields.get("verdict") == "done":
            job.accepted_at = line.at

    def _handle_cancel(self, line: LogLine) -> None:
        """Handle a cancellation, which an entry may also have refused."""
        if line.fields.get("verdict", "done") == "done":
            self._handle_job_end(line)

    def _handle_place(self, line: LogLine) -> None:
        if "step" not in line.fields:
            # A batch task of the product's own interface, which is no job.
            return
        job, occurrence, step = _parse_step(str(line.fields["step"]))
        for text in _text_list(line, "workers"):
            index, _, worker = text.partition("@")
            key = (occurrence, step, int(index))
            attempt = Attempt(
                placed_at=line.at,
                worker=worker,
                is_service=line.fields.get("lasts") is True,
            )
            self._get_job(job).attempts_by_task.setdefault(key, []).append(attempt)
        if line.fields.get("waiting") == 0:
            self._add_wait(job, occurrence, step, WaitRecord(at=line.at, reason=""))

    def _handle_wait(self, line: LogLine) -> None:
        job, occurrence, step = _parse_step(str(line.fields["step"]))
        wait = WaitRecord(at=line.at, reason=str(line.fields["lacks"]))
        self._add_wait(job, occurrence, step, wait)

    def _add_wait(self, job: str, occurrence: int, step: int, wait: WaitRecord) -> None:
        self._get_job(job).waits_by_step.setdefault((occurrence, step), []).append(wait)

    def _handle_pace(self, line: LogLine) -> None:
        attempt = self._last_attempt(str(line.fields["run"]))
        percent = line.fields["percent"]
        if attempt is not None and isinstance(percent, int | float):
            attempt.speed_changes.append((line.at, float(percent)))

    def _handle_start(self, line: LogLine) -> None:
        attempt = self._last_attempt(str(line.fields["run"]))
        if attempt is not None and attempt.started_at is None:
            attempt.started_at = line.at

    def _handle_ends(self, line: LogLine) -> None:
        for text in _text_list(line, "ends"):
            run, _, kind = text.partition(" ")
            self._end_attempt(
                run, line.at, _OUTCOME_BY_END.get(kind, AttemptOutcome.STOPPED)
            )

    def _handle_runs_lost(self, line: LogLine) -> None:
        for run in _text_list(line, "runs"):
            self._end_attempt(run, line.at, AttemptOutcome.LOST)

    def _handle_rejection(self, line: LogLine) -> None:
        self._end_attempt(str(line.fields["run"]), line.at, AttemptOutcome.REJECTED)

    def _end_attempt(self, run: str, at: datetime, outcome: AttemptOutcome) -> None:
        attempt = self._last_attempt(run)
        if attempt is not None and attempt.ended_at is None:
            attempt.ended_at = at
            attempt.outcome = outcome

    def _handle_job_end(self, line: LogLine) -> None:
        job = self._get_job(str(line.fields["job"]))
        if job.ended_at is None:
            job.ended_at = line.at

    def _handle_claim(self, line: LogLine) -> None:
        if self._no_scheduler_since is None:
            # A killed process does not log its end: its last line is taken as the end.
            last_time = self._last_time_by_source.get(self._scheduler_source)
            self._no_scheduler_since = self.first if last_time is None else last_time
        self._scheduler_source = line.source

    def _handle_load(self, line: LogLine) -> None:
        if self._no_scheduler_since is not None:
            self.scheduler_outages.append((self._no_scheduler_since, line.at))
        self._no_scheduler_since = None

    def _handle_scheduler_end(self, line: LogLine) -> None:
        if line.source == self._scheduler_source and self._no_scheduler_since is None:
            self._no_scheduler_since = line.at

    def _handle_table_outage(self, line: LogLine) -> None:
        spans = self.table_outages
        if spans and line.at - spans[-1][1] < _MAX_OUTAGE_GAP:
            spans[-1] = (spans[-1][0], line.at)
        else:
            spans.append((line.at, line.at))


def _text_list(line: LogLine, name: str) -> list[str]:
    value = line.fields.get(name)
    return [str(each) for each in value] if isinstance(value, list) else []


def _parse_step(text: str) -> tuple[str, int, int]:
    job, occurrence, step = text.split(".")
    return job, int(occurrence), int(step)


def _parse_task(text: str) -> tuple[str, TaskKey]:
    job, occurrence, step, index = text.split(".")
    return job, (int(occurrence), int(step), int(index))
