"""Speed limits of fillers beside services with a latency target.

Fillers disturb services, whose tail latency is known only as a rough figure of the last
half second, and the load of both changes within seconds. Each filler is limited so that
its estimated pressure leaves the services a safety margin. While a service exceeds its
target, the speed limits of its heavy fillers are halved at each poll, and after a short
time all fillers are stopped.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping, Sequence
from datetime import timedelta

from coltsfoottray.agent.learning import Observation, PressureLearner
from coltsfoottray.agent.pressure import MAX_LIGHT_PRESSURE, ServiceMargin
from coltsfoottray.agent.ranked_speeds import (
    FULL_SPEED,
    MIN_PERCENT,
    FillerRun,
    ServiceBudget,
    affordable_percent,
    rank_speeds,
)
from coltsfoottray.jobs.model import RunRef
from coltsfoottray.logs import log_event

__all__ = ["FULL_SPEED", "SAFETY_MARGIN", "FillerRun", "Pacer", "is_significant_change"]

# Margin left to services, because predicted margins have errors.
SAFETY_MARGIN = 1.4
# Margin that light fillers leave to a service that has exceeded its target, until its
# load has fallen. Several of them, each too light to be noticed, can together use up
# the whole margin at a load peak.
_MIN_MARGIN = 1.1
# Standard deviations added to the estimated pressure. A higher value leaves builds
# hardly any speed, a lower one lets them push services over their targets.
_CAUTION = 0.4
# Fillers are stopped when a service has exceeded its target for this long. Users allow
# 4 s, of which a poll and an order take up to 0.7 s.
_MAX_OVERRUN = timedelta(seconds=2)


class Pacer:
    """Sets the speed limits of the fillers on one worker."""

    def __init__(self, *, learner: PressureLearner) -> None:
        self._learner = learner
        self._over_since_by_service: dict[str, timedelta] = {}
        self._percent_by_image: dict[str, int] = {}
        self._percent_by_ref: dict[RunRef, int] = {}
        # Services that have exceeded their target, for which light fillers are slowed.
        self._protected_services: set[str] = set()

    def adjust(
        self,
        observations: Sequence[Observation],
        fillers: Sequence[FillerRun],
        now: timedelta,
        *,
        available_share: float,
    ) -> dict[RunRef, int]:
        """Return the new speed limit of each filler in percent.

        Parameters
        ----------
        available_share : float
            Share of the worker's processors that other tasks leave. Fillers together
            cannot use more, which limits the pressure they can exert.
        """
        self._record_overruns(observations, now)
        self._protected_services &= {each.service for each in observations}
        demand = sum(filler.share for filler in fillers)
        scale = min(1.0, available_share / demand) if demand > 0 else 1.0
        share_by_image: dict[str, float] = {}
        for filler in fillers:
            share = share_by_image.get(filler.image, 0.0)
            share_by_image[filler.image] = share + filler.share * scale
        if any(filler.is_ranked for filler in fillers):
            percent_by_ref = rank_speeds(
                fillers,
                [self._budget(each, share_by_image) for each in observations],
                self._percent_by_ref,
                available_share=available_share,
            )
            self._percent_by_image = _highest_by_image(fillers, percent_by_ref)
        else:
            self._percent_by_image = self._adjust_images(observations, share_by_image)
            percent_by_ref = {
                filler.ref: self._percent_by_image[filler.image] for filler in fillers
            }
        if any(
            now - since > _MAX_OVERRUN for since in self._over_since_by_service.values()
        ):
            self._percent_by_image = dict.fromkeys(share_by_image, 0)
            percent_by_ref = dict.fromkeys(percent_by_ref, 0)
        self._percent_by_ref = percent_by_ref
        return percent_by_ref

    def _adjust_images(
        self,
        observations: Sequence[Observation],
        share_by_image: Mapping[str, float],
    ) -> dict[str, int]:
        """Return the new speed limit in percent of the fillers of each image."""
        percent_by_image = dict.fromkeys(share_by_image, FULL_SPEED)
        for observation in observations:
            allowed = self._allow(observation, share_by_image)
            for image, percent in allowed.items():
                percent_by_image[image] = min(percent_by_image[image], percent)
        return percent_by_image

    def _budget(
        self, observation: Observation, share_by_image: Mapping[str, float]
    ) -> ServiceBudget:
        """Return what the fillers on the worker may use of a service's margin."""
        light_by_image, heavy_by_image = self._pressures_on(observation, share_by_image)
        light = sum(
            pressure * share_by_image[image]
            for image, pressure in light_by_image.items()
        )
        margin = self._learner.undisturbed_margin(observation)
        light_percent = affordable_percent(light, margin - _MIN_MARGIN)
        is_protected = self._update_protection(observation, light_percent)
        return ServiceBudget(
            heavy_by_image=heavy_by_image,
            light_by_image=light_by_image,
            spare=margin - SAFETY_MARGIN - light,
            light_spare=margin - _MIN_MARGIN if is_protected else math.inf,
            is_over=observation.margin <= 1.0,
        )

    def _pressures_on(
        self, observation: Observation, images: Iterable[str]
    ) -> tuple[dict[str, float], dict[str, float]]:
        """Return the cautious pressures on a service of light and of heavy images."""
        light_by_image: dict[str, float] = {}
        heavy_by_image: dict[str, float] = {}
        for image in images:
            pressure = self._learner.pressure(image, observation.image)
            upper_bound = pressure.upper_bound(_CAUTION)
            if upper_bound < MAX_LIGHT_PRESSURE:
                light_by_image[image] = upper_bound
            else:
                heavy_by_image[image] = upper_bound
        return light_by_image, heavy_by_image

    def margins(self, observations: Sequence[Observation]) -> dict[str, ServiceMargin]:
        """Return the smallest margins without fillers, by service image."""
        margin_by_image: dict[str, ServiceMargin] = {}
        for each in observations:
            now = self._learner.margin_at_start(each)
            usual = self._learner.usual_margin(each)
            least = self._learner.least_margin(each)
            other = margin_by_image.get(each.image)
            if other is not None:
                now, usual = min(now, other.now), min(usual, other.usual)
                least = min(least, other.least)
            margin_by_image[each.image] = ServiceMargin(
                now=round(now, 2), usual=round(usual, 2), least=round(least, 2)
            )
        return margin_by_image

    def _record_overruns(
        self, observations: Sequence[Observation], now: timedelta
    ) -> None:
        over = {each.service for each in observations if each.margin <= 1.0}
        for each in observations:
            if each.margin <= 1.0 and each.service not in self._over_since_by_service:
                log_event(
                    "service:over-target",
                    run=each.service,
                    image=each.image,
                    latency_ms=each.latency_ms,
                    target_ms=each.target_ms,
                    undisturbed=round(self._learner.undisturbed_margin(each), 2),
                    fillers={
                        image: [
                            percent,
                            round(self._learner.pressure(image, each.image).value, 1),
                        ]
                        for image, percent in self._percent_by_image.items()
                    },
                )
        self._over_since_by_service = {
            service: self._over_since_by_service.get(service, now) for service in over
        }

    def _allow(
        self, observation: Observation, share_by_image: Mapping[str, float]
    ) -> dict[str, int]:
        """Return the speed limit in percent of each filler image for one service."""
        light_by_image, heavy_by_image = self._pressures_on(observation, share_by_image)
        margin = self._learner.undisturbed_margin(observation)
        light = sum(
            pressure * share_by_image[image]
            for image, pressure in light_by_image.items()
        )
        light_percent = affordable_percent(light, margin - _MIN_MARGIN)
        if not self._update_protection(observation, light_percent):
            light_percent = FULL_SPEED
        allowed = dict.fromkeys(light_by_image, light_percent)
        heavy = sum(
            pressure * share_by_image[image]
            for image, pressure in heavy_by_image.items()
        )
        percent = affordable_percent(heavy, margin - SAFETY_MARGIN - light)
        for image in heavy_by_image:
            allowed[image] = percent
            if observation.margin <= 1.0:
                before = self._percent_by_image.get(image, FULL_SPEED)
                allowed[image] = min(percent, max(before // 2, MIN_PERCENT))
        return allowed

    def _update_protection(self, observation: Observation, light_percent: int) -> bool:
        """Return whether light fillers are slowed for a service.

        They work at full speed until it has exceeded its target: predicted margins are
        too uncertain to slow fillers that appear harmless.

        Parameters
        ----------
        light_percent : int
            Speed limit in percent that its margin allows them.
        """
        if observation.margin <= 1.0:
            self._protected_services.add(observation.service)
        elif light_percent == FULL_SPEED:
            self._protected_services.discard(observation.service)
        return observation.service in self._protected_services


def is_significant_change(before: int, percent: int) -> bool:
    """Whether the speed stops, resumes, becomes full or changes by at least a tenth."""
    if percent in (0, FULL_SPEED) or before == 0:
        return percent != before
    return abs(percent - before) * 10 >= before


def _highest_by_image(
    fillers: Iterable[FillerRun], percent_by_ref: Mapping[RunRef, int]
) -> dict[str, int]:
    """Return the highest speed limit of the fillers of each image."""
    highest: dict[str, int] = {}
    for filler in fillers:
        percent = percent_by_ref[filler.ref]
        highest[filler.image] = max(highest.get(filler.image, 0), percent)
    return highest
