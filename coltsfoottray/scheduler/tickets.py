"""Permissions of a queue's policy to run a step on a worker."""

from __future__ import annotations

from dataclasses import dataclass, field
from datetime import timedelta

__all__ = ["AdviceState", "Ticket"]


@dataclass(frozen=True, kw_only=True)
class Ticket:
    """Permission for a worker to run a step until it expires."""

    value: str
    expires_at: timedelta


@dataclass(kw_only=True)
class AdviceState:
    """State of the requests for advice about a step.

    Parameters
    ----------
    considered_at : timedelta, optional
        When advice about the step was last requested or its turn last came; before
        that, when the step became ready to start.
    refused_by_life : dict
        For each incarnation of a worker that may not run the step, when it was refused.
    """

    considered_at: timedelta | None = None
    refused_by_life: dict[str, timedelta] = field(default_factory=dict)

    def mark_ready(self, now: timedelta) -> None:
        """Record that the step is ready to start."""
        if self.considered_at is None:
            self.considered_at = now
