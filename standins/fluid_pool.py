"""A pool of workers as a fluid, for replays of the order of jobs without a network.

The pool works at a rate, in processors. Each decision gives it to the jobs in the order
of `urgency_key`; a step gets at most what its tasks can use. Unlike in a real pool, no
task occupies a place, so that a job can lose its rate from one decision to the next.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from datetime import timedelta

from coltsfoottray.clock import Moment
from coltsfoottray.jobs.config import ConfigHolder
from coltsfoottray.jobs.model import (
    USEFUL_FACTOR,
    AcceptedJob,
    JobId,
    JobSpec,
    QueueTerms,
    StepSpec,
)
from coltsfoottray.overload.capacity import CapacityMeter, PoolUsage
from coltsfoottray.overload.demand import JobDemand, JobKey, Pool, PoolKind
from coltsfoottray.overload.last_chance import select_resumed
from coltsfoottray.overload.order import JobOrder, select_deferred
from coltsfoottray.scheduler.lengths import LengthEstimator
from coltsfoottray.scheduler.live import LiveJob
from coltsfoottray.scheduler.live_step import LiveStep
from coltsfoottray.scheduler.urgency import (
    MIN_EXPECTED_FRACTION,
    due_time,
    urgency_key,
    useful_until,
)
from coltsfoottray.types import Resources

__all__ = ["PERIOD_S", "POOL", "FluidJob", "FluidPool", "JobShape"]

PERIOD_S = 0.25
POOL = Pool(service="batch", kind=PoolKind.SPARE)

_MILLI = 1000.0
# Rounding errors leave a step with a little work.
_MIN_WORK = 1e-6


@dataclass(frozen=True, kw_only=True)
class JobShape:
    """A job of equal steps, one after the other.

    Parameters
    ----------
    task_s : float
        How long each task takes at full speed.
    declared_factor : float
        The declared length of a task as a multiple of `task_s`.
    """

    name: str
    arrival_s: float
    queue: str
    terms: QueueTerms
    steps: int
    tasks: int
    task_s: float
    processors: float
    declared_factor: float = 1.0

    @property
    def work(self) -> float:
        """Work in processor-seconds."""
        return self.steps * self.tasks * self.task_s * self.processors

    @property
    def allowed_s(self) -> float:
        """How long it may take to be on time."""
        path_s = self.steps * self.task_s
        return self.terms.slowdown_factor * path_s + self.terms.target_latency_ms / 1e3

    @property
    def useful_s(self) -> float:
        """How long it may take to be of use to its caller."""
        return USEFUL_FACTOR * self.allowed_s


class FluidJob(LiveJob):
    """A live job whose tasks progress evenly.

    Attributes
    ----------
    work_left : list of float
        Real work left by step.
    """

    def __init__(self, shape: JobShape, lengths: LengthEstimator) -> None:
        self.shape = shape
        step_work = shape.work / shape.steps
        self.work_left = [step_work] * shape.steps
        self.rate = 0.0
        self.end_s: float | None = None
        self.longest_wait_s = 0.0
        self.deferral_changes = 0
        self._waits_since_s = shape.arrival_s
        now = Moment(elapsed=timedelta(seconds=shape.arrival_s), time_ms=0)
        super().__init__(accepted=_accept(shape), seen=now, lengths=lengths)
        self.add_due_occurrences(now)

    @property
    def step(self) -> LiveStep:
        """The step that can run."""
        return next(step for step in self.steps() if not step.is_done)

    @property
    def max_rate(self) -> float:
        """The processors that the tasks of a step can use."""
        return self.shape.tasks * self.shape.processors

    def critical_path_left_ms(self, occurrence: int) -> float:
        """Return the expected path left, without what is done of the current step."""
        done = 1.0 - self._fraction_left(self.step.number)
        expected_ms = self.expected_length_ms(self.step.number)
        return super().critical_path_left_ms(occurrence) - done * expected_ms

    def demand(self) -> JobDemand:
        """Return what it is expected to need."""
        works = [
            self.expected_length_ms(step.number) / _MILLI * self.max_rate
            for step in self.steps()
        ]
        left = sum(
            work * self._fraction_left(number) for number, work in enumerate(works)
        )
        path_ms = self.critical_path_left_ms(0) * MIN_EXPECTED_FRACTION
        return JobDemand(
            key=JobKey(job=self.id, occurrence=0),
            queue=self.shape.queue,
            pool=POOL,
            priority=self.shape.terms.priority,
            due=due_time(self, 0, self.shape.terms),
            useful_until=useful_until(self, 0, self.shape.terms),
            work_left=left,
            work_total=sum(works),
            path_left=timedelta(milliseconds=path_ms),
        )

    def run(self, rate: float, start_s: float) -> None:
        """Work at `rate` from `start_s` until the next decision."""
        self.rate = rate
        if rate > 0:
            self._waits_since_s = start_s + PERIOD_S
        waited_s = start_s + PERIOD_S - self._waits_since_s
        self.longest_wait_s = max(self.longest_wait_s, waited_s)
        step = self.step
        left = self.work_left[step.number] - rate * PERIOD_S
        self.work_left[step.number] = max(left, 0.0)
        if left > _MIN_WORK:
            return
        step.done = len(step.records)
        self.record_length(step.number, self.shape.task_s * _MILLI)
        if all(each.is_done for each in self.steps()):
            self.end_s = start_s + PERIOD_S

    def _fraction_left(self, number: int) -> float:
        return self.work_left[number] * self.shape.steps / self.shape.work


class FluidPool:
    """Works on jobs in one order and decides anew in each period.

    Parameters
    ----------
    rate_at : callable
        The processors of the pool at a time in seconds.
    has_meter : bool
        Whether the rate is measured; it is unknown to the decisions otherwise.
    """

    def __init__(
        self,
        *,
        order: JobOrder,
        rate_at: Callable[[float], float],
        has_meter: bool = True,
    ) -> None:
        self.now_s = 0.0
        self.live: list[FluidJob] = []
        self.ended: list[FluidJob] = []
        self.deferred: set[JobKey] = set()
        self.resumed: dict[JobKey, timedelta] = {}
        self._order = order
        self._rate_at = rate_at
        self._has_meter = has_meter
        self._meter = CapacityMeter()
        self._holder = ConfigHolder()
        self._lengths = LengthEstimator()

    def play(self, shapes: Iterable[JobShape], *, until_s: float) -> list[FluidJob]:
        """Run jobs that arrive at their times; return all, also unfinished ones."""
        arriving = sorted(shapes, key=lambda shape: -shape.arrival_s)
        while self.now_s < until_s and (arriving or self.live):
            while arriving and arriving[-1].arrival_s <= self.now_s:
                self.add(arriving.pop())
            self.step()
        return self.ended + self.live

    def add(self, shape: JobShape) -> FluidJob:
        """Add a job that has arrived."""
        job = FluidJob(shape, self._lengths)
        self.live.append(job)
        return job

    def step(self) -> None:
        """Decide on the order and work for one period."""
        now = timedelta(seconds=self.now_s)
        rate = self._rate_at(self.now_s)
        if self._order is JobOrder.LEAST_COST:
            self._update_deferred(now)
        left = rate
        for job in self.in_order():
            granted = min(left, job.max_rate, job.work_left[job.step.number] / PERIOD_S)
            left -= granted
            job.run(granted, self.now_s)
        self._measure(rate, left, now)
        self.now_s += PERIOD_S
        self.ended += [job for job in self.live if job.end_s is not None]
        self.live = [job for job in self.live if job.end_s is None]

    def in_order(self) -> Sequence[FluidJob]:
        """Return the jobs by urgency, the most urgent first."""
        now = timedelta(seconds=self.now_s)
        return sorted(
            self.live, key=lambda job: urgency_key(job.step, self._holder, now)
        )

    @property
    def measured_rate(self) -> float:
        """The processors of the pool, as measured."""
        return self._meter.rate_by_pool()[POOL]

    def _update_deferred(self, now: timedelta) -> None:
        rate_by_pool = self._meter.rate_by_pool() if self._has_meter else {}
        demands = [job.demand() for job in self.live]
        self.resumed = select_resumed(
            demands,
            rate_by_pool,
            now,
            deferred_before=self.deferred,
            resumed_before=self.resumed,
        )
        deferred = select_deferred(
            demands,
            rate_by_pool,
            now,
            deferred_before=self.deferred,
            resumed=self.resumed,
        )
        for job, demand in zip(self.live, demands, strict=True):
            is_deferred = demand.key in deferred
            job.deferral_changes += is_deferred != (demand.key in self.deferred)
            job.deferred_work_by_occurrence = (
                {0: demand.work_left} if is_deferred else {}
            )
            due = self.resumed.get(demand.key)
            job.resumed_due_by_occurrence = {} if due is None else {0: due}
        self.deferred = deferred

    def _measure(self, rate: float, idle: float, now: timedelta) -> None:
        usage = PoolUsage(
            used=rate - idle,
            requested=sum(job.max_rate for job in self.live),
            idle=idle,
            has_waiting=any(job.rate == 0 for job in self.live),
        )
        self._meter.update({POOL: usage}, now)


def _accept(shape: JobShape) -> AcceptedJob:
    steps = [
        StepSpec(
            count=shape.tasks,
            demand=Resources(processors=shape.processors),
            estimate_ms=shape.task_s * shape.declared_factor * _MILLI,
            after=[number - 1] if number else [],
            is_filler=True,
        )
        for number in range(shape.steps)
    ]
    return AcceptedJob(
        id=JobId(shape.name),
        queue=shape.queue,
        terms=shape.terms,
        spec=JobSpec(payload="", steps=steps),
        accepted_ms=0,
    )
