"""Steps about the size of the scheduler's transactions."""

from __future__ import annotations

from collections import Counter
from datetime import timedelta
from functools import partial

import msgspec
from behave import given, then, when

from coltsfoottray.agent.pressure import ImagePair, Pressure
from coltsfoottray.clock import TrioClock
from coltsfoottray.jobs.images import shorten_name
from coltsfoottray.platform import MAX_VALUE_BYTES
from coltsfoottray.scheduler.fleet import Fleet
from coltsfoottray.scheduler.grant_limit import GrantLimit
from coltsfoottray.scheduler.grants import Grants
from coltsfoottray.scheduler.lease_row import LeaseRow
from coltsfoottray.scheduler.live_step import LiveStep
from coltsfoottray.scheduler.messages import Report
from coltsfoottray.scheduler.ping import Ping
from coltsfoottray.types import Address, Resources
from tests.support.job_world import job_id, make_steps


class _StoppedClock(TrioClock):
    def elapsed(self):
        return timedelta(0)


# Long names stand for more attendants than a scenario can have.
_NAME_LENGTH = 180


@when(
    "{count:d} attendants in each of {centres:d} data centres report each second, "
    "for {seconds:d} s"
)
def report_fleet(context, count, centres, seconds):
    cell = context.world.cell

    async def report(second):
        active = cell.entry_by_name[cell.scheduler()].scheduler.active
        if active is None:
            return
        for centre in range(centres):
            for number in range(count):
                active.handle_report(_report(centre, number, second))

    for second in range(seconds):
        context.world.run(partial(report, second))
        context.world.advance(1)


def _report(centre, number, second):
    name = f"side-{centre}-{number}-".ljust(_NAME_LENGTH, "x")
    return Report(
        worker=name,
        incarnation=name,
        address=Address(host="10.0.0.1", port=8080),
        data_centre=f"dc-{centre}",
        number=second + 1,
    )


@when("{jobs:d} jobs of {tasks:d} small tasks of {seconds:d} s are submitted at once")
def submit_burst(context, jobs, tasks, seconds):
    world = context.world
    bursts = getattr(context, "bursts", 0)
    context.bursts = bursts + 1
    context.burst = [f"{bursts}-{number}" for number in range(jobs)]
    body = {
        "spec": msgspec.json.encode({"work_s": seconds}).decode(),
        "steps": make_steps(1, tasks, seconds, cpu=500),
    }
    statuses = world.submit_at_once({job_id(label): body for label in context.burst})
    assert statuses == [200] * jobs, statuses


@then("all jobs of the burst are completed within {seconds:d} s")
def wait_for_burst(context, seconds):
    world = context.world
    deadline = world.now() + seconds
    for label in context.burst:
        while world.state_of("entry-1", label) != "completed":
            assert world.now() < deadline, f"{label} is not completed"
            world.advance(0.25)


@then("the store has a row of attendants for each of {count:d} data centres")
def check_attendant_rows(context, count):
    rows = context.world.cell.metadata_table.current_by_ref
    keys = [ref.key for ref in rows if ref.table == "attendants"]
    assert len([key for key in keys if key.startswith("dc-")]) == count, keys


@then("the store has {rows:d} rows of attendants for each of {count:d} data centres")
def check_split_rows(context, rows, count):
    refs = context.world.cell.metadata_table.current_by_ref
    keys = [ref.key for ref in refs if ref.table == "attendants"]
    by_centre = Counter(key.split("#")[0] for key in keys if key.startswith("dc-"))
    assert sorted(by_centre.values()) == [rows] * count, keys


@then("the next scheduler knows the addresses of {count:d} attendants")
def check_restored_attendants(context, count):
    cell = context.world.cell
    active = cell.entry_by_name[cell.scheduler()].scheduler.active
    known = active._attendant_rows.settled_life_by_worker()
    assert len(known) == count, len(known)


@given("a lease row that lists {count:d} workers as silent")
def make_grants(context, count):
    until = timedelta(days=1)
    names = [f"worker-{number}-".ljust(_NAME_LENGTH, "x") for number in range(count)]
    clock = _StoppedClock()
    context.grants = Grants(
        epoch=2,
        limit=GrantLimit(incarnation="i", acquired_at=clock.elapsed(), clock=clock),
        prior_end=until,
        silent_until=dict.fromkeys(names, until),
        fleet=Fleet(),
        clock=clock,
    )


