"""Steps for the operators' two lists in a simulated deployment in memory."""

from __future__ import annotations

import json

import msgspec
import trio
from behave import step, then, when

from coltsfoottray.http import HttpRequest
from coltsfoottray.lists import Edit, EditRecord, ListName, Lists


@when(
    '"{operator}" sets the processors of "{plan}" to {processors:g}, '
    "having read version {version:d}"
)
def edit(context, operator, plan, processors, version):
    context.edit = Edit(
        list=ListName.ALLOWANCES,
        change={plan: {"processors": processors}},
        based_on=version,
        author=operator,
        token=f"{operator}-{version}-{processors}",
    )
    _post(context, "entry-1", operator)


@when('"{operator}" sends the same edit again to {entry}')
def edit_again(context, operator, entry):
    _post(context, entry, operator)


@when("version {version:d} is pushed to every daemon again")
def push_again(context, version):
    rows = context.world.cell.table.row_by_key
    record = rows[f"lists/history/{version:09d}"].decode(EditRecord)

    async def push():
        for daemon in _daemons(context):
            assert not daemon.holder.replace_if_newer(record.lists)

    context.world.run(push)


@when("entry-3 is started with entry-1 as its seed")
def start_with_seed(context):
    cell = context.world.cell
    seed = cell.entry_by_name["entry-1"].describe().peers
    context.world.run(cell.start_entry, "entry-3", [seed])
    context.world.advance(1.5)


@then("entry-3 has version {version:d} in force, and is not healthy")
def check_unhealthy(context, version):
    entry = context.world.cell.entry_by_name["entry-3"]
    assert entry.holder.current.version == version, entry.holder.current
    response = context.world.ask("entry-3", HttpRequest(method="GET", target="/health"))
    assert response.status == 503, response


@then('"{operator}" receives lists version {version:d}')
def check_accepted(context, operator, version):
    response = context.response_by_operator[operator]
    assert response.status == 200, response
    assert msgspec.json.decode(response.body, type=Lists).version == version


@then('"{operator}" is refused the edit because "{winner}" edited first')
def check_conflict(context, operator, winner):
    response = context.response_by_operator[operator]
    assert response.status == 409, response
    assert json.loads(response.body)["detail"].startswith(f"{winner} changed"), response


@then('"{operator}" is refused the edit with "{text}"')
def check_invalid(context, operator, text):
    response = context.response_by_operator[operator]
    assert response.status == 400, response
    assert text in json.loads(response.body)["detail"], response


@then('the history holds {count:d} edit by "{author}"')
def check_history(context, count, author):
    rows = context.world.cell.table.row_by_key
    records = [
        row.decode(EditRecord)
        for key, row in rows.items()
        if key.startswith("lists/history/")
    ]
    assert sum(r.edit.author == author for r in records) == count, records


@step(
    "within {seconds:d} s every daemon has version {version:d} "
    "with {processors:d} processors"
)
def check_in_force(context, seconds, version, processors):
    async def wait():
        with trio.move_on_after(seconds):
            while any(d.holder.current.version != version for d in _daemons(context)):
                await trio.sleep(0.01)

    context.world.run(wait)
    for daemon in _daemons(context):
        lists = daemon.holder.current
        assert lists.version == version, (daemon.settings.name, lists.version)
        assert lists.allowance_by_plan["surveys"].processors == processors, lists


def _daemons(context):
    cell = context.world.cell
    return [
        *cell.entry_by_name.values(),
        *cell.upstream_by_name.values(),
        *cell.worker_by_name.values(),
    ]


def _post(context, entry, operator):
    request = HttpRequest(
        method="POST", target="/lists", body=msgspec.json.encode(context.edit)
    )
    if not hasattr(context, "response_by_operator"):
        context.response_by_operator = {}
    context.response_by_operator[operator] = context.world.ask(entry, request)
