"""Relocation of runs: to faster workers, away from draining ones, and together.

A relocated run is stopped, and the next plan starts its task again elsewhere, from its
checkpoint if it has one.
"""

from __future__ import annotations

from datetime import timedelta

from coltsfoottray.clock import as_duration
from coltsfoottray.logs import log_event
from coltsfoottray.scheduler.cluster_state import ClusterState
from coltsfoottray.scheduler.eligibility import is_schedulable
from coltsfoottray.scheduler.fleet import Worker
from coltsfoottray.scheduler.packing import choose_moves, is_fully_running
from coltsfoottray.scheduler.placed_run import PlacedRun
from coltsfoottray.scheduler.places import PlaceFinder
from coltsfoottray.scheduler.worker_selection import find_faster

__all__ = ["Relocator"]

# From this progress on, extrapolation predicts a task's end better than its estimate.
_MIN_PREDICTIVE_PERCENT = 10.0

# A run predicted to end only just before its worker leaves counts as too late.
_SAFETY_FACTOR = 1.2

# Two moves per second are far more than the rate at which fillers become slow.
_REBALANCE_PERIOD = timedelta(milliseconds=500)

# A moved service is running again within a second.
_PACKING_PERIOD = timedelta(seconds=1)

# Younger runs are not moved: learning an image's pressure takes two polls.
_SETTLING_TIME = timedelta(seconds=1.5)

# A move without a checkpoint discards the work; beyond this progress it costs too much.
_MAX_MOVABLE_PERCENT = 15.0


class Relocator:
    """Decides which runs to stop so that they continue on another worker."""

    def __init__(self, *, cluster: ClusterState) -> None:
        self._cluster = cluster
        self._fleet = cluster.fleet
        self._places = PlaceFinder(cluster=cluster)
        self._last_rebalance = timedelta(0)
        self._last_packing = timedelta(0)

    def rebalance(self, now: timedelta) -> None:
        """Move a slow filler to a worker on which it would run at full speed."""
        if now - self._last_rebalance < _REBALANCE_PERIOD:
            return
        self._last_rebalance = now
        movable = [
            placed for placed in self._fleet.placed_runs() if _is_movable(placed, now)
        ]
        for placed in movable:
            place = find_faster(
                placed,
                self._fleet,
                self._cluster.pressures,
                service=self._cluster.terms_of(placed.step.job).service,
                now=now,
            )
            if place is None:
                continue
            log_event(
                "decision:move",
                run=str(placed.ref),
                worker=placed.worker,
                to=place.id,
                percent=placed.percent,
            )
            self._stop_to_move(placed)
            # One move at a time: the place found may be full after it.
            return

    def pack_services(self, now: timedelta, *, is_wanted: bool) -> None:
        """Consolidate services while fillers wait for a worker without services.

        Parameters
        ----------
        is_wanted : bool
            Whether fillers wait.
        """
        if now - self._last_packing < _PACKING_PERIOD:
            return
        self._last_packing = now
        if not is_wanted:
            return
        services = {worker.service for worker in self._fleet.worker_by_id.values()}
        for service in sorted(services):
            workers = [
                worker
                for worker in self._fleet.worker_by_id.values()
                if is_schedulable(worker, service, now)
            ]
            for placed in choose_moves(workers):
                self._move_service(placed, now)

    def _move_service(self, placed: PlacedRun, now: timedelta) -> None:
        runs = [run for run in self._fleet.placed_runs() if run.step is placed.step]
        if not is_fully_running(runs) or not self._has_place_elsewhere(placed, now):
            return
        log_event("decision:pack", run=str(placed.ref), worker=placed.worker)
        self._stop_to_move(placed)

    def _has_place_elsewhere(self, placed: PlacedRun, now: timedelta) -> bool:
        """Return whether a run could restart beside services on another worker.

        Few workers may run a step that needs tickets: a stopped run would wait for one.
        """
        place = self._places.find(placed.step, now, avoid={placed.worker})
        return (
            place is not None
            and place.id != placed.worker
            and bool(place.service_images)
        )

    @staticmethod
    def _stop_to_move(placed: PlacedRun) -> None:
        """Stop a run so that it restarts on another worker."""
        placed.is_stopping = True
        avoided = placed.step.avoid_by_index.setdefault(placed.ref.task.index, set())
        avoided.add(placed.worker)

    def evacuate(self, now: timedelta) -> None:
        """Stop the runs that would not end before their draining worker leaves.

        A run stopped in time continues elsewhere, from its checkpoint if it has one;
        a run that is still there when the worker leaves is lost without a checkpoint.
        """
        for worker in self._fleet.worker_by_id.values():
            if not worker.is_draining or not worker.is_reachable:
                continue
            for placed in worker.held_by_ref.values():
                if placed.is_stopping or not placed.is_released:
                    continue
                if _ends_in_time(placed, worker, now):
                    continue
                if self._places.find(placed.step, now) is not None:
                    placed.is_stopping = True
                    log_event(
                        "decision:evacuate",
                        run=str(placed.ref),
                        worker=worker.id,
                        left_s=(worker.leaves_at - now).total_seconds(),
                        percent=placed.percent,
                    )


def _ends_in_time(placed: PlacedRun, worker: Worker, now: timedelta) -> bool:
    spec = placed.step.spec
    if spec.is_service:
        return False
    elapsed = now - placed.placed_at
    if placed.percent >= _MIN_PREDICTIVE_PERCENT:
        remaining = elapsed * (100.0 / placed.percent - 1.0)
    else:
        remaining = as_duration(spec.estimate_ms) - elapsed
    return now + remaining * _SAFETY_FACTOR < worker.leaves_at


def _is_movable(placed: PlacedRun, now: timedelta) -> bool:
    spec = placed.step.spec
    return (
        spec.is_filler
        and not spec.is_gang
        and placed.is_released
        and not placed.is_stopping
        and now - placed.placed_at > _SETTLING_TIME
        and (spec.has_checkpoints or placed.percent < _MAX_MOVABLE_PERCENT)
    )