def _list_standbys(limit):
    for number in range(1000):
        name = f"entry-{number}-".ljust(_NAME_LENGTH, "x")
        limit.record_ping(Ping(standby=name, holder="i"))
    standbys = limit.list_standbys()
    assert standbys
    return standbys


@then("the row that its next holder writes fits into a row of the store")
def check_lease_row(context):
    listed = context.grants.list_silent()
    assert listed
    row = LeaseRow(
        epoch=2,
        holder="x" * _NAME_LENGTH,
        incarnation="x" * _NAME_LENGTH,
        address=Address(host="10.0.0.1", port=8080),
        silent_ms=listed,
        standbys=_list_standbys(context.grants.limit),
    )
    size = len(msgspec.json.encode(row))
    assert size <= MAX_VALUE_BYTES, size


@then("the store has refused no transaction for its size")
def check_refused(context):
    assert context.world.cell.metadata_table.oversized == 0


@when(
    'the job "{label}" of {steps:d} steps with {tasks:d} small tasks of {seconds:d} s '
    "that save checkpoints is submitted at {entry}"
)
def submit_saving_job(context, label, steps, tasks, seconds, entry):
    shape = make_steps(steps, tasks, seconds, cpu=1, checkpointing=True)
    status = context.world.submit_job(
        entry, label, shape, work_s=seconds, saves=True, share=0.001
    )
    assert status == 200, status


@when(
    'the gang "{label}" of {tasks:d} small tasks of {seconds:d} s is submitted at '
    "{entry}"
)
def submit_small_gang(context, label, tasks, seconds, entry):
    shape = make_steps(1, tasks, seconds, cpu=1, gang=True)
    status = context.world.submit_job(entry, label, shape, work_s=seconds, share=0.001)
    assert status == 200, status


@then("the store has no record of a job")
def check_no_records(context):
    rows = context.world.cell.metadata_table.current_by_ref
    records = [ref.key for ref in rows if ref.table == "progress"]
    left = [key for key in records if key != "pressures"]
    assert not left, left


@when(
    "interference between {count:d} images and {services:d} services with names of "
    "{length:d} characters has been measured"
)
def measure_interference(context, count, services, length):
    pressures = [
        Pressure(
            pair=ImagePair(
                filler=f"filler-{filler}".ljust(length, "x"),
                service=f"service-{service}".ljust(length, "x"),
            ),
            value=1.0,
            weight=0.5 + (filler * services + service) / (count * services),
        )
        for filler in range(count)
        for service in range(services)
    ]
    context.pressures = pressures
    _pressure_table(context).update("attendant", pressures)


@then("the next scheduler knows the pairs that were measured best")
def check_restored(context):
    context.world.kill_daemon(context.world.cell.scheduler())
    context.world.advance(5)
    known = {pressure.pair for pressure in _pressure_table(context).all()}
    best = sorted(context.pressures, key=lambda each: -each.weight)
    missed = {_short(each.pair) for each in best[: len(known)]} - known
    assert not missed, missed
    assert len(known) > len(best) // 4, len(known)


def _short(pair):
    return ImagePair(
        filler=shorten_name(pair.filler), service=shorten_name(pair.service)
    )


def _pressure_table(context):
    cell = context.world.cell
    return cell.entry_by_name[cell.scheduler()].scheduler.active.cluster.pressures


@when("the costly steps of a round are counted")
def count_steps(context):
    context.counts = Counter()
    for kind, name in ((Resources, "__add__"), (LiveStep, "recount")):
        _count_calls(context, kind, name)


def _count_calls(context, kind, name):
    original = getattr(kind, name)

    def call(self, *arguments):
        context.counts[name] += 1
        return original(self, *arguments)

    setattr(kind, name, call)
    context.closers.append(lambda: setattr(kind, name, original))


@then("the sums of resources took at most {count:d} additions a task")
def check_additions(context, count):
    tasks = len(context.world.cell.observer.ever_done)
    assert context.counts["__add__"] <= count * tasks, (context.counts, tasks)


@then("the tasks of a step were counted anew at most {count:d} times")
def check_recounts(context, count):
    assert context.counts["recount"] <= count, context.counts
