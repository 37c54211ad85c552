"""Search for a worker for a task, by the terms of its queue and its tickets."""

from __future__ import annotations

from collections.abc import Collection
from datetime import timedelta

from coltsfoottray.scheduler.cluster_state import ClusterState
from coltsfoottray.scheduler.eligibility import is_schedulable
from coltsfoottray.scheduler.fleet import Fleet, Worker
from coltsfoottray.scheduler.live_step import LiveStep
from coltsfoottray.scheduler.worker_selection import (
    Strictness,
    can_host,
    choose_worker,
)

__all__ = ["PlaceFinder", "TicketedPlaces"]


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
        may_probe: bool = False,
    ) -> Worker | None:
        """Return the best worker for one task of `step`, None if there is none.

        Parameters
        ----------
        avoid : collection of str
            Ids of workers that are chosen only if there is no other.
        may_probe : bool
            Whether the task may probe a blocked worker if there is no other.
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
            may_probe=may_probe,
        )

    def allowed_lives(self, step: LiveStep, now: timedelta) -> set[str] | None:
        """Return the worker incarnations that may run a step, None if all may."""
        if self._cluster.terms_of(step.job).advice is None:
            return None
        return step.tickets.valid_lives(now)


class TicketedPlaces:
    """Tells which steps have a ticket that they can use now.

    Valid for one moment, in which the workers are examined once for each service.
    """

    def __init__(self, *, fleet: Fleet, now: timedelta) -> None:
        self._fleet = fleet
        self._now = now
        self._by_life_by_pool: dict[tuple[str, bool], dict[str, Worker]] = {}

    def has_any(self, step: LiveStep, *, service: str) -> bool:
        """Return whether a worker with a ticket may get a task of `step` now."""
        lives = step.tickets.valid_lives(self._now)
        if not lives:
            return False
        by_life = self._open_by_life(service, may_probe=step.spec.is_service)
        workers = [by_life[life] for life in lives if life in by_life]
        if step.spec.is_gang:
            # Whether a gang fits depends on all of its workers together.
            return bool(workers)
        return any(
            can_host(worker, step, room=worker.room, extra=0) for worker in workers
        )

    def _open_by_life(self, service: str, *, may_probe: bool) -> dict[str, Worker]:
        pool = (service, may_probe)
        if pool not in self._by_life_by_pool:
            self._by_life_by_pool[pool] = {
                worker.life: worker
                for worker in self._fleet.worker_by_id.values()
                if is_schedulable(worker, service, self._now, may_probe=may_probe)
            }
        return self._by_life_by_pool[pool]
