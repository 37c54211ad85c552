"""Order in which waiting steps get free capacity.

The order matters when more tasks wait than fit. The priority of a queue comes first,
as the operator has set it. Within a priority, services come first, because every second
without them counts. Next are jobs that can still be on time, by the end of their
objective: earliest deadline first keeps the most jobs on time as long as all can be.
Late jobs come after them, since otherwise each would make the next one late, too. Jobs
that are too late to be of use to their caller come last. The expected length of a job
is estimated from tasks that have run (scheduler/lengths.py).

While not all can be on time, overload/order.py may defer jobs. These come between jobs
on time and late ones, in the order that it states. Those that overload/last_chance.py
resumes rank with the jobs on time.
"""

from __future__ import annotations

from datetime import timedelta

from coltsfoottray.clock import as_duration
from coltsfoottray.jobs.config import ConfigHolder
from coltsfoottray.jobs.model import USEFUL_FACTOR, QueueTerms
from coltsfoottray.overload.order import DeferredTurn, deferred_turn
from coltsfoottray.scheduler.live import LiveJob
from coltsfoottray.scheduler.live_step import LiveStep

__all__ = [
    "MIN_EXPECTED_FRACTION",
    "UrgencyKey",
    "due_time",
    "is_half_elapsed",
    "objective",
    "urgency_key",
    "useful_until",
]

# A job counts as late only if even this fraction of its expected length would not end
# in time.
MIN_EXPECTED_FRACTION = 0.7

# Declared lengths are not bounded; the work of a job with many tasks may be more than a
# timedelta can hold.
_MAX_WORK_S = 1e12

UrgencyKey = tuple[int, int, timedelta]

_SERVICE, _ON_TIME, _LAST_CHANCE, _DEFERRED, _LATE, _USELESS = range(6)


def objective(job: LiveJob, holder: ConfigHolder) -> timedelta:
    """Return how long the job may take to be on time."""
    terms = holder.terms_of(job.accepted.queue, default=job.accepted.terms)
    return _allowed_time(job, terms)


def due_time(job: LiveJob, occurrence: int, terms: QueueTerms) -> timedelta:
    """Return until when an occurrence is on time, by the scheduler's steady clock."""
    return job.start_of(occurrence) + _allowed_time(job, terms)


def useful_until(job: LiveJob, occurrence: int, terms: QueueTerms) -> timedelta:
    """Return until when the end of an occurrence is of use, by the steady clock."""
    return job.start_of(occurrence) + USEFUL_FACTOR * _allowed_time(job, terms)


def _allowed_time(job: LiveJob, terms: QueueTerms) -> timedelta:
    return as_duration(terms.objective_ms(job.critical_path_ms))


def is_half_elapsed(job: LiveJob, holder: ConfigHolder, now: timedelta) -> bool:
    """Return whether half of the time in which a job is on time has elapsed."""
    return now > job.accepted_at + objective(job, holder) / 2


def urgency_key(step: LiveStep, holder: ConfigHolder, now: timedelta) -> UrgencyKey:
    """Return the sort key of a step; the smallest goes first.

    Its last part is a deadline or, for a deferred job, its work left on one processor.
    The two are never compared, since they belong to different ranks.
    """
    job = step.job
    terms = holder.terms_of(job.accepted.queue, default=job.accepted.terms)
    allowed = _allowed_time(job, terms)
    start = job.start_of(step.occurrence)
    rank = _rank(step, now - start, allowed)
    if rank in (_DEFERRED, _LAST_CHANCE):
        work = job.deferred_work_by_occurrence[step.occurrence]
        return terms.priority, rank, timedelta(seconds=min(work, _MAX_WORK_S))
    due = job.resumed_due_by_occurrence.get(step.occurrence, start + allowed)
    return terms.priority, rank, due


def _rank(step: LiveStep, elapsed: timedelta, allowed: timedelta) -> int:
    if step.spec.is_service:
        return _SERVICE
    useful = USEFUL_FACTOR * allowed
    if elapsed > useful:
        return _USELESS
    if step.occurrence in step.job.resumed_due_by_occurrence:
        return _ON_TIME
    left_ms = step.job.critical_path_left_ms(step.occurrence)
    min_left = as_duration(left_ms * MIN_EXPECTED_FRACTION)
    if step.is_deferred:
        turn = deferred_turn(
            now=elapsed,
            useful_until=useful,
            path_left=as_duration(left_ms),
            min_path_left=min_left,
        )
        if turn is DeferredTurn.SHORTEST_FIRST:
            return _DEFERRED
        return _LAST_CHANCE if turn is DeferredTurn.LAST_CHANCE else _USELESS
    return _ON_TIME if elapsed + min_left <= allowed else _LATE
