"""Compares the order of jobs under overload with earliest deadline first, by replays.

Run by `python -m benchmarks.overload`. Each load pattern is played on a fluid pool
(standins/fluid_pool.py) with the same arrivals and seeds for both orders: on a pool of
more processors than the usual arrivals need, and on one of fewer. Then the time of a
decision is measured.
"""

from __future__ import annotations

import math
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from datetime import timedelta
from random import Random

from coltsfoottray.jobs.config import ConfigHolder
from coltsfoottray.jobs.model import QueueTerms
from coltsfoottray.overload.order import JobOrder, select_deferred
from coltsfoottray.scheduler.lengths import LengthEstimator
from coltsfoottray.scheduler.urgency import urgency_key
from standins.fluid_pool import POOL, FluidJob, FluidPool, JobShape

__all__ = ["main"]

_SEEDS = 6
_ARRIVALS_S = 90.0
_CHANGE_S = 30.0
_END_S = 300.0
# Processors as multiples of what the usual arrivals need.
_POOLS = (1.15, 0.9)

_LONG_RATE = 1.26
_LONG_TERMS = QueueTerms(
    service=POOL.service, priority=2, slowdown_factor=2.0, target_latency_ms=1000
)
_LONG_WORK = 2 * 20 * 5.4 * 3.5
_URGENT_TERMS = QueueTerms(
    service=POOL.service, priority=0, slowdown_factor=1.5, target_latency_ms=300
)
_URGENT_WORK = 2 * 10 * 1.6 * 0.76
# Share of the work that urgent jobs need in the pattern that contains them.
_URGENT_SHARE = 0.3
# Standard deviations of the logarithms of task lengths and of tasks per step.
_SIGMA = 0.5

_QUARTERS = 4
_LATE_WORTH = 1 / 7
_COST_JOBS = 2000
_COST_RUNS = 20

_Load = Callable[[float], float]


def _constant(_: float) -> float:
    return 1.0


def _burst(factor: float) -> _Load:
    return lambda now_s: factor if _CHANGE_S <= now_s < _CHANGE_S + 4.0 else 1.0


def _wave(now_s: float) -> float:
    return 1.0 + 0.55 * math.sin(2 * math.pi * now_s / 17.0)


def _slow_workers(now_s: float) -> float:
    return 0.9 if _CHANGE_S <= now_s < _CHANGE_S + 10.0 else 1.0


@dataclass(frozen=True, kw_only=True)
class _Pattern:
    """A load pattern.

    Parameters
    ----------
    long_load, urgent_load, speed : callable
        Arrivals, and rate of the pool, at a time as multiples of the usual ones.
    max_error : float
        Largest error of declared lengths.
    """

    name: str
    long_load: _Load = _constant
    urgent_load: _Load | None = None
    speed: _Load = _constant
    max_error: float = 0.0


_PATTERNS = (
    _Pattern(name="burst x 2.6", long_load=_burst(2.6)),
    _Pattern(name="urgent burst x 2.1", urgent_load=_burst(2.1)),
    _Pattern(name="wave 55%", long_load=_wave),
    _Pattern(name="slow tenth", speed=_slow_workers),
    _Pattern(name="slow tenth in burst", long_load=_burst(2.6), speed=_slow_workers),
    _Pattern(name="lengths off 90%", max_error=0.9),
    _Pattern(name="off 90% in burst", long_load=_burst(2.6), max_error=0.9),
    _Pattern(
        name="x 1.3 for 60 s", long_load=lambda now_s: 1 + 0.3 * (now_s >= _CHANGE_S)
    ),
    _Pattern(name="twice for 60 s", long_load=lambda now_s: 1 + (now_s >= _CHANGE_S)),
)


def _draw_arrivals(rate: float, load: _Load, random: Random) -> list[float]:
    """Return times of a Poisson process, by thinning one of three times the rate."""
    peak = 3.0
    arrivals: list[float] = []
    now_s = random.expovariate(rate * peak)
    while now_s < _ARRIVALS_S:
        if random.random() * peak < load(now_s):
            arrivals.append(now_s)
        now_s += random.expovariate(rate * peak)
    return arrivals


def _draw_size(random: Random) -> float:
    """Return a lognormal factor with the mean 1."""
    return random.lognormvariate(-_SIGMA * _SIGMA / 2, _SIGMA)


def _draw_long_job(name: str, at_s: float, error: float, random: Random) -> JobShape:
    limit = math.log1p(error)
    return JobShape(
        name=name,
        arrival_s=at_s,
        queue="long",
        terms=_LONG_TERMS,
        steps=2,
        tasks=max(round(20 * _draw_size(random)), 1),
        task_s=5.4 * _draw_size(random),
        processors=3.5,
        declared_factor=math.exp(random.uniform(-limit, limit)),
    )


def _draw_jobs(pattern: _Pattern, seed: int) -> list[JobShape]:
    random = Random(seed)
    has_urgent = pattern.urgent_load is not None
    rate = _LONG_RATE * (1.0 - _URGENT_SHARE if has_urgent else 1.0)
    jobs = [
        _draw_long_job(f"long-{number}", at_s, pattern.max_error, random)
        for number, at_s in enumerate(_draw_arrivals(rate, pattern.long_load, random))
    ]
    if pattern.urgent_load is None:
        return jobs
    rate = _LONG_RATE * _LONG_WORK * _URGENT_SHARE / _URGENT_WORK
    arrivals = _draw_arrivals(rate, pattern.urgent_load, random)
    return jobs + [
        JobShape(
            name=f"urgent-{number}",
            arrival_s=at_s,
            queue="urgent",
            terms=_URGENT_TERMS,
            steps=2,
            tasks=10,
            task_s=1.6 * _draw_size(random),
            processors=0.76,
        )
        for number, at_s in enumerate(arrivals)
    ]


