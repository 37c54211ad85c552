"""Watches services and fillers on a worker, and sets the fillers' speeds."""

from __future__ import annotations

import trio

from coltsfoottray.agent.learning import Observation, PressureLearner
from coltsfoottray.agent.pacing import FULL_SPEED, FillerRun, Pacer, is_worth_an_order
from coltsfoottray.agent.pressure import SERVICE_USE, Pressure, ServiceMargin
from coltsfoottray.agent.runs import Runs
from coltsfoottray.agent.worker import Heartbeat, WorkerLink, WorkerReplaced
from coltsfoottray.clock import Clock
from coltsfoottray.errors import CommunicationError
from coltsfoottray.jobs.model import RunRef
from coltsfoottray.logs import log_event

__all__ = ["SpeedController"]

_MILLI = 1000.0


class SpeedController:
    """Learns from each look and carries out what the pacer decides.

    Parameters
    ----------
    link : WorkerLink
        Takes the orders.
    """

    def __init__(self, *, link: WorkerLink, clock: Clock) -> None:
        self._link = link
        self._clock = clock
        self._learner = PressureLearner()
        self._pacer = Pacer(learner=self._learner)
        self._observations: list[Observation] = []
        self.percent_by_ref: dict[RunRef, int] = {}
        self.margin_by_image: dict[str, ServiceMargin] = {}

    def reset(self) -> None:
        """Forget the speeds that were set: another life knows nothing of them."""
        self.percent_by_ref = {}
        self._observations = []

    def pressures(self) -> list[Pressure]:
        """Return what was learned here."""
        return self._learner.local_pressures()

    def set_shared_pressures(self, pressures: list[Pressure]) -> None:
        """Take in what others have learned."""
        self._learner.set_shared_pressures(pressures)

    @property
    def has_services(self) -> bool:
        """Whether the last look showed services with a target."""
        return bool(self._observations)

    async def update(self, heartbeat: Heartbeat, runs: Runs, fence: int) -> None:
        """Learn from the last look and set the speed of fillers by it."""
        self._observations = self._observe(heartbeat, runs)
        await self.set_speeds(heartbeat, runs, fence)

    async def set_speeds(self, heartbeat: Heartbeat, runs: Runs, fence: int) -> None:
        """Set the speed of all fillers, also of those just started."""
        observations = self._observations
        fillers = _fillers(heartbeat, runs)
        percent_by_ref = self._pacer.adjust(
            observations,
            fillers,
            self._clock.elapsed(),
            available_share=_left_share(heartbeat, runs),
        )
        self.percent_by_ref = {
            ref: percent
            for ref, percent in self.percent_by_ref.items()
            if ref in percent_by_ref
        }
        async with trio.open_nursery() as nursery:
            for ref, percent in percent_by_ref.items():
                if is_worth_an_order(self.percent_by_ref.get(ref, FULL_SPEED), percent):
                    nursery.start_soon(self._set_speed, heartbeat, ref, percent, fence)

    def _observe(self, heartbeat: Heartbeat, runs: Runs) -> list[Observation]:
        """Learn from what the last look showed; return the services."""
        observations: list[Observation] = []
        share_by_image: dict[str, float] = {}
        whole = max(heartbeat.capacity.processors, 1e-9)
        for status in runs.running:
            order = runs.order_by_ref.get(status.ref)
            if order is None:
                continue
            if order.is_filler:
                used = status.figure / _MILLI / whole
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
        try:
            await self._link.pace(
                heartbeat=heartbeat, ref=ref, percent=percent, fence=fence
            )
        except (CommunicationError, WorkerReplaced) as error:
            # Not noted as set, so the next look's adjustment sets it again.
            self.percent_by_ref.pop(ref, None)
            log_event("worker:pace-failed", run=str(ref), reason=str(error))
            return
        self.percent_by_ref[ref] = percent
        log_event("decision:pace", run=str(ref), percent=percent)


def _left_share(heartbeat: Heartbeat, runs: Runs) -> float:
    """Return the part of the worker that tasks other than fillers leave."""
    taken = sum(
        order.processors * (SERVICE_USE if order.target_latency_ms else 1.0)
        for order in runs.order_by_ref.values()
        if not order.is_filler
    )
    whole = max(heartbeat.capacity.processors, 1e-9)
    return max(1.0 - taken / whole, 0.0)


def _fillers(heartbeat: Heartbeat, runs: Runs) -> list[FillerRun]:
    whole = max(heartbeat.capacity.processors, 1e-9)
    there = {status.ref for status in runs.running}
    there.update(runs.started_by_ref)
    return [
        FillerRun(ref=ref, image=order.image, share=order.processors / whole)
        for ref, order in runs.order_by_ref.items()
        if order.is_filler and ref in there
    ]
