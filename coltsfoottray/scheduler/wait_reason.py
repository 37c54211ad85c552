"""Reasons why the tasks of a ready step wait."""

from __future__ import annotations

import enum

__all__ = ["WaitReason"]


class WaitReason(enum.Enum):
    """What a waiting step lacks."""

    ROOM = "room"
    """No worker that may run it has the resources that its tasks reserve."""
    GOOD_PLACE = "good-place"
    """Wherever there is room, it would run slowly or harm the services."""
    EVACUATION = "evacuation"
    """There is room only in data centres that are evacuated."""
    HEALTH = "health"
    """There is room only on workers that are blocked or on probation."""
    TICKET = "ticket"
    """Its queue's policy has not yet allowed a worker to run it."""
