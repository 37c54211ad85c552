"""What a worker's resources are committed to."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta

from coltsfoottray.types import Resources, TaskId

__all__ = ["CapacityLedger", "Reservation"]


@dataclass(kw_only=True)
class Reservation:
    """Room held by one attempt of a task.

    Parameters
    ----------
    made_at : timedelta
        When it was made or, once started, last checkpointed (monotonic).
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
    """Keeps the sum of what is committed within the worker's capacity.

    There is one ledger for each worker and everything that starts there passes
    it, so several entries placing at once by stale views cannot overcommit.
    """

    def __init__(self, *, capacity: Resources) -> None:
        self.capacity = capacity
        self.reservation_by_task: dict[TaskId, Reservation] = {}
        self._stopped_attempt_by_task: dict[TaskId, int] = {}

    @property
    def committed(self) -> Resources:
        """The sum over attempts that have not ended."""
        return Resources.total(
            [
                reservation.demand
                for reservation in self.reservation_by_task.values()
                if reservation.exit_code is None
            ]
        )

    def reserve(self, reservation: Reservation) -> bool:
        """Hold room; True also if this attempt holds it already."""
        held = self.reservation_by_task.get(reservation.task)
        if held is not None:
            return held.attempt == reservation.attempt
        room = self.capacity - self.committed
        if not reservation.demand.fits_in(room):
            return False
        self.reservation_by_task[reservation.task] = reservation
        return True

    def is_stopped(self, task: TaskId, attempt: int) -> bool:
        """Whether `attempt` was ended here for good."""
        return attempt <= self._stopped_attempt_by_task.get(task, -1)

    def stop(self, task: TaskId, attempt: int) -> None:
        """Free the room; no attempt up to this one starts here any more.

        A start that was sent before the stop can arrive after it.
        """
        before = self._stopped_attempt_by_task.get(task, -1)
        self._stopped_attempt_by_task[task] = max(before, attempt)
        self.drop(task, attempt)

    def drop(self, task: TaskId, attempt: int) -> None:
        """Free the room if it is still this attempt's."""
        held = self.reservation_by_task.get(task)
        if held is not None and held.attempt == attempt:
            del self.reservation_by_task[task]

    def clear(self) -> None:
        """Forget everything, at the start of a new term."""
        self.reservation_by_task.clear()
        self._stopped_attempt_by_task.clear()
