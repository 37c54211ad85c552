"""Steps on the health of a worker by the outcomes of its tasks."""

from __future__ import annotations

from datetime import timedelta

from behave import given, step, then

from coltsfoottray.jobs.model import JobId
from coltsfoottray.scheduler.health import WorkerHealth


@given("a healthy worker")
def make_health(context):
    context.health = WorkerHealth()
    context.placed_by_job = {}
    context.blocks = []


@step('it started a task of job "{job}" at second {second:d}')
def start_task(context, job, second):
    context.placed_by_job[job] = timedelta(seconds=second)


@step('a task of job "{job}" fails there at second {second:d}')
def fail_task(context, job, second):
    now = timedelta(seconds=second)
    placed_at = context.placed_by_job.pop(job, now)
    running = context.placed_by_job.values()
    block = context.health.record_failure(
        JobId(job), placed_at=placed_at, now=now, running=running
    )
    context.blocks.append(block)


@step('the task of job "{job}" completes at second {second:d}')
def complete_task(context, job, second):
    context.health.record_success(context.placed_by_job.pop(job))


@then("it is blocked")
def check_blocked(context):
    assert context.blocks[-1] is not None, context.blocks


@then("it is not blocked")
def check_not_blocked(context):
    assert context.blocks == [None] * len(context.blocks), context.blocks


@then("it is blocked for {seconds:d} s")
def check_block_time(context, seconds):
    total = sum((each for each in context.blocks if each), timedelta(0))
    assert total == timedelta(seconds=seconds), context.blocks
