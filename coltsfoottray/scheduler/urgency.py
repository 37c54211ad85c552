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

from coltsfoottray.jobs.config import ConfigHolder
from coltsfoottray.scheduler.live import LiveJob, LiveStep

__all__ = ["is_half_elapsed", "objective_ms", "urgency_key"]

# A job that takes more than three times its objective is worthless to its caller, by
# the users' own measure of late work.
_USEFUL_FACTOR = 3.0

# A job counts as late only if even this fraction of its expected length would not end
# in time.
_MIN_EXPECTED_FRACTION = 0.7

_SERVICE, _ON_TIME, _LATE, _USELESS = range(4)


def objective_ms(job: LiveJob, holder: ConfigHolder) -> float:
    """Return how long the job may take to be on time, in ms."""
    terms = holder.terms_of(job.accepted.queue, default=job.accepted.terms)
    return terms.slowdown_factor * job.critical_path_ms + terms.target_latency_ms


def is_half_elapsed(job: LiveJob, holder: ConfigHolder, now_ms: int) -> bool:
    """Return whether half of the time in which a job is on time has elapsed."""
    return now_ms > job.accepted.accepted_ms + objective_ms(job, holder) / 2


def urgency_key(
    step: LiveStep, holder: ConfigHolder, now_ms: int
) -> tuple[int, int, float]:
    """Return the sort key of a step; the smallest goes first."""
    job = step.job
    terms = holder.terms_of(job.accepted.queue, default=job.accepted.terms)
    start_ms: float = job.accepted.accepted_ms
    if job.accepted.spec.repetition is not None:
        start_ms = job.accepted.spec.repetition.due_ms(step.occurrence)
    objective = objective_ms(job, holder)
    due_ms = start_ms + objective
    return terms.priority, _rank(step, now_ms, start_ms, objective), due_ms


def _rank(step: LiveStep, now_ms: int, start_ms: float, objective: float) -> int:
    if step.spec.is_service:
        return _SERVICE
    if now_ms > start_ms + _USEFUL_FACTOR * objective:
        return _USELESS
    end_ms = (
        now_ms
        + step.job.critical_path_left_ms(step.occurrence) * _MIN_EXPECTED_FRACTION
    )
    return _ON_TIME if end_ms <= start_ms + objective else _LATE
