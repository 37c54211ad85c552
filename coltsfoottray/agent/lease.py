"""What is left of a worker's lease, by the grants and by the worker's clock."""

from __future__ import annotations

import math
from datetime import timedelta

from coltsfoottray.agent.worker import ClockReading

__all__ = ["WorkerLease"]

# How far ahead the worker's lease reaches: an attendant that is killed has this
# long to return (3.5 s for a VM without power, and its start), and a worker that
# falls silent is given up after it.
_WORKER_HORIZON = timedelta(seconds=6)

# A worker's clock may be 2% slow: of a lease it is told a little less.
_CLOCK_MARGIN = 0.975

_NOTHING = timedelta(0)


class WorkerLease:
    """Until when the worker may run, and until when it has been told it may.

    Parameters
    ----------
    started : timedelta
        When this attendant began. The one before it may have told the worker a whole
        lease just then, and left no trace of it.
    """

    def __init__(self, *, started: timedelta) -> None:
        self._granted = _NOTHING
        self._told = started + _WORKER_HORIZON
        self._reading: ClockReading | None = None

    def reset_clock(self) -> None:
        """Forget the clock of another life."""
        self._reading = None

    def set_reading(self, reading: ClockReading) -> None:
        """Take in a reading of the worker's clock."""
        self._reading = reading

    def grant(self, end: timedelta) -> None:
        """Take in a grant of the scheduler; a shorter one changes nothing."""
        self._granted = max(self._granted, end)

    def remaining_grant(self, now: timedelta) -> timedelta:
        """Return how much of the grant is left."""
        return max(self._granted - now, _NOTHING)

    @property
    def is_clock_known(self) -> bool:
        """Whether the worker can be told an end on its own clock."""
        return self._reading is not None

    def remaining_issued(self, now: timedelta) -> timedelta:
        """Return for how long the worker may still run by what it was told."""
        return max(self._told - now, _NOTHING)

    def limit_to_issued(self) -> None:
        """Tell the worker no more than it was told, until there is another grant."""
        self._granted = min(self._granted, self._told)

    def mark_ended(self) -> None:
        """Note that nothing runs there any more."""
        self._told = _NOTHING

    def issue(self, now: timedelta) -> int:
        """Return the end to tell the worker, on its clock; 0 for none.

        The reading was made before it arrived here, so that the clock is at least
        as far by then; less the margin, the lease ends in time on a slow clock.
        """
        end = min(self._granted, now + _WORKER_HORIZON)
        if self._reading is None or end <= now:
            return 0
        ahead = (end - self._reading.received) * _CLOCK_MARGIN
        self._told = max(self._told, end)
        return self._reading.reading_ms + math.floor(ahead.total_seconds() * 1000)
