"""Finds the worker to use among those that heartbeats tell of."""

from __future__ import annotations

import enum
from datetime import timedelta

from coltsfoottray.agent.candidates import HeartbeatFilter, WorkerCandidates
from coltsfoottray.agent.services import KnownServices
from coltsfoottray.agent.worker import Heartbeat, WorkerLink, WorkerReplaced
from coltsfoottray.clock import Clock
from coltsfoottray.errors import CommunicationError
from coltsfoottray.logs import log_event
from coltsfoottray.metrics import Metrics

__all__ = ["HeartbeatVerdict", "WorkerSearch"]


class HeartbeatVerdict(enum.Enum):
    """What a heartbeat means for the worker in use."""

    UPDATE = "accepted"
    """It tells the present state of that worker."""
    CONTRADICTION = "contradictory"
    UNKNOWN_SERVICE = "unknown-service"
    CANDIDATE = "candidate"
    """It tells of another worker, or of that one at another address."""


class WorkerSearch:
    """Judges heartbeats, any of which may come from another writer.

    Whatever one says, a worker that answers stays in use. Another one takes its place
    only if it answers a call in its stead.
    """

    def __init__(self, *, link: WorkerLink, clock: Clock, metrics: Metrics) -> None:
        self._link = link
        self._clock = clock
        self._metrics = metrics
        self._filter = HeartbeatFilter()
        self._candidates = WorkerCandidates()
        self.services = KnownServices()

    def judge(self, known: Heartbeat | None, heartbeat: Heartbeat) -> HeartbeatVerdict:
        """Return what a heartbeat means, and keep it if it names a candidate.

        Parameters
        ----------
        known : Heartbeat, optional
            The last one of the worker in use, None if there is none.
        """
        verdict = self._judge(known, heartbeat)
        self._count(verdict.value)
        if verdict is HeartbeatVerdict.UNKNOWN_SERVICE:
            service = heartbeat.service
            log_event("worker:unknown-service", life=heartbeat.life, service=service)
        if verdict is HeartbeatVerdict.CANDIDATE:
            self._add_candidate(known, heartbeat)
        return verdict

    def _judge(self, known: Heartbeat | None, heartbeat: Heartbeat) -> HeartbeatVerdict:
        if not self.services.may_use(heartbeat):
            return HeartbeatVerdict.UNKNOWN_SERVICE
        if known is None or not heartbeat.is_at_same_address(known):
            return HeartbeatVerdict.CANDIDATE
        if self._filter.accepts(known, heartbeat, self._clock.elapsed()):
            return HeartbeatVerdict.UPDATE
        return HeartbeatVerdict.CONTRADICTION

    def _add_candidate(self, known: Heartbeat | None, heartbeat: Heartbeat) -> None:
        if self._candidates.add(heartbeat, self._clock.elapsed()):
            log_event(
                "worker:candidate",
                life=heartbeat.life,
                address=str(heartbeat.address),
                current=known and known.life,
            )

    async def wait(self, timeout: timedelta) -> None:
        """Wait until there is a candidate, or for `timeout`."""
        await self._candidates.wait(timeout)

    async def find(self, *, fence: int) -> Heartbeat | None:
        """Return the first candidate that answers as the incarnation that it names.

        All others are forgotten; their next heartbeats make them candidates again.
        """
        for candidate in self._candidates.take_all():
            if not self.services.may_use(candidate):
                continue
            if await self._is_there(candidate, fence):
                return candidate
        return None

    def begin_incarnation(self) -> None:
        """Judge the heartbeats of another worker in use from now on."""
        self._filter = HeartbeatFilter()
        self._candidates.clear()

    def record_answer(self, sent_at: timedelta) -> None:
        """Record that the worker in use has answered a call sent at `sent_at`."""
        for candidate in self._candidates.refute(sent_at):
            self._refute(candidate, "the known worker answers")

    async def _is_there(self, candidate: Heartbeat, fence: int) -> bool:
        """Return whether a candidate answers a poll, which has no effect on it."""
        reason = "the answer does not tell which incarnation it is from"
        try:
            reply = await self._link.poll(
                heartbeat=candidate,
                fence=fence,
                lease_end_ms=0,
                acknowledged=0,
                wait=timedelta(0),
            )
            if reply.born_ms == candidate.born_ms:
                return True
        except (CommunicationError, WorkerReplaced) as error:
            reason = str(error)
        self._refute(candidate, reason)
        return False

    def _refute(self, candidate: Heartbeat, reason: str) -> None:
        self._count("refuted")
        log_event("worker:candidate-refuted", life=candidate.life, reason=reason)

    def _count(self, outcome: str) -> None:
        self._metrics.count("heartbeats", outcome=outcome)
