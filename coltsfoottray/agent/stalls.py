"""Runs that make no progress.

Answers workers on which tasks stand still while everything else about them is
well: nothing ever ends or fails there, and only the percentage tells.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from datetime import timedelta

from coltsfoottray.agent.worker import RunStatus
from coltsfoottray.jobs.model import RunRef
from coltsfoottray.scheduler.messages import StartOrder

__all__ = ["StallDetector"]

# Three looks; a task of a second shows progress at each of them.
_MIN_PATIENCE = timedelta(seconds=1.5)
# Of the estimate. A percent of a task takes a hundredth of its time, which may be some
# times the estimate, and some times that on a slow worker.
_PATIENCE_SHARE = 0.15
# A service is at work some tenths of a second after its start.
_SERVICE_PATIENCE = timedelta(seconds=4)
# Slower than this, by our own doing, a run may well show no progress.
_MIN_PACE = 50
_AT_WORK = 100.0


@dataclass(frozen=True, kw_only=True)
class _Seen:
    percent: float
    since: timedelta


class StallDetector:
    """Compares the percentages of successive looks."""

    def __init__(self) -> None:
        self._seen_by_ref: dict[RunRef, _Seen] = {}

    def check(
        self,
        running: Iterable[RunStatus],
        order_by_ref: Mapping[RunRef, StartOrder],
        percent_by_ref: Mapping[RunRef, int],
        now: timedelta,
    ) -> list[RunRef]:
        """Return the runs that have stood still for too long.

        Parameters
        ----------
        percent_by_ref : mapping
            The speed at which runs may work, where it is not the full one.
        """
        seen_by_ref: dict[RunRef, _Seen] = {}
        stalled: list[RunRef] = []
        for status in running:
            order = order_by_ref.get(status.ref)
            seen = self._seen_by_ref.get(status.ref)
            is_slowed = percent_by_ref.get(status.ref, 100) < _MIN_PACE
            is_moving = seen is None or seen.percent != status.percent
            if order is not None and order.is_service:
                is_moving = seen is None or status.percent >= _AT_WORK
            if is_moving or is_slowed or seen is None:
                seen = _Seen(percent=status.percent, since=now)
            seen_by_ref[status.ref] = seen
            if order is not None and now - seen.since > _patience(order):
                stalled.append(status.ref)
        self._seen_by_ref = seen_by_ref
        return stalled


def _patience(order: StartOrder) -> timedelta:
    if order.is_service:
        return _SERVICE_PATIENCE
    share = timedelta(milliseconds=order.estimate_ms * _PATIENCE_SHARE)
    return max(_MIN_PATIENCE, share)
