"""Attribution of jobs' time, from acceptance to end, to what it was spent on.

A job ends with its last task, which waited for the last task of an earlier step, and
so on back to the acceptance. These tasks form the critical path: only their delays
delay the job. Each moment of a job is therefore attributed to one task of the
critical path and, by what happened to that task, to one `Part`.
"""

from __future__ import annotations

import enum
import itertools
from collections import defaultdict
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass, field, replace
from datetime import datetime, timedelta

from coltsfoottray.explain.history import (
    Attempt,
    AttemptOutcome,
    History,
    JobHistory,
    Span,
    TaskKey,
    WaitRecord,
)

__all__ = ["WINDOW", "JobLosses", "Losses", "Part", "find_losses"]

WINDOW = timedelta(seconds=2)
_FULL_PERCENT = 100.0


class Part(enum.Enum):
    """What an interval of a job's time was spent on."""

    RUNNING = "running"
    STORE = "store"
    """The table did not answer the scheduler, or had not stored the end yet."""
    SCHEDULER = "scheduler"
    """No scheduler was active, or it had not processed the task yet."""
    ROOM = "room"
    GOOD_PLACE = "good-place"
    EVACUATION = "evacuation"
    HEALTH = "health"
    TICKET = "ticket"
    START = "start"
    """The task was placed and had not started yet."""
    SLOWED = "slowed"
    """The time that a filler lost because it ran below full speed."""
    FAILED = "failed"
    LOST = "lost"
    STOPPED = "stopped"
    UNKNOWN = "unknown"
    """No log line accounts for this time."""


SecondsByPart = dict[Part, float]

_PART_BY_OUTCOME = {
    AttemptOutcome.FAILED: Part.FAILED,
    AttemptOutcome.LOST: Part.LOST,
    AttemptOutcome.STOPPED: Part.STOPPED,
    AttemptOutcome.REJECTED: Part.START,
}
_PART_BY_WAIT_REASON = {
    "room": Part.ROOM,
    "good-place": Part.GOOD_PLACE,
    "evacuation": Part.EVACUATION,
    "health": Part.HEALTH,
    "ticket": Part.TICKET,
}


@dataclass(frozen=True, kw_only=True)
class _Segment:
    """An interval of a job's time, with the share of each part in it."""

    begin: datetime
    end: datetime
    share_by_part: dict[Part, float]


@dataclass(kw_only=True)
class JobLosses:
    """One job's time by part, in seconds; the parts add up to `total_s`."""

    id: str
    queue: str
    total_s: float
    seconds_by_part: SecondsByPart = field(default_factory=lambda: defaultdict(float))

    @property
    def lost_s(self) -> float:
        """Time in seconds that was not spent on running."""
        return self.total_s - self.seconds_by_part.get(Part.RUNNING, 0.0)


@dataclass(kw_only=True)
class Losses:
    """The time of all jobs by part.

    Parameters
    ----------
    seconds_by_window : dict
        Seconds by part, by queue and number of the window. Windows are 2 s long
        (`WINDOW`) and counted from the first log line.
    """

    jobs: list[JobLosses] = field(default_factory=list)
    seconds_by_window: dict[tuple[str, int], SecondsByPart] = field(
        default_factory=dict
    )


def find_losses(history: History) -> Losses:
    """Return the time by part of each job whose acceptance was logged."""
    losses = Losses()
    for job in history.job_by_id.values():
        if job.accepted_at is None:
            continue
        job_losses = JobLosses(
            id=job.id,
            queue=job.queue,
            total_s=_seconds(job.accepted_at, job.ended_at or history.last),
        )
        for segment in _job_segments(job, job.accepted_at, history):
            _add_segment(losses, job_losses, segment, history.first)
        losses.jobs.append(job_losses)
    return losses


def _add_segment(
    losses: Losses, job: JobLosses, segment: _Segment, first: datetime
) -> None:
    begin = segment.begin
    while begin < segment.end:
        number = (begin - first) // WINDOW
        end = min(segment.end, first + (number + 1) * WINDOW)
        key = (job.queue, number)
        window = losses.seconds_by_window.setdefault(key, defaultdict(float))
        for part, share in segment.share_by_part.items():
            seconds = _seconds(begin, end) * share
            window[part] += seconds
            job.seconds_by_part[part] += seconds
        begin = end


def _job_segments(
    job: JobHistory, accepted_at: datetime, history: History
) -> Iterator[_Segment]:
    """Yield the segments of a job's time, in order and without gaps."""
    end = job.ended_at or history.last
    at = accepted_at
    for key in _critical_path(job):
        for segment in _clip(_task_segments(job, key, at, history), at, end):
            yield segment
            at = segment.end
    if at < end:
        # All logged tasks have ended; the remaining time is spent on storing the end.
        part = Part.STORE if job.attempts_by_task else Part.SCHEDULER
        if job.ended_at is None:
            part = Part.UNKNOWN
        yield _make_segment(at, end, part)


