"""Steps that inject faults into the daemons, workers and store of a job world."""

from __future__ import annotations

import sys
from datetime import timedelta

from behave import given, step, then, when


@then("the workers hold no run")
def check_no_runs(context):
    cell = context.world.cell

    async def read_runs():
        active = cell.entry_by_name[cell.scheduler()].scheduler.active
        return active.cluster.fleet.placed_runs()

    assert context.world.run(read_runs) == []


@step("the time of day of all {kind} jumps by {seconds:d} s")
def jump_time_of_day(context, kind, seconds):
    cell = context.world.cell
    names = cell.entry_by_name if kind == "entries" else cell.attendant_by_name
    for name in names:
        faults = context.world.fabric.faults(name)
        faults.time_of_day_offset += timedelta(seconds=seconds)


@step("the time of day of the scheduler jumps by {seconds:d} s")
def jump_scheduler_time(context, seconds):
    faults = context.world.fabric.faults(context.world.cell.scheduler())
    faults.time_of_day_offset += timedelta(seconds=seconds)


@when("the scheduler is killed")
def kill_scheduler(context):
    context.world.kill_daemon(context.world.cell.scheduler())


@when("the scheduler freezes")
def freeze_scheduler_permanently(context):
    context.world.fabric.faults(context.world.cell.scheduler()).pause()


@when("the scheduler is frozen for {seconds:d} s")
def freeze_scheduler(context, seconds):
    name = context.world.cell.scheduler()
    context.world.fabric.faults(name).pause()
    context.world.advance(seconds)
    context.world.resume(name)


@when("the other entry freezes")
def freeze_other_entry(context):
    cell = context.world.cell
    other = next(name for name in cell.entry_by_name if name != cell.scheduler())
    context.world.fabric.faults(other).pause()


@when("every daemon is killed and restarted")
def restart_all(context):
    cell = context.world.cell
    names = list(cell.scope_by_name)
    for name in names:
        context.world.kill_daemon(name)
    context.world.advance(1)
    for name in names:
        context.world.restart_daemon(name)


@when(
    "everything loses power and the entries come back {milliseconds:d} ms after {name}"
)
def lose_power(context, milliseconds, name):
    world = context.world
    lose_all_power(world)
    # A VM without power does not answer.
    cut_links = {frozenset((name, entry)) for entry in world.cell.entry_by_name}
    world.fabric.cut |= cut_links
    restart_worker(world, name)
    for entry in world.cell.entry_by_name:
        world.restart_daemon(entry)
    world.advance(milliseconds / 1000)
    world.fabric.cut -= cut_links


@when(
    "everything loses power and {name} comes back {milliseconds:d} ms before the other "
    "workers"
)
def lose_power_unevenly(context, milliseconds, name):
    world = context.world
    before = world.cell.metadata_table.value_of("state", "scheduler", "lease")
    lose_all_power(world)
    restart_worker(world, name)
    for entry in world.cell.entry_by_name:
        world.restart_daemon(entry)
    world.wait_until(
        lambda: (
            world.cell.metadata_table.value_of("state", "scheduler", "lease") != before
        )
    )
    world.advance(milliseconds / 1000)
    for each in world.cell.worker_by_name:
        if each != name:
            restart_worker(world, each)


def lose_all_power(world):
    for name in list(world.cell.scope_by_name):
        world.kill_daemon(name)
    for worker in world.cell.worker_by_name.values():
        worker.crash()
    world.advance(1)


def restart_worker(world, name):
    world.restart_daemon(name)
    world.run(world.cell.worker_by_name[name].send_heartbeat)


@when("the VM of {name} restarts, its attendant {milliseconds:d} ms before the worker")
def restart_vm(context, name, milliseconds):
    world = context.world
    worker = world.cell.worker_by_name[name]
    world.kill_daemon(name)
    worker.crash()
    worker.sends_heartbeats = False
    world.advance(1)
    world.restart_daemon(name)
    world.advance(milliseconds / 1000)
    worker.sends_heartbeats = True
    world.run(worker.send_heartbeat)


