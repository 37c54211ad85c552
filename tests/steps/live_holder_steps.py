"""Steps about a scheduler that lives, cannot renew its row and goes on granting."""

from __future__ import annotations

from datetime import timedelta

from behave import given, step, then, when

from coltsfoottray.clock import TrioClock
from coltsfoottray.scheduler.grant_limit import GrantLimit, HolderContact
from coltsfoottray.scheduler.ping import Ping, PingReply
from tests.steps.job_fault_steps import wait_for_takeover

_HOLDER = "incarnation of the holder"
_STORED_AT = timedelta(seconds=100)
_WRITTEN_AT = _STORED_AT + timedelta(seconds=2)
_JUST_BEFORE = timedelta(milliseconds=100)


class _SetClock(TrioClock):
    """A clock that a scenario sets."""

    time = _STORED_AT

    def elapsed(self):
        return self.time


@when("the scheduler {does} all but {name}'s attendant")
def part_scheduler(context, does, name):
    """Part the scheduler from the store and from all others but one attendant."""
    cell = context.world.cell
    holder = context.holder = cell.scheduler()
    others = {*cell.entry_by_name, *cell.attendant_by_name, "store"}
    context.parted = {frozenset((holder, other)) for other in others - {holder, name}}
    _broken_pairs(context, does).update(context.parted)


def _broken_pairs(context, does):
    fabric = context.world.fabric
    return fabric.refusing if does == "is refused by" else fabric.cut


@step("{name} is cut off from all others and runs on")
def cut_off_worker(context, name):
    cell = context.world.cell
    for other in {*cell.entry_by_name, *cell.attendant_by_name, "store"} - {name}:
        context.world.fabric.cut.add(frozenset((name, other)))


@step("all are reached again")
def rejoin(context):
    context.world.fabric.cut.clear()
    context.world.fabric.refusing.clear()


@when("another entry has taken over, and {seconds:g} s pass")
def wait_after_takeover(context, seconds):
    wait_for_takeover(context)
    context.world.advance(seconds)


@step("the scheduler is asked to end")
def ask_to_end(context):
    world = context.world
    name = world.cell.scheduler()
    world.spawn(world.cell.entry_by_name[name].shut_down)
    world.cell.killed.add(name)


@step("the scheduler is killed")
def kill_holder(context):
    context.world.kill_daemon(context.world.cell.scheduler())


@step("the scheduler and one entry no longer hear one another")
def cut_off_entry(context):
    cell = context.world.cell
    holder = cell.scheduler()
    context.unheard = next(name for name in cell.entry_by_name if name != holder)
    context.world.fabric.cut.add(frozenset((holder, context.unheard)))


@step("all other entries freeze")
def freeze_others(context):
    for name in context.world.cell.entry_by_name.keys() - {context.unheard}:
        context.world.fabric.faults(name).pause()


@given('a holder whose stored row lists "{stored}", and "{written}" in a write since')
def make_limit(context, stored, written):
    context.clock = _SetClock()
    context.limit = GrantLimit(
        incarnation=_HOLDER, acquired_at=_STORED_AT, clock=context.clock
    )
    _list(context, stored)
    context.limit.record_renewal(_STORED_AT)
    if written != "-":
        context.clock.time = _WRITTEN_AT
        _list(context, written)


def _list(context, names):
    """Write the row while just these entries have sent a ping of late."""
    names = [] if names == "nobody" else names.split()
    for name in names:
        _ping(context, name, context.clock.time - _JUST_BEFORE)
    assert context.limit.list_standbys() == names


def _ping(context, name, heard_at, holder=_HOLDER):
    heard_ms = int(heard_at.total_seconds() * 1000)
    ping = Ping(standby=name, holder=holder, heard_ms=heard_ms)
    context.limit.record_ping(ping)


@step("its last renewal was sent {seconds:g} s ago")
def set_age(context, seconds):
    context.clock.time = _STORED_AT + timedelta(seconds=seconds)


@step('the entries "one two" got answers that were sent {one:g} and {two:g} s ago')
def ping_both(context, one, two):
    for name, seconds in (("one", one), ("two", two)):
        _ping(context, name, context.clock.time - timedelta(seconds=seconds))


@step('the entry "one" got an answer that was sent {seconds:g} s ago')
def ping_one(context, seconds):
    _ping(context, "one", context.clock.time - timedelta(seconds=seconds))


@when('a ping says that the entry "one" got an answer that was sent {seconds:g} s ago')
def ping_again(context, seconds):
    ping_one(context, seconds)


@when(
    'a ping says that the entry "one" got an answer that will be sent in {seconds:g} s'
)
def ping_from_future(context, seconds):
    ping_one(context, -seconds)


@when('a ping says that the entry "one" got an answer of another incarnation')
def ping_of_other(context):
    _ping(context, "one", context.clock.time, holder="another incarnation")


@then("it grants a lease of {seconds:g} s")
def check_lease(context, seconds):
    left = context.limit.end(_STORED_AT) - context.clock.time
    granted = max(left, timedelta(0)).total_seconds()
    assert abs(granted - seconds) < 0.001, granted


@given("an entry that got an answer with the clock reading {reading:d}")
def make_contact(context, reading):
    context.contact = HolderContact(name="one", started_at=_STORED_AT)
    get_answer(context, reading)


@step("it gets an answer with the clock reading {reading:d}")
def get_answer(context, reading):
    reply = PingReply(incarnation=_HOLDER, clock_ms=reading)
    context.contact.record_answer(reply, _STORED_AT)


@when("it begins to take the row over")
def begin_claim(context):
    context.contact.record_claim()


@when("the row has changed")
def change_row(context):
    context.contact.record_change()


@then("its next ping sends back the reading {reading:d}")
def check_reading(context, reading):
    assert context.contact.make_ping(None).heard_ms == reading
