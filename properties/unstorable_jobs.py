"""Jobs under the faults of `Jobs` while the store refuses single rows for good.

Whatever row it is, other jobs go on, the scheduler stays, and once the store takes the
row again its job is seen to its end.
"""

from __future__ import annotations

from collections.abc import Callable

from hypothesis import strategies as st
from hypothesis.stateful import rule

from coltsfoottray.jobs.keys import accepted_key, cancel_key, record_key, summary_key
from coltsfoottray.jobs.model import JobId
from properties.jobs import ENTRIES, Jobs
from tests.support.job_world import job_id, make_steps

__all__ = ["UnstorableJobs"]

SIDE_ROWS = st.sampled_from(
    ["progress/scheduler/pressures", "attendants/scheduler/*", "members//*"]
)
JOB_ROWS = st.sampled_from([accepted_key, cancel_key, record_key, summary_key])
# Covers the longest lease, and the placement of what has ended with it.
_CALM_S = 20.0
# Time within which a job of one short task ends where nothing disturbs it.
_SHORT_JOB_S = 5.0
_WORK_S = 0.3
_ACCEPTED = 200


class UnstorableJobs(Jobs):
    """Adds rows of which the store refuses each write."""

    @rule(row=SIDE_ROWS)
    def refuse_side_row(self, row: str) -> None:
        """The store refuses a row that belongs to no job."""
        self._refuse(row)

    @rule(data=st.data(), key=JOB_ROWS)
    def refuse_job_row(self, data: st.DataObject, key: Callable[[JobId], str]) -> None:
        """The store refuses a row of a job that it has accepted, or of a new one."""
        labels = [*sorted(self._accepted), f"j{len(self._accepted)}"]
        self._refuse(key(JobId(job_id(data.draw(st.sampled_from(labels))))))

    @rule()
    def accept_rows(self) -> None:
        """The store refuses nothing any more."""
        self.world.cell.metadata_table.refused_keys.clear()

    @rule(entry=ENTRIES, key=st.sampled_from([record_key, summary_key]), row=SIDE_ROWS)
    def refuse_in_calm(self, entry: str, key: Callable[[JobId], str], row: str) -> None:
        """Refused rows alone replace no scheduler and delay no other job."""
        if not self._is_answering(entry):
            return
        self.permanent_faults.heal_transient()
        self.world.advance(_CALM_S)
        before = self._epoch()
        refused = f"j{next(self._numbers)}"
        self._refuse(key(JobId(job_id(refused))))
        self._refuse(row)
        self._submit_short(entry, refused)
        self.world.advance(1.0)
        label = f"j{next(self._numbers)}"
        if self._submit_short(entry, label) == _ACCEPTED:
            self.world.advance(_SHORT_JOB_S)
            teller = self.permanent_faults.recoverable_entry()
            state = self.world.state_of(teller, label)
            assert state == "completed", f"{label} is {state}"
        assert self._epoch() == before, "the scheduler was replaced"

    def _submit_short(self, entry: str, label: str) -> int:
        """Submit a job that takes no room; return the status."""
        shape = make_steps(1, 1, _WORK_S, cpu=0)
        status = self.world.submit_job(entry, label, shape, work_s=_WORK_S, share=0)
        self._record_answer(label, status, 1)
        return status

    def _epoch(self) -> int:
        row = self.world.cell.metadata_table.value_of("state", "scheduler", "lease")
        assert isinstance(row, dict)
        return int(row["epoch"])

    def _refuse(self, row: str) -> None:
        self.world.cell.metadata_table.refused_keys.add(row)
