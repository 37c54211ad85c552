"""Control of the speeds of fillers on one worker."""

from __future__ import annotations

from collections.abc import Mapping
from datetime import timedelta
from typing import TypeVar

import trio

from coltsfoottray.agent.learning import Observation, PressureLearner
from coltsfoottray.agent.pacing import (
    FillerRun,
    Pacer,
    is_significant_change,
)
from coltsfoottray.agent.pressure import SERVICE_USAGE, Pressure, ServiceMargin
from coltsfoottray.agent.runs import Runs
from coltsfoottray.agent.worker import Heartbeat, WorkerLink, WorkerReplaced
from coltsfoottray.clock import Clock, as_duration
from coltsfoottray.errors import CommunicationError
from coltsfoottray.jobs.model import RunRef
from coltsfoottray.logs import log_event
from coltsfoottray.scheduler.messages import StartOrder

__all__ = ["SpeedController"]

_MILLI = 1000.0
_FULL_PERCENT = 100.0
# Tasks of a step differ in length by about this fraction.
_MAX_LENGTH_ERROR = 0.3
# A worker may carry out a call that it has not answered this long after it was sent.
_MAX_CALL_DELAY = timedelta(seconds=15)

_Value = TypeVar("_Value")


class SpeedController:
    """Updates the learner after each poll and applies the speed limits of the pacer.

    Parameters
    ----------
    link : WorkerLink
        Link to the worker.

    Attributes
    ----------
    percent_by_ref : dict
        Speed limits in percent that the worker has confirmed. A run that is not in it
        may have a limit that a former attendant has set.
    margin_by_image : dict
        Margins without fillers, by service image.
    """

    def __init__(self, *, link: WorkerLink, clock: Clock) -> None:
        self._link = link
        self._clock = clock
        self._learner = PressureLearner()
        self._pacer = Pacer(learner=self._learner)
        self._observations: list[Observation] = []
        self.percent_by_ref: dict[RunRef, int] = {}
        # Until when a limit whose call was not answered may still be applied.
        self._unsettled_until_by_ref: dict[RunRef, timedelta] = {}
        # Runs with a call in progress. Of two calls for one run, the worker may apply
        # the older one last and answer it first.
        self._pending: set[RunRef] = set()
        self.margin_by_image: dict[str, ServiceMargin] = {}

    def reset(self) -> None:
        """Discard the speed limits, which a new incarnation does not know."""
        self.percent_by_ref = {}
        self._unsettled_until_by_ref = {}
        self._observations = []

    def pressures(self) -> list[Pressure]:
        """Return the pressures learned on this worker."""
        return self._learner.local_pressures()

    def update_shared_pressures(self, pressures: list[Pressure]) -> None:
        """Update the pressures that all workers together have learned."""
        self._learner.update_shared_pressures(pressures)

    @property
    def has_services(self) -> bool:
        """Whether the last poll showed services with a latency target."""
        return bool(self._observations)

    async def update(self, heartbeat: Heartbeat, runs: Runs, fence: int) -> None:
        """Update the learner with the last poll and set the speeds of fillers."""
        self._observations = self._observe(heartbeat, runs)
        await self.set_speeds(heartbeat, runs, fence)

    async def set_speeds(self, heartbeat: Heartbeat, runs: Runs, fence: int) -> None:
        """Set the speeds of all fillers, including those that have just started."""
        observations = self._observations
        fillers = _fillers(heartbeat, runs, self._clock.elapsed())
        percent_by_ref = self._pacer.adjust(
            observations,
            fillers,
            self._clock.elapsed(),
            available_share=_available_share(heartbeat, runs),
        )
        self.percent_by_ref = _limit_to(percent_by_ref, self.percent_by_ref)
        self._unsettled_until_by_ref = _limit_to(
            percent_by_ref, self._unsettled_until_by_ref
        )
        async with trio.open_nursery() as nursery:
            for ref, percent in percent_by_ref.items():
                if self._must_set(ref, percent):
                    self._pending.add(ref)
                    nursery.start_soon(self._set_speed, heartbeat, ref, percent, fence)

    def _must_set(self, ref: RunRef, percent: int) -> bool:
        if ref in self._pending:
            return False
        before = self.percent_by_ref.get(ref)
        if before is None or ref in self._unsettled_until_by_ref:
            return True
        return is_significant_change(before, percent)

    def _observe(self, heartbeat: Heartbeat, runs: Runs) -> list[Observation]:
        """Update the learner with the last poll; return the services observed."""
        observations: list[Observation] = []
        share_by_image: dict[str, float] = {}
        capacity = max(heartbeat.capacity.processors, 1e-9)
        for status in runs.running:
            order = runs.order_by_ref.get(status.ref)
            if order is None:
                continue
            if order.is_filler:
                used = status.figure / _MILLI / capacity
                share_by_image[order.image] = (
                    share_by_image.get(order.image, 0.0) + used
                )
            elif order.target_latency_ms and status.figure > 0:
                observations.append(
                    Observation(
                        service=str(status.ref),
                        job=status.ref.task.job,
                        image=order.image,
                        latency_ms=status.figure,
                        target_ms=order.target_latency_ms,
                    )
                )
        self._learner.learn(observations, share_by_image, self._clock.elapsed())
        self.margin_by_image = self._pacer.margins(observations)
        return observations

    async def _set_speed(
        self, heartbeat: Heartbeat, ref: RunRef, percent: int, fence: int
    ) -> None:
        sent_at = self._clock.elapsed()
        try:
            await self._link.pace(
                heartbeat=heartbeat, ref=ref, percent=percent, fence=fence
            )
        except (CommunicationError, WorkerReplaced) as error:
            # The limit is not recorded, so it is set again after the next poll.
            self.percent_by_ref.pop(ref, None)
            self._unsettled_until_by_ref[ref] = self._clock.elapsed() + _MAX_CALL_DELAY
            log_event("worker:pace-failed", run=str(ref), reason=str(error))
            return
        finally:
            self._pending.discard(ref)
        if sent_at >= self._unsettled_until_by_ref.get(ref, sent_at):
            self._unsettled_until_by_ref.pop(ref, None)
        if self.percent_by_ref.get(ref) != percent:
            log_event("decision:pace", run=str(ref), percent=percent)
        self.percent_by_ref[ref] = percent


