"""Reasons why the tasks of a ready step wait, logged when they change."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

from coltsfoottray.logs import log_event

if TYPE_CHECKING:
    from coltsfoottray.scheduler.live import LiveStep

__all__ = ["WaitReason", "record_wait_reason"]


class WaitReason(enum.Enum):
    """What a waiting step lacks."""

    ROOM = "room"
    """No worker that may run it has the resources that its tasks reserve."""
    GOOD_PLACE = "good-place"
    """Wherever there is room, it would run slowly or harm the services."""
    TICKET = "ticket"
    """Its queue's policy has not yet allowed a worker to run it."""


def record_wait_reason(step: LiveStep, reason: WaitReason) -> None:
    """Record why the waiting tasks of a step wait, and log it if it has changed."""
    if not step.waiting:
        step.wait_reason = None
        return
    if step.wait_reason is reason:
        return
    step.wait_reason = reason
    log_event(
        "decision:wait",
        step=f"{step.job.id}.{step.occurrence}.{step.number}",
        lacks=reason.value,
        waiting=len(step.waiting),
    )
