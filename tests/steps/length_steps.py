"""Steps on jobs whose tasks take longer or shorter than declared."""

from __future__ import annotations

from behave import given, step, then, when

from tests.support.job_world import job_id, make_steps

_SHORT_MS = 100
_LONG_MS = 100_000


@given("the queue's objective is {factor:d} times a job's length and {ms:d} ms")
def set_objective(context, factor, ms):
    async def write():
        context.world.cell.write_config(slowdownFactor=factor, targetLatencyMs=ms)

    context.world.run(write)
    context.world.advance(1)


@when(
    "{count:d} jobs of {seconds:d} s that declare 100 ms and 100 s alternately have "
    "run on a whole worker"
)
def run_misdeclared(context, count, seconds):
    for number in range(count):
        _submit(context, f"m{number}", seconds, (_SHORT_MS, _LONG_MS)[number % 2])
        context.world.advance(seconds + 1)


@step(
    'a job "{label}" of {seconds:d} s on a whole worker that declares '
    "{declared:d} ms is submitted"
)
def submit_misdeclared(context, label, seconds, declared):
    _submit(context, label, seconds, declared)


@then('no task of "{label}" was started before those of "{other}"')
def check_order(context, label, other):
    started = [each[0].split(".")[0] for each in context.world.cell.observer.starts]
    assert job_id(other) in started, started
    if job_id(label) in started:
        assert started.index(job_id(other)) < started.index(job_id(label)), started


def _submit(context, label, seconds, declared_ms):
    shape = make_steps(1, 1, declared_ms / 1000, cpu=8000)
    status = context.world.submit_job("entry-1", label, shape, work_s=seconds)
    assert status == 200, status
