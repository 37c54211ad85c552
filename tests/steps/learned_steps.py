"""Steps about what a scheduler has learned and its successors restore."""

from __future__ import annotations

from datetime import timedelta

import msgspec
from behave import given, then, when

from coltsfoottray.clock import Moment, TrioClock
from coltsfoottray.jobs.keys import LEARNED_KEY
from coltsfoottray.jobs.model import AcceptedJob, JobId, JobSpec, QueueTerms, StepSpec
from coltsfoottray.jobs.records import JobRecord, JobState
from coltsfoottray.overload.capacity import CapacityMeter
from coltsfoottray.overload.demand import Pool, PoolKind
from coltsfoottray.overload.order import JobOrder
from coltsfoottray.platform import Row
from coltsfoottray.scheduler.learned_row import LearnedRow
from coltsfoottray.scheduler.lengths import LengthEstimator
from coltsfoottray.scheduler.live import LiveJob
from coltsfoottray.settings import OverloadSettings
from coltsfoottray.types import Resources
from tests.support.job_world import JobWorld, job_id, make_steps

_PERIOD = timedelta(seconds=4)
_VERSION = 7
_DECLARED_MS = (100, 100_000)


@then("a burst is worked off in the same order if the scheduler is killed at its peak")
def check_orders(context):
    orders = [_run_burst(context, kills=kills) for kills in (True, False)]
    assert orders[0] == orders[1], orders


def _run_burst(context, *, kills):
    """Return the tasks of a burst on one worker in the order of their starts."""
    world = JobWorld(workers=1, overload=OverloadSettings(order=JobOrder.LEAST_COST))
    context.closers.append(world.close)
    world.wait_until(lambda: world.cell.scheduler() != "")
    scheduler = world.cell.scheduler()
    entry = next(name for name in world.cell.entry_by_name if name != scheduler)

    async def write_objective():
        world.cell.write_config(slowdownFactor=3, targetLatencyMs=30_000)

    def submit(label, number):
        shape = make_steps(1, 1, _DECLARED_MS[number % 2] / 1000, cpu=8000)
        assert world.submit_job(entry, label, shape, work_s=4) == 200

    world.run(write_objective)
    world.advance(3)
    for number in range(16):
        submit(f"m{number}", number)
        world.advance(5)
    world.advance(5)
    learned = len(world.cell.observer.starts)
    for number in range(8):
        submit(f"b{number}", number + 1)
        # With less time in between, the few observations that the last write missed
        # could decide which of two jobs starts first.
        world.advance(1)
    if kills:
        world.kill_daemon(scheduler)
    starts = world.cell.observer.starts
    world.wait_until(lambda: len(starts) >= learned + 8)
    assert starts[learned][0].startswith(job_id("b0")), starts
    return [task for task, _, _ in starts[learned:]]


@then("nothing learned is stored")
def check_not_stored(context):
    group, part, name = LEARNED_KEY.split("/")
    assert context.world.cell.metadata_table.value_of(group, part, name) is None


@given("a scheduler that has observed tasks of an ended job and of an active one")
def make_scheduler(context):
    context.records = [JobRecord(), JobRecord()]
    context.before = _Learner(context.records)
    ended, active = context.before.jobs
    ended.record_length(0, 1000)
    ended.finish(JobState.COMPLETED, 0)
    active.record_length(0, 3000)


@when("it writes the row and then observes another step of the active job")
def write_row(context):
    context.before.meter.restore({Pool("svc", PoolKind.SPARE): 40.0})
    (context.put,) = context.before.row.due_puts(_PERIOD)
    context.before.jobs[1].record_length(1, 9000)


@when("another scheduler restores the row {value} and both jobs")
def restore(context, value):
    raw = context.put.value if value == "as written" else msgspec.Raw(value.encode())
    row = Row(key=LEARNED_KEY, value=raw, version=_VERSION)
    context.after = _Learner(context.records, row)


@then("it has learned the same")
def check_learned(context):
    before, after = context.before, context.after
    assert before.meter.rate_by_pool() == after.meter.rate_by_pool()
    for declared in (10, 5000, 90_000):
        expected = before.lengths.expected_ms("r-rebuild", declared)
        actual = after.lengths.expected_ms("r-rebuild", declared)
        assert abs(actual / expected - 1) < 1e-9, (declared, expected, actual)


@then("the row is logged as unreadable, and replaced by the next write")
def check_replaced(context):
    events = [message["message_type"] for message in context.messages]
    assert events.count("scheduler:learned-unreadable") == 1, events
    (put,) = context.after.row.due_puts(_PERIOD)
    assert put.version == _VERSION


class _Learner:
    """What a scheduler has learned, restored from a row and the records of jobs."""

    def __init__(self, records, row=None):
        self.lengths = LengthEstimator()
        self.meter = CapacityMeter()
        now, clock = timedelta(0), TrioClock()
        self.row = LearnedRow(
            lengths=self.lengths, meter=self.meter, clock=clock, now=now
        )
        if row is not None:
            self.row.restore(row)
        step = StepSpec(count=1, demand=Resources(processors=1.0), estimate_ms=2000.0)
        accepted = AcceptedJob(
            id=JobId("job"),
            queue="r-rebuild",
            terms=QueueTerms(service="svc"),
            spec=JobSpec(payload="", steps=[step, step]),
            accepted_ms=0,
        )
        moment = Moment(elapsed=now, time_ms=0)
        self.jobs = [
            LiveJob(accepted=accepted, record=each, seen=moment, lengths=self.lengths)
            for each in records
        ]
