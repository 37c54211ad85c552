"""Permissions of a queue's policy to run a step on a worker."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from datetime import timedelta

__all__ = ["AdviceState", "StepTickets", "Ticket"]

# Time in which a start is usually stored, sent and carried out.
_ORDER_LATENCY = timedelta(milliseconds=300)


@dataclass(frozen=True, kw_only=True)
class Ticket:
    """Permission for a worker to run a step until it expires."""

    value: str
    expires_at: timedelta


class StepTickets:
    """The tickets of one step, by the incarnation of the worker."""

    def __init__(self) -> None:
        self._by_life: dict[str, Ticket] = {}

    def get(self, life: str) -> Ticket | None:
        """Return the ticket for an incarnation, None if there is none."""
        return self._by_life.get(life)

    def discard(self, life: str) -> None:
        """Drop the ticket for an incarnation that has rejected it."""
        self._by_life.pop(life, None)

    def add(self, by_life: Mapping[str, Ticket], now: timedelta) -> None:
        """Add tickets to those that have not expired.

        A start that is not carried out yet needs its earlier one.
        """
        kept = {
            life: ticket
            for life, ticket in self._by_life.items()
            if ticket.expires_at > now
        }
        self._by_life = kept | dict(by_life)

    def valid_lives(self, now: timedelta) -> set[str]:
        """Return the incarnations whose tickets outlast sending a start."""
        return {
            life
            for life, ticket in self._by_life.items()
            if ticket.expires_at > now + _ORDER_LATENCY
        }


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
