"""The baseline policy: the first worker with room."""

from __future__ import annotations

from collections.abc import Sequence

from coltsfoottray.placement.common import (
    Placement,
    PlacementPolicy,
    WorkerView,
    register_policy,
)
from coltsfoottray.tasks.rows import TaskSpec

__all__ = ["FirstFit"]


class FirstFit(PlacementPolicy):
    """Chooses the first candidate with room, in the order given (that of ids)."""

    def choose(  # noqa: D102
        self, spec: TaskSpec, candidates: Sequence[WorkerView]
    ) -> Placement | None:
        for view in candidates:
            if spec.demand.fits_in(view.free):
                return Placement(worker=view.worker, reason="first fit", runners_up=[])
        return None


register_policy("first-fit", FirstFit)
