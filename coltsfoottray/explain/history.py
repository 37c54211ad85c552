"""What log lines tell of each job: its tasks' attempts, and what they waited for."""

from __future__ import annotations

import enum
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from datetime import datetime, timedelta

from coltsfoottray.explain.logfiles import LogLine

__all__ = ["Attempt", "History", "JobHistory", "Outcome", "Span", "TaskKey", "WaitNote"]

# The scheduler tries again several times in it while the table does not answer.
_TABLE_GAP = timedelta(seconds=1)

Span = tuple[datetime, datetime]
TaskKey = tuple[int, int, int]
"""Occurrence, step and index of a task."""


class Outcome(enum.Enum):
    """How an attempt at a task ended."""

    OPEN = "open"
    DONE = "done"
    FAILED = "failed"
    LOST = "lost"
    STOPPED = "stopped"
    REJECTED = "rejected"


_OUTCOME_BY_END = {
    "done": Outcome.DONE,
    "failed": Outcome.FAILED,
    "stopped": Outcome.STOPPED,
    "lapsed": Outcome.LOST,
    "broken": Outcome.STOPPED,
    "alone": Outcome.STOPPED,
}


@dataclass(kw_only=True)
class Attempt:
    """One run of a task, from its placement on.

    Parameters
    ----------
    lasts : bool
        It served as long as it ran, however it ended.
    """

    placed: datetime
    worker: str
    lasts: bool = False
    started: datetime | None = None
    ended: datetime | None = None
    outcome: Outcome = Outcome.OPEN
    paces: list[tuple[datetime, float]] = field(default_factory=list)


@dataclass(frozen=True, kw_only=True)
class WaitNote:
    """What a step lacked from a moment on; empty once nothing of it waited."""

    at: datetime
    lacks: str


@dataclass(kw_only=True)
class JobHistory:
    """What is known of one job.

    Parameters
    ----------
    accepted, ended : datetime, optional
        None where no line tells.
    """

    id: str
    queue: str = ""
    accepted: datetime | None = None
    ended: datetime | None = None
    attempts_by_task: dict[TaskKey, list[Attempt]] = field(default_factory=dict)
    waits_by_step: dict[tuple[int, int], list[WaitNote]] = field(default_factory=dict)


