"""A worker on which fillers disturb services, as fitted to four calm days.

The inverse of a service's tail latency falls in proportion to its load, which swings,
and to what fillers use beside it. The figure of the latency is smoothed.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from random import Random

__all__ = ["POLL_INTERVAL_S", "InterferedService"]

POLL_INTERVAL_S = 0.5
_PREVIOUS_WEIGHT = 0.35
_UNLOADED_MS = 10.0
_MEAN_LOAD = 0.42
_LOAD_AMPLITUDE = 0.5
_LOAD_NOISE = 0.04
# Below this part of the speed without load latencies rise no more.
_MIN_SPEED = 0.015


@dataclass(kw_only=True)
class InterferedService:
    """One task of a service with users of its own.

    Parameters
    ----------
    period_s : float
        Of the swings of its load.
    pressure_by_image : dict
        By image of a filler, the part of the service's speed that one whole worker's
        processors of it would take.
    """

    period_s: float = 10.0
    phase: float = 0.0
    pressure_by_image: Mapping[str, float] = field(default_factory=dict)
    random: Random = field(default_factory=lambda: Random(1))
    latency_ms: float = 0.0

    def load(self, now_s: float) -> float:
        """Return the part of its speed that its users take."""
        swing = math.sin(2 * math.pi * now_s / self.period_s + self.phase)
        return _MEAN_LOAD * (1 + _LOAD_AMPLITUDE * swing)

    def sample_latency(
        self, now_s: float, share_by_image: Mapping[str, float]
    ) -> float:
        """Return its latency figure in whole ms, half a second after the last."""
        speed = 1.0 - self.load(now_s) - self.random.gauss(0, _LOAD_NOISE)
        for image, share in share_by_image.items():
            speed -= self.pressure_by_image.get(image, 0.0) * share
        latency = _UNLOADED_MS / max(speed, _MIN_SPEED)
        weight = _PREVIOUS_WEIGHT if self.latency_ms else 0.0
        self.latency_ms = weight * self.latency_ms + (1 - weight) * latency
        return float(round(self.latency_ms))
