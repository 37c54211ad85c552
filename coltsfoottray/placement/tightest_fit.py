"""Tightest fit, spread over racks, away from pairs that slow each other down."""

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

# How much a slowdown of 1 (twice the time) counts against a whole free worker.
SLOWDOWN_WEIGHT = 4.0
# How much one more task in the rack counts against a whole free worker.
RACK_WEIGHT = 0.02
_AVERAGE_WEIGHT = 0.2
_MAX_RUNNERS_UP = 3


class TightestFit(PlacementPolicy):
    """Takes the worker with the lowest cost.

    The cost is the part of the worker left free, plus the expected slowdown of
    the pairs the task would form, plus a little for each task in the rack.
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
        self, kind: Kind, beside: Sequence[Kind], slowdown: float
    ) -> None:
        excess = max(0.0, slowdown - 1.0)
        for other in set(beside):
            pair = frozenset((kind, other))
            before = self._slowdown_by_pair.get(pair, 0.0)
            self._slowdown_by_pair[pair] = before + _AVERAGE_WEIGHT * (excess - before)

    def _cost(self, spec: TaskSpec, view: WorkerView) -> float:
        left = _free_part(view.free - spec.demand, view.capacity)
        slowdown = sum(
            self._slowdown_by_pair.get(frozenset((spec.kind, other)), 0.0)
            for other in view.kinds
        )
        return left + SLOWDOWN_WEIGHT * slowdown + RACK_WEIGHT * view.tasks_in_rack


def _free_part(free: Resources, capacity: Resources) -> float:
    """Return the mean free part over the dimensions the worker has."""
    parts = [free.processors / capacity.processors, free.memory_gb / capacity.memory_gb]
    if capacity.accelerators:
        parts.append(free.accelerators / capacity.accelerators)
    return sum(parts) / len(parts)


register_policy("tightest-fit", TightestFit)
