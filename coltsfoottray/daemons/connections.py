"""Metrics and logs of a daemon's connections to its peers."""

from __future__ import annotations

from coltsfoottray.http import ConnectionObserver, ExchangeTimeout
from coltsfoottray.logs import log_event
from coltsfoottray.metrics import Metrics
from coltsfoottray.types import Address

__all__ = ["ConnectionMonitor"]


class ConnectionMonitor(ConnectionObserver):
    """Counts opened connections and timeouts, and logs the timeouts."""

    def __init__(self, *, metrics: Metrics) -> None:
        self._metrics = metrics

    def record_opened(self, peer: Address) -> None:  # noqa: D102
        self._metrics.count("connections_opened")

    def record_timeout(self, timeout: ExchangeTimeout) -> None:  # noqa: D102
        connection = "reused" if timeout.is_reused else "new"
        self._metrics.count("exchanges_timed_out", connection=connection)
        log_event(
            "connection:timeout",
            peer=str(timeout.peer),
            connection=connection,
            silent_s=round(timeout.silent_for.total_seconds(), 3),
            closed=timeout.closed_connections,
            idle=timeout.idle_connections,
        )
