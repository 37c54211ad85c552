"""Steps on what is thought of a worker by the ends of its tasks."""

from __future__ import annotations

from datetime import timedelta

from behave import given, step, then

from coltsfoottray.jobs.model import JobId
from coltsfoottray.scheduler.health import WorkerHealth


@given("a worker that has run well")
def make_health(context):
    context.health = WorkerHealth()
    context.placed_by_job = {}
    context.blocks = []


@step('it began a task of job "{job}" at second {second:d}')
def begin(context, job, second):
    context.placed_by_job[job] = timedelta(seconds=second)


@step('a task of job "{job}" fails there at second {second:d}')
def fail(context, job, second):
    now = timedelta(seconds=second)
    placed_at = context.placed_by_job.pop(job, now)
    running = context.placed_by_job.values()
    block = context.health.record_failure(
        JobId(job), placed_at=placed_at, now=now, running=running
    )
    context.blocks.append(block)


@step('the task of job "{job}" ends well at second {second:d}')
def end_well(context, job, second):
    context.health.record_success(context.placed_by_job.pop(job))


@then("it takes nothing new")
def check_blocked(context):
    assert context.blocks[-1] is not None, context.blocks


@then("it goes on taking tasks")
def check_sound(context):
    assert context.blocks == [None] * len(context.blocks), context.blocks


@then("it takes nothing new for {seconds:d} s")
def check_block(context, seconds):
    total = sum((each for each in context.blocks if each), timedelta(0))
    assert total == timedelta(seconds=seconds), context.blocks
