"""Jobs under the faults of `Jobs` while the operator evacuates the data centre.

Workers also refuse all starts for a while. An oracle on the workers' side knows which
start orders came after an evacuation was in force.
"""

from __future__ import annotations

from hypothesis import strategies as st
from hypothesis.stateful import invariant, rule

from properties.evacuations import EvacuationOracle
from properties.jobs import ENTRIES, WORKERS, Jobs

__all__ = ["EvacuatedJobs"]

# Time within which an attendant notices that its worker answers again.
_POLL_S = 1.0
_TASKS = 5
_WORK_S = 2.0


class EvacuatedJobs(Jobs):
    """Adds evacuations of the only data centre, and workers that refuse starts."""

    def __init__(self) -> None:
        super().__init__()
        self.evacuations = EvacuationOracle(world=self.world)

    def teardown(self) -> None:
        """End the evacuation, and wait for every accepted job to end."""
        self.evacuations.end_all()
        super().teardown()

    @rule(is_evacuated=st.booleans())
    def evacuate(self, is_evacuated: bool) -> None:
        """The operator evacuates the data centre, or takes that back."""
        self.evacuations.set_evacuated("caerdydd", is_evacuated=is_evacuated)

    @rule(entry=ENTRIES, worker=WORKERS, seconds=st.sampled_from([2.0, 4.9]))
    def evacuate_silent_worker(self, entry: str, worker: str, seconds: float) -> None:
        """The data centre is evacuated while a worker there answers nothing."""
        if self.permanent_faults.is_unresponsive(worker):
            return
        machine = self.world.cell.worker_by_name[worker]
        machine.is_unreachable = True
        self.submit(entry, _TASKS, 1, _WORK_S, False)
        self.evacuate(True)
        self.world.advance(seconds)
        machine.is_unreachable = False
        self.world.advance(_POLL_S)

    @rule(worker=WORKERS, is_unhealthy=st.booleans())
    def refuse_starts(self, worker: str, is_unhealthy: bool) -> None:
        """A worker refuses all starts, or accepts them again."""
        self.world.cell.worker_by_name[worker].is_unhealthy = is_unhealthy

    @invariant()
    def check_evacuations(self) -> None:
        """No start order arrives once an evacuation is in force."""
        late = self.evacuations.late_orders()
        assert not late, f"started in an evacuated data centre: {late}"
