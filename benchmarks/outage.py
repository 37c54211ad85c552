"""Measures how an outage of the table delays running tasks, on a virtual clock.

Run by `python -m benchmarks.outage`: tasks run on two workers, the table is down for
0, 1, 10 and 60 minutes, and the benchmark waits until all tasks have ended.
"""

from __future__ import annotations

from dataclasses import dataclass

import msgspec
import trio
from trio.testing import MockClock

from coltsfoottray.entry.batch import TaskSubmission
from coltsfoottray.http import HttpRequest
from coltsfoottray.settings import Deployment
from coltsfoottray.types import Kind
from standins.cell import Cell
from standins.fabric import MemoryFabric

__all__ = ["main"]

_TASKS = 8
_RUNTIME_S = 120.0
_OUTAGES_S = (0.0, 60.0, 600.0, 3600.0)
_DEPLOYMENT = Deployment.model_validate(
    {
        "name": "outage",
        "data_centres": ["caerdydd"],
        "entries": 2,
        "service": {"instances": 1, "slots": 8, "connections": 64},
        "workers": {"count": 2, "processors": 8, "memory_gb": 32, "per_rack": 1},
        "plans": {"arolwg": "surveys"},
        "allowances": {"surveys": {"processors": 16, "memory_gb": 64}},
        "default_plan": "surveys",
        "timing": {"lease_s": 15, "report_s": 1, "checkpoint_s": 30},
    }
)


@dataclass(frozen=True, kw_only=True)
class _Outcome:
    last_end_s: float
    starts: int
    doubled: int


async def _run_with_outage(outage_s: float) -> _Outcome:
    async with trio.open_nursery() as nursery:
        cell = Cell(deployment=_DEPLOYMENT, nursery=nursery, fabric=MemoryFabric())
        await cell.start()
        for number in range(_TASKS):
            await _submit(cell, f"task-{number}")
        started_at = trio.current_time()
        await trio.sleep(30)
        cell.table.faults.is_down = outage_s > 0
        await trio.sleep(outage_s)
        cell.table.faults.is_down = False
        while cell.observer.finishes_by_task.total() < _TASKS:
            await trio.sleep(0.5)
        starts = cell.observer.done_s_at_starts_by_task.values()
        outcome = _Outcome(
            last_end_s=trio.current_time() - started_at,
            starts=sum(len(each) for each in starts),
            doubled=len(cell.observer.doubled),
        )
        nursery.cancel_scope.cancel()
    return outcome


async def _submit(cell: Cell, task: str) -> None:
    submission = TaskSubmission(
        id=task,
        kind=Kind("image-build"),
        processors=2,
        memory_gb=4,
        runtime_s=_RUNTIME_S,
    )
    request = HttpRequest(
        method="POST",
        target="/tasks",
        header_by_name={"x-customer": "arolwg"},
        body=msgspec.json.encode(submission),
    )
    address = cell.live_entries()[0].describe().http
    response = await cell.fabric.transport("customer").send(address, request)
    assert response.status == 202, response


def main() -> None:
    """Run the tasks with each outage and print the delays."""
    baseline_s = 0.0
    for outage_s in _OUTAGES_S:
        outcome = trio.run(
            _run_with_outage, outage_s, clock=MockClock(autojump_threshold=0)
        )
        baseline_s = baseline_s or outcome.last_end_s
        print(
            f"table down {outage_s:.0f} s: last of {_TASKS} tasks ended after "
            f"{outcome.last_end_s:.0f} s, {outcome.last_end_s - baseline_s:.0f} s "
            f"later than without an outage, {outcome.starts} starts, "
            f"{outcome.doubled} doubled"
        )


if __name__ == "__main__":
    main()
