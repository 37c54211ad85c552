"""Steps about the pressures that the scheduler sends to attendants."""

from __future__ import annotations

from behave import given, then, when

from coltsfoottray.agent.pressure import ImagePair, Pressure, PressureTable
from coltsfoottray.scheduler.pressure_feed import PressureFeed

_OBSERVER = "worker-1"


def _pressures(fillers, services, *, added=0.0):
    return [
        Pressure(
            pair=ImagePair(filler=f"filler-{filler}", service=f"service-{service}"),
            value=1.0 + (added if filler == service == 0 else 0.0),
            weight=1.0,
        )
        for filler in range(fillers)
        for service in range(services)
    ]


@given("pressures of {fillers:d} images of fillers on {services:d} of services")
def make_table(context, fillers, services):
    context.size = (fillers, services)
    context.pressure_table = PressureTable()
    context.feed = PressureFeed(table=context.pressure_table, epoch=1)
    context.pressure_table.update(_OBSERVER, _pressures(fillers, services))
    context.revisions = {}


@when("an attendant beside {count:d} services reports")
def report(context, count):
    context.services = [f"service-{number}" for number in range(count)]
    _exchange(context)


@when("the pressure of a filler on its first service rises by {added:g}")
def raise_pressure(context, added):
    context.pressure_table.update(_OBSERVER, _pressures(*context.size, added=added))


@when("the reply does not arrive")
def lose_reply(context):
    context.revisions = {}


@when("the attendant restarts")
def restart(context):
    context.revisions = {}


@when("another service starts beside it")
def add_service(context):
    context.services.append(f"service-{len(context.services)}")


@when("another scheduler restores the pressures")
def take_over(context):
    stored = context.pressure_table.all()
    context.pressure_table = PressureTable()
    context.pressure_table.restore(stored)
    context.feed = PressureFeed(table=context.pressure_table, epoch=2)
    context.feed.restore()


@when("the only observer of the pressures replaces them by none")
def replace_by_none(context):
    context.pressure_table.update(_OBSERVER, [])


@then("the reply contains {count:d} pressures")
def check_reply(context, count):
    assert len(context.update.pressures) == count, len(context.update.pressures)


@then("the next reply contains {count:d} pressures")
def check_next_reply(context, count):
    _exchange(context)
    check_reply(context, count)


@then("no pressure is known")
def check_empty(context):
    assert context.pressure_table.all() == []


def _exchange(context):
    context.update = context.feed.changes_for(context.services, context.revisions)
    context.revisions = {**context.revisions, **context.update.revision_by_service}
