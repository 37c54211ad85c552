"""Steps for keyed requests in an in-memory world."""

from __future__ import annotations

import json

from behave import given, then, when

from tests.support.world import World


@given("two entries and three instances in memory")
def make_world(context):
    context.world = World()
    context.closers.append(context.world.close)


@given("two entries and three instances that start before the table is up")
def make_early_world(context):
    context.world = World(table_start_delay_s=0.25)
    context.closers.append(context.world.close)


@given("the next message to each instance is lost")
def lose_messages(context):
    for name in context.world.cell.upstream_by_name:
        context.world.fabric.faults(name).lost_requests = 1


@given("the next message to each instance is late")
@when("the next message to each instance is late")
def delay_messages(context):
    for name in context.world.cell.upstream_by_name:
        context.world.fabric.faults(name).late_requests = 1


@given("the next reply of each instance is lost")
def lose_replies(context):
    for name in context.world.cell.upstream_by_name:
        context.world.fabric.faults(name).lost_replies = 1


@given("{one:w}-{a:d} and {two:w}-{b:d} cannot reach each other")
def cut_link(context, one, a, two, b):
    context.world.fabric.cut.add(frozenset((f"{one}-{a}", f"{two}-{b}")))


@given("entry-1, entry-2 and instance-01 are cut off from all other processes")
def cut_off_group(context):
    one_side = ("entry-1", "entry-2", "instance-01")
    other_side = ("table", "entry-3", "instance-02", "instance-03")
    for one in one_side:
        for other in other_side:
            context.world.fabric.cut.add(frozenset((one, other)))


@given("the table is down")
@when("the table goes down")
def table_down(context):
    context.world.cell.table.faults.is_down = True


@when("the table is back")
def table_back(context):
    context.world.cell.table.faults.is_down = False


@given("every instance refuses requests as if it were draining")
@when("every instance refuses requests as if it were draining")
def refuse_all(context):
    for daemon in context.world.cell.upstream_by_name.values():
        daemon.attendant.is_draining = True


@when("every instance accepts requests again")
def accept_all(context):
    for daemon in context.world.cell.upstream_by_name.values():
        daemon.attendant.is_draining = False


@when('"{label}" sends key "{key}" to {entry}, which takes {ms:d} ms to run')
def send_key(context, label, key, entry, ms):
    context.world.send(label, entry, key, service_ms=ms)


@when("{ms:d} ms pass")
def let_pass(context, ms):
    context.world.advance(ms / 1000)


@when("entry-{number:d} is killed")
def kill_entry(context, number):
    context.world.kill(f"entry-{number}")


@when("entry-{number:d} is paused")
def pause_entry(context, number):
    context.world.fabric.faults(f"entry-{number}").pause()


@when("entry-{number:d} resumes")
def resume_entry(context, number):
    context.world.resume(f"entry-{number}")


@when("entry-{number:d} is started and has joined")
def start_entry(context, number):
    world = context.world
    world.run(world.cell.start_entry, f"entry-{number}")
    entry = world.cell.entry_by_name[f"entry-{number}"]
    world.wait_until(lambda: entry.claim_members.is_joined)


@when('the attendant that runs "{key}" is killed')
def kill_running_attendant(context, key):
    world = context.world
    running = [
        name
        for name, daemon in world.cell.upstream_by_name.items()
        if daemon.attendant.load().in_flight
    ]
    assert len(running) == 1, running
    world.kill(running[0])


@then('"{label}" gets the whole answer of "{key}"')
def check_answer(context, label, key):
    response = context.world.wait_for_response(label)
    expected = f"answer to arolwg/{key}: {key}".encode()
    assert (response.status, response.body) == (200, expected), response


@then('"{first}" and "{second}" both get the whole answer of "{key}"')
def check_both_answers(context, first, second, key):
    check_answer(context, first, key)
    check_answer(context, second, key)


@then('"{label}" is told that the outcome is unknown')
def check_unknown(context, label):
    _check_problem(context, label, 504, "outcome-unknown")


@then('"{label}" is told that the outcome is unknown, with a retry-after time')
def check_unknown_retry(context, label):
    response = _check_problem(context, label, 504, "outcome-unknown")
    assert int(response.header_by_name["retry-after"]) >= 1, response


@then('"{label}" is told that it was not run, with a retry-after time')
def check_not_run(context, label):
    response = _check_problem(context, label, 503, "refused-not-run")
    assert int(response.header_by_name["retry-after"]) >= 1, response


@then('"{key}" has run {count:d} time')
@then('"{key}" has run {count:d} times')
def check_runs(context, key, count):
    assert context.world.runs(key) == count, context.world.runs(key)


def _check_problem(context, label, status, title):
    response = context.world.wait_for_response(label)
    assert response.status == status, response
    assert json.loads(response.body)["title"] == title, response
    return response
