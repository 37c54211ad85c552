"""Tightest fit, spread over racks, avoiding pairs that slow each other down."""

from __future__ import annotations

from collections.abc import Sequence

from coltsfoottray.explain import RunnerUp
from coltsfoottray.placement.common import (
    Placement,
    PlacementPolicy,
    WorkerView,
    register_policy,
)
from coltsfoottray.tasks.rows import TaskSpec
from coltsfoottray.types import Kind, Resources

__all__ = ["TightestFit"]

# The cost of an excess slowdown of 1 (twice the run time); a fully free worker costs 1.
SLOWDOWN_WEIGHT = 4.0
# The cost of each other task in the rack, on the same scale.
RACK_WEIGHT = 0.02
_SLOWDOWN_SMOOTHING_FACTOR = 0.2
_MAX_RUNNERS_UP = 3


class TightestFit(PlacementPolicy):
    """Chooses the worker with the lowest cost.

    The cost is the share of the worker that stays free, plus the weighted
    slowdown expected of the pairs that the task would form, plus a small cost
    for each task in the rack.
    """

    def __init__(self) -> None:
        self._slowdown_by_pair: dict[frozenset[Kind], float] = {}

    def choose(  # noqa: D102
        self, spec: TaskSpec, candidates: Sequence[WorkerView]
    ) -> Placement | None:
        fitting = [view for view in candidates if spec.demand.fits_in(view.free)]
        if not fitting:
            return None
        ranked = sorted(fitting, key=lambda view: (self._cost(spec, view), view.worker))
        best = ranked[0]
        return Placement(
            worker=best.worker,
            reason=f"cost {self._cost(spec, best):.3f}",
            runners_up=[
                RunnerUp(name=v.worker, why_not=f"cost {self._cost(spec, v):.3f}")
                for v in ranked[1 : 1 + _MAX_RUNNERS_UP]
            ],
        )

    def record_slowdown(  # noqa: D102
        self, kind: Kind, colocated: Sequence[Kind], slowdown: float
    ) -> None:
        excess = max(0.0, slowdown - 1.0)
        for other in set(colocated):
            pair = frozenset((kind, other))
            previous = self._slowdown_by_pair.get(pair, 0.0)
            self._slowdown_by_pair[pair] = previous + _SLOWDOWN_SMOOTHING_FACTOR * (
                excess - previous
            )

    def _cost(self, spec: TaskSpec, view: WorkerView) -> float:
        free_share = _mean_free_share(view.free - spec.demand, view.capacity)
        slowdown = sum(
            self._slowdown_by_pair.get(frozenset((spec.kind, other)), 0.0)
            for other in view.kinds
        )
        return (
            free_share + SLOWDOWN_WEIGHT * slowdown + RACK_WEIGHT * view.tasks_in_rack
        )


def _mean_free_share(free: Resources, capacity: Resources) -> float:
    """Return the mean free share of the resources that the worker has."""
    shares = [
        free.processors / capacity.processors,
        free.memory_gb / capacity.memory_gb,
    ]
    if capacity.accelerators:
        shares.append(free.accelerators / capacity.accelerators)
    return sum(shares) / len(shares)


register_policy("tightest-fit", TightestFit)
