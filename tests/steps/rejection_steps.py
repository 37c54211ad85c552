"""Steps about starts that a worker refuses and its attendant rejects."""

from __future__ import annotations

import sys
from collections import Counter

from behave import then, when

# The scheduler decides 15 ms after a report at the earliest.
_STEP_S = 0.001


def wait_for_start_order(world, name):
    worker = world.cell.worker_by_name[name]
    world.wait_until(lambda: bool(worker.order_times_s), step_s=_STEP_S)


@when("the store goes down as soon as {name}'s VM is sent a start")
def lose_store_at_start(context, name):
    wait_for_start_order(context.world, name)
    context.world.cell.metadata_table.faults.is_down = True


@when("messages sent to the scheduler are late once {name}'s VM is sent a start")
def delay_reports_at_start(context, name):
    wait_for_start_order(context.world, name)
    context.scheduler = context.world.cell.scheduler()
    context.world.fabric.faults(context.scheduler).late_requests = sys.maxsize


@when("messages sent to the scheduler are in time again")
def end_delay(context):
    context.world.fabric.faults(context.scheduler).late_requests = 0


@when(
    "the scheduler's writes take {milliseconds:d} ms once {name}'s VM is sent a start"
)
def occupy_store_at_start(context, milliseconds, name):
    world = context.world
    wait_for_start_order(world, name)

    async def occupy():
        world.cell.metadata_table.occupy("scheduler", milliseconds / 1000)

    world.run(occupy)


@then("each start was ordered at {name} at most {count:d} times")
def check_order_counts(context, name, count):
    ordered = Counter(order.ref for orders in context.orders for order in orders.starts)
    assert ordered, f"nothing was ordered at {name}"
    assert max(ordered.values()) <= count, ordered


@then('the scheduler\'s metrics show {count:d} rejections because of "{reason}"')
def check_rejection_metric(context, count, reason):
    cell = context.world.cell
    metrics = cell.entry_by_name[cell.scheduler()].metrics
    samples = [sample for family in metrics.collect() for sample in family.samples]
    counted = [
        sample.value
        for sample in samples
        if sample.name == "coltsfoottray_rejections_received_total"
        and sample.labels == {"reason": reason}
    ]
    assert counted == [count], samples