class History:
    """All jobs, and when nobody scheduled or the table did not answer.

    Parameters
    ----------
    lines : sequence of LogLine
        Of all processes, oldest first.
    """

    def __init__(self, lines: Sequence[LogLine]) -> None:
        self.job_by_id: dict[str, JobHistory] = {}
        self.without_scheduler: list[Span] = []
        self.without_table: list[Span] = []
        self.first = lines[0].at if lines else datetime.min
        self.last = lines[-1].at if lines else datetime.min
        self._scheduler = ""
        self._seen_by_source: dict[str, datetime] = {}
        self._vacant_since: datetime | None = None
        takers: dict[str, Callable[[LogLine], None]] = {
            "decision:submit": self._take_submit,
            "decision:place": self._take_place,
            "decision:wait": self._take_wait,
            "decision:pace": self._take_pace,
            "decision:ends": self._take_ends,
            "decision:runs-lost": self._take_lost,
            "decision:start-rejected": self._take_rejected,
            "decision:completed": self._take_end_of_job,
            "decision:failed": self._take_end_of_job,
            "decision:cancel": self._take_end_of_job,
            "worker:started": self._take_started,
            "scheduler:claimed": self._take_claimed,
            "scheduler:loaded": self._take_loaded,
            "scheduler:deposed": self._take_vacant,
            "scheduler:resigned": self._take_vacant,
            "scheduler:table-unavailable": self._take_outage,
        }
        for line in lines:
            if line.event in takers:
                takers[line.event](line)
            self._seen_by_source[line.source] = line.at

    def _job(self, job_id: str) -> JobHistory:
        return self.job_by_id.setdefault(job_id, JobHistory(id=job_id))

    def _last_attempt(self, run: str) -> Attempt | None:
        job, key = _parse_task(run.partition("#")[0])
        attempts = self._job(job).attempts_by_task.get(key, [])
        return attempts[-1] if attempts else None

    def _take_submit(self, line: LogLine) -> None:
        job = self._job(str(line.fields["job"]))
        job.queue = str(line.fields.get("queue", ""))
        if job.accepted is None and line.fields.get("verdict") == "done":
            job.accepted = line.at

    def _take_place(self, line: LogLine) -> None:
        job, occurrence, step = _parse_step(str(line.fields["step"]))
        for text in _texts(line, "workers"):
            index, _, worker = text.partition("@")
            key = (occurrence, step, int(index))
            attempt = Attempt(
                placed=line.at, worker=worker, lasts=line.fields.get("lasts") is True
            )
            self._job(job).attempts_by_task.setdefault(key, []).append(attempt)
        if line.fields.get("waiting") == 0:
            self._note_wait(job, occurrence, step, WaitNote(at=line.at, lacks=""))

    def _take_wait(self, line: LogLine) -> None:
        job, occurrence, step = _parse_step(str(line.fields["step"]))
        note = WaitNote(at=line.at, lacks=str(line.fields["lacks"]))
        self._note_wait(job, occurrence, step, note)

    def _note_wait(self, job: str, occurrence: int, step: int, note: WaitNote) -> None:
        self._job(job).waits_by_step.setdefault((occurrence, step), []).append(note)

    def _take_pace(self, line: LogLine) -> None:
        attempt = self._last_attempt(str(line.fields["run"]))
        percent = line.fields["percent"]
        if attempt is not None and isinstance(percent, int | float):
            attempt.paces.append((line.at, float(percent)))

    def _take_started(self, line: LogLine) -> None:
        attempt = self._last_attempt(str(line.fields["run"]))
        if attempt is not None and attempt.started is None:
            attempt.started = line.at

    def _take_ends(self, line: LogLine) -> None:
        for text in _texts(line, "ends"):
            run, _, kind = text.partition(" ")
            self._end(run, line.at, _OUTCOME_BY_END.get(kind, Outcome.STOPPED))

    def _take_lost(self, line: LogLine) -> None:
        for run in _texts(line, "runs"):
            self._end(run, line.at, Outcome.LOST)

    def _take_rejected(self, line: LogLine) -> None:
        self._end(str(line.fields["run"]), line.at, Outcome.REJECTED)

    def _end(self, run: str, at: datetime, outcome: Outcome) -> None:
        attempt = self._last_attempt(run)
        if attempt is not None and attempt.ended is None:
            attempt.ended = at
            attempt.outcome = outcome

    def _take_end_of_job(self, line: LogLine) -> None:
        job = self._job(str(line.fields["job"]))
        if job.ended is None:
            job.ended = line.at

    def _take_claimed(self, line: LogLine) -> None:
        if self._vacant_since is None:
            # A process that was killed says nothing at its end.
            seen = self._seen_by_source.get(self._scheduler)
            self._vacant_since = self.first if seen is None else seen
        self._scheduler = line.source

    def _take_loaded(self, line: LogLine) -> None:
        if self._vacant_since is not None:
            self.without_scheduler.append((self._vacant_since, line.at))
        self._vacant_since = None

    def _take_vacant(self, line: LogLine) -> None:
        if line.source == self._scheduler and self._vacant_since is None:
            self._vacant_since = line.at

    def _take_outage(self, line: LogLine) -> None:
        spans = self.without_table
        if spans and line.at - spans[-1][1] < _TABLE_GAP:
            spans[-1] = (spans[-1][0], line.at)
        else:
            spans.append((line.at, line.at))


def _texts(line: LogLine, name: str) -> list[str]:
    value = line.fields.get(name)
    return [str(each) for each in value] if isinstance(value, list) else []


def _parse_step(text: str) -> tuple[str, int, int]:
    job, occurrence, step = text.split(".")
    return job, int(occurrence), int(step)


def _parse_task(text: str) -> tuple[str, TaskKey]:
    job, occurrence, step, index = text.split(".")
    return job, (int(occurrence), int(step), int(index))