def _is_within(job: FluidJob, limit_s: float) -> bool:
    return job.end_s is not None and job.end_s - job.shape.arrival_s <= limit_s


class _Tally:
    """Outcomes of jobs."""

    def __init__(self, jobs: Sequence[FluidJob]) -> None:
        self.jobs = jobs
        self.on_time = sum(_is_within(job, job.shape.allowed_s) for job in jobs)
        useful = sum(_is_within(job, job.shape.useful_s) for job in jobs)
        self.late = useful - self.on_time
        self.useless = len(jobs) - useful

    @property
    def worth(self) -> float:
        return self.on_time + _LATE_WORTH * self.late

    def format_shares(self) -> str:
        """Return the percentages on time and of use."""
        if not self.jobs:
            return "-"
        count = len(self.jobs)
        useful = 1 - self.useless / count
        return f"{self.on_time / count:.0%}/{useful:.0%}"


def _play(pattern: _Pattern, order: JobOrder, pool_size: float) -> list[FluidJob]:
    processors = _LONG_RATE * _LONG_WORK * pool_size
    jobs: list[FluidJob] = []
    for seed in range(_SEEDS):
        pool = FluidPool(
            order=order, rate_at=lambda now_s: processors * pattern.speed(now_s)
        )
        jobs += pool.play(_draw_jobs(pattern, seed), until_s=_END_S)
    return jobs


def _format_row(pattern: _Pattern, order: JobOrder, jobs: list[FluidJob]) -> str:
    tally = _Tally(jobs)
    long_jobs = sorted(
        (job for job in jobs if job.shape.queue == "long"),
        key=lambda job: job.shape.work,
    )
    count = len(long_jobs)
    quarters = [
        long_jobs[count * number // _QUARTERS : count * (number + 1) // _QUARTERS]
        for number in range(_QUARTERS)
    ]
    groups = [
        *quarters,
        long_jobs[-count // 10 :],
        [job for job in jobs if job.shape.terms.priority == 0],
        long_jobs,
    ]
    shares = " ".join(f"{_Tally(group).format_shares():>9}" for group in groups)
    wait_s = max(job.longest_wait_s for job in jobs)
    changes = sum(job.deferral_changes for job in jobs) / len(jobs)
    return (
        f"{pattern.name:<20} {order.value:<10} {len(jobs):>6} {tally.on_time:>7} "
        f"{tally.late:>5} {tally.useless:>7} {tally.worth:>7.0f} {shares} "
        f"{wait_s:>6.1f} {changes:>7.2f}"
    )


def _print_outcomes(pool_size: float) -> None:
    groups = ("quarter 1", "quarter 2", "quarter 3", "quarter 4", "top tenth")
    heads = " ".join(f"{head:>9}" for head in (*groups, "prio 0", "prio 2"))
    print(f"A pool of {pool_size:.0%} of the usual need.")
    print("Quarters of size (smallest first) and priorities: % on time / % of use.")
    print(
        f"{'pattern':<20} {'order':<10} {'jobs':>6} {'on time':>7} {'late':>5} "
        f"{'useless':>7} {'worth':>7} {heads} {'wait s':>6} {'changes':>7}"
    )
    for pattern in _PATTERNS:
        for order in JobOrder:
            jobs = _play(pattern, order, pool_size)
            print(_format_row(pattern, order, jobs), flush=True)
    print()


def _time_us(call: Callable[[], object]) -> float:
    """Return the median time of a call in microseconds of processor time."""
    times = []
    for _ in range(_COST_RUNS):
        started_at = time.process_time()
        call()
        times.append(time.process_time() - started_at)
    return sorted(times)[_COST_RUNS // 2] * 1e6


def _print_cost() -> None:
    random = Random(1)
    lengths = LengthEstimator()
    jobs = [
        FluidJob(_draw_long_job(f"j{number}", number / 100, 0.0, random), lengths)
        for number in range(_COST_JOBS)
    ]
    now = timedelta(seconds=_COST_JOBS / 100)
    holder = ConfigHolder()
    demands = [job.demand() for job in jobs]
    rate_by_pool = {POOL: _LONG_RATE * _LONG_WORK}
    deferred = select_deferred(demands, rate_by_pool, now)
    select_us = _time_us(lambda: select_deferred(demands, rate_by_pool, now))
    steps = [job.step for job in jobs]

    def sort() -> None:
        sorted(steps, key=lambda step: urgency_key(step, holder, now))

    before_us = _time_us(sort)
    for job, demand in zip(jobs, demands, strict=True):
        if demand.key in deferred:
            job.deferred_work_by_occurrence = {0: demand.work_left}
    after_us = _time_us(sort)
    print(
        f"{_COST_JOBS} jobs, {len(deferred)} deferred: select_deferred "
        f"{select_us:.0f} us; sort by urgency {before_us:.0f} us without deferred "
        f"jobs, {after_us:.0f} us with them"
    )


def main() -> None:
    """Print the outcomes of all patterns and the cost."""
    for pool_size in _POOLS:
        _print_outcomes(pool_size)
    _print_cost()


if __name__ == "__main__":
    main()
