"""Steps about the pressures that the scheduler sends to attendants."""

from __future__ import annotations

import msgspec
from behave import given, step, then, when

from coltsfoottray.agent.pressure import ImagePair, Pressure, PressureTable
from coltsfoottray.agent.pressure_exchange import PressureExchange
from coltsfoottray.jobs.model import JobId, RunRef, TaskRef
from coltsfoottray.scheduler.messages import Report, ReportReply, StartOrder
from coltsfoottray.scheduler.pressure_feed import PressureFeed
from coltsfoottray.types import Address

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


@then("no reply is larger than {size:d} bytes")
def check_size(context, size):
    encoded = msgspec.json.encode(context.update)
    assert len(encoded) <= size, len(encoded)


@then("after {replies:d} replies the attendant has all {count:d} pressures")
def check_complete(context, replies, count):
    received = set()
    for _ in range(replies):
        received.update(each.pair for each in context.update.pressures)
        check_size(context, 50_000)
        _exchange(context)
    assert len(received) == count, len(received)


@when("{times:d} times the images of the fillers are replaced by a later release")
def replace_releases(context, times):
    for release in range(times):
        later = [
            msgspec.structs.replace(
                each,
                pair=ImagePair(
                    filler=f"{each.pair.filler}-{release}", service=each.pair.service
                ),
            )
            for each in _pressures(*context.size)
        ]
        context.pressure_table.update(_OBSERVER, later)
        context.feed.changes_for(["service-0"], {})


@then("{count:d} pairs are remembered")
def check_remembered(context, count):
    assert len(context.feed._revision_by_pair) == count


@when("the reply does not arrive")
def lose_reply(context):
    context.revisions = {}


@when("the attendant restarts")
def restart(context):
    context.revisions = {}


@when("another service starts beside it")
def add_service(context):
    context.services.append(f"service-{len(context.services)}")


@step("another scheduler restores the pressures")
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


@given("an attendant that has reported the pressures it learned")
def make_exchange(context):
    context.learned = _pressures(1, 1)
    context.exchange = PressureExchange(local_pressures=lambda: list(context.learned))
    _answer(context, is_new_epoch=True)


@when("it learns of another pressure")
def learn(context):
    context.learned = _pressures(2, 1)


@when("its report is not answered")
def lose_report(context):
    context.exchange.due_pressures()


@when("another scheduler answers its next report")
def answer_by_another(context):
    _answer(context, is_new_epoch=True)


@then("its next report contains no pressures")
def check_no_pressures(context):
    assert context.exchange.due_pressures() == []


@then("its next report contains {count:d} pressures")
def check_due(context, count):
    assert len(context.exchange.due_pressures()) == count


@then("it asks for the pressures on a new service at once")
def check_asks(context):
    task = TaskRef(job=JobId("0" * 16), occurrence=0, step=0, index=0)
    order = StartOrder(
        ref=RunRef(task=task, run=1),
        payload="",
        image="service-9",
        target_latency_ms=10.0,
    )
    assert context.exchange.lacks(order)
    reply = ReportReply(pressure_revision_by_service={"service-9": 1})
    context.exchange.apply_reply(_report(context), reply, is_new_epoch=False)
    assert not context.exchange.lacks(order)


def _report(context):
    return Report(
        worker="w",
        incarnation="i",
        address=Address(host="127.0.0.1", port=1),
        data_centre="caerdydd",
        pressures=context.exchange.due_pressures(),
    )


def _answer(context, *, is_new_epoch):
    report = _report(context)
    context.exchange.apply_reply(report, ReportReply(), is_new_epoch=is_new_epoch)
