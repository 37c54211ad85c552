"""Steps about the directory of daemons."""

from __future__ import annotations

from behave import given, then, when

from standins.metadata_table import MetadataTableStandIn
from tests.support.job_world import JobWorld


@given("a table that executes {rate:d} transactions a second in each part")
def limit_table(context, rate):
    context.metadata_table = MetadataTableStandIn(transactions_per_s=float(rate))


@when("{entries:d} entries and {workers:d} workers for jobs start at the same moment")
def start_fleet(context, entries, workers):
    context.world = JobWorld(
        entries=entries, workers=workers, metadata_table=context.metadata_table
    )
    context.closers.append(context.world.close)
    context.daemons = entries + workers


@given("the row of {name} in the directory is unreadable")
def spoil_row(context, name):
    async def write():
        context.world.cell.metadata_table.put("members", "", name, "unreadable")

    context.world.run(write)


@then("the row of {name} in the directory was written once")
def check_writes(context, name):
    changes = context.world.cell.metadata_table.changes
    rows = [each for each in changes if each.ref.table == "members"]
    assert [each.ref.key for each in rows].count(name) == 1, rows


@then("the directory of {name} contains {other}")
def check_knows(context, name, other):
    cell = context.world.cell
    address = cell.entry_by_name[other].address
    context.world.advance(12)

    async def read_entries():
        return cell.entry_by_name[name].members.entries()

    assert address in context.world.run(read_entries)


@then("all entries and workers are known within {seconds:d} s")
def check_known(context, seconds):
    world = context.world
    world.advance(seconds - world.now())
    cell = world.cell
    entries = {entry.address for entry in cell.entry_by_name.values()}
    daemons = [*cell.entry_by_name.values(), *cell.attendant_by_name.values()]

    async def read_missing():
        unknown_entries = {
            each.name: len(missing)
            for each in daemons
            if (missing := entries - {each.address} - set(each.members.entries()))
        }
        active = cell.entry_by_name[cell.scheduler()].scheduler.active
        workers = {} if active is None else active.cluster.fleet.worker_by_id
        return unknown_entries, [
            name
            for name in cell.worker_by_name
            if name not in workers or not workers[name].is_reachable
        ]

    unknown_entries, unknown_workers = world.run(read_missing)
    assert not unknown_entries, unknown_entries
    assert not unknown_workers, unknown_workers


@then("the directory has cost at most {limit:d} calls for each daemon")
def check_cost(context, limit):
    calls = context.world.cell.metadata_table.calls_by_table["members"]
    assert calls <= limit * context.daemons, f"{calls} calls"
