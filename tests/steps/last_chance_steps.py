"""Steps about a large job that a scheduler defers and resumes."""

from __future__ import annotations

from behave import then, when

from tests.support.job_world import job_id, make_steps

_POLL_S = 0.1


@when("jobs of {tasks:d} tasks of {seconds:d} s arrive every {ms:d} ms for {span:d} s")
def plan_arrivals(context, tasks, seconds, ms, span):
    context.arrivals = [
        (number * ms / 1000, f"n{number}", tasks, seconds)
        for number in range(span * 1000 // ms)
    ]


@when(
    'the job "{label}" of {tasks:d} tasks of {seconds:d} s arrives {after:d} s after '
    "the first of them"
)
def submit_all(context, label, tasks, seconds, after):
    context.large = job_id(label)
    context.ended_s = None
    started_s = context.world.now()
    large = (float(after), label, tasks, seconds)
    for at_s, name, count, task_s in sorted([*context.arrivals, large]):
        _advance_until(context, started_s + at_s)
        steps = make_steps(1, count, task_s)
        status = context.world.submit_job("entry-1", name, steps, work_s=task_s)
        assert status == 200, status
    context.arrived_s = started_s + after


@then('the job "{label}" ends within {limit:d} s')
def check_end(context, label, limit):
    _advance_until(context, context.arrived_s + limit)
    assert context.ended_s is not None, label
    assert context.ended_s <= context.arrived_s + limit, context.ended_s


@then('its deferral is logged with the reason "{reason}"')
def check_deferral(context, reason):
    reasons = [line["reason"] for line in _lines(context, "decision:defer")]
    assert reasons[:1] == [reason], reasons


@then('the end of its deferral is logged with the reason "{reason}"')
def check_resumption(context, reason):
    reasons = [line["reason"] for line in _lines(context, "decision:undefer")]
    assert reasons[-1:] == [reason], reasons


def _advance_until(context, end_s: float) -> None:
    """Advance the world; note when the large job ends."""
    while (left_s := end_s - context.world.now()) > 0:
        context.world.advance(min(left_s, _POLL_S))
        if context.ended_s is None and _lines(context, "decision:completed"):
            context.ended_s = context.world.now()


def _lines(context, kind: str):
    return [
        message
        for message in context.messages
        if message.get("message_type") == kind and message.get("job") == context.large
    ]
