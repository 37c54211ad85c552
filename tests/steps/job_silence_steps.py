"""Steps on silent connections between the processes of a job world."""

from __future__ import annotations

from collections import Counter

from behave import step, then, when

from standins.connections import Direction

_DIRECTION = {"everything": Direction.BOTH, "answers": Direction.ANSWERS}
_EVERY_SENDER = ""


@when("every process has {count:d} idle connections to each of its peers")
def add_idle_connections(context, count):
    async def fill():
        context.world.fabric.fill_pools(count)

    context.world.run(fill)


@step("every connection that {who} opened loses {what}")
def silence(context, who, what):
    sender = _EVERY_SENDER if who == "anybody" else who
    context.world.fabric.silence_links(sender, direction=_DIRECTION[what])


@when("every connection becomes silent {times:d} times, once every {seconds:d} s")
def silence_repeatedly(context, times, seconds):
    for _ in range(times):
        context.world.fabric.silence_links(_EVERY_SENDER)
        context.world.advance(seconds)


@then("a config that is written now is in force at both entries within {ms:d} ms")
def check_config(context, ms):
    world = context.world

    async def write():
        world.cell.write_config()
        config = world.cell.metadata_table.value_of("op", "", "config")
        return config["version"]

    version = world.run(write)
    world.advance(ms / 1000)
    in_force = [
        entry.holder.current.version for entry in world.cell.entry_by_name.values()
    ]
    assert in_force == [version, version], (in_force, version)


@then("no process has more than {count:d} connections open")
def check_open(context, count):
    open_by_sender = Counter(context.world.fabric.open_senders())
    assert max(open_by_sender.values()) <= count, open_by_sender
