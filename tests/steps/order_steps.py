"""Steps that replay load patterns on a fluid pool, by both orders of jobs."""

from __future__ import annotations

import dataclasses
from collections.abc import Sequence
from datetime import timedelta

from behave import given, step, then, when

from coltsfoottray.jobs.model import JobId, QueueTerms
from coltsfoottray.overload.demand import JobDemand, JobKey
from coltsfoottray.overload.last_chance import select_resumed
from coltsfoottray.overload.order import JobOrder, select_deferred
from coltsfoottray.scheduler.lengths import LengthEstimator
from coltsfoottray.scheduler.urgency import MIN_EXPECTED_FRACTION
from standins.fluid_pool import PERIOD_S, POOL, FluidJob, FluidPool, JobShape

_END_S = 300.0
_TASKS = 5
_LONG = QueueTerms(
    service=POOL.service, priority=2, slowdown_factor=2.0, target_latency_ms=1000
)
_URGENT = QueueTerms(
    service=POOL.service, priority=0, slowdown_factor=1.5, target_latency_ms=300
)


@given("a pool of {processors:d} processors")
def make_pool(context, processors, **settings):
    context.rate_at = lambda now_s: processors
    context.settings = settings
    context.shapes = []


@given("a pool of {processors:d} processors whose rate is not measured")
def make_unmeasured_pool(context, processors):
    make_pool(context, processors, has_meter=False)


@given("a pool of {processors:d} processors that falls to {later:d} after {after:d} s")
def make_slowed_pool(context, processors, later, after):
    make_pool(context, processors)
    context.rate_at = lambda now_s: processors if now_s < after else later
    context.change = (later, after)


def _add(context, at_s: float, length_s: float, **changes) -> JobShape:
    """Add a job of two steps that can use 10 processors."""
    values = {"queue": "long", "terms": _LONG, "tasks": _TASKS} | changes
    shape = JobShape(
        name=f"j{len(context.shapes):03}",
        arrival_s=at_s,
        steps=2,
        task_s=length_s / 2,
        processors=2.0,
        **values,
    )
    context.shapes.append(shape)
    return shape


def _add_evenly(context, count: int, lengths_s: Sequence[float], span_s: float):
    return [
        _add(context, number * span_s / count, lengths_s[number % len(lengths_s)])
        for number in range(count)
    ]


@when("{count:d} jobs of {length:d} s arrive within {span:d} s")
def add_equal(context, count, length, span):
    context.group = _add_evenly(context, count, [length], span)


@when("{count:d} more arrive after {seconds:d} s")
def add_more(context, count, seconds):
    for _ in range(count):
        _add(context, seconds, 2 * context.group[0].task_s)


@when("{count:d} jobs of {short:d} to {long:d} s arrive within {span:d} s")
def add_mixed(context, count, short, long, span):
    lengths = [long, short, (short + long) / 2]
    context.group = _add_evenly(context, count, lengths, span)


@when("{count:d} jobs of {length:d} s arrive, each of which is already late")
def add_late(context, count, length):
    for _ in range(count):
        _add(context, -1.5 * length - 1, length)


@when("a job {factor:d} times as large as these arrives after {seconds:d} s")
def add_largest(context, factor, seconds):
    length_s = 2 * context.group[0].task_s
    context.largest = _add(context, seconds, length_s, tasks=_TASKS * factor)


@when("{count:d} jobs {factor:d} times as large as these arrive after {seconds:d} s")
def add_large(context, count, factor, seconds):
    length_s = 2 * context.group[0].task_s
    context.large = {
        _add(context, seconds, length_s, tasks=_TASKS * factor).name
        for _ in range(count)
    }


def _demand_at_last_chance(name: str, priority: int, now: timedelta) -> JobDemand:
    path = timedelta(seconds=8)
    return JobDemand(
        key=JobKey(job=JobId(name), occurrence=0),
        queue=name,
        pool=POOL,
        priority=priority,
        due=now,
        useful_until=now + 2 * path,
        work_left=100.0,
        work_total=100.0,
        path_left=path,
    )


@when("a job of priority {priority:d} is resumed")
def resume(context, priority):
    context.now = timedelta(seconds=20)
    context.resumed = [_demand_at_last_chance("resumed", priority, context.now)]


@when("a job of priority {priority:d} is deferred until its last chance")
def defer(context, priority):
    demand = _demand_at_last_chance("deferred", priority, context.now)
    # Others of its queue are much smaller.
    small = dataclasses.replace(
        demand, key=JobKey(job=JobId("small"), occurrence=0), work_total=1.0
    )
    other = small.key._replace(job=JobId("other"))
    context.deferred = [demand, small, dataclasses.replace(small, key=other)]


