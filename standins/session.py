"""Play traces one after the other, each on its own deployment."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass

import trio

from coltsfoottray.settings import Deployment
from standins.cell import Cell
from standins.fabric import LoopbackFabric
from standins.player import Player
from standins.report import Report
from standins.trace import Event, RequestEvent, TaskEvent

__all__ = ["Session", "merge_reports", "play_sessions"]


@dataclass(frozen=True, kw_only=True)
class Session:
    """A trace and the deployment on which it is played."""

    name: str
    deployment: Deployment
    events: Sequence[Event]


async def play_sessions(
    sessions: Sequence[Session], seed: int, report_progress: Callable[[str], None]
) -> list[Report]:
    """Play each session and return the reports in the same order."""
    return [await _play_session(session, seed, report_progress) for session in sessions]


def merge_reports(reports: Sequence[Report]) -> Report:
    """Return the sum of `reports`."""

    def total(name: str) -> int:
        return sum(getattr(report, name) for report in reports)

    counts = [f for f in Report.__struct_fields__ if f not in ("trace", "latency_ms")]
    latency_ms = {
        kind: line for report in reports for kind, line in report.latency_ms.items()
    }
    return Report(
        trace="+".join(report.trace for report in reports),
        latency_ms=latency_ms,
        **{name: total(name) for name in counts},
    )


async def _play_session(
    session: Session, seed: int, report_progress: Callable[[str], None]
) -> Report:
    async with trio.open_nursery() as nursery:
        fabric = LoopbackFabric()
        cell = Cell(deployment=session.deployment, nursery=nursery, fabric=fabric)
        customers = {
            event.customer
            for event in session.events
            if isinstance(event, RequestEvent | TaskEvent)
        }
        unlisted = customers - set(session.deployment.plans)
        report_progress(
            f"{session.name}: starting {session.deployment.entries} entries and the "
            "other daemons"
        )
        if unlisted:
            plan = session.deployment.default_plan
            report_progress(
                f"customers not in the lists get the plan {plan!r}: {sorted(unlisted)}"
            )
        await cell.start(extra_customers=unlisted)
        report_progress(f"{session.name}: playing {len(session.events)} events")
        player = Player(
            cell=cell, name=session.name, seed=seed, report_progress=report_progress
        )
        report = await player.play(session.events)
        nursery.cancel_scope.cancel()
    return report
