"""Speed limits of fillers on one worker by the urgency of their jobs.

Load pattern: fillers of several jobs press on the same services, which tolerate only
some of them at full speed. If all were slowed alike, most steps would have a task that
is slowed, and their jobs would end late. The fillers that must end first work at full
speed instead, and the others get what is left: a job that is far from its deadline
loses nothing by it. The order does not depend on the progress of runs, so that two
fillers do not take turns in being slowed.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from datetime import timedelta

from coltsfoottray.jobs.model import RunRef

__all__ = [
    "FULL_SPEED",
    "MIN_PERCENT",
    "FillerRun",
    "ServiceBudget",
    "affordable_percent",
    "rank_speeds",
]

FULL_SPEED = 100
MIN_PERCENT = 2
"""A stopped filler never ends, and its pressure cannot be learned."""

# Services use less than their reservation at times. A limit at the usual rest would
# then leave processors idle.
_PROCESSOR_OVERCOMMIT = 1.25
_NO_DEADLINE = timedelta(days=1_000_000)


@dataclass(frozen=True, kw_only=True)
class FillerRun:
    """Run of a filler.

    Parameters
    ----------
    share : float
        Fraction of the worker's processors that it uses at full speed.
    end_by : timedelta, optional
        When it must end for its job to be on time, by the attendant's steady clock;
        None if its job cannot be late.
    is_late : bool
        Whether its job is late whatever its speed.
    is_deferred : bool
        Whether its job is deferred, so that it gets what the other fillers leave.
    """

    ref: RunRef
    image: str
    share: float
    end_by: timedelta | None = None
    is_late: bool = False
    is_deferred: bool = False

    @property
    def is_ranked(self) -> bool:
        """Whether its urgency is known."""
        return self.end_by is not None or self.is_deferred

    @property
    def is_ranked_last(self) -> bool:
        """Whether it gets only what fillers leave whose jobs can be on time."""
        return self.is_deferred or self.is_late

    @property
    def rank(self) -> tuple[bool, timedelta, RunRef]:
        """Sort key; the smallest is slowed last."""
        end_by = _NO_DEADLINE if self.end_by is None else self.end_by
        if self.is_ranked_last:
            # The one that is least late is the most likely to be on time after all.
            return True, -end_by, self.ref
        return False, end_by, self.ref


@dataclass(kw_only=True)
class ServiceBudget:
    """Margin of one service that fillers may use up.

    Parameters
    ----------
    heavy_by_image, light_by_image : mapping
        Pressures of the images on it; those of light images are low.
    spare : float
        Margin that is left to heavy fillers: the target divided by the latency, less
        what the service keeps.
    light_spare : float
        Margin that is left to light fillers, infinite if they are not limited for it.
    is_over : bool
        Whether it exceeds its target.
    """

    heavy_by_image: Mapping[str, float]
    light_by_image: Mapping[str, float]
    spare: float
    light_spare: float
    is_over: bool
    used: float = field(default=0.0, init=False)
    light_used: float = field(default=0.0, init=False)

    def allowed_percent(self, filler: FillerRun, before: int) -> int:
        """Return the speed limit in percent of the next filler for this service.

        Parameters
        ----------
        before : int
            Its speed limit so far, which is halved while the service is over target.
        """
        light = self.light_by_image.get(filler.image)
        if light is not None:
            spare = self.light_spare - self.light_used
            return affordable_percent(light * filler.share, spare)
        heavy = self.heavy_by_image.get(filler.image, 0.0)
        percent = affordable_percent(heavy * filler.share, self.spare - self.used)
        if not self.is_over or heavy <= 0:
            return percent
        if filler.is_ranked_last:
            return MIN_PERCENT
        return min(percent, max(before // 2, MIN_PERCENT))

    def spend(self, filler: FillerRun, percent: int) -> None:
        """Use up the margin that a filler takes at a speed limit."""
        share = filler.share * percent / FULL_SPEED
        self.light_used += self.light_by_image.get(filler.image, 0.0) * share
        self.used += self.heavy_by_image.get(filler.image, 0.0) * share


def rank_speeds(
    fillers: Iterable[FillerRun],
    budgets: Sequence[ServiceBudget],
    before_by_ref: Mapping[RunRef, int],
    *,
    available_share: float,
) -> dict[RunRef, int]:
    """Return the speed limit of each filler in percent, the most urgent first.

    Parameters
    ----------
    budgets : sequence of ServiceBudget
        What each service on the worker tolerates; used up by the call.
    before_by_ref : mapping
        The speed limits so far.
    available_share : float
        Share of the worker's processors that other tasks usually leave.
    """
    processors_left = available_share * _PROCESSOR_OVERCOMMIT
    percent_by_ref: dict[RunRef, int] = {}
    for filler in sorted(fillers, key=lambda each: each.rank):
        before = before_by_ref.get(filler.ref, FULL_SPEED)
        percent = min(
            (budget.allowed_percent(filler, before) for budget in budgets),
            default=FULL_SPEED,
        )
        percent = min(percent, affordable_percent(filler.share, processors_left))
        processors_left -= filler.share * percent / FULL_SPEED
        for budget in budgets:
            budget.spend(filler, percent)
        percent_by_ref[filler.ref] = percent
    return percent_by_ref


def affordable_percent(demand: float, spare: float) -> int:
    """Return the percentage of `demand` that fits in `spare`, at least a minimum."""
    spare = max(spare, 0.0)
    if demand <= spare:
        return FULL_SPEED
    return max(int(spare / demand * FULL_SPEED), MIN_PERCENT)
