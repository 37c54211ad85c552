"""Jobs under the faults of `Jobs`, with processes replaced as a worker restarts.

A new incarnation accepts starts meant for the one before. It reports itself, or falls
silent, or its attendant or the scheduler is replaced, in any order within some seconds.
"""

from __future__ import annotations

from typing import Any

from hypothesis import strategies as st
from hypothesis.stateful import initialize, rule

from properties.jobs import ENTRIES, WORKERS, Jobs

__all__ = ["ReplacedJobs"]

_MS_PER_S = 1000
_SERVICE_TASKS = 2
_EVENTS = ("heartbeats", "silence", "scheduler", "attendant", "attendant")
# The clock of the worker's first incarnation is then ahead by more than a lease.
_LONGEST_LEASE_S = 10.0
_REPLACEMENT: dict[str, Any] = {
    "entry": ENTRIES,
    "worker": WORKERS,
    "unheard_ms": st.sampled_from([0, 50, 150, 400]),
    "events": st.permutations(_EVENTS),
    "gap_ms": st.sampled_from([0, 100, 300, 1000]),
    "silent_s": st.sampled_from([6, 9, 14]),
}


class ReplacedJobs(Jobs):
    """Adds workers that restart unheard as attendants and schedulers are replaced."""

    @initialize(**_REPLACEMENT)
    def begin(self, **arguments: Any) -> None:
        """Begin each run with such a restart, in a cell whose clocks are ahead."""
        self.world.advance(_LONGEST_LEASE_S)
        self.replace_around_restart(**arguments)

    @rule(**_REPLACEMENT)
    def replace_around_restart(
        self,
        entry: str,
        worker: str,
        unheard_ms: int,
        events: list[str],
        gap_ms: int,
        silent_s: int,
    ) -> None:
        """A worker restarts unheard, accepts starts, and others are replaced."""
        if self.permanent_faults.is_unresponsive(worker):
            return
        machine = self.world.cell.worker_by_name[worker]
        machine.sends_heartbeats = False
        machine.crash()
        # `submit_service` lets 0.3 s pass, in which the starts are accepted.
        self.submit_service(entry, _SERVICE_TASKS)
        self.submit(entry, _SERVICE_TASKS, 1, 2.0, False)
        self.world.advance(unheard_ms / _MS_PER_S)
        for event in events:
            self._cause(event, worker)
            self.world.advance(gap_ms / _MS_PER_S)
        self.world.advance(silent_s)
        machine.sends_heartbeats = True
        machine.is_unreachable = self.permanent_faults.is_unresponsive(worker)

    def _cause(self, event: str, worker: str) -> None:
        machine = self.world.cell.worker_by_name[worker]
        if event == "heartbeats":
            machine.sends_heartbeats = True
            self.world.run(machine.send_heartbeat)
        elif event == "silence":
            machine.is_unreachable = True
        elif event == "attendant":
            self.restart(worker)
        elif scheduler := self.world.cell.scheduler():
            self.restart(scheduler)
