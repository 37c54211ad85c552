"""Steps on graceful shutdown and on connections that stop transmitting."""

from __future__ import annotations

from behave import given, then, when

from coltsfoottray.types import Role


@when("every connection that {who} opened stops transmitting")
def stop_transmission(context, who):
    context.world.fabric.silence_links(who)


@then("entry-1 and entry-2 know {count:d} instances")
def check_known_instances(context, count):
    async def count_known():
        entries = context.world.cell.entry_by_name.values()
        return [len(entry.registry.members(Role.UPSTREAM)) for entry in entries]

    known = context.world.run(count_known)
    assert known == [count, count], known


@given("entry-1 gets no announcements from instance-01")
def stop_announcing(context):
    cell = context.world.cell
    instance = cell.upstream_by_name["instance-01"]
    instance.directory.record_by_id.pop("entry-1")


@when("instance-01 is told to drain")
def start_drain(context):
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


@when("the runs of instance-01 are recorded")
def record_runs(context):
    runs = context.world.cell.observer.runs_by_instance
    context.recorded_runs = runs["instance-01"]


@then("instance-01 has started no run since")
def check_no_runs(context):
    runs = context.world.cell.observer.runs_by_instance["instance-01"]
    assert runs == context.recorded_runs, (runs, context.recorded_runs)


@then("instance-01 no longer listens")
def check_stopped(context):
    world = context.world
    address = world.cell.upstream_by_name["instance-01"].describe().http
    world.wait_until(lambda: address not in world.fabric.listener_by_address)


@then("every caller gets the whole answer to its own key")
def check_all_answers(context):
    for key in context.keys:
        response = context.world.wait_for_response(key)
        expected = f"answer to arolwg/{key}: {key}".encode()
        assert (response.status, response.body) == (200, expected), response
        assert context.world.runs(key) == 1
