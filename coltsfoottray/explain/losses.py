"""Where jobs' time went between their acceptance and their end.

A job ends with its last task, which waited for the last task of an earlier step, and
so on back to the acceptance. Only what these tasks went through made the job as late
as it was, so that each moment of a job belongs to one of them, and to one part.
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
    History,
    JobHistory,
    Outcome,
    Span,
    TaskKey,
    WaitNote,
)

__all__ = ["WINDOW", "JobLosses", "Losses", "Part", "find_losses"]

WINDOW = timedelta(seconds=2)
_FULL_PERCENT = 100.0


class Part(enum.Enum):
    """What a moment of a job was spent on."""

    RUNNING = "running"
    STORE = "store"
    """The table did not answer the scheduler, or an end was not stored yet."""
    SCHEDULER = "scheduler"
    """Nobody scheduled, or the scheduler had not come to it."""
    ROOM = "room"
    GOOD_PLACE = "good-place"
    TICKET = "ticket"
    START = "start"
    """Placed, and not started yet."""
    SLOWED = "slowed"
    """The part of its speed that a filler was denied."""
    FAILED = "failed"
    LOST = "lost"
    STOPPED = "stopped"
    UNKNOWN = "unknown"
    """No line tells."""


Seconds = dict[Part, float]

_PART_BY_OUTCOME = {
    Outcome.FAILED: Part.FAILED,
    Outcome.LOST: Part.LOST,
    Outcome.STOPPED: Part.STOPPED,
    Outcome.REJECTED: Part.START,
}
_PART_BY_LACK = {
    "room": Part.ROOM,
    "good-place": Part.GOOD_PLACE,
    "ticket": Part.TICKET,
}


@dataclass(frozen=True, kw_only=True)
class _Segment:
    """A stretch of a job's time, with the shares of its parts."""

    begin: datetime
    end: datetime
    share_by_part: dict[Part, float]


@dataclass(kw_only=True)
class JobLosses:
    """One job's time by part, in seconds; the parts add up to all of it."""

    id: str
    queue: str
    total_s: float
    seconds_by_part: Seconds = field(default_factory=lambda: defaultdict(float))

    @property
    def lost_s(self) -> float:
        """What was not spent on running."""
        return self.total_s - self.seconds_by_part.get(Part.RUNNING, 0.0)


@dataclass(kw_only=True)
class Losses:
    """All jobs' time.

    Parameters
    ----------
    seconds_by_window : dict
        By queue and number of the 2 s since the first line: seconds by part.
    """

    jobs: list[JobLosses] = field(default_factory=list)
    seconds_by_window: dict[tuple[str, int], Seconds] = field(default_factory=dict)


def find_losses(history: History) -> Losses:
    """Return where the time of each job went whose acceptance is told."""
    losses = Losses()
    for job in history.job_by_id.values():
        if job.accepted is None:
            continue
        found = JobLosses(
            id=job.id,
            queue=job.queue,
            total_s=_seconds(job.accepted, job.ended or history.last),
        )
        for segment in _segments(job, job.accepted, history):
            _add(losses, found, segment, history.first)
        losses.jobs.append(found)
    return losses


def _add(losses: Losses, job: JobLosses, segment: _Segment, first: datetime) -> None:
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


def _segments(
    job: JobHistory, accepted: datetime, history: History
) -> Iterator[_Segment]:
    """Yield the stretches of a job's time, in order and without gaps."""
    end = job.ended or history.last
    at = accepted
    for key in _chain(job):
        for segment in _clip(_stages(job, key, at, history), at, end):
            yield segment
            at = segment.end
    if at < end:
        # All tasks that are told of have ended: what is left is storing that.
        part = Part.STORE if job.attempts_by_task else Part.SCHEDULER
        if job.ended is None:
            part = Part.UNKNOWN
        yield _whole(at, end, part)