@when(
    "a job of priority {priority:d} is deferred until its last chance, which ends "
    "{seconds:d} s earlier"
)
def defer_earlier(context, priority, seconds):
    defer(context, priority)
    context.deferred = [
        dataclasses.replace(
            each, useful_until=each.useful_until - timedelta(seconds=seconds)
        )
        for each in context.deferred
    ]


def _select_resumed(context) -> set[str]:
    resumed = select_resumed(
        context.resumed + context.deferred,
        {POOL: context.rate_at(0.0)},
        context.now,
        deferred_before={demand.key for demand in context.deferred},
        resumed_before={demand.key for demand in context.resumed},
    )
    return {key.job for key in resumed}


@then("both are resumed")
def check_both_resumed(context):
    assert _select_resumed(context) == {"resumed", "deferred"}


@then("none is resumed")
def check_not_resumed(context):
    assert not _select_resumed(context)


@then("only the former is resumed")
def check_stays_resumed(context):
    assert _select_resumed(context) == {"resumed"}
    former, context.resumed = context.resumed, []
    context.deferred += former
    # Without a resumed one, the one whose use ends first has its turn.
    assert _select_resumed(context) == {"deferred"}


@when("a job of {tasks:d} tasks arrives that declares {factor:d} times its length")
def add_misdeclared(context, tasks, factor):
    _add(context, 0.0, 8.0, tasks=tasks, declared_factor=float(factor))


@when("jobs of a higher priority that need {percent:d}% arrive for {span:d} s")
def add_urgent(context, percent, span):
    interval_s = 20.0 / (percent / 100 * context.rate_at(0.0))
    for number in range(round(span / interval_s)):
        _add(context, number * interval_s, 2.0, queue="urgent", terms=_URGENT)


def _play(context, order: JobOrder, shapes=None) -> dict[str, FluidJob]:
    pool = FluidPool(order=order, rate_at=context.rate_at, **context.settings)
    jobs = pool.play(context.shapes if shapes is None else shapes, until_s=_END_S)
    return {job.id: job for job in jobs}


def _count_on_time(jobs: dict[str, FluidJob], shapes: Sequence[JobShape]) -> int:
    return sum(
        jobs[shape.name].end_s <= shape.arrival_s + shape.allowed_s for shape in shapes
    )


@then("at least {count:d} more jobs are on time by least cost than by deadline")
def check_more_on_time(context, count):
    before, after = (
        _count_on_time(_play(context, order), context.group) for order in JobOrder
    )
    assert after >= before + count, (before, after)


@then("by least cost no job becomes useless")
def check_useful(context):
    jobs = _play(context, JobOrder.LEAST_COST)
    ages = [(job.end_s - job.shape.arrival_s, job.shape) for job in jobs.values()]
    assert all(age <= shape.useful_s for age, shape in ages), ages


@then("by least cost it waits and starts before its last chance has passed")
def check_start(context):
    job = _play(context, JobOrder.LEAST_COST)[context.largest.name]
    last_start_s = job.shape.useful_s - job.shape.steps * job.shape.task_s
    assert 0 < job.longest_wait_s < last_start_s, job.longest_wait_s


@then("by least cost it ends while it is of use")
def check_largest(context):
    job = _play(context, JobOrder.LEAST_COST)[context.largest.name]
    assert job.end_s - job.shape.arrival_s <= job.shape.useful_s, job.end_s


@then("by least cost at least {count:d} others are on time")
def check_others(context, count):
    on_time = _count_on_time(_play(context, JobOrder.LEAST_COST), context.group)
    assert on_time >= count, on_time


@step("by least cost {count:d} of them is on time")
@step("by least cost the {count:d} jobs are on time")
def check_on_time(context, count):
    jobs = _play(context, JobOrder.LEAST_COST)
    on_time = _count_on_time(jobs, context.group)
    assert on_time == count, on_time


@then("the same one is deferred while their expected work varies by {percent:d}%")
def check_turns(context, percent):
    now = timedelta(seconds=1)
    demands = [FluidJob(shape, LengthEstimator()).demand() for shape in context.group]
    rates = {POOL: context.rate_at(1.0)}
    first = deferred = select_deferred(demands, rates, now)
    assert len(first) == 1, first
    for turn in range(20):
        one, other = demands[turn % 2], demands[1 - turn % 2]
        grown = one.work_left * (1 + percent / 100)
        varied = [dataclasses.replace(one, work_left=grown), other]
        deferred = select_deferred(varied, rates, now, deferred_before=deferred)
        assert deferred == first, (turn, deferred)


