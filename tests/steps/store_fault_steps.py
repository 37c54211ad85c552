"""Steps that inject faults into the platform's store."""

from __future__ import annotations

import trio
from behave import given, step, when


@step("{seconds:d} s pass with the store up again")
def recover_store(context, seconds):
    context.world.cell.metadata_table.faults.is_down = False
    context.world.cell.metadata_table.withholds_changes = False
    context.world.advance(seconds)


@step("the scheduler's writes take {milliseconds:d} ms")
def occupy_scheduler_part(context, milliseconds):
    async def occupy():
        table = context.world.cell.metadata_table
        table.occupy("scheduler", milliseconds / 1000)

    context.scheduler = context.world.cell.scheduler()
    context.world.run(occupy)


@step("the store withholds changes")
def withhold_changes(context):
    context.world.cell.metadata_table.withholds_changes = True


@when("the store is down from {name}'s next poll on")
def lose_store_at_poll(context, name):
    world = context.world
    worker = world.cell.worker_by_name[name]
    before = worker.poll_count
    world.wait_until(lambda: worker.poll_count > before, step_s=0.001)
    world.cell.metadata_table.faults.is_down = True


@step("the answers to the next {count:d} writes of the store are lost")
def lose_write_answers(context, count):
    context.world.cell.metadata_table.faults.lost_answers = count


@step("the next {count:d} writes of the store are carried out late")
def make_writes_late(context, count):
    context.world.cell.metadata_table.late_writes = count


@when("the store is down for {seconds:d} s")
def take_store_down(context, seconds):
    context.world.cell.metadata_table.faults.is_down = True
    context.world.advance(seconds)
    context.world.cell.metadata_table.faults.is_down = False


@step("the store is down from now on")
def leave_store_down(context):
    context.world.cell.metadata_table.faults.is_down = True


@when("the next {count:d} reads of the members fail")
def fail_member_reads(context, count):
    context.world.cell.metadata_table.failed_reads_by_table["members"] = count


@when("the store's history is dropped")
def drop_history(context):
    context.world.cell.metadata_table.drop_history()


@given("the store goes down in {milliseconds:d} ms")
def plan_outage(context, milliseconds):
    async def go_down():
        await trio.sleep(milliseconds / 1000)
        context.world.cell.metadata_table.faults.is_down = True

    context.world.spawn(go_down)
