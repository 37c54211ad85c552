"""Jobs under the faults of `Jobs` while open connections become silent.

In calm times silent connections end no task that lasts: the leases of workers are
renewed over new connections before they expire.
"""

from __future__ import annotations

from hypothesis import strategies as st
from hypothesis.stateful import rule

from properties.jobs import Jobs
from standins.connections import Direction
from standins.job_run import UNLIMITED_S

__all__ = ["SilencedJobs"]

# Prefixes of the names of those whose connections become silent; empty for all.
OPENERS = st.sampled_from(["entry", "entry-1", "worker", "worker-1", ""])
DIRECTIONS = st.sampled_from(Direction)
IDLE_COUNTS = st.sampled_from([1, 12, 32])
# Covers the longest lease, and the placement of what has ended with it.
_CALM_S = 20.0
# A worker's lease is issued for 6 s.
_LEASE_S = 6.0
_WATCH_INTERVAL_S = 0.5


class SilencedJobs(Jobs):
    """Adds open connections that carry nothing more, while new ones work."""

    @rule(opener=OPENERS, direction=DIRECTIONS, count=IDLE_COUNTS)
    def silence(self, opener: str, direction: Direction, count: int) -> None:
        """Open connections become silent, also those that a burst has left."""
        self._fill_pools(count)
        self.world.fabric.silence_links(opener, direction=direction)

    @rule(opener=OPENERS, direction=DIRECTIONS, count=IDLE_COUNTS)
    def silence_in_calm(self, opener: str, direction: Direction, count: int) -> None:
        """Silent connections alone end no task that lasts."""
        self.permanent_faults.heal_transient()
        self.world.advance(_CALM_S)
        before = self._running_services()
        self.silence(opener, direction, count)
        for _ in range(round(2 * _LEASE_S / _WATCH_INTERVAL_S)):
            self.world.advance(_WATCH_INTERVAL_S)
            ended = before - self._running_services()
            assert not ended, f"ended after connections became silent: {ended}"

    def _running_services(self) -> set[tuple[str, int]]:
        """Return the task and the number of each run of a service."""
        return {
            (task, run.number)
            for worker in self.world.cell.worker_by_name.values()
            for task, run in worker.run_by_task.items()
            if run.work_s >= UNLIMITED_S
        }

    def _fill_pools(self, count: int) -> None:
        async def fill() -> None:
            self.world.fabric.fill_pools(count)

        self.world.run(fill)