@then("by least cost no job is ever deferred")
def check_none_deferred(context):
    jobs = _play(context, JobOrder.LEAST_COST)
    assert not any(job.deferral_changes for job in jobs.values())


@then("by least cost those of the higher priority end as if they were alone")
def check_urgent(context):
    urgent = [shape for shape in context.shapes if shape.terms is _URGENT]
    jobs = _play(context, JobOrder.LEAST_COST)
    alone = _play(context, JobOrder.LEAST_COST, urgent)
    assert any(job.deferral_changes for job in jobs.values())
    assert all(jobs[name].end_s == job.end_s for name, job in alone.items())


def _run_until(context, order: JobOrder, until_s: float):
    """Run a pool; yield it and the time before each decision."""
    pool = FluidPool(order=order, rate_at=context.rate_at, **context.settings)
    shapes = sorted(context.shapes, key=lambda shape: -shape.arrival_s)
    while pool.now_s < until_s:
        while shapes and shapes[-1].arrival_s <= pool.now_s:
            pool.add(shapes.pop())
        yield pool
        pool.step()


@then("by least cost one of them at a time is resumed, until it ends")
def check_one_resumed(context):
    resumed: list[JobId] = []
    for pool in _run_until(context, JobOrder.LEAST_COST, _END_S):
        assert len(pool.resumed) <= 1, pool.resumed
        resumed += [key.job for key in pool.resumed if key.job not in resumed[-1:]]
        ended = {job.id for job in pool.ended}
        assert all(pool.resumed or job in ended for job in resumed[-1:]), resumed
    assert set(resumed) <= context.large, resumed
    assert len(resumed) == len(set(resumed)) > 0, resumed


@then("by least cost some are deferred and none is resumed")
def check_none_resumed(context):
    deferred = 0
    for pool in _run_until(context, JobOrder.LEAST_COST, _END_S):
        deferred += len(pool.deferred)
        assert not pool.resumed, pool.resumed
    assert deferred


@then("by least cost none is resumed that can no longer be of use")
def check_resumed_useful(context):
    waited_too_long = 0
    for pool in _run_until(context, JobOrder.LEAST_COST, _END_S):
        resumed = {key.job for key in pool.resumed}
        for job in pool.live:
            path_s = job.critical_path_left_ms(0) / 1000 * MIN_EXPECTED_FRACTION
            ends_s = pool.now_s + path_s
            if ends_s > job.shape.arrival_s + job.shape.useful_s + PERIOD_S:
                waited_too_long += job.id in context.large
                assert job.id not in resumed, job.id
    assert waited_too_long


def _former_key(job: FluidJob, now: timedelta):
    """Return the key that urgency_key had before jobs could be deferred."""
    elapsed = now - job.accepted_at
    path_ms = job.critical_path_ms
    terms = job.shape.terms
    allowed_ms = terms.slowdown_factor * path_ms + terms.target_latency_ms
    allowed = timedelta(milliseconds=allowed_ms)
    left = timedelta(milliseconds=job.critical_path_left_ms(0) * 0.7)
    rank = 3 if elapsed > 3.0 * allowed else 1 if elapsed + left <= allowed else 2
    return terms.priority, rank, job.accepted_at + allowed


@then("by deadline the order is at all times by priority, lateness and deadline")
def check_former_order(context):
    late = 0
    for pool in _run_until(context, JobOrder.DEADLINE, 60.0):
        now = timedelta(seconds=pool.now_s)
        keys = [_former_key(job, now) for job in pool.in_order()]
        assert keys == sorted(keys), keys
        late += any(key[1] > 1 for key in keys)
    assert late


@then("at the end of the burst only jobs that cannot be on time are deferred")
def check_needless(context):
    *_, pool = _run_until(context, JobOrder.LEAST_COST, 2.0 + PERIOD_S)
    late = {job.id for job in pool.live if job.shape.arrival_s < 0}
    assert late
    assert {key.job for key in pool.deferred} == late, pool.deferred


@then("the measured rate is within {percent:d}% of the real one {after:d} s after that")
def check_rate(context, percent, after):
    later, changed_s = context.change
    *_, pool = _run_until(context, JobOrder.LEAST_COST, float(changed_s + after))
    assert abs(pool.measured_rate - later) <= later * percent / 100, pool.measured_rate
