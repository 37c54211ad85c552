"""Steps about the size of the messages between processes."""

from __future__ import annotations

from collections import Counter
from datetime import timedelta

import msgspec
from behave import step, then, when

from tests.support.job_world import job_id

_MAKE_NAME = {
    "of 32000 characters": lambda text: text.ljust(32_000, "x"),
    "of 900 characters that take six bytes each": lambda text: text.ljust(900, "\x01"),
    "that differ in the last of 200 characters": lambda text: text.rjust(200, "x"),
}
_PEER_PATHS = "/coltsfoottray.Peers/"
_CALL_TIMEOUT = timedelta(seconds=5)


def _submit(context, label, spec, shape):
    status = context.world.submit_job("entry-1", label, [shape], **spec)
    assert status == 200, status


@when(
    "{services:d} services and {fillers:d} fillers whose images have names {kind} run "
    "side by side for {seconds:d} s"
)
def run_images(context, services, fillers, kind, seconds):
    make_name = _MAKE_NAME[kind]
    context.service_labels = [f"s{number}" for number in range(services)]
    for number, label in enumerate(context.service_labels):
        _submit(
            context,
            label,
            {"work_s": 1, "lasts": True, "latency_ms": 10, "share": 0.1},
            {
                "count": 2,
                "cpu": 100,
                "longRunning": True,
                "targetMs": 50,
                "image": make_name(f"service-{number:02}"),
                "antiAffinity": 1,
            },
        )
    context.world.advance(1)
    for number in range(fillers):
        _submit(
            context,
            f"f{number}",
            {"work_s": seconds, "share": 0.1},
            {
                "count": 2,
                "cpu": 500,
                "estimateMs": seconds * 1000,
                "fills": True,
                "image": make_name(f"filler-{number:02}"),
                "antiAffinity": 1,
            },
        )
    context.world.advance(seconds)


@then("all services are still at work, each task started once")
def check_services(context):
    starts = Counter(task for task, _, _ in context.world.cell.observer.starts)
    running = {
        task
        for worker in context.world.cell.worker_by_name.values()
        for task in worker.run_by_task
    }
    for label in context.service_labels:
        for index in range(2):
            task = f"{job_id(label)}.0.0.{index}"
            assert task in running, f"{label} {index} does not run"
            assert starts[task] == 1, (label, starts[task])


@then("the scheduler knows at least {count:d} pairs of images")
def check_pairs(context, count):
    cell = context.world.cell
    active = cell.entry_by_name[cell.scheduler()].scheduler.active
    known = active.cluster.pressures.all()
    assert len(known) >= count, len(known)


@then("no report, reply or order was larger than {size:d} bytes")
def check_sizes(context, size):
    sizes = {
        path: largest
        for path, largest in context.world.fabric.largest_by_path.items()
        if path.startswith(_PEER_PATHS)
    }
    assert sizes
    assert max(sizes.values()) <= size, sizes


@when("{count:d} jobs with a payload of {size:d} bytes are submitted")
def submit_payloads(context, count, size):
    world = context.world
    spec = {"work_s": 1, "lasts": True, "share": 0, "text": "x" * size}
    shape = {"count": 1, "memoryLimitMb": 1, "longRunning": True}
    body = {"spec": msgspec.json.encode(spec).decode(), "steps": [shape]}
    names = [f"{number:016x}" for number in range(count)]
    statuses = world.submit_at_once(dict.fromkeys(names, body))
    assert statuses == [200] * count, Counter(statuses)


@then("{count:d} tasks were started within {seconds:d} s, each once")
def wait_for_starts(context, count, seconds):
    world = context.world
    deadline = world.now() + seconds
    while len({task for task, _, _ in world.cell.observer.starts}) < count:
        assert world.now() < deadline, len(world.cell.observer.starts)
        world.advance(0.25)
    starts = Counter(task for task, _, _ in world.cell.observer.starts)
    assert set(starts.values()) == {1}, starts


@when(
    'the job "{label}" of {tasks:d} tasks of {seconds:d} s with checkpoints of '
    "{length:d} characters is submitted"
)
def submit_long_checkpoints(context, label, tasks, seconds, length):
    spec = {
        "work_s": seconds,
        "saves": True,
        "share": 0.1,
        "checkpoint_length": length,
    }
    shape = {
        "count": tasks,
        "cpu": 100,
        "estimateMs": seconds * 1000,
        "checkpointing": True,
    }
    _submit(context, label, spec, shape)


@step("{name} is cut off from the store and from {other}")
def cut_off(context, name, other):
    context.cut_links = {frozenset((name, "store")), frozenset((name, other))}
    context.world.fabric.cut |= context.cut_links


@when("{name} reaches the store and {other} again")
def reconnect(context, name, other):
    context.world.fabric.cut -= context.cut_links


@then("{name} knows {count:d} jobs")
def check_known(context, name, count):
    known = context.world.cell.entry_by_name[name].view.job_by_id
    assert len(known) == count, len(known)
