"""The parts of a report that describe the worker and its runs."""

from __future__ import annotations

import msgspec

from coltsfoottray.agent.liveness import WorkerLiveness
from coltsfoottray.agent.runs import Runs
from coltsfoottray.agent.worker import Heartbeat
from coltsfoottray.scheduler.messages import Report

__all__ = ["describe_runs", "describe_worker"]


def describe_runs(report: Report, runs: Runs) -> Report:
    """Return `report` with what is known of the worker's runs."""
    return msgspec.structs.replace(
        report,
        running=runs.running,
        without_order=runs.without_order(),
        starting=runs.unconfirmed_starts(),
        started=list(runs.started_by_ref),
        ends=runs.ends,
        rejected=list(runs.rejected_by_ref.values()),
    )


def describe_worker(
    report: Report, heartbeat: Heartbeat | None, liveness: WorkerLiveness
) -> Report:
    """Return `report` with a description of the worker, if one has been heard of."""
    if heartbeat is None:
        return report
    return msgspec.structs.replace(
        report,
        life=heartbeat.life,
        service=heartbeat.service,
        capacity=heartbeat.capacity,
        labels=heartbeat.labels,
        rack=heartbeat.rack,
        is_draining=heartbeat.is_draining,
        remaining_ms=heartbeat.remaining.total_seconds() * 1000,
        is_reachable=liveness.is_answering,
        is_replaced=liveness.is_replaced,
    )