@then("{count:d} tasks were started in total within {milliseconds:d} ms")
def check_starts_soon(context, count, milliseconds):
    world = context.world
    started_at = world.now()
    while len(world.cell.observer.starts) < count:
        waited_ms = (world.now() - started_at) * 1000
        assert waited_ms < milliseconds, f"{waited_ms:.0f} ms"
        world.advance(0.01)


@when("{name} is killed and restarted after {seconds:d} s")
def restart(context, name, seconds):
    context.world.kill_daemon(name)
    context.world.advance(seconds)
    context.world.restart_daemon(name)


@when("all runs on {name} end right after its new attendant's first poll")
def end_after_poll(context, name):
    world = context.world
    worker = world.cell.worker_by_name[name]
    before = worker.poll_count
    # The first poll is answered at once, the second blocks until a run ends.
    world.wait_until(lambda: worker.poll_count == before + 2, step_s=0.001)
    worker.finish_all()


@when("all runs on {name} end")
def end_all(context, name):
    context.world.cell.worker_by_name[name].finish_all()


@given("{name}'s VM refuses all starts")
def refuse_starts(context, name):
    context.world.cell.worker_by_name[name].is_unhealthy = True


@when("{name}'s VM accepts starts again")
def accept_starts(context, name):
    context.world.cell.worker_by_name[name].is_unhealthy = False


@given("{name}'s attendant records its orders")
def record_orders(context, name):
    attendant = context.world.cell.attendant_by_name[name].attendant
    context.orders = []
    execute = attendant._execute

    def record(orders):
        context.orders.append(orders)
        execute(orders)

    attendant._execute = record


@when("all orders recorded at {name} arrive once more")
def repeat_orders(context, name):
    attendant = context.world.cell.attendant_by_name[name].attendant

    async def repeat():
        for orders in list(context.orders):
            await attendant.handle_orders(orders)

    context.world.run(repeat)


@when("{name}'s VM is unhealthy for {milliseconds:d} ms")
def make_unhealthy(context, name, milliseconds):
    worker = context.world.cell.worker_by_name[name]
    worker.is_unhealthy = True
    context.world.advance(milliseconds / 1000)
    worker.is_unhealthy = False


@when("the scheduler resigns, and {name} has a session with the next one")
def resign_scheduler(context, name):
    world = context.world
    attendant = world.cell.attendant_by_name[name].attendant
    before = attendant.session
    entry = world.cell.scheduler()
    world.spawn(world.cell.entry_by_name[entry].shut_down)
    world.cell.killed.add(entry)
    world.wait_until(lambda: attendant.session > before, step_s=0.001)


@when("the answer to {name}'s next poll is lost")
def lose_poll_reply(context, name):
    context.world.fabric.faults(f"{name}/vm").lost_replies = 1


@when("{name}'s VM crashes")
def crash(context, name):
    context.world.cell.worker_by_name[name].crash()


@when("{name}'s VM crashes and sends no heartbeats")
def crash_without_heartbeats(context, name):
    worker = context.world.cell.worker_by_name[name]
    worker.sends_heartbeats = False
    worker.crash()


@when("{name}'s VM sends heartbeats again")
def resume_heartbeats(context, name):
    worker = context.world.cell.worker_by_name[name]
    worker.sends_heartbeats = True
    context.world.run(worker.send_heartbeat)


@when("{name}'s VM crashes and reports at once")
def crash_and_report(context, name):
    worker = context.world.cell.worker_by_name[name]
    worker.crash()
    context.world.run(worker.send_heartbeat)


@when("{name}'s VM drains and reports at once")
def drain_and_report(context, name):
    worker = context.world.cell.worker_by_name[name]
    worker.is_draining = True
    context.world.run(worker.send_heartbeat)