def _critical_path(job: JobHistory) -> list[TaskKey]:
    """Return the critical path: the last task of each step, in order of steps."""
    last_by_step: dict[tuple[int, int], TaskKey] = {}
    for key, attempts in job.attempts_by_task.items():
        step = key[:2]
        last_key = last_by_step.get(step)
        if last_key is None or _end_sort_key(attempts) > _end_sort_key(
            job.attempts_by_task[last_key]
        ):
            last_by_step[step] = key
    for step in job.waits_by_step:
        last_by_step.setdefault(step, (*step, -1))
    return [last_by_step[step] for step in sorted(last_by_step)]


def _end_sort_key(attempts: Sequence[Attempt]) -> tuple[bool, datetime]:
    """Return the sort key of a task by its end; one that has not ended is last."""
    last = attempts[-1]
    return last.ended_at is None, last.ended_at or last.placed_at


def _task_segments(
    job: JobHistory, key: TaskKey, ready: datetime, history: History
) -> Iterator[_Segment]:
    """Yield the segments of a task, from `ready`, when its step may start."""
    waits = job.waits_by_step.get(key[:2], [])
    # The log does not record when a later occurrence was due.
    default = Part.UNKNOWN if key[0] else Part.SCHEDULER
    at = ready
    for attempt in job.attempts_by_task.get(key, []):
        yield from _wait_segments(at, attempt.placed_at, waits, default, history)
        yield from _attempt_segments(attempt, history.last)
        at = attempt.ended_at or history.last
        default = Part.SCHEDULER
    if not job.attempts_by_task.get(key):
        yield from _wait_segments(at, history.last, waits, default, history)


def _wait_segments(
    begin: datetime,
    end: datetime,
    waits: Sequence[WaitRecord],
    default: Part,
    history: History,
) -> Iterator[_Segment]:
    """Yield the segments in which a task waited for its placement.

    Time for which no reason was logged is attributed to `default`.
    """
    if begin >= end:
        return
    boundaries = {begin, end}
    for wait in waits:
        if begin < wait.at < end:
            boundaries.add(wait.at)
    for span in [*history.table_outages, *history.scheduler_outages]:
        boundaries.update(time for time in span if begin < time < end)
    times = sorted(boundaries)
    for start, stop in itertools.pairwise(times):
        reasons = [wait.reason for wait in waits if wait.at <= start]
        part = _PART_BY_WAIT_REASON.get(reasons[-1], default) if reasons else default
        if _covers(history.table_outages, start, stop):
            part = Part.STORE
        elif _covers(history.scheduler_outages, start, stop):
            part = Part.SCHEDULER
        yield _make_segment(start, stop, part)


def _attempt_segments(attempt: Attempt, last: datetime) -> Iterator[_Segment]:
    """Yield the segments of an attempt, from its placement to its end."""
    end = attempt.ended_at or last
    if attempt.outcome in _PART_BY_OUTCOME and not attempt.is_service:
        begin = attempt.started_at or attempt.placed_at
        yield _make_segment(attempt.placed_at, begin, Part.START)
        yield _make_segment(begin, end, _PART_BY_OUTCOME[attempt.outcome])
        return
    if attempt.started_at is None:
        part = Part.UNKNOWN if attempt.ended_at else Part.START
        yield _make_segment(attempt.placed_at, end, part)
        return
    yield _make_segment(attempt.placed_at, attempt.started_at, Part.START)
    speed_changes = [(attempt.started_at, _FULL_PERCENT), *attempt.speed_changes]
    ends = [at for at, _ in speed_changes[1:]] + [end]
    for (begin, percent), until in zip(speed_changes, ends, strict=True):
        speed = percent / _FULL_PERCENT
        shares = {Part.RUNNING: speed, Part.SLOWED: 1.0 - speed}
        yield _Segment(begin=begin, end=until, share_by_part=shares)


def _clip(
    segments: Iterable[_Segment], at: datetime, end: datetime
) -> Iterator[_Segment]:
    """Yield the segments in order, cut so that each begins where the last one ended.

    Gaps between them are filled with `Part.UNKNOWN`.
    """
    for segment in segments:
        if segment.begin > at:
            begin = min(segment.begin, end)
            yield _make_segment(at, begin, Part.UNKNOWN)
            at = begin
        until = min(segment.end, end)
        if until > at:
            yield replace(segment, begin=at, end=until)
            at = until


def _make_segment(begin: datetime, end: datetime, part: Part) -> _Segment:
    """Return a segment that was spent entirely on one part."""
    return _Segment(begin=begin, end=end, share_by_part={part: 1.0})


def _covers(spans: Iterable[Span], begin: datetime, end: datetime) -> bool:
    return any(first <= begin and end <= last for first, last in spans)


def _seconds(begin: datetime, end: datetime) -> float:
    return (end - begin).total_seconds()
