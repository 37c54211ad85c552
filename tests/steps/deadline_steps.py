"""Steps for the times at which runs must end, without daemons."""

from __future__ import annotations

from datetime import UTC, datetime, timedelta

from behave import given, then

from coltsfoottray.clock import Clock, Moment
from coltsfoottray.jobs.model import AcceptedJob, JobId, JobSpec, QueueTerms, StepSpec
from coltsfoottray.jobs.records import JobRecord, TaskRecord
from coltsfoottray.scheduler.deadlines import Deadlines
from coltsfoottray.scheduler.lengths import LengthEstimator
from coltsfoottray.scheduler.live import LiveJob
from coltsfoottray.types import Resources


class _StoppedClock(Clock):
    """A clock that stands still, so that no time is lost between two steps."""

    def now(self):
        return datetime(2026, 1, 1, tzinfo=UTC)

    def elapsed(self):
        return timedelta(seconds=100)

    async def sleep(self, duration):
        raise NotImplementedError


def _make_job(context, steps, target_latency_ms):
    terms = QueueTerms(
        service="pool", slowdown_factor=1.0, target_latency_ms=target_latency_ms
    )
    accepted = AcceptedJob(
        id=JobId("a" * 16),
        queue="builds",
        terms=terms,
        spec=JobSpec(payload="", steps=steps),
        accepted_ms=0,
    )
    record = JobRecord(occurrences=[[[TaskRecord()] for _ in steps]])
    clock = _StoppedClock()
    context.job = LiveJob(
        accepted=accepted,
        record=record,
        lengths=LengthEstimator(),
        seen=Moment.read(clock),
    )
    context.job.accepted_at = clock.elapsed()
    context.deadlines = Deadlines(terms_of=lambda _: terms, clock=clock)


def _chain(count, length_ms, *, is_service=False):
    return [
        StepSpec(
            demand=Resources(processors=1.0),
            estimate_ms=length_ms,
            after=[number - 1] if number else [],
            is_filler=True,
            is_service=is_service,
        )
        for number in range(count)
    ]


@given("a job of {count:d} steps of {length:d} ms in a chain, due after {due:d} ms")
def make_chain(context, count, length, due):
    _make_job(context, _chain(count, length), due - count * length)


@given("a service of {count:d} steps that is a filler")
def make_service(context, count):
    _make_job(context, _chain(count, 100, is_service=True), 1000)


@then("a run of step {number:d} must end within {left:d} ms")
def check_time_left(context, number, left):
    step = context.job.steps_by_occurrence[0][number]
    assert context.deadlines.time_left_ms(step) == left


@then("its runs have no time to end")
def check_no_end(context):
    for step in context.job.steps():
        assert context.deadlines.length_ms(step) == 0
