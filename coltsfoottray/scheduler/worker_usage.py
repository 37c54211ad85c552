"""What the runs on one worker reserve and are expected to use."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable

from coltsfoottray.agent.pressure import SERVICE_USAGE
from coltsfoottray.scheduler.placed_run import PlacedRun
from coltsfoottray.types import Resources

__all__ = ["WorkerUsage"]

# Share of its request by which a slowed filler may speed up until the next poll.
_FILLER_HEADROOM = 0.15
_MILLI = 1000.0


class WorkerUsage:
    """Sums over the runs that a worker holds, in the order in which it got them.

    A run is added to them in constant time: a worker may hold thousands of small ones.
    If one is removed, the sums are made anew, since differences would accumulate
    rounding errors.

    Parameters
    ----------
    processors : float
        Capacity of the worker.
    """

    def __init__(self, *, held: Iterable[PlacedRun], processors: float) -> None:
        self.reserved = Resources()
        self.busy_processors = 0.0
        self.service_images: list[str] = []
        self.filler_share_by_image: defaultdict[str, float] = defaultdict(float)
        # The part of the usage that is that of deferred fillers.
        self.deferred_processors = 0.0
        self.deferred_share_by_image: defaultdict[str, float] = defaultdict(float)
        self._processors = processors
        for placed in held:
            self.add(placed)

    def share_of(self, processors: float) -> float:
        """Return `processors` as a fraction of the worker's capacity."""
        return processors / max(self._processors, 1e-9)

    def add(self, placed: PlacedRun) -> None:
        """Add a run."""
        spec = placed.step.spec
        usage = _expected_usage(placed)
        self.reserved = self.reserved + placed.reserved
        self.busy_processors += usage
        if spec.target_latency_ms and spec.image not in self.service_images:
            self.service_images = sorted([*self.service_images, spec.image])
        if not spec.is_filler:
            return
        share = self.share_of(spec.demand.processors)
        self.filler_share_by_image[spec.image] += share
        if placed.is_deferred:
            self.deferred_share_by_image[spec.image] += share
            self.deferred_processors += usage


def _expected_usage(placed: PlacedRun) -> float:
    """Return the processors that a run is expected to use.

    For a filler this is its recent usage with some headroom: a filler that is slowed
    down for a service leaves the rest to other runs.
    """
    spec = placed.step.spec
    requested = spec.demand.processors
    if spec.target_latency_ms:
        return requested * SERVICE_USAGE
    if spec.is_filler and placed.figure > 0:
        return min(requested, placed.figure / _MILLI + requested * _FILLER_HEADROOM)
    return requested
