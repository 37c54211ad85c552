"""Steps about the ends of runs that were given up."""

from __future__ import annotations

from behave import step, then


@then('{count:d} late ends are logged, of runs given up because "{reason}"')
def check_late_ends(context, count, reason):
    lines = [
        line
        for line in context.messages
        if line.get("message_type") == "decision:late-end"
    ]
    assert [line["given_up"] for line in lines] == [reason] * count, lines


@step("{name}'s VM takes {milliseconds:d} ms to stop a run")
def slow_stops(context, name, milliseconds):
    context.world.cell.worker_by_name[name].stop_time_s = milliseconds / 1000


@step("the operator allows {count:d} attempts")
def limit_attempts(context, count):
    async def write():
        context.world.cell.write_config(maxAttempts=count)

    context.world.run(write)


@then("no task was started after its last failure allowed")
def check_attempts(context):
    violations = context.world.cell.observer.violations
    assert not [text for text in violations if "failures" in text], violations