@step("{name} reports that its VM {does}")
def report_draining(context, name, does):
    worker = context.world.cell.worker_by_name[name]
    worker.is_draining = {"drains": True, "stays": False}[does]
    context.world.run(worker.send_heartbeat)


@when("{name}'s VM is lost permanently")
def destroy(context, name):
    context.world.cell.worker_by_name[name].destroy()


@when("{name}'s VM stops answering")
def stop_answering(context, name):
    context.world.cell.worker_by_name[name].is_unreachable = True


@when("{name}'s VM answers again")
def answer_again(context, name):
    context.world.cell.worker_by_name[name].is_unreachable = False


@when("messages sent to the scheduler for {seconds:d} s arrive late")
def delay_requests(context, seconds):
    faults = context.world.fabric.faults(context.world.cell.scheduler())
    faults.late_requests = sys.maxsize
    context.world.advance(seconds)
    faults.late_requests = 0


@given("{name}'s VM fails everything it starts")
def make_failing(context, name):
    context.world.cell.worker_by_name[name].fails_everything = True


@when("{name}'s VM fails nothing any more")
def recover(context, name):
    context.world.cell.worker_by_name[name].fails_everything = False


@given("tasks on {name}'s VM make no progress")
def make_hung(context, name):
    context.world.cell.worker_by_name[name].is_hung = True


@when("tasks on {name}'s VM make progress again")
def end_hang(context, name):
    context.world.cell.worker_by_name[name].is_hung = False


@when("{name}'s VM leaves without a notice")
def deregister(context, name):
    worker = context.world.cell.worker_by_name[name]
    context.world.run(worker.deregister)
    # The worker's process has ended, so the VM refuses connections to it.
    del context.world.fabric.listener_by_address[worker.address]


@when("{name} and its VM are lost")
def lose(context, name):
    context.world.cell.worker_by_name[name].is_unreachable = True
    context.world.kill_daemon(name)


@when("the scheduler is replaced {times:d} times, every {seconds:d} s")
def replace_scheduler(context, times, seconds):
    for _ in range(times):
        name = context.world.cell.scheduler()
        context.world.kill_daemon(name)
        context.world.advance(seconds)
        context.world.restart_daemon(name)


@step("{name}'s VM drains")
def drain(context, name):
    context.world.cell.worker_by_name[name].is_draining = True


@when("{name} is cut off from the entries and the store for {seconds:d} s")
def cut_off(context, name, seconds):
    fabric = context.world.fabric
    others = [*context.world.cell.entry_by_name, "store"]
    for other in others:
        fabric.cut.add(frozenset((name, other)))
    context.world.advance(seconds)
    for other in others:
        fabric.cut.discard(frozenset((name, other)))


@given("the scheduler is cut off from the store")
def cut_scheduler(context):
    context.scheduler = context.world.cell.scheduler()
    context.world.fabric.cut.add(frozenset((context.scheduler, "store")))


@when("the other entry is cut off from the store in its place")
def swap_cuts(context):
    cut = context.world.fabric.cut
    cut.discard(frozenset((context.scheduler, "store")))
    entries = context.world.cell.entry_by_name
    other = next(name for name in entries if name != context.scheduler)
    cut.add(frozenset((other, "store")))


@step("the next {count:d} starts at {name} are carried out late")
def make_late(context, count, name):
    context.world.cell.worker_by_name[name].late_starts = count


@step("the next {count:d} starts at {name} are delayed in transit")
def make_slow(context, count, name):
    context.world.cell.worker_by_name[name].slow_starts = count


@step("the answers to the next {count:d} starts at {name} are lost")
def lose_start_answers(context, count, name):
    context.world.cell.worker_by_name[name].unanswered_starts = count


@when("another entry has taken over")
def wait_for_takeover(context):
    metadata_table = context.world.cell.metadata_table
    before = metadata_table.value_of("state", "scheduler", "lease")["epoch"]
    context.world.wait_until(
        lambda: (
            metadata_table.value_of("state", "scheduler", "lease")["epoch"] != before
        )
    )
