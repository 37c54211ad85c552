"""When the scheduler's next round begins."""

from __future__ import annotations

from datetime import timedelta

import trio

from coltsfoottray.clock import Clock, as_duration, as_milliseconds
from coltsfoottray.scheduler.cluster_state import ClusterState
from coltsfoottray.scheduler.lease_row import RENEWAL_INTERVAL

__all__ = ["RoundTimer"]

# Everything that arrives within this interval is decided together and stored in one
# transaction.
_MIN_ROUND_INTERVAL = timedelta(milliseconds=15)
# After a takeover, no tasks are placed for this long while workers that held runs have
# yet to report them. After a power loss workers report within a tenth of a second of
# each other; without the wait, the first two were filled with all waiting tasks,
# services among them.
_RECONCILIATION_PERIOD = timedelta(milliseconds=150)
# A lease has expired after its end, not at it.
_PAST_LEASE_END = timedelta(milliseconds=1)


class RoundTimer:
    """Waits until there is something to decide."""

    def __init__(self, *, cluster: ClusterState, clock: Clock) -> None:
        self._cluster = cluster
        self._clock = clock
        self._wake = trio.Event()
        self._loaded_at = timedelta(0)

    def wake(self) -> None:
        """Start a new round, because something has arrived or changed."""
        self._wake.set()

    def mark_loaded(self, now: timedelta) -> None:
        """Record that the stored state was loaded."""
        self._loaded_at = now

    @property
    def is_reconciling(self) -> bool:
        """Whether to wait for workers to report the runs that they held."""
        if self._clock.elapsed() - self._loaded_at >= _RECONCILIATION_PERIOD:
            return False
        return any(
            worker.has_unconfirmed_runs
            for worker in self._cluster.fleet.worker_by_id.values()
        )

    async def wait(self, *, renewed_at: timedelta) -> None:
        """Wait until the next round.

        Parameters
        ----------
        renewed_at : timedelta
            When the lease row was last renewed.
        """
        due = renewed_at + RENEWAL_INTERVAL - self._clock.elapsed()
        due = min(due, self._time_to_next_plan(), self._time_to_lease_end())
        with trio.move_on_after(max(due.total_seconds(), 0.0)):
            await self._wake.wait()
            await self._clock.sleep(_MIN_ROUND_INTERVAL)
        self._wake = trio.Event()

    def _time_to_lease_end(self) -> timedelta:
        """Return the time until the next lease has ended, at most one interval.

        Tasks of a lost worker that waited for the next round would start up to half a
        second later.
        """
        now = self._clock.elapsed()
        end = self._cluster.fleet.next_lease_end(before=now + RENEWAL_INTERVAL)
        return RENEWAL_INTERVAL if end is None else end - now + _PAST_LEASE_END

    def _time_to_next_plan(self) -> timedelta:
        """Return the time until planning resumes or the next occurrence is due."""
        if self.is_reconciling:
            return self._loaded_at + _RECONCILIATION_PERIOD - self._clock.elapsed()
        next_due_ms = self._cluster.jobs.next_due_ms()
        if next_due_ms is None:
            return RENEWAL_INTERVAL
        return as_duration(next_due_ms - as_milliseconds(self._clock.now()))
