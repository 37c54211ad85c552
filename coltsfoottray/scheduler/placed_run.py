"""Runs placed on workers."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta

from coltsfoottray.jobs.model import RunRef
from coltsfoottray.scheduler.lengths import Progress
from coltsfoottray.scheduler.live_step import LiveStep
from coltsfoottray.types import Resources

__all__ = ["PlacedRun"]

_MILLI = 1000.0


@dataclass(kw_only=True, eq=False)
class PlacedRun:
    """A run that may exist on a worker.

    Parameters
    ----------
    is_released : bool
        Whether its assignment is stored, so that the start may be sent to the worker.
    is_stopping : bool
        Whether it is to be stopped; it occupies room until its end is known.
    ordered_session : int
        The session in which its start or stop was last ordered, 0 for none.
    is_rejected : bool
        Whether the attendant has rejected it in that session.
    is_settled : bool
        See `TaskRecord`. A settled run lasts no longer than the leases that the
        attendant issues.
    placed_at : timedelta
        When it was assigned, by the scheduler's clock.
    has_full_time : bool
        Whether it has run only since `placed_at`. A restored run began earlier.
    listed_at : timedelta, optional
        When a report last listed it as running, None for never.
    percent, figure : float
        Its last reported progress and usage; see `RunStatus`.
    """

    ref: RunRef
    step: LiveStep
    worker: str
    life: str
    placed_at: timedelta
    is_released: bool = False
    is_stopping: bool = False
    is_stop_sent: bool = False
    ordered_session: int = 0
    is_rejected: bool = False
    is_settled: bool = False
    has_full_time: bool = True
    listed_at: timedelta | None = None
    percent: float = 0.0
    figure: float = 0.0

    def __post_init__(self) -> None:
        self.progress = Progress(
            placed_at=self.placed_at, has_full_time=self.has_full_time
        )

    @property
    def speed(self) -> float:
        """Fraction of its full speed at which it runs, by the processors it uses."""
        requested = self.step.spec.demand.processors
        if not self.step.spec.is_filler or requested <= 0:
            return 1.0
        return min(self.figure / _MILLI / requested, 1.0)

    @property
    def is_deferred(self) -> bool:
        """Whether it is a filler that gives way to others, as its job is deferred."""
        return self.step.spec.is_filler and self.step.is_deferred

    def is_at_work(self, now: timedelta) -> bool:
        """Return whether a report has just listed the run as making progress."""
        return self.listed_at == now and self.percent > 0 and not self.is_stopping

    def mark_ordered(self, session: int) -> None:
        """Record that its start or stop is ordered; a later session asks anew."""
        if session != self.ordered_session:
            self.is_rejected = False
        self.ordered_session = session

    def update_status(self, percent: float, figure: float, now: timedelta) -> None:
        """Update the progress and usage of the run."""
        self.progress.update(percent, speed=self.speed, now=now)
        self.listed_at = now
        self.percent = percent
        self.figure = figure
        self._record_length(self.progress.length_ms())

    def settle(self) -> None:
        """Record that its incarnation has listed it and holds no foreign lease."""
        if self.is_settled:
            return
        self.is_settled = True
        record = self.step.records[self.ref.task.index]
        if record.run != self.ref.run:
            return
        record.is_settled = True
        record.life = self.life
        self.step.job.has_newly_settled = True

    def record_completion(self, now: timedelta) -> None:
        """Record that the run has completed."""
        self._record_length(self.progress.length_at_end(now, speed=self.speed))

    def _record_length(self, length_ms: float | None) -> None:
        if length_ms is not None and not self.step.spec.is_service:
            self.step.job.record_length(self.step.number, length_ms)

    @property
    def reserved(self) -> Resources:
        """Resources that the run reserves on its worker."""
        return self.step.spec.reserved
