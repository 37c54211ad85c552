"""Ledger of the resources of a worker that are committed to attempts."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta

from coltsfoottray.types import Resources, TaskId

__all__ = ["CapacityLedger", "Reservation"]


@dataclass(kw_only=True)
class Reservation:
    """Resources reserved for one attempt of a task.

    Parameters
    ----------
    made_at : timedelta
        Monotonic time of the reservation or, once started, of the last checkpoint.
    has_result : bool
        Whether the exit code is in the object store.
    """

    task: TaskId
    attempt: int
    demand: Resources
    made_at: timedelta
    is_started: bool = False
    exit_code: int | None = None
    ended_at: timedelta | None = None
    has_result: bool = False


class CapacityLedger:
    """Keeps the resources committed to attempts within the worker's capacity.

    Each worker has one ledger, in which every attempt that starts there is reserved.
    Entries that place tasks concurrently from stale views therefore cannot overcommit
    the worker.
    """

    def __init__(self, *, capacity: Resources) -> None:
        self.capacity = capacity
        self.reservation_by_task: dict[TaskId, Reservation] = {}
        self._stopped_attempt_by_task: dict[TaskId, int] = {}

    @property
    def committed(self) -> Resources:
        """Total resources of attempts that have not ended."""
        return Resources.total(
            [
                reservation.demand
                for reservation in self.reservation_by_task.values()
                if reservation.exit_code is None
            ]
        )

    def reserve(self, reservation: Reservation) -> bool:
        """Reserve resources; return True also if the attempt has a reservation."""
        held = self.reservation_by_task.get(reservation.task)
        if held is not None:
            return held.attempt == reservation.attempt
        room = self.capacity - self.committed
        if not reservation.demand.fits_in(room):
            return False
        self.reservation_by_task[reservation.task] = reservation
        return True

    def is_stopped(self, task: TaskId, attempt: int) -> bool:
        """Return whether `attempt` was stopped and can no longer start here."""
        return attempt <= self._stopped_attempt_by_task.get(task, -1)

    def stop(self, task: TaskId, attempt: int) -> None:
        """Release the reservation; no attempt up to this one can start here any more.

        This covers a start that was sent before the stop but arrives after it.
        """
        before = self._stopped_attempt_by_task.get(task, -1)
        self._stopped_attempt_by_task[task] = max(before, attempt)
        self.drop(task, attempt)

    def drop(self, task: TaskId, attempt: int) -> None:
        """Release the reservation of the task if it belongs to this attempt."""
        held = self.reservation_by_task.get(task)
        if held is not None and held.attempt == attempt:
            del self.reservation_by_task[task]
