"""Measures the cost of a key: keyed and unkeyed requests, alternating in one process.

Run by `python -m benchmarks.keyed_requests`. Processor time is the sum over all
daemons, stand-ins and the caller.
"""

from __future__ import annotations

import statistics
import time
from dataclasses import dataclass, field
from importlib import resources
from pathlib import Path

import trio

from coltsfoottray.http import HttpRequest
from coltsfoottray.settings import load_deployment
from standins.cell import Cell
from standins.fabric import LoopbackFabric

__all__ = ["main"]

_ROUNDS = 10
_REQUESTS = 60


@dataclass(kw_only=True)
class _Cost:
    """Wall time and processor time per request in milliseconds, one value per round."""

    wall: list[float] = field(default_factory=list)
    processor: list[float] = field(default_factory=list)


async def _measure() -> None:
    examples = Path(str(resources.files("standins"))) / "examples"
    deployment = load_deployment(examples / "tregarth.yaml").unwrap()
    cost_by_name = {"unkeyed": _Cost(), "keyed": _Cost()}
    async with trio.open_nursery() as nursery:
        cell = Cell(deployment=deployment, nursery=nursery, fabric=LoopbackFabric())
        await cell.start()
        await trio.sleep(2)
        for number in range(_ROUNDS):
            for name, cost in cost_by_name.items():
                await _run_round(cell, name, number, cost)
        nursery.cancel_scope.cancel()
    _show(cost_by_name)


async def _run_round(cell: Cell, name: str, number: int, cost: _Cost) -> None:
    transport = cell.fabric.transport("caller")
    address = cell.live_entries()[0].describe().http
    started_at, cpu_before = time.perf_counter(), time.process_time()
    for index in range(_REQUESTS):
        headers = {"x-customer": "arolwg-de", "x-service-ms": "0"}
        if name == "keyed":
            headers["idempotency-key"] = f"{number}-{index}"
        request = HttpRequest(
            method="POST", target="/requests/quote-check", header_by_name=headers
        )
        response = await transport.send(address, request)
        assert response.status == 200, response
    cost.wall.append((time.perf_counter() - started_at) * 1000 / _REQUESTS)
    cost.processor.append((time.process_time() - cpu_before) * 1000 / _REQUESTS)


def _show(cost_by_name: dict[str, _Cost]) -> None:
    baseline = cost_by_name["unkeyed"]
    for name, cost in cost_by_name.items():
        wall = statistics.median(cost.wall)
        processor = statistics.median(cost.processor)
        print(
            f"{name:>8}: wall {wall:.2f} ms "
            f"(x{wall / statistics.median(baseline.wall):.2f}), "
            f"processor {processor:.2f} ms "
            f"(x{processor / statistics.median(baseline.processor):.2f})"
        )


def main() -> None:
    """Measure and print the cost of both kinds of request."""
    trio.run(_measure)


if __name__ == "__main__":
    main()
