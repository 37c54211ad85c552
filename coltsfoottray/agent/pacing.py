"""How fast filling tasks may work beside services with a latency target.

Answers the load at which fillers disturb a service: its tail latency is known only
as a rough figure of the last half second, and both sides change within seconds.
The share of all fillers on a worker falls by half whenever a service is near its
target, to nothing when it is over, and rises again by small steps once there is
room: over its target a service loses four times what a slowed filler does.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

__all__ = ["Pace", "ServiceFigure"]

FULL = 100
# Near the target: the figure wavers by about a tenth from one look to the next.
_NEAR = 0.85
# Far enough below it to let fillers work more.
_CALM = 0.65
# From nothing to full in five seconds, at two looks a second.
_STEP = 10


@dataclass(frozen=True, kw_only=True)
class ServiceFigure:
    """A service's tail latency and what it must stay below, in milliseconds."""

    latency_ms: float
    target_ms: float

    @property
    def ratio(self) -> float:
        """The latency as a part of the target."""
        return self.latency_ms / self.target_ms


class Pace:
    """The share, in percent, at which the fillers of one worker work."""

    def __init__(self) -> None:
        self.percent = FULL

    def adjust(self, figures: Iterable[ServiceFigure]) -> int:
        """Take in the newest figures and return the share from now on."""
        worst = max((figure.ratio for figure in figures), default=0.0)
        if worst >= 1.0:
            self.percent = 0
        elif worst >= _NEAR:
            self.percent //= 2
        elif worst < _CALM:
            self.percent = min(FULL, self.percent + _STEP)
        return self.percent
