"""Why tasks whose turn has come wait, told when it changes."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

from coltsfoottray.logs import log_event

if TYPE_CHECKING:
    from coltsfoottray.scheduler.live import LiveStep

__all__ = ["WaitReason", "record_wait_reason"]


class WaitReason(enum.Enum):
    """What a step lacks."""

    ROOM = "room"
    """No worker that may run it has what its tasks reserve."""
    GOOD_PLACE = "good-place"
    """It would crawl wherever there is room, or harm the services there."""
    TICKET = "ticket"
    """Its queue's policy has not said yet which workers may run it."""


def record_wait_reason(step: LiveStep, hindrance: WaitReason) -> None:
    """Note what the waiting tasks of a step lack; without any it lacks nothing."""
    if not step.waiting:
        step.hindrance = None
        return
    if step.hindrance is hindrance:
        return
    step.hindrance = hindrance
    log_event(
        "decision:wait",
        step=f"{step.job.id}.{step.occurrence}.{step.number}",
        lacks=hindrance.value,
        waiting=len(step.waiting),
    )
