"""Steps about the size of the scheduler's transactions."""

from __future__ import annotations

from functools import partial

from behave import then, when

from coltsfoottray.scheduler.messages import Report
from coltsfoottray.types import Address

# Long names stand for more attendants than a scenario can have.
_NAME_LENGTH = 180


@when(
    "{count:d} attendants in each of {centres:d} data centres report each second, "
    "for {seconds:d} s"
)
def report_fleet(context, count, centres, seconds):
    cell = context.world.cell

    async def report(second):
        active = cell.entry_by_name[cell.scheduler()].scheduler.active
        if active is None:
            return
        for centre in range(centres):
            for number in range(count):
                active.handle_report(_report(centre, number, second))

    for second in range(seconds):
        context.world.run(partial(report, second))
        context.world.advance(1)


def _report(centre, number, second):
    name = f"side-{centre}-{number}-".ljust(_NAME_LENGTH, "x")
    return Report(
        worker=name,
        incarnation=name,
        address=Address(host="10.0.0.1", port=8080),
        data_centre=f"dc-{centre}",
        number=second + 1,
    )


@then("the store has a row of attendants for each of {count:d} data centres")
def check_attendant_rows(context, count):
    rows = context.world.cell.metadata_table.current_by_ref
    keys = [ref.key for ref in rows if ref.table == "attendants"]
    assert len([key for key in keys if key.startswith("dc-")]) == count, keys


@then("the store has refused no transaction for its size")
def check_refused(context):
    assert context.world.cell.metadata_table.oversized == 0
