"""Steps about take-overs of the lease row."""

from __future__ import annotations

from behave import given, step, then, when

from standins.stored_jobs import store_jobs
from tests.support.job_world import JobWorld, job_id

_KB = 1000.0


@given("{entries:d} entries and {workers:d} workers for jobs")
def make_world(context, entries, workers):
    context.world = JobWorld(entries=entries, workers=workers)
    context.closers.append(context.world.close)
    context.world.wait_until(lambda: context.world.cell.scheduler() != "")
    context.world.advance(3)


@step("{count:d} active jobs of {tasks:d} tasks that an earlier scheduler has stored")
def store_active(context, count, tasks):
    cell = context.world.cell

    async def store():
        store_jobs(cell.metadata_table, active=count, ended=0, tasks=tasks)

    context.world.run(store)
    context.world.advance(5)


@step("all entries have links of {kilobytes:d} kB/s")
def limit_links(context, kilobytes):
    for name in context.world.cell.entry_by_name:
        context.world.fabric.faults(name).link.bytes_per_s = kilobytes * _KB


@when("the scheduling entry is killed")
def kill_scheduler(context):
    cell = context.world.cell
    context.epoch = _lease_row(context)["epoch"]
    context.scheduler = cell.scheduler()
    context.killed_at = context.world.now()
    context.world.kill_daemon(context.scheduler)


@then('a task of "{label}" starts within {seconds:g} s')
def check_start(context, label, seconds):
    world = context.world
    job = job_id(label)
    starts = world.cell.observer.starts
    while not any(task.startswith(job) for task, _, _ in starts):
        waited = world.now() - context.killed_at
        assert waited < seconds, f"no start after {waited:.1f} s"
        world.advance(0.05)


@then("the lease row has been taken over once")
def check_takeovers(context):
    taken = _lease_row(context)["epoch"] - context.epoch
    assert taken == 1, f"taken over {taken} times"


def _lease_row(context):
    return context.world.cell.metadata_table.value_of("state", "scheduler", "lease")
