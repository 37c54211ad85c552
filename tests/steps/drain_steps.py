"""Steps on graceful shutdown and silent connections."""

from __future__ import annotations

from behave import given, then, when

from coltsfoottray.types import Role


@when("every connection that {who} opened goes silent")
def silence(context, who):
    context.world.fabric.silence_links(who)


@then("entry-1 and entry-2 know {count:d} instances")
def check_known(context, count):
    async def read():
        entries = context.world.cell.entry_by_name.values()
        return [len(entry.registry.members(Role.UPSTREAM)) for entry in entries]

    known = context.world.run(read)
    assert known == [count, count], known


@given("entry-1 hears nothing from instance-01")
def deafen(context):
    cell = context.world.cell
    instance = cell.upstream_by_name["instance-01"]
    instance.directory.record_by_id.pop("entry-1")


@when("instance-01 is told to drain")
def tell_drain(context):
    async def drain():
        instance = context.world.cell.upstream_by_name["instance-01"]
        instance.is_draining = instance.attendant.is_draining = True
        await instance.announcer.announce_now()

    context.world.run(drain)


@when("{count:d} callers send keys to both entries, which take {ms:d} ms to run")
@when("{count:d} more callers send keys to both entries, which take {ms:d} ms to run")
def send_many(context, count, ms):
    context.keys = getattr(context, "keys", [])
    for number in range(count):
        key = f"k{len(context.keys)}"
        context.keys.append(key)
        context.world.send(key, f"entry-{number % 2 + 1}", key, service_ms=ms)


@when("{name:w}-{number} is shut down gracefully")
def shut_down(context, name, number):
    cell = context.world.cell
    name = f"{name}-{number}"
    daemon = cell.entry_by_name.get(name) or cell.upstream_by_name[name]
    context.world.spawn(daemon.shut_down)


@when("the runs of instance-01 are noted")
def note_runs(context):
    runs = context.world.cell.observer.runs_by_instance
    context.noted = runs["instance-01"]


@then("instance-01 has begun no run since")
def check_no_runs(context):
    runs = context.world.cell.observer.runs_by_instance["instance-01"]
    assert runs == context.noted, (runs, context.noted)


@then("instance-01 has gone")
def check_gone(context):
    world = context.world
    address = world.cell.upstream_by_name["instance-01"].describe().http
    world.wait_until(lambda: address not in world.fabric.listener_by_address)


@then("every caller gets the whole answer to its own key")
def check_all(context):
    for key in context.keys:
        answer = context.world.answer(key)
        expected = f"answer to arolwg/{key}: {key}".encode()
        assert (answer.status, answer.body) == (200, expected), answer
        assert context.world.runs(key) == 1
