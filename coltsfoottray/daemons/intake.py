"""Limits of a daemon's ports, and metrics and logs of who is turned away."""

from __future__ import annotations

from collections import Counter
from datetime import timedelta

import trio

from coltsfoottray.intake import (
    IntakeObserver,
    MachineLimits,
    PortLimits,
    RefusalReason,
    Turns,
)
from coltsfoottray.intake.limits import KIB
from coltsfoottray.logs import log_event
from coltsfoottray.metrics import Metrics
from coltsfoottray.peers import CallHandlers
from coltsfoottray.settings import LimitSettings

__all__ = ["IntakeMonitor", "PortPlan"]

_TASKS_PATH = "/tasks"
# A crowd must not become a load of the log.
_LOG_INTERVAL = timedelta(seconds=5)


class PortPlan:
    """The limits of each kind of port, from the settings."""

    def __init__(self, *, settings: LimitSettings) -> None:
        self._settings = settings
        self._machine = MachineLimits(
            memory_mb=settings.memory_mb,
            descriptors=settings.descriptors,
            connections=settings.connections,
            head_bytes=_as_bytes(settings.head_kb),
            request_time=timedelta(seconds=settings.request_s),
        )

    def turns(self) -> Turns:
        """Return the turns of the process; most handlers are left to others."""
        return Turns(max_waiting=max(1, self.calls().handlers // 3))

    def callers(self) -> PortLimits:
        """Return the limits of a port at which callers submit jobs."""
        return self._machine.large_port(_as_bytes(self._settings.job_kb))

    def heartbeats(self) -> PortLimits:
        """Return the limits of a port for workers' heartbeats."""
        return self._machine.large_port(_as_bytes(self._settings.heartbeat_kb))

    def peers(self, handlers: CallHandlers) -> PortLimits:
        """Return the limits of a port for the calls of other daemons."""
        largest = _as_bytes(self._settings.peer_kb)
        by_path = {
            call.path: min(call.max_request_bytes, largest)
            for call in handlers.handler_by_call
            if call.max_request_bytes is not None
        }
        return self._machine.large_port(largest, by_path)

    def calls(self) -> PortLimits:
        """Return the limits of any other port that takes bodies.

        A batch task is passed on in a call of a daemon, which must have room for it.
        """
        return self._machine.large_port(
            _as_bytes(self._settings.call_kb),
            {_TASKS_PATH: _as_bytes(self._settings.job_kb)},
        )

    def queries(self) -> PortLimits:
        """Return the limits of a port whose requests have no body."""
        return self._machine.small_port()


class IntakeMonitor(IntakeObserver):
    """Counts who is turned away at a port, and logs the counts from time to time."""

    def __init__(self, *, port: str, metrics: Metrics | None = None) -> None:
        self._port = port
        self._metrics = metrics
        self._unlogged: Counter[str] = Counter()
        self._log_at = 0.0

    def record_refused(self, reason: RefusalReason) -> None:  # noqa: D102
        if self._metrics is not None:
            self._metrics.count("clients_refused", port=self._port, reason=reason.value)
        self._unlogged[reason.value] += 1
        now = trio.current_time()
        if now < self._log_at:
            return
        self._log_at = now + _LOG_INTERVAL.total_seconds()
        log_event(
            "intake:refused", port=self._port, count_by_reason=dict(self._unlogged)
        )
        self._unlogged.clear()


def _as_bytes(size_kb: float) -> int:
    return int(size_kb * KIB)
