"""Upper bounds of free capacity, which save examining workers for what cannot fit."""

from __future__ import annotations

import enum
from dataclasses import dataclass
from datetime import timedelta

from coltsfoottray.jobs.model import StepSpec
from coltsfoottray.scheduler.eligibility import has_label, is_present, is_usable
from coltsfoottray.scheduler.fleet import Fleet, Worker
from coltsfoottray.types import Resources

__all__ = ["FreeCapacityBounds"]


class _Access(enum.Enum):
    """Whether the workers of a pool may get tasks now."""

    OPEN = "open"
    EVACUATED = "evacuated"
    """Their data centre is evacuated."""
    UNHEALTHY = "unhealthy"
    """They are blocked or on probation."""


@dataclass(frozen=True, kw_only=True)
class _Pool:
    """The workers of a service with a label and the same access."""

    service: str
    label: str
    access: _Access
    may_probe: bool


class FreeCapacityBounds:
    """Upper bounds of the free capacity of any worker, by service and label.

    A task that needs more fits on no worker, which saves examining each of them. The
    bounds are valid for one round, during which free capacity only shrinks.
    """

    def __init__(self, *, fleet: Fleet, now: timedelta) -> None:
        self._fleet = fleet
        self._now = now
        self._max_free_by_pool: dict[_Pool, Resources | None] = {}

    def may_fit(self, spec: StepSpec, *, service: str) -> bool:
        """Return whether some worker may have room for a task of a step."""
        return self._may_fit_in(spec, service, _Access.OPEN)

    def may_fit_after_evacuation(self, spec: StepSpec, *, service: str) -> bool:
        """Return whether a worker in an evacuated data centre may have room for it."""
        return self._may_fit_in(spec, service, _Access.EVACUATED)

    def may_fit_once_healthy(self, spec: StepSpec, *, service: str) -> bool:
        """Return whether a blocked worker or one on probation may have room for it."""
        return self._may_fit_in(spec, service, _Access.UNHEALTHY)

    def _may_fit_in(self, spec: StepSpec, service: str, access: _Access) -> bool:
        pool = _Pool(
            service=service,
            label=spec.label,
            access=access,
            may_probe=spec.is_service,
        )
        if pool not in self._max_free_by_pool:
            self._max_free_by_pool[pool] = self._max_free(pool)
        max_free = self._max_free_by_pool[pool]
        return max_free is not None and spec.reserved.fits_in(max_free)

    def _access(self, worker: Worker, pool: _Pool) -> _Access:
        if not is_usable(worker, pool.service, self._now, may_probe=pool.may_probe):
            return _Access.UNHEALTHY
        return _Access.EVACUATED if worker.is_evacuated else _Access.OPEN

    def _max_free(self, pool: _Pool) -> Resources | None:
        rooms = [
            worker.room
            for worker in self._fleet.worker_by_id.values()
            if is_present(worker, pool.service, self._now)
            and self._access(worker, pool) is pool.access
            and has_label(worker, pool.label)
        ]
        if not rooms:
            return None
        return Resources(
            processors=max(room.processors for room in rooms),
            memory_gb=max(room.memory_gb for room in rooms),
            accelerators=max(room.accelerators for room in rooms),
        )
