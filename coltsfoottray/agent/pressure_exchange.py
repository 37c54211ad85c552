"""What an attendant and the scheduler tell one another about pressures."""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta

from coltsfoottray.agent.pressure import Pressure
from coltsfoottray.clock import Clock
from coltsfoottray.scheduler.messages import Report, ReportReply

__all__ = ["PressureExchange"]

# Interference between images changes little within this time.
_INTERVAL = timedelta(seconds=4)


class PressureExchange:
    """Decides when a report contains pressures, and which ones the attendant has.

    Parameters
    ----------
    local_pressures : callable
        Returns the pressures learned on this worker.
    """

    def __init__(
        self, *, local_pressures: Callable[[], list[Pressure]], clock: Clock
    ) -> None:
        self._local_pressures = local_pressures
        self._clock = clock
        # When the present scheduler last received the pressures learned here.
        self._received_at: timedelta | None = None
        self.revision_by_service: dict[str, int] = {}

    def due_pressures(self) -> list[Pressure]:
        """Return the local pressures, if the scheduler has not had them lately."""
        received_at = self._received_at
        now = self._clock.elapsed()
        if received_at is not None and now - received_at < _INTERVAL:
            return []
        return self._local_pressures()

    def apply_reply(
        self, report: Report, reply: ReportReply, *, is_new_epoch: bool
    ) -> None:
        """Record what `reply` shows that the scheduler has, and what it contains."""
        if report.pressures:
            self._received_at = self._clock.elapsed()
        elif is_new_epoch:
            self._received_at = None
        # Reports in progress refer to the dict, so a new one replaces it.
        self.revision_by_service = {
            **self.revision_by_service,
            **reply.pressure_revision_by_service,
        }
