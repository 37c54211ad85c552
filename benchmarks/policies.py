"""Compares each policy with its baseline on a shipped trace, on a virtual clock.

Run by `python -m benchmarks.policies`. The trace is Tregarth's. The service has few
slots, so that routing affects latency.
"""

from __future__ import annotations

from dataclasses import dataclass
from importlib import resources
from pathlib import Path

import trio
from trio.testing import MockClock

from coltsfoottray.settings import load_deployment
from standins.cell import Cell
from standins.fabric import MemoryFabric
from standins.player import Player
from standins.report import Report
from standins.trace import load_trace

__all__ = ["main"]

_WORTH_BY_KIND = {"quote-check": 1.0, "quote-submission": 3.0}
_INSTANCES = 2
_SLOTS = 1


@dataclass(frozen=True, kw_only=True)
class _Policies:
    routing: str
    placement: str


_BASELINE = _Policies(routing="round-robin", placement="first-fit")
_CANDIDATE = _Policies(routing="two-choices", placement="tightest-fit")


async def _run_trace(policies: _Policies) -> Report:
    examples = Path(str(resources.files("standins"))) / "examples"
    deployment = load_deployment(examples / "tregarth.yaml").unwrap()
    service = deployment.service.model_copy(
        update={"instances": _INSTANCES, "slots": _SLOTS}
    )
    events = [
        event
        for event in load_trace(examples / "tregarth.jsonl").unwrap()
        if getattr(event, "target", "") != "instance-03"
    ]
    async with trio.open_nursery() as nursery:
        cell = Cell(
            deployment=deployment.model_copy(update={"service": service}),
            nursery=nursery,
            fabric=MemoryFabric(),
            routing=policies.routing,
            placement=policies.placement,
        )
        await cell.start()
        player = Player(
            cell=cell, name="policies", seed=1, report_progress=lambda line: None
        )
        report = await player.play(events)
        nursery.cancel_scope.cancel()
    return report


def _weighted_p99(report: Report) -> float:
    total = sum(_WORTH_BY_KIND.values())
    return (
        sum(
            worth * report.latency_ms[kind].p99
            for kind, worth in _WORTH_BY_KIND.items()
        )
        / total
    )


def main() -> None:
    """Run the trace under both sets of policies and print the results."""
    baseline_p99 = 0.0
    for policies in (_BASELINE, _CANDIDATE):
        report = trio.run(_run_trace, policies, clock=MockClock(autojump_threshold=0))
        p99 = _weighted_p99(report)
        baseline_p99 = baseline_p99 or p99
        print(
            f"{policies.routing}, {policies.placement}: weighted p99 {p99:.1f} ms "
            f"(x{p99 / baseline_p99:.2f}), answered {report.answered} of "
            f"{report.requests}, finished {report.finished} of {report.tasks}, "
            f"evictions {report.evictions}"
        )


if __name__ == "__main__":
    main()
