"""Model of services whose tail latency suffers from the fillers on their worker.

The inverse of a service's tail latency falls linearly with its own load, which
oscillates, and with the processors that fillers use on the same worker. The reported
latency is smoothed. The constants were fitted to four calm days.
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
# Latency no longer rises below this fraction of the speed without load.
_MIN_SPEED = 0.015


@dataclass(kw_only=True)
class InterferedService:
    """One task of a service, with load from its own users.

    Parameters
    ----------
    period_s : float
        Period of the oscillation of its load, in seconds.
    phase : float
        Phase of the oscillation, in radians.
    pressure_by_image : dict
        By filler image, the fraction of the service's speed that the image would
        take if it used all processors of the worker.
    latency_ms : float
        Smoothed tail latency; 0 before the first sample.
    """

    period_s: float = 10.0
    phase: float = 0.0
    pressure_by_image: Mapping[str, float] = field(default_factory=dict)
    random: Random = field(default_factory=lambda: Random(1))
    latency_ms: float = 0.0

    def load(self, now_s: float) -> float:
        """Return the fraction of the service's speed that its own users consume."""
        swing = math.sin(2 * math.pi * now_s / self.period_s + self.phase)
        return _MEAN_LOAD * (1 + _LOAD_AMPLITUDE * swing)

    def sample_latency(
        self, now_s: float, share_by_image: Mapping[str, float]
    ) -> float:
        """Return the smoothed latency in whole ms; call it every `POLL_INTERVAL_S`.

        Parameters
        ----------
        share_by_image : dict
            By filler image, the share of the worker's processors in use.
        """
        speed = 1.0 - self.load(now_s) - self.random.gauss(0, _LOAD_NOISE)
        for image, share in share_by_image.items():
            speed -= self.pressure_by_image.get(image, 0.0) * share
        latency = _UNLOADED_MS / max(speed, _MIN_SPEED)
        weight = _PREVIOUS_WEIGHT if self.latency_ms else 0.0
        self.latency_ms = weight * self.latency_ms + (1 - weight) * latency
        return float(round(self.latency_ms))
