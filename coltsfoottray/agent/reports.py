"""The part of a report that comes from the worker's heartbeats."""

from __future__ import annotations

import msgspec

from coltsfoottray.agent.liveness import WorkerLiveness
from coltsfoottray.agent.worker import Heartbeat
from coltsfoottray.scheduler.messages import Report

__all__ = ["describe_worker"]


def describe_worker(
    report: Report, heartbeat: Heartbeat, liveness: WorkerLiveness
) -> Report:
    """Return `report` with a description of the worker and of its liveness."""
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
