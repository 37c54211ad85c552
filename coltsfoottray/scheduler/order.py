"""Which step gets room first.

Answers the load at which more tasks wait than fit. A queue's priority goes first:
the operator set it. Within a priority the job whose objective ends first goes
first, which keeps the most jobs on time while all can be; jobs past the point at
which they are of any use to their caller wait behind those that still are.
"""

from __future__ import annotations

from coltsfoottray.jobs.config import ConfigHolder
from coltsfoottray.scheduler.live import LiveJob, LiveStep

__all__ = ["objective_ms", "urgency"]

# A job that takes more than three times its objective is worth nothing to its
# caller: the users' own measure of late work.
_USEFUL_FACTOR = 3.0


def objective_ms(job: LiveJob, holder: ConfigHolder) -> float:
    """Return how long the job may take to be on time."""
    terms = holder.terms_of(job.accepted.queue, otherwise=job.accepted.terms)
    return terms.slowdown_factor * job.chain_ms + terms.target_latency_ms


def urgency(
    step: LiveStep, holder: ConfigHolder, now_ms: int
) -> tuple[int, bool, float]:
    """Return a sort key; the smallest goes first."""
    job = step.job
    terms = holder.terms_of(job.accepted.queue, otherwise=job.accepted.terms)
    begun_ms = job.accepted.accepted_ms
    if job.accepted.spec.repetition is not None:
        begun_ms = job.accepted.spec.repetition.due_ms(step.occurrence)
    objective = objective_ms(job, holder)
    is_useless = now_ms > begun_ms + _USEFUL_FACTOR * objective
    if step.spec.is_service:
        is_useless = False
    return terms.priority, is_useless, begun_ms + objective
