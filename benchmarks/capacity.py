"""Measures the unit costs of each role and extrapolates them to the design size.

Run by `make capacity`. The unit costs are measured on loopback in one process; the
table after them is computed from them. The processor time of a call covers both ends,
and each role is charged half of it.
"""

from __future__ import annotations

import time
import tracemalloc
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from datetime import timedelta
from importlib import resources
from pathlib import Path

import msgspec
import trio

from benchmarks.capacity_model import UnitCosts, print_report
from coltsfoottray.claims import Claim
from coltsfoottray.claims.messages import CLAIM, ClaimRequest, Proposal
from coltsfoottray.entry.batch import TaskSubmission
from coltsfoottray.explain import Decision, Verb
from coltsfoottray.http import HttpClient, HttpRequest
from coltsfoottray.membership import (
    WATCH,
    Announcement,
    AttemptReport,
    WatchRequest,
    WorkerReport,
)
from coltsfoottray.peers.grpc import GrpcPeerClient
from coltsfoottray.peers.http import HttpPeerClient
from coltsfoottray.requests import Place
from coltsfoottray.settings import load_deployment
from coltsfoottray.tasks import StoredTask, TaskRow, TaskSpec
from coltsfoottray.types import (
    Address,
    AttendantId,
    CustomerId,
    DaemonId,
    DataCentre,
    EntryId,
    Incarnation,
    Kind,
    ListVersion,
    RequestId,
    Resources,
    Role,
    TaskId,
    TaskState,
)
from standins.cell import Cell
from standins.fabric import LoopbackFabric

__all__ = ["main"]

_CALLS = 400
_TASKS = 150
_IDLE_DURATION_S = 6.0
_OBJECTS = 20_000
_ATTEMPTS_PER_WORKER = 16
_PAGE_BYTES = 4096
_CALL_TIMEOUT = timedelta(seconds=10)
_ADDRESS = Address(host="127.0.0.1", port=1)


@dataclass(frozen=True, kw_only=True)
class _Cost:
    """Processor seconds and loopback bytes of one call or of one second."""

    processor_s: float
    wire_bytes: float


def _loopback_bytes() -> int:
    """Return the bytes that the loopback interface received, from /proc/net/dev."""
    for line in Path("/proc/net/dev").read_text().splitlines():
        name, _, counters = line.partition(":")
        if name.strip() == "lo":
            return int(counters.split()[0])
    raise SystemExit("/proc/net/dev: no loopback interface")


def _resident_bytes() -> int:
    """Return the resident memory of this process, from /proc/self/statm."""
    return int(Path("/proc/self/statm").read_text().split()[1]) * _PAGE_BYTES


async def _measure_calls(call: Callable[[], Awaitable[object]], idle: _Cost) -> _Cost:
    """Return the cost of one call, less the idle cost over the same time."""
    await call()
    started_at = time.perf_counter()
    cpu_before, bytes_before = time.process_time(), _loopback_bytes()
    for _ in range(_CALLS):
        await call()
    elapsed = time.perf_counter() - started_at
    cpu_s = time.process_time() - cpu_before - elapsed * idle.processor_s
    wire_bytes = _loopback_bytes() - bytes_before - elapsed * idle.wire_bytes
    return _Cost(processor_s=cpu_s / _CALLS, wire_bytes=wire_bytes / _CALLS)


async def _measure_idle(seconds: float) -> _Cost:
    cpu_before, bytes_before = time.process_time(), _loopback_bytes()
    await trio.sleep(seconds)
    return _Cost(
        processor_s=(time.process_time() - cpu_before) / seconds,
        wire_bytes=(_loopback_bytes() - bytes_before) / seconds,
    )


def _measure_object(make: Callable[[int], object]) -> float:
    """Return the mean number of bytes that Python allocates per object."""
    tracemalloc.start()
    bytes_at_start = tracemalloc.get_traced_memory()[0]
    objects = [make(number) for number in range(_OBJECTS)]
    allocated_bytes = tracemalloc.get_traced_memory()[0] - bytes_at_start
    tracemalloc.stop()
    assert len(objects) == _OBJECTS
    return allocated_bytes / _OBJECTS


async def _measure() -> UnitCosts:
    examples = Path(str(resources.files("standins"))) / "examples"
    deployment = load_deployment(examples / "tregarth.yaml").unwrap()
    base_bytes = _resident_bytes()
    async with trio.open_nursery() as nursery:
        cell = Cell(deployment=deployment, nursery=nursery, fabric=LoopbackFabric())
        await cell.start()
        await trio.sleep(1)
        idle = await _measure_idle(_IDLE_DURATION_S)
        watch = await _measure_watch(cell, nursery, idle)
        claim = await _measure_claim(cell, idle)
        task, rows, commits, reads = await _measure_tasks(cell, idle)
        nursery.cancel_scope.cancel()
    daemons = deployment.entries + deployment.service.instances
    return UnitCosts(
        idle_daemon_s=idle.processor_s / (daemons + deployment.workers.count),
        watch_s=watch.processor_s,
        watch_bytes=watch.wire_bytes,
        claim_s=claim.processor_s,
        claim_bytes=claim.wire_bytes,
        task_s=task,
        task_rows=rows,
        task_commits=commits,
        task_reads=reads,
        base_bytes=base_bytes,
        claim_memory_bytes=_measure_object(_make_claim),
        task_memory_bytes=_measure_object(_make_task),
        decision_memory_bytes=_measure_object(_make_decision),
        member_memory_bytes=_measure_object(_make_announcement),
    )


