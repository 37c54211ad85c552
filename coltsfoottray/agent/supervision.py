"""Supervision of the runs on one worker between the polls of it."""

from __future__ import annotations

from datetime import timedelta

from coltsfoottray.agent.runs import Runs
from coltsfoottray.agent.speeds import SpeedController
from coltsfoottray.agent.stalls import StallDetector
from coltsfoottray.agent.worker import Heartbeat
from coltsfoottray.jobs.model import RunRef
from coltsfoottray.logs import log_event
from coltsfoottray.metrics import Metrics

__all__ = ["RunSupervisor"]

# Workers measure the figures of runs over half a second.
_INTERVAL = timedelta(milliseconds=400)
# Three report intervals; the reply to a report contains the orders that are missing.
_MAX_ORDER_GAP = timedelta(seconds=3)


class RunSupervisor:
    """Detects stalled runs and runs without an order, and sets the speeds of fillers.

    All three need the order of a run, which says what it is.

    Parameters
    ----------
    speeds : SpeedController
        Sets the speeds of fillers.
    """

    def __init__(self, *, speeds: SpeedController, metrics: Metrics) -> None:
        self._speeds = speeds
        self._metrics = metrics
        self._stalls = StallDetector()
        self._updated_at = timedelta(0)
        self._gap_since_by_ref: dict[RunRef, timedelta] = {}
        self._logged_gaps: set[RunRef] = set()

    @property
    def stalled(self) -> list[RunRef]:
        """The runs that make no progress, by the last poll."""
        return self._stalls.stalled

    async def update(
        self, heartbeat: Heartbeat, runs: Runs, fence: int, polled_at: timedelta
    ) -> bool:
        """Examine the runs that a poll returned; return whether a report is due.

        Parameters
        ----------
        fence : int
            Fencing token of the speed limits.
        polled_at : timedelta
            When the poll was sent.
        """
        self._check_orders(runs, polled_at)
        if polled_at - self._updated_at < _INTERVAL:
            return False
        self._updated_at = polled_at
        has_stalled = self._stalls.check(
            runs.running,
            runs.order_by_ref,
            self._speeds.percent_by_ref,
            polled_at,
        )
        await self._speeds.update(heartbeat, runs, fence)
        return has_stalled

    def _check_orders(self, runs: Runs, now: timedelta) -> None:
        """Record for how long runs have had no order, and log long gaps once."""
        missing = runs.without_order()
        self._gap_since_by_ref = {
            ref: self._gap_since_by_ref.get(ref, now) for ref in missing
        }
        long = {
            ref
            for ref, since in self._gap_since_by_ref.items()
            if now - since > _MAX_ORDER_GAP
        }
        new = sorted(str(ref) for ref in long - self._logged_gaps)
        if new:
            log_event("worker:order-missing", runs=new)
        self._logged_gaps = long
        longest = max(
            (now - since for since in self._gap_since_by_ref.values()),
            default=timedelta(0),
        )
        self._metrics.gauge("runs_without_order", len(missing))
        self._metrics.gauge("longest_order_gap_seconds", longest.total_seconds())
