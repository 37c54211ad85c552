"""Order in which waiting steps get free capacity.

The order matters when more tasks wait than fit. The priority of a queue comes first,
as the operator has set it. Within a priority, services come first, because every second
without them counts. Next are jobs that can still be on time, by the end of their
objective: earliest deadline first keeps the most jobs on time as long as all can be.
Late jobs come after them, since otherwise each would make the next one late, too. Jobs
that are too late to be of use to their caller come last. The expected length of a job
is estimated from tasks that have run (scheduler/lengths.py).
"""

from __future__ import annotations

from datetime import timedelta

from coltsfoottray.jobs.config import ConfigHolder
from coltsfoottray.jobs.model import QueueTerms
from coltsfoottray.scheduler.live import LiveJob
from coltsfoottray.scheduler.live_step import LiveStep

__all__ = [
    "MIN_EXPECTED_FRACTION",
    "due_time",
    "is_half_elapsed",
    "objective",
    "urgency_key",
]

# A job that takes more than three times its objective is worthless to its caller, by
# the users' own measure of late work.
_USEFUL_FACTOR = 3.0

# A job counts as late only if even this fraction of its expected length would not end
# in time.
MIN_EXPECTED_FRACTION = 0.7

_SERVICE, _ON_TIME, _LATE, _USELESS = range(4)


def objective(job: LiveJob, holder: ConfigHolder) -> timedelta:
    """Return how long the job may take to be on time."""
    terms = holder.terms_of(job.accepted.queue, default=job.accepted.terms)
    return _allowed_time(job, terms)


def due_time(job: LiveJob, occurrence: int, terms: QueueTerms) -> timedelta:
    """Return until when an occurrence is on time, by the scheduler's steady clock."""
    return job.start_of(occurrence) + _allowed_time(job, terms)


def _allowed_time(job: LiveJob, terms: QueueTerms) -> timedelta:
    length_ms = terms.slowdown_factor * job.critical_path_ms
    return timedelta(milliseconds=length_ms + terms.target_latency_ms)


def is_half_elapsed(job: LiveJob, holder: ConfigHolder, now: timedelta) -> bool:
    """Return whether half of the time in which a job is on time has elapsed."""
    return now > job.accepted_at + objective(job, holder) / 2


def urgency_key(
    step: LiveStep, holder: ConfigHolder, now: timedelta
) -> tuple[int, int, timedelta]:
    """Return the sort key of a step; the smallest goes first."""
    job = step.job
    terms = holder.terms_of(job.accepted.queue, default=job.accepted.terms)
    rank = _rank(step, now, holder)
    if rank is _ON_TIME and step.is_deferred:
        rank = _LATE
    return terms.priority, rank, due_time(job, step.occurrence, terms)


def _rank(step: LiveStep, now: timedelta, holder: ConfigHolder) -> int:
    if step.spec.is_service:
        return _SERVICE
    allowed = objective(step.job, holder)
    elapsed = now - step.job.start_of(step.occurrence)
    if elapsed > _USEFUL_FACTOR * allowed:
        return _USELESS
    left_ms = step.job.critical_path_left_ms(step.occurrence) * MIN_EXPECTED_FRACTION
    left = timedelta(milliseconds=left_ms)
    return _ON_TIME if elapsed + left <= allowed else _LATE
