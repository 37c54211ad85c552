"""Jobs under the faults of `Jobs`, with processes that live and do not reach others.

Connections between them are refused, reset or silent, while the store is down and a
worker that was reached is cut off, each from a moment of its own.
"""

from __future__ import annotations

from typing import Any

from hypothesis import strategies as st
from hypothesis.stateful import initialize, rule

from properties.jobs import ENTRIES, PROCESSES, WORKERS, Jobs
from standins.connections import Parting

__all__ = ["PartedJobs"]

_MS_PER_S = 1000
_SERVICE_TASKS = 4
PARTINGS = st.sampled_from(Parting)
_TROUBLE: dict[str, Any] = {
    "entry": ENTRIES,
    "parting": PARTINGS,
    "reached": st.lists(WORKERS, min_size=1, max_size=2, unique=True),
    "parted_at_ms": st.sampled_from([0, 300]),
    "down_at_ms": st.sampled_from([0, 300, 2000]),
    "down_for_ms": st.sampled_from([2000, 4500]),
    "isolated_at_ms": st.sampled_from([1000, 2500, 4000]),
    "healed_at_ms": st.sampled_from([9000, 13_000]),
}


class PartedJobs(Jobs):
    """Adds refused, reset and silent connections between processes that live."""

    @initialize(**_TROUBLE)
    def begin(self, **arguments: Any) -> None:
        """Begin each run with such a trouble."""
        self.part_beside_outage(**arguments)

    @rule(process=PROCESSES, other=PROCESSES, parting=PARTINGS)
    def part(self, process: str, other: str, parting: Parting) -> None:
        """Two processes no longer reach one another."""
        if process != other:
            self._part(process, {other}, parting)

    @rule()
    def rejoin(self) -> None:
        """All processes reach each other again, except over permanently cut links."""
        self._rejoin()

    @rule(**_TROUBLE)
    def part_beside_outage(
        self,
        entry: str,
        parting: Parting,
        reached: list[str],
        parted_at_ms: int,
        down_at_ms: int,
        down_for_ms: int,
        isolated_at_ms: int,
        healed_at_ms: int,
    ) -> None:
        """The scheduler reaches only some attendants, beside other faults."""
        self.submit_service(entry, _SERVICE_TASKS)
        self.submit(entry, _SERVICE_TASKS, 2, 2.0, False)
        cell = self.world.cell
        scheduler = cell.scheduler()
        entries = {*cell.entry_by_name, "store"}
        unreached = {*entries, *cell.worker_by_name} - {scheduler, *reached}
        isolated = reached[0]
        steps = [
            (parted_at_ms, lambda: self._part(scheduler, unreached, parting)),
            (down_at_ms, lambda: self.store(True)),
            (down_at_ms + down_for_ms, lambda: self.store(False)),
            (isolated_at_ms, lambda: self._part(isolated, entries, Parting.SILENT)),
            (healed_at_ms, self._rejoin),
        ]
        begun_at = self.world.now()
        for at_ms, step in sorted(steps, key=lambda each: each[0]):
            passed_s = self.world.now() - begun_at
            self.world.advance(max(at_ms / _MS_PER_S - passed_s, 0))
            step()

    def _part(self, process: str, others: set[str], parting: Parting) -> None:
        fabric = self.world.fabric
        pairs = {
            Parting.REFUSED: fabric.refusing,
            Parting.RESET: fabric.resetting,
            Parting.SILENT: fabric.cut,
        }[parting]
        pairs |= {frozenset((process, other)) for other in others}

    def _rejoin(self) -> None:
        self.permanent_faults.heal_links(set(self.world.fabric.cut))
        self.world.fabric.refusing.clear()
        self.world.fabric.resetting.clear()
