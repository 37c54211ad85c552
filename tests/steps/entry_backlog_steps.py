"""Steps about what running entries know of the backlog."""

from __future__ import annotations

from datetime import timedelta

import msgspec
from behave import given, step, then, when

from coltsfoottray.overload.order import JobOrder
from coltsfoottray.scheduler.messages import PING, Ping, PingReply
from coltsfoottray.settings import OverloadSettings
from tests.support.job_world import JobWorld

_VERSIONS_PER_EPOCH = 1 << 32
_TAKEOVER_LIMIT_S = 6.0


@given(
    '{entries:d} entries that use the order "{order}" and {workers:d} workers for jobs'
)
def make_world(context, entries, order, workers):
    overload = OverloadSettings(order=JobOrder(order))
    world = JobWorld(entries=entries, workers=workers, overload=overload)
    context.world = world
    context.closers.append(world.close)
    world.wait_until(lambda: world.cell.scheduler() != "")
    first = world.cell.scheduler()
    others = [name for name in world.cell.entry_by_name if name != first]
    # Other steps call this one "that entry".
    context.scheduler = others[0]
    context.entry_by_role = {"scheduler": first, "entry": others[0], "last": others[1]}

    async def set_objective():
        world.cell.write_config(slowdownFactor=20)

    world.run(set_objective)
    world.advance(3)


@when("that entry is cut off from the scheduling entry")
def cut_off(context):
    ends = (context.scheduler, context.world.cell.scheduler())
    context.world.fabric.cut.add(frozenset(ends))


@when("that entry is connected again")
def connect(context):
    context.world.fabric.cut.clear()


@when("the scheduling entry answers pings as an earlier version does")
def answer_as_earlier_version(context):
    scheduler = _scheduling_entry(context)

    async def answer(ping):
        epoch = scheduler.scheduler.active.lease.epoch
        return PingReply(incarnation=scheduler.incarnation, epoch=epoch)

    scheduler.handlers.add(PING, answer)


@step('the backlog is known at "{roles}"')
def check_known(context, roles):
    known = _backlog_by_entry(context)
    expected = {context.entry_by_role[role] for role in roles.split()}
    assert known.keys() == expected, known


@then("no entry knows the backlog")
def check_unknown(context):
    assert not _backlog_by_entry(context), _backlog_by_entry(context)


@then(
    "a new job has {least:d} to {most:d} processor-seconds ahead, at {rate:g} "
    "processors"
)
def check_backlog(context, least, most, rate):
    for backlog in _backlog_by_entry(context).values():
        (queue,) = backlog.by_queue.values()
        assert least <= queue.work <= most, queue
        assert queue.rate == rate, queue


@then('the backlog is always known at "{roles}" until it is of another scheduler')
def check_takeover(context, roles):
    end = context.world.now() + _TAKEOVER_LIMIT_S
    latest = 0
    while latest // _VERSIONS_PER_EPOCH <= context.epoch:
        assert context.world.now() < end, latest
        check_known(context, roles)
        latest = min(each.version for each in _backlog_by_entry(context).values())
        context.world.advance(0.1)


@then("pings and their answers have no more fields than those of an earlier version")
def check_fields(context):
    handlers = _scheduling_entry(context).handlers
    answer = handlers.handler_by_call[PING]
    pings = []

    async def record(ping):
        pings.append(msgspec.to_builtins(ping))
        return await answer(ping)

    handlers.add(PING, record)
    context.world.advance(1)
    assert pings, "no entry has sent a ping"
    assert not any(pings), pings
    reply = msgspec.to_builtins(context.world.run(answer, Ping(backlog_version=0)))
    assert reply.keys() == {"incarnation", "epoch"}, reply


def _scheduling_entry(context):
    return context.world.cell.entry_by_name[context.world.cell.scheduler()]


def _backlog_by_entry(context):
    """Return the backlog of each running entry that knows one."""
    cell = context.world.cell
    now = timedelta(seconds=context.world.now())
    return {
        name: backlog
        for name, entry in cell.entry_by_name.items()
        if name not in cell.killed
        and (backlog := entry.backlog.current(now)) is not None
    }
