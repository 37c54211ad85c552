"""Which step gets room first.

Answers the load at which more tasks wait than fit. A queue's priority goes first:
the operator set it. Within a priority services come first, which lose by the second;
then jobs that can still be on time, the one whose objective ends first before the
others, which keeps the most on time while all can be. Jobs that are late already
wait behind them, or each would make the next one late, too; last are those that are
of no use to their caller any more. How long a job takes is what is expected by those
that have run (scheduler/lengths.py).
"""

from __future__ import annotations

from coltsfoottray.jobs.config import ConfigHolder
from coltsfoottray.scheduler.live import LiveJob, LiveStep

__all__ = ["is_half_elapsed", "objective_ms", "urgency_key"]

# A job that takes more than three times its objective is worth nothing to its
# caller: the users' own measure of late work.
_USEFUL_FACTOR = 3.0

# A job is taken for late only when even this part of what is expected would not fit.
_LEAST_OF_EXPECTED = 0.7

_SERVICE, _ON_TIME, _LATE, _USELESS = range(4)


def objective_ms(job: LiveJob, holder: ConfigHolder) -> float:
    """Return how long the job may take to be on time."""
    terms = holder.terms_of(job.accepted.queue, default=job.accepted.terms)
    return terms.slowdown_factor * job.critical_path_ms + terms.target_latency_ms


def is_half_elapsed(job: LiveJob, holder: ConfigHolder, now_ms: int) -> bool:
    """Whether half of the time is over in which a job is on time."""
    return now_ms > job.accepted.accepted_ms + objective_ms(job, holder) / 2


def urgency_key(
    step: LiveStep, holder: ConfigHolder, now_ms: int
) -> tuple[int, int, float]:
    """Return a sort key; the smallest goes first."""
    job = step.job
    terms = holder.terms_of(job.accepted.queue, default=job.accepted.terms)
    begun_ms: float = job.accepted.accepted_ms
    if job.accepted.spec.repetition is not None:
        begun_ms = job.accepted.spec.repetition.due_ms(step.occurrence)
    objective = objective_ms(job, holder)
    due_ms = begun_ms + objective
    return terms.priority, _rank(step, now_ms, begun_ms, objective), due_ms


def _rank(step: LiveStep, now_ms: int, begun_ms: float, objective: float) -> int:
    if step.spec.is_service:
        return _SERVICE
    if now_ms > begun_ms + _USEFUL_FACTOR * objective:
        return _USELESS
    end_ms = (
        now_ms + step.job.critical_path_left_ms(step.occurrence) * _LEAST_OF_EXPECTED
    )
    return _ON_TIME if end_ms <= begun_ms + objective else _LATE
