"""Detection of runs that make no progress.

Guards against workers that appear healthy but on which tasks stall: no run ever ends
or fails there, and only the reported percentage shows it.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from datetime import timedelta

from coltsfoottray.agent.worker import RunStatus
from coltsfoottray.clock import as_duration
from coltsfoottray.jobs.model import RunRef
from coltsfoottray.logs import log_event
from coltsfoottray.scheduler.messages import StartOrder

__all__ = ["StallDetector"]

# Three polls; a task of 1 s shows progress in each of them.
_MIN_STALL_TIMEOUT = timedelta(seconds=1.5)
# Share of the estimate. One percent of a task takes a hundredth of its duration, which
# may be several times the estimate, and several times longer again on a slow worker.
_STALL_TIMEOUT_SHARE = 0.15
# A service is serving a few tenths of a second after its start.
_SERVICE_STALL_TIMEOUT = timedelta(seconds=4)
# A run that the attendant slows below this may legitimately show no progress.
_MIN_SPEED_PERCENT = 50
_SERVING_PERCENT = 100.0


@dataclass(frozen=True, kw_only=True)
class _Progress:
    percent: float
    since: timedelta


class StallDetector:
    """Detects stalled runs by comparing the percentages of successive polls.

    Attributes
    ----------
    stalled : list of RunRef
        The runs that have stalled, by the last poll.
    """

    def __init__(self) -> None:
        self._progress_by_ref: dict[RunRef, _Progress] = {}
        self.stalled: list[RunRef] = []

    def check(
        self,
        running: Iterable[RunStatus],
        order_by_ref: Mapping[RunRef, StartOrder],
        percent_by_ref: Mapping[RunRef, int],
        now: timedelta,
    ) -> bool:
        """Update `stalled`; return whether a run has newly stalled.

        Parameters
        ----------
        percent_by_ref : mapping
            Speed limits of runs in percent that the worker has confirmed. The speed of
            a filler without one is unknown; other runs work at full speed.
        """
        progress_by_ref: dict[RunRef, _Progress] = {}
        stalled: list[RunRef] = []
        for status in running:
            order = order_by_ref.get(status.ref)
            progress = self._progress_by_ref.get(status.ref)
            is_slowed = _may_be_slowed(order, percent_by_ref.get(status.ref))
            has_progressed = progress is None or progress.percent != status.percent
            if order is not None and order.is_service:
                has_progressed = progress is None or status.percent >= _SERVING_PERCENT
            if has_progressed or is_slowed or progress is None:
                progress = _Progress(percent=status.percent, since=now)
            progress_by_ref[status.ref] = progress
            if order is not None and now - progress.since > _stall_timeout(order):
                stalled.append(status.ref)
        self._progress_by_ref = progress_by_ref
        new = [str(ref) for ref in stalled if ref not in self.stalled]
        self.stalled = stalled
        if new:
            log_event("worker:stalled", runs=new)
        return bool(new)


def _may_be_slowed(order: StartOrder | None, percent: int | None) -> bool:
    """Whether a run's speed limit may explain that it makes no progress."""
    if percent is None:
        return order is not None and order.is_filler
    return percent < _MIN_SPEED_PERCENT


def _stall_timeout(order: StartOrder) -> timedelta:
    if order.is_service:
        return _SERVICE_STALL_TIMEOUT
    share = as_duration(order.estimate_ms * _STALL_TIMEOUT_SHARE)
    return max(_MIN_STALL_TIMEOUT, share)