def _limit_to(
    present: Mapping[RunRef, int], value_by_ref: Mapping[RunRef, _Value]
) -> dict[RunRef, _Value]:
    """Return the values of the runs that are present."""
    return {ref: value for ref, value in value_by_ref.items() if ref in present}


def _available_share(heartbeat: Heartbeat, runs: Runs) -> float:
    """Return the share of the worker's processors that other tasks leave to fillers."""
    used = sum(
        order.processors * (SERVICE_USAGE if order.target_latency_ms else 1.0)
        for order in runs.order_by_ref.values()
        if not order.is_filler
    )
    capacity = max(heartbeat.capacity.processors, 1e-9)
    return max(1.0 - used / capacity, 0.0)


def _fillers(heartbeat: Heartbeat, runs: Runs, now: timedelta) -> list[FillerRun]:
    capacity = max(heartbeat.capacity.processors, 1e-9)
    progress_by_ref = dict.fromkeys(runs.started_by_ref, 0.0)
    progress_by_ref.update({status.ref: status.percent for status in runs.running})
    return [
        FillerRun(
            ref=ref,
            image=order.image,
            share=order.processors / capacity,
            end_by=runs.end_by_ref.get(ref),
            is_late=_is_late(
                order, runs.end_by_ref.get(ref), progress_by_ref[ref], now
            ),
            is_deferred=ref in runs.deferred,
        )
        for ref, order in runs.order_by_ref.items()
        if order.is_filler and ref in progress_by_ref
    ]


def _is_late(
    order: StartOrder, end_by: timedelta | None, percent: float, now: timedelta
) -> bool:
    """Return whether a run ends too late for its job, even if it is a short one."""
    if end_by is None:
        return False
    shortest_ms = order.length_ms * (1.0 - _MAX_LENGTH_ERROR)
    left_ms = shortest_ms * (1.0 - percent / _FULL_PERCENT)
    return now + as_duration(left_ms) > end_by
