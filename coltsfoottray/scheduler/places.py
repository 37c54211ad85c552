"""Search for a worker for a task, by the terms of its queue and its tickets."""

from __future__ import annotations

from collections.abc import Collection
from datetime import timedelta

from coltsfoottray.scheduler.cluster_state import ClusterState
from coltsfoottray.scheduler.fleet import Worker
from coltsfoottray.scheduler.live import LiveStep
from coltsfoottray.scheduler.worker_selection import Strictness, choose_worker

__all__ = ["PlaceFinder"]


class PlaceFinder:
    """Finds workers for tasks in the cluster state."""

    def __init__(self, *, cluster: ClusterState) -> None:
        self._cluster = cluster

    def find(
        self,
        step: LiveStep,
        now: timedelta,
        *,
        avoid: Collection[str] = (),
        strictness: Strictness = Strictness.WHOLE,
    ) -> Worker | None:
        """Return the best worker for one task of `step`, None if there is none.

        Parameters
        ----------
        avoid : collection of str
            Ids of workers that are chosen only if there is no other.
        """
        return choose_worker(
            step,
            self._cluster.fleet,
            self._cluster.pressures,
            service=self._cluster.terms_of(step.job).service,
            now=now,
            avoid=avoid,
            allowed=self.allowed_lives(step, now),
            strictness=strictness,
        )

    def allowed_lives(self, step: LiveStep, now: timedelta) -> set[str] | None:
        """Return the worker incarnations that may run a step, None if all may."""
        if self._cluster.terms_of(step.job).advice is None:
            return None
        return step.valid_lives(now)
