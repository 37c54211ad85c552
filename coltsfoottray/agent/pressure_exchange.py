"""What an attendant and the scheduler tell one another about pressures."""

from __future__ import annotations

from collections.abc import Callable

from coltsfoottray.agent.pressure import Pressure, select_best
from coltsfoottray.remembered import drop_oldest
from coltsfoottray.scheduler.messages import Report, ReportReply, StartOrder

__all__ = ["PressureExchange"]

# A report has 0.8 s to arrive, and reports of many attendants arrive over one link.
_MAX_REPORTED_BYTES = 48_000
# Far more images than services on one worker; what is forgotten is sent again.
_MAX_SERVICES = 500


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
        pressures = select_best(self._local_pressures(), _MAX_REPORTED_BYTES)
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
        changed = reply.pressure_revision_by_service
        known = self.revision_by_service
        kept = {image: known[image] for image in known if image not in changed}
        self.revision_by_service = {**kept, **changed}
        drop_oldest(self.revision_by_service, _MAX_SERVICES)
