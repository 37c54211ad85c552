"""How fast filling tasks may work beside services with a latency target.

Answers the load at which fillers disturb a service: its tail latency is known only
as a rough figure of the last half second, and both sides change within seconds.
Each filler is let work as far as what is known of its pressure leaves the services
a margin; a service that is over its target all the same slows all that press on
it by half at each look, and before it has been so for long, everything.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from datetime import timedelta

from coltsfoottray.agent.learning import Observation, PressureLearner
from coltsfoottray.agent.pressure import MAX_LIGHT_PRESSURE, ServiceMargin
from coltsfoottray.jobs.model import RunRef
from coltsfoottray.logs import log_event

__all__ = ["FULL_SPEED", "SAFETY_MARGIN", "FillerRun", "Pacer", "is_worth_an_order"]

FULL_SPEED = 100

# The margin that services keep: what is expected of one is never quite right.
SAFETY_MARGIN = 1.4
# What light fillers leave to a service that has been over its target, until its load
# has fallen: several of them, each too weak to be noticed, take a whole margin together
# at a peak of the load.
_LEAST_MARGIN = 1.1
# How many standard deviations a filler is slowed beyond what is thought of it: more
# leaves builds next to nothing, less lets them push services over their targets.
_CAUTION = 0.4
# Fillers are stopped altogether once a service has been over its target for so
# long: the users allow 4 s, of which a look and an order take up to 0.7 s.
_PATIENCE = timedelta(seconds=2)
# Nobody learns anything of a filler that stands still, and it never ends.
_CRAWL = 2


@dataclass(frozen=True, kw_only=True)
class FillerRun:
    """A filling run and the part of the worker that it uses at full speed."""

    ref: RunRef
    image: str
    share: float


class Pacer:
    """Sets the speed, in percent, of each filler on one worker."""

    def __init__(self, *, learner: PressureLearner) -> None:
        self._learner = learner
        self._over_since_by_service: dict[str, timedelta] = {}
        self._percent_by_image: dict[str, int] = {}
        # Services for whose sake light fillers are slowed as well.
        self._pressed: set[str] = set()

    def adjust(
        self,
        observations: Sequence[Observation],
        fillers: Sequence[FillerRun],
        now: timedelta,
        *,
        available_share: float,
    ) -> dict[RunRef, int]:
        """Return the speed of each filler from now on.

        Parameters
        ----------
        left : float
            The part of the worker that is left to fillers: together they press no
            more than that lets them.
        """
        self._note_over(observations, now)
        self._pressed &= {each.service for each in observations}
        wanted = sum(filler.share for filler in fillers)
        scale = min(1.0, available_share / wanted) if wanted > 0 else 1.0
        full_by_image: dict[str, float] = {}
        for filler in fillers:
            share = full_by_image.get(filler.image, 0.0)
            full_by_image[filler.image] = share + filler.share * scale
        percent_by_image = dict.fromkeys(full_by_image, FULL_SPEED)
        for observation in observations:
            allowed = self._allow(observation, full_by_image)
            for image, percent in allowed.items():
                percent_by_image[image] = min(percent_by_image[image], percent)
        if any(
            now - since > _PATIENCE for since in self._over_since_by_service.values()
        ):
            percent_by_image = dict.fromkeys(full_by_image, 0)
        self._percent_by_image = percent_by_image
        return {filler.ref: percent_by_image[filler.image] for filler in fillers}

    def margins(self, observations: Sequence[Observation]) -> dict[str, ServiceMargin]:
        """Return by service image the least margins without fillers."""
        margin_by_image: dict[str, ServiceMargin] = {}
        for each in observations:
            now = self._learner.undisturbed_margin(each)
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

    def _note_over(self, observations: Sequence[Observation], now: timedelta) -> None:
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
        self, observation: Observation, full_by_image: dict[str, float]
    ) -> dict[str, int]:
        """Return how fast each filler image may work for one service's sake."""
        light_by_image: dict[str, float] = {}
        heavy_by_image: dict[str, float] = {}
        for image, share in full_by_image.items():
            pressure = self._learner.pressure(image, observation.image)
            upper_bound = pressure.upper_bound(_CAUTION)
            if upper_bound < MAX_LIGHT_PRESSURE:
                light_by_image[image] = upper_bound * share
            else:
                heavy_by_image[image] = upper_bound * share
        margin = self._learner.undisturbed_margin(observation)
        light = sum(light_by_image.values())
        light_percent = self._percent_of_light(observation, light, margin)
        allowed = dict.fromkeys(light_by_image, light_percent)
        heavy = sum(heavy_by_image.values())
        percent = _percent(heavy, margin - SAFETY_MARGIN - light)
        for image in heavy_by_image:
            allowed[image] = percent
            if observation.margin <= 1.0:
                before = self._percent_by_image.get(image, FULL_SPEED)
                allowed[image] = min(percent, max(before // 2, _CRAWL))
        return allowed

    def _percent_of_light(
        self, observation: Observation, light: float, margin: float
    ) -> int:
        """Return how fast light fillers may work for one service's sake.

        Full speed, until the service has been seen over its target: what is expected
        is not sure enough to slow fillers that seem harmless.
        """
        percent = _percent(light, margin - _LEAST_MARGIN)
        if observation.margin <= 1.0:
            self._pressed.add(observation.service)
        elif percent == FULL_SPEED:
            self._pressed.discard(observation.service)
        return percent if observation.service in self._pressed else FULL_SPEED


def _percent(wanted: float, spare: float) -> int:
    """Return the speed, in percent, that takes no more of a margin than is to spare."""
    spare = max(spare, 0.0)
    if wanted <= spare:
        return FULL_SPEED
    return max(int(spare / wanted * FULL_SPEED), _CRAWL)


def is_worth_an_order(before: int, percent: int) -> bool:
    """Whether a change of speed matters: it stops, restores, or is by a tenth."""
    if percent in (0, FULL_SPEED) or before == 0:
        return percent != before
    return abs(percent - before) * 10 >= before
