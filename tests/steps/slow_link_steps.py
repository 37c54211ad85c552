"""Steps for links with a low bandwidth."""

from __future__ import annotations

import msgspec
from behave import step, then, when

from tests.support.job_world import job_id, make_steps

_KB = 1000.0


@step("the link of {name} has a bandwidth of {kilobytes:d} kB/s")
def limit_link(context, name, kilobytes):
    context.world.fabric.faults(name).link.bytes_per_s = kilobytes * _KB


@when("the operator adds {count:d} routes")
def add_routes(context, count):
    async def write():
        context.world.cell.write_config(unused_routes=count)

    context.world.fabric.faults("entry-2").link.received_bytes = 0
    context.world.run(write)


@then("the config is in force at {name} within {seconds:d} s")
def wait_for_config(context, name, seconds):
    cell = context.world.cell
    version = cell.metadata_table.value_of("op", "", "config")["version"]
    deadline = context.world.now() + seconds
    while cell.entry_by_name[name].holder.current.version != version:
        assert context.world.now() < deadline, f"not within {seconds} s"
        context.world.advance(0.05)


@then("{name} has received less than {kilobytes:d} kB")
def check_received(context, name, kilobytes):
    received = context.world.fabric.faults(name).link.received_bytes
    assert received < kilobytes * _KB, received


@when("{name} is cut off from everything")
def cut_off(context, name):
    fabric = context.world.fabric
    others = {*context.world.cell.scope_by_name, "store"} - {name}
    fabric.cut |= {frozenset((name, other)) for other in others}


@when("{name} is reachable again")
def reconnect(context, name):
    fabric = context.world.fabric
    fabric.cut -= {ends for ends in fabric.cut if name in ends}


@step("{count:d} jobs of {size:d} bytes are submitted at {entry}")
def submit_large(context, count, size, entry):
    for number in range(count):
        body = {
            "spec": msgspec.json.encode({"work_s": 1, "text": "x" * size}).decode(),
            "steps": make_steps(1, 1, 1),
        }
        answer = context.world.call("POST", entry, job_id(f"l{number}"), body)
        assert answer.status == 200, answer.status


@then("{name} is not ready {seconds:d} s later")
def check_not_ready(context, name, seconds):
    context.world.advance(seconds)

    async def read_state():
        return context.world.cell.entry_by_name[name].is_ready

    assert not context.world.run(read_state)


@then("{name} is ready within {seconds:d} s, and knows all {count:d} jobs")
def wait_until_ready(context, name, seconds, count):
    world = context.world
    deadline = world.now() + seconds
    ids = {job_id(f"l{number}") for number in range(count)}
    daemon = world.cell.entry_by_name[name]

    async def read_state():
        return daemon.is_ready, len(ids & daemon.view.job_by_id.keys())

    while (state := world.run(read_state)) != (True, count):
        assert world.now() < deadline, f"ready, jobs known: {state}"
        world.advance(0.1)


@when("{name} is cut off from the store for {seconds:d} s")
def cut_off_from_store(context, name, seconds):
    ends = frozenset((name, "store"))
    context.world.fabric.cut.add(ends)
    context.world.advance(seconds)
    context.world.fabric.cut.discard(ends)
