"""Steps on the evacuation of data centres."""

from __future__ import annotations

from unittest import mock

from behave import given, step, then, when
from typer.testing import CliRunner

from coltsfoottray.cli import queries
from coltsfoottray.cli.main import app
from coltsfoottray.http import HttpRequest
from tests.support.job_world import JobWorld, job_id
from tests.support.log_lines import record_log_lines

# An entry reads the request, and its scheduler's next round and report follow.
_USUALLY_IN_FORCE_AFTER_S = 1.0


@given('two entries and {count:d} workers for jobs in "{first}" and "{second}"')
def make_world(context, count, first, second):
    context.world = JobWorld(workers=count, data_centres=[first, second])
    context.closers.append(context.world.close)
    context.world.wait_until(lambda: context.world.cell.scheduler() != "")
    context.world.advance(3)
    context.evacuated_at = {}
    context.messages = []
    record_log_lines(context, context.messages.append)


@step('the operator evacuates "{data_centre}"')
def evacuate(context, data_centre):
    async def write():
        context.world.cell.evacuate(data_centre)

    context.world.run(write)
    context.evacuated_at[data_centre] = context.world.now()


@step('the operator takes the evacuation of "{data_centre}" back')
def end_evacuation(context, data_centre):
    async def write():
        context.world.cell.end_evacuation(data_centre)

    context.world.run(write)


@when('the operator evacuates "{data_centre}" and the history is dropped')
def evacuate_and_drop(context, data_centre):
    async def write():
        context.world.cell.evacuate(data_centre)
        context.world.cell.metadata_table.drop_history()

    context.world.run(write)
    context.evacuated_at[data_centre] = context.world.now()


@when(
    'the operator takes the evacuation of "{data_centre}" back and the history is '
    "dropped"
)
def end_and_drop(context, data_centre):
    async def write():
        context.world.cell.end_evacuation(data_centre)
        context.world.cell.metadata_table.drop_history()

    context.world.run(write)


@given("nothing more of the operator's rows can be read")
def withhold_operator_rows(context):
    table = context.world.cell.metadata_table
    table.withheld_tables.add("op")
    table.withheld_feeds.add("op")


@when("the operator's rows can be read again")
def release_operator_rows(context):
    table = context.world.cell.metadata_table
    table.withheld_tables.discard("op")
    table.withheld_feeds.discard("op")


def _late_orders(context, data_centre, after_s):
    limit = context.evacuated_at[data_centre] + after_s
    return [
        (worker.name, round(at - limit, 2))
        for worker in context.world.cell.worker_by_name.values()
        if worker.data_centre == data_centre
        for at in worker.order_times_s
        if at > limit
    ]


@then('no start order reached the workers in "{data_centre}" after the evacuation')
def check_no_orders(context, data_centre):
    late = _late_orders(context, data_centre, _USUALLY_IN_FORCE_AFTER_S)
    assert not late, late


@then(
    'no start order reached the workers in "{data_centre}" {seconds:d} s after the '
    "evacuation or later"
)
def check_no_late_orders(context, data_centre, seconds):
    late = _late_orders(context, data_centre, seconds)
    assert not late, late


@then('the job "{label}" waits for the reason "{reason}"')
def check_wait_reason(context, label, reason):
    waits = [
        message["lacks"]
        for message in context.messages
        if message.get("message_type") == "decision:wait"
        and message["step"].startswith(job_id(label))
    ]
    assert waits, "no wait was logged"
    assert waits[-1] == reason, waits


@then('the status of every daemon shows "{data_centre}" as evacuated')
def check_status(context, data_centre):
    cell = context.world.cell
    daemons = [*cell.entry_by_name.values(), *cell.attendant_by_name.values()]

    async def read():
        return [daemon.status() for daemon in daemons]

    for status in context.world.run(read):
        assert status.evacuated == [data_centre], status
        assert 0 < status.operator_rows_age_s < 3, status


@then('"status --metrics" of {name} prints "{text}"')
def check_status_command(context, name, text):
    daemon = context.world.cell.entry_by_name[name]
    request = HttpRequest(method="GET", target="/status")

    async def ask():
        return await daemon._handle_operator(request)

    response = context.world.run(ask)
    with mock.patch.object(queries, "send_request", lambda *_: response):
        result = CliRunner().invoke(app, ["status", "--metrics", "127.0.0.1:9400"])
    assert result.exit_code == 0, result
    assert text in result.output, result.output


@then('each entry logs "{event}" for "{data_centre}"')
def check_logged(context, event, data_centre):
    logged = [
        message
        for message in context.messages
        if message.get("message_type") == event
        and message["data_centre"] == data_centre
    ]
    assert len(logged) == len(context.world.cell.entry_by_name), logged