async def _measure_watch(cell: Cell, nursery: trio.Nursery, idle: _Cost) -> _Cost:
    client = GrpcPeerClient()
    await nursery.start(client.run)
    entry = cell.live_entries()[0]
    request = WatchRequest(
        announcement=_make_announcement(1), lists_version=ListVersion(99), hold_s=0.0
    )
    address = entry.describe().peers

    async def call() -> object:
        return await client.call(address, WATCH, request, timeout=_CALL_TIMEOUT)

    return await _measure_calls(call, idle)


async def _measure_claim(cell: Cell, idle: _Cost) -> _Cost:
    claimant, other = cell.live_entries()[:2]
    client = HttpPeerClient(transport=HttpClient())
    address = other.claim_members.own_row().claims
    request = ClaimRequest(
        incarnation=claimant.incarnation, proposals=[Proposal(claim=_make_claim(1))]
    )

    async def call() -> object:
        return await client.call(address, CLAIM, request, timeout=_CALL_TIMEOUT)

    return await _measure_calls(call, idle)


async def _measure_tasks(cell: Cell, idle: _Cost) -> tuple[float, float, float, float]:
    """Return processor seconds, rows, commits and reads per task, until its end."""
    table, transport = cell.table, cell.fabric.transport("customer")
    address = cell.live_entries()[0].describe().http
    started_at, cpu_before = time.perf_counter(), time.process_time()
    rows, commits, reads = table.rows_written, table.commits, table.reads
    await trio.sleep(2)
    idle_rows, idle_commits = table.rows_written - rows, table.commits - commits
    idle_reads = table.reads - reads
    for number in range(_TASKS):
        submission = TaskSubmission(
            id=f"capacity-{number}",
            kind=Kind("basket-rebuild"),
            processors=1,
            memory_gb=1,
            runtime_s=0.2,
        )
        request = HttpRequest(
            method="POST",
            target="/tasks",
            header_by_name={"x-customer": "arolwg-de"},
            body=msgspec.json.encode(submission),
        )
        response = await transport.send(address, request)
        assert response.status == 202, response
    while cell.observer.finishes_by_task.total() < _TASKS:
        await trio.sleep(0.05)
    await trio.sleep(1)
    elapsed = time.perf_counter() - started_at
    cpu_s = time.process_time() - cpu_before - elapsed * idle.processor_s
    scale = elapsed / 2
    return (
        max(0.0, cpu_s) / _TASKS,
        (table.rows_written - rows - idle_rows * scale) / _TASKS,
        (table.commits - commits - idle_commits * scale) / _TASKS,
        (table.reads - reads - idle_reads * scale) / _TASKS,
    )


def _make_claim(number: int) -> Claim:
    return Claim(
        request=RequestId(f"customer-{number % 54}/key-{number:032d}"),
        entry=EntryId(DaemonId("entry-1")),
        incarnation=Incarnation("20260101T000000.000000-00000000"),
        place=Place(
            attendant=AttendantId(DaemonId(f"instance-{number % 99}")),
            incarnation=Incarnation("20260101T000000.000000-00000000"),
            address=_ADDRESS,
        ),
        attempt=1_700_000_000_000_000 + number,
    )


def _make_task(number: int) -> StoredTask:
    spec = TaskSpec(
        task=TaskId(f"customer-{number % 54}/task-{number}"),
        customer=CustomerId(f"customer-{number % 54}"),
        kind=Kind("basket-rebuild"),
        demand=Resources(processors=2.0 + number, memory_gb=8.0 + number),
        runtime_s=600.0 + number,
        payload={"real_runtime_s": 500.0 + number},
    )
    row = TaskRow(
        spec=spec,
        state=TaskState.RUNNING,
        accepted_at=f"2026-01-01T00:00:00.{number:06d}",
        attempt=1,
        worker=AttendantId(DaemonId(f"worker-{number % 530}")),
        term=1,
        reason=f"cost {number}",
    )
    return StoredTask(row=row, version=number)


def _make_decision(number: int) -> Decision:
    return Decision(
        subject=f"customer-{number % 54}/key-{number:032d}",
        verb=Verb.ROUTE,
        choice=f"instance-{number % 99}",
        reason=f"expected {number} ms",
        lists_version=ListVersion(9),
        line=f"plans@9: customer-{number} = surveys; allowances@9: surveys = 8 GB",
        at=f"2026-01-01T00:00:00.{number:06d}",
    )


def _make_announcement(number: int) -> Announcement:
    return Announcement(
        daemon=DaemonId(f"worker-{number}"),
        role=Role.WORKER,
        incarnation=Incarnation(f"20260101T000000.000000-{number:08d}"),
        data_centre=DataCentre("caerdydd"),
        rack=f"rack-{number}",
        http=_ADDRESS,
        peers=_ADDRESS,
        # The worker is draining, so that the measured entry places no tasks on it.
        is_draining=True,
        worker=WorkerReport(
            capacity=Resources(processors=64, memory_gb=250),
            reserved=Resources(processors=32, memory_gb=125),
            term=1,
            attempts=[
                AttemptReport(
                    task=TaskId(f"customer-{number}/task-{index}"),
                    attempt=1,
                    used=Resources(processors=2.0, memory_gb=8.0),
                )
                for index in range(_ATTEMPTS_PER_WORKER)
            ],
        ),
    )


def main() -> None:
    """Measure the unit costs, and print them with the extrapolated use."""
    print_report(trio.run(_measure))


if __name__ == "__main__":
    main()
