"""Services and fillers of a worker as its polls show them.

Workers smooth latencies. The margin of a service is computed with the smoothing undone
where that matters, and the usage of fillers is smoothed alike.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass
from datetime import timedelta

__all__ = [
    "MAX_MARGIN",
    "MeasuredMargin",
    "Observation",
    "ServiceHistory",
    "SmoothedUsage",
]

MAX_MARGIN = 6.0

# Standard deviations of an observed margin, for load that differs between tasks of a
# job, and of a latency in ms, for its rounding to whole ms.
_MARGIN_NOISE = 0.2
_ROUNDING_MS = 0.3
# Additional standard deviation of an unsmoothed margin: while a latency far above the
# usual one falls, the unsmoothed value is mostly noise.
_UNSMOOTHING_NOISE = 0.6

# Polls to skip after the start of a service: it is disturbed less at first than later.
_WARM_UP_POLLS = 4

# Workers smooth latencies exponentially: this share of a value is left after half a
# second. The usage of fillers is smoothed in the same way before the two are compared,
# or heavy pairs would appear lighter than they are. Undoing the smoothing adds noise,
# so this is done only if the previous latency was higher by the ratio below.
_SMOOTHING = 0.35
_HALF_SECOND = timedelta(milliseconds=500)
_MIN_LATENCY_DROP = 1.5
# Lower bound of an unsmoothed latency, as a share of the smoothed one.
_MIN_UNSMOOTHED = 0.4

# A smaller share of the worker's processors counts as unused.
_MIN_SHARE = 0.001

# Share of the previous value in the smoothed deviation of a task from its job.
_DEVIATION_SMOOTHING = 0.5


@dataclass(frozen=True, kw_only=True)
class Observation:
    """State of one service as returned by a poll.

    Parameters
    ----------
    service : str
        Identifies the run.
    job : str
        Identifies the job, whose tasks share the same load.
    image : str
        Image of the service.
    latency_ms, target_ms : float
        Tail latency, and the target it must stay below.
    """

    service: str
    job: str
    image: str
    latency_ms: float
    target_ms: float

    @property
    def margin(self) -> float:
        """Target divided by tail latency, limited to `MAX_MARGIN`."""
        return min(self.target_ms / self.latency_ms, MAX_MARGIN)


@dataclass(frozen=True, kw_only=True)
class MeasuredMargin:
    """Margin of a service since the previous poll, with its standard deviation."""

    margin: float
    noise: float


class ServiceHistory:
    """State of one service that is kept between polls.

    Attributes
    ----------
    deviation : float
        Smoothed difference of its margin from the margin predicted for its job.
    """

    def __init__(self) -> None:
        self._poll_count = 0
        self._polled_at = timedelta(0)
        self._latency_ms = 0.0
        self.deviation = 0.0

    def add(self, observation: Observation, now: timedelta) -> MeasuredMargin | None:
        """Add a poll; return the margin, None shortly after the service's start."""
        self._poll_count += 1
        measured = self._measure(observation, now)
        self._polled_at, self._latency_ms = now, observation.latency_ms
        return None if self._poll_count <= _WARM_UP_POLLS else measured

    def add_residual(self, residual: float) -> None:
        """Add a difference of the margin from the one predicted for the job."""
        self.deviation += (residual - self.deviation) * (1.0 - _DEVIATION_SMOOTHING)

    def _measure(self, observation: Observation, now: timedelta) -> MeasuredMargin:
        """Return the margin, without the smoothing if the latency has dropped."""
        latency = observation.latency_ms
        unsmoothing = 0.0
        if self._latency_ms > latency * _MIN_LATENCY_DROP:
            retained = _retained_share(now - self._polled_at)
            unsmoothed = (latency - retained * self._latency_ms) / max(
                1.0 - retained, 0.1
            )
            latency = max(unsmoothed, _MIN_UNSMOOTHED * latency)
            unsmoothing = _UNSMOOTHING_NOISE
        margin = min(observation.target_ms / latency, MAX_MARGIN)
        rounding = margin * _ROUNDING_MS / latency
        noise = math.hypot(_MARGIN_NOISE, rounding, unsmoothing)
        return MeasuredMargin(margin=margin, noise=noise)


class SmoothedUsage:
    """Usage of fillers by image, smoothed like the latencies of services.

    Attributes
    ----------
    share_by_image : dict
        Smoothed share of the worker's processors that fillers of each image use.
    """

    def __init__(self) -> None:
        self.share_by_image: dict[str, float] = {}

    def update(self, span: timedelta, share_by_image: Mapping[str, float]) -> None:
        """Add the shares of a poll that is `span` after the previous one."""
        retained = _retained_share(span)
        smoothed_share_by_image: dict[str, float] = {}
        for image in {*self.share_by_image, *share_by_image}:
            before = self.share_by_image.get(image, 0.0)
            share = retained * before + (1.0 - retained) * share_by_image.get(
                image, 0.0
            )
            if share > _MIN_SHARE:
                smoothed_share_by_image[image] = share
        self.share_by_image = smoothed_share_by_image


def _retained_share(span: timedelta) -> float:
    """Return the share of a smoothed value that is left after `span`."""
    retained: float = _SMOOTHING ** (span / _HALF_SECOND)
    return retained
