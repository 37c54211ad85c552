"""What an attendant and the scheduler tell one another about pressures."""

from __future__ import annotations

from collections.abc import Callable

from coltsfoottray.agent.pressure import Pressure
from coltsfoottray.scheduler.messages import Report, ReportReply, StartOrder

__all__ = ["PressureExchange"]


class PressureExchange:
    """Decides when a report contains pressures, and which ones the attendant has.

    Parameters
    ----------
    local_pressures : callable
        Returns the pressures learned on this worker.
    """

    def __init__(self, *, local_pressures: Callable[[], list[Pressure]]) -> None:
        self._local_pressures = local_pressures
        # What the present scheduler last received of the pressures learned here.
        self._received: list[Pressure] = []
        self.revision_by_service: dict[str, int] = {}

    def lacks(self, order: StartOrder) -> bool:
        """Return whether nothing is known yet of what disturbs a service.

        The reply to a report contains it. Until then fillers beside the service run as
        if nobody had seen them together.
        """
        is_service = order.target_latency_ms > 0
        return is_service and order.image not in self.revision_by_service

    def due_pressures(self) -> list[Pressure]:
        """Return the local pressures, if the scheduler does not have them.

        Other workers wait for what is learned here.
        """
        pressures = self._local_pressures()
        return [] if pressures == self._received else pressures

    def apply_reply(
        self, report: Report, reply: ReportReply, *, is_new_epoch: bool
    ) -> None:
        """Record what `reply` shows that the scheduler has, and what it contains."""
        if report.pressures:
            self._received = report.pressures
        elif is_new_epoch:
            self._received = []
        # Reports in progress refer to the dict, so a new one replaces it.
        self.revision_by_service = {
            **self.revision_by_service,
            **reply.pressure_revision_by_service,
        }