def _chain(job: JobHistory) -> list[TaskKey]:
    """Return the tasks that the job waited for, one of each step, in order."""
    last_by_step: dict[tuple[int, int], TaskKey] = {}
    for key, attempts in job.attempts_by_task.items():
        step = key[:2]
        known = last_by_step.get(step)
        if known is None or _end_of(attempts) > _end_of(job.attempts_by_task[known]):
            last_by_step[step] = key
    for step in job.waits_by_step:
        last_by_step.setdefault(step, (*step, -1))
    return [last_by_step[step] for step in sorted(last_by_step)]


def _end_of(attempts: Sequence[Attempt]) -> tuple[bool, datetime]:
    """Return what orders tasks by their ends, those that have none last."""
    last = attempts[-1]
    return last.ended is None, last.ended or last.placed


def _stages(
    job: JobHistory, key: TaskKey, ready: datetime, history: History
) -> Iterator[_Segment]:
    """Yield what a task went through from its step's turn on."""
    notes = job.waits_by_step.get(key[:2], [])
    # Of a later occurrence it isn't told when it was due.
    unseen = Part.UNKNOWN if key[0] else Part.SCHEDULER
    at = ready
    for attempt in job.attempts_by_task.get(key, []):
        yield from _waiting(at, attempt.placed, notes, unseen, history)
        yield from _trying(attempt, history.last)
        at = attempt.ended or history.last
        unseen = Part.SCHEDULER
    if not job.attempts_by_task.get(key):
        yield from _waiting(at, history.last, notes, unseen, history)


def _waiting(
    begin: datetime,
    end: datetime,
    notes: Sequence[WaitNote],
    unseen: Part,
    history: History,
) -> Iterator[_Segment]:
    """Yield what a task waited for between its turn and its placement."""
    if begin >= end:
        return
    cuts = {begin, end}
    for note in notes:
        if begin < note.at < end:
            cuts.add(note.at)
    for span in [*history.without_table, *history.without_scheduler]:
        cuts.update(moment for moment in span if begin < moment < end)
    moments = sorted(cuts)
    for here, there in itertools.pairwise(moments):
        told = [note.lacks for note in notes if note.at <= here]
        part = _PART_BY_LACK.get(told[-1], unseen) if told else unseen
        if _covers(history.without_table, here, there):
            part = Part.STORE
        elif _covers(history.without_scheduler, here, there):
            part = Part.SCHEDULER
        yield _whole(here, there, part)


def _trying(attempt: Attempt, last: datetime) -> Iterator[_Segment]:
    """Yield what an attempt went through."""
    end = attempt.ended or last
    if attempt.outcome in _PART_BY_OUTCOME and not attempt.lasts:
        begin = attempt.started or attempt.placed
        yield _whole(attempt.placed, begin, Part.START)
        yield _whole(begin, end, _PART_BY_OUTCOME[attempt.outcome])
        return
    if attempt.started is None:
        part = Part.UNKNOWN if attempt.ended else Part.START
        yield _whole(attempt.placed, end, part)
        return
    yield _whole(attempt.placed, attempt.started, Part.START)
    paces = [(attempt.started, _FULL_PERCENT), *attempt.paces]
    ends = [at for at, _ in paces[1:]] + [end]
    for (begin, percent), until in zip(paces, ends, strict=True):
        speed = percent / _FULL_PERCENT
        shares = {Part.RUNNING: speed, Part.SLOWED: 1.0 - speed}
        yield _Segment(begin=begin, end=until, share_by_part=shares)


def _clip(
    segments: Iterable[_Segment], at: datetime, end: datetime
) -> Iterator[_Segment]:
    """Yield the segments in order, each from where the one before ended."""
    for segment in segments:
        if segment.begin > at:
            begin = min(segment.begin, end)
            yield _whole(at, begin, Part.UNKNOWN)
            at = begin
        until = min(segment.end, end)
        if until > at:
            yield replace(segment, begin=at, end=until)
            at = until


def _whole(begin: datetime, end: datetime, part: Part) -> _Segment:
    """Return a segment that was spent on one part."""
    return _Segment(begin=begin, end=end, share_by_part={part: 1.0})


def _covers(spans: Iterable[Span], begin: datetime, end: datetime) -> bool:
    return any(first <= begin and end <= last for first, last in spans)


def _seconds(begin: datetime, end: datetime) -> float:
    return (end - begin).total_seconds()
