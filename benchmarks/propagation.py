"""Measures the time from the acceptance of an edit until all daemons apply it.

Run by `python -m benchmarks.propagation`: 24 daemons (2 entries, 11 instances,
11 workers) in one process on loopback, real time.
"""

from __future__ import annotations

import statistics
import time
from collections.abc import Callable
from importlib import resources
from pathlib import Path

import msgspec
import trio

from coltsfoottray.daemons.common import Daemon
from coltsfoottray.http import HttpRequest
from coltsfoottray.lists import Edit, ListName
from coltsfoottray.settings import load_deployment
from coltsfoottray.types import ListVersion
from standins.cell import Cell
from standins.fabric import LoopbackFabric
from standins.faults import Faults

__all__ = ["main"]

_EDITS = 8
_TIMEOUT_S = 20.0
_TABLE_DELAY_S = 0.3


def _do_nothing(faults: Faults) -> None:
    """Leave the table as it is."""


def _take_down(faults: Faults) -> None:
    faults.is_down = True


async def _measure() -> None:
    examples = Path(str(resources.files("standins"))) / "examples"
    deployment = load_deployment(examples / "tregarth.yaml").unwrap()
    async with trio.open_nursery() as nursery:
        cell = Cell(deployment=deployment, nursery=nursery, fabric=LoopbackFabric())
        await cell.start()
        await trio.sleep(1)
        await _measure_case(cell, "table up", 0.0, _do_nothing)
        await _measure_case(
            cell, f"table slow by {_TABLE_DELAY_S} s", _TABLE_DELAY_S, _do_nothing
        )
        await _measure_case(cell, "table down after acceptance", 0.0, _take_down)
        nursery.cancel_scope.cancel()


async def _measure_case(
    cell: Cell, name: str, delay_s: float, inject: Callable[[Faults], None]
) -> None:
    durations = []
    for _ in range(_EDITS):
        cell.table.faults.delay_s = delay_s
        version = await _submit_edit(cell)
        accepted_at = time.perf_counter()
        inject(cell.table.faults)
        with trio.fail_after(_TIMEOUT_S):
            while any(d.holder.current.version < version for d in _daemons(cell)):
                await trio.sleep(0.002)
        durations.append(time.perf_counter() - accepted_at)
        cell.table.faults.is_down = False
        await trio.sleep(0.5)
    print(
        f"{name}: median {statistics.median(durations) * 1000:.0f} ms, "
        f"longest {max(durations) * 1000:.0f} ms of {_EDITS} edits, "
        f"{len(_daemons(cell))} daemons"
    )


async def _submit_edit(cell: Cell) -> ListVersion:
    entry = cell.live_entries()[0]
    version = entry.holder.current.version
    edit = Edit(
        list=ListName.ALLOWANCES,
        change={"surveys": {"processors": 256 + version}},
        based_on=version,
        author="benchmark",
        token=f"benchmark-{version}",
    )
    request = HttpRequest(
        method="POST", target="/lists", body=msgspec.json.encode(edit)
    )
    transport = cell.fabric.transport("operator")
    response = await transport.send(entry.describe().http, request)
    assert response.status == 200, response
    return ListVersion(version + 1)


def _daemons(cell: Cell) -> list[Daemon]:
    return [
        *cell.entry_by_name.values(),
        *cell.upstream_by_name.values(),
        *cell.worker_by_name.values(),
    ]


def main() -> None:
    """Measure and print the propagation times."""
    trio.run(_measure)


if __name__ == "__main__":
    main()
