"""Injection of a plan of faults into a site."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field

import trio

from soak.crowds import send_crowd
from soak.foreign import send_report, store_row
from soak.partings import Partings
from soak.plan import Fault, FaultKind
from soak.site import Site
from standins.connections import Direction

__all__ = ["Injector"]

_SLOW_STORE_S = 0.4
# What the store refuses; the ids of a caller's jobs begin with the caller's number.
_REFUSED_ROWS = (
    "progress/scheduler/job.0000*",
    "state/scheduler/job.0001*",
    "attendants/scheduler/*",
    "progress/scheduler/pressures",
    "members//*",
)


@dataclass(kw_only=True)
class Injector:
    """Injects faults, which may overlap, also on the same target."""

    site: Site
    partings: Partings = field(init=False)
    count_by_state: Counter[tuple[str, str]] = field(default_factory=Counter)

    def __post_init__(self) -> None:
        self.partings = Partings(site=self.site)

    async def play(self, plan: Sequence[Fault]) -> None:
        """Inject each fault at its time, counted from now."""
        start = trio.current_time()
        async with trio.open_nursery() as nursery:
            for fault in plan:
                await trio.sleep_until(start + fault.at_s)
                nursery.start_soon(self._inject, fault)

    async def heal(self) -> None:
        """End every fault that is not permanent."""
        site = self.site
        self.count_by_state.clear()
        site.table.faults.is_down = False
        site.table.faults.delay_s = 0.0
        site.table.faults.lost_answers = 0
        site.table.late_writes = 0
        site.table.refused_keys.clear()
        self.partings.heal()
        for program in site.program_by_name.values():
            await program.recover()
        for name, worker in site.worker_by_name.items():
            worker.is_unhealthy = False
            worker.late_starts = 0
            worker.unanswered_starts = 0
            worker.is_unreachable = worker.is_destroyed
            await site.open_worker(name)

    async def _inject(self, fault: Fault) -> None:
        if fault.kind.group == "program":
            await self._inject_into_program(fault)
        elif fault.kind.group == "worker":
            await self._inject_into_worker(fault)
        elif fault.kind.group == "store":
            await self._inject_into_store(fault)
        elif fault.kind is FaultKind.CONNECTIONS_SILENT:
            direction = list(Direction)[fault.count % len(Direction)]
            self.site.silence(fault.target, direction)
        else:
            self.site.write_config()

    async def _inject_into_program(self, fault: Fault) -> None:
        program = self.site.program_by_name[fault.target]
        if fault.kind is FaultKind.PROGRAM_KILL:
            await program.kill(fault.duration_s)
        elif fault.kind is FaultKind.PROGRAM_TERMINATE:
            await program.terminate(fault.duration_s)
        elif fault.kind is FaultKind.PROGRAM_GONE:
            program.is_gone = True
            await program.kill(0.0)
        elif fault.kind is FaultKind.PROGRAM_PARTED:
            pairs = self.partings.begin(fault)
            await trio.sleep(fault.duration_s)
            self.partings.end(pairs)
        elif fault.kind is FaultKind.PROGRAM_CROWD:
            address, path = self.site.way_in(fault.target, fault.count)
            await send_crowd(address, path, fault.count, fault.duration_s)
            program.check_memory()
        else:
            await program.pause(fault.duration_s)

    async def _inject_into_worker(self, fault: Fault) -> None:
        worker = self.site.worker_by_name[fault.target]
        if worker.is_destroyed:
            return
        if fault.kind is FaultKind.WORKER_GONE:
            worker.destroy()
        elif fault.kind is FaultKind.WORKER_LATE:
            worker.late_starts += fault.count
        elif fault.kind is FaultKind.WORKER_UNANSWERED:
            worker.unanswered_starts += fault.count
        elif fault.kind is FaultKind.WORKER_FOREIGN_REPORT:
            await send_report(self.site, fault.target, fault.count)
        elif fault.kind is FaultKind.WORKER_REFUSE:
            worker.is_unhealthy = True
            if await self._hold(fault.target, "refuses", fault.duration_s):
                worker.is_unhealthy = False
        else:
            await self._silence_worker(fault)

    async def _silence_worker(self, fault: Fault) -> None:
        """Stop a worker from answering for a while, with or without its runs."""
        worker = self.site.worker_by_name[fault.target]
        if fault.kind is FaultKind.WORKER_CRASH:
            self.site.close_worker(fault.target)
            worker.crash()
        worker.is_unreachable = True
        if await self._hold(fault.target, "silent", fault.duration_s):
            worker.is_unreachable = worker.is_destroyed
            await self.site.open_worker(fault.target)

    async def _inject_into_store(self, fault: Fault) -> None:
        table = self.site.table
        if fault.kind is FaultKind.STORE_DROPPED_HISTORY:
            table.drop_history()
        elif fault.kind is FaultKind.STORE_LOST_ANSWERS:
            table.faults.lost_answers += fault.count
        elif fault.kind is FaultKind.STORE_LATE_WRITES:
            table.late_writes += fault.count
        elif fault.kind is FaultKind.STORE_FOREIGN_ROW:
            store_row(table, int(fault.duration_s * 1000))
        elif fault.kind is FaultKind.STORE_REFUSED_ROWS:
            rows = _REFUSED_ROWS[fault.count % len(_REFUSED_ROWS)]
            table.refused_keys.add(rows)
            if await self._hold(fault.target, f"refuses {rows}", fault.duration_s):
                table.refused_keys.discard(rows)
        elif fault.kind is FaultKind.STORE_DOWN:
            table.faults.is_down = True
            if await self._hold(fault.target, "down", fault.duration_s):
                table.faults.is_down = False
        else:
            table.faults.delay_s = _SLOW_STORE_S
            if await self._hold(fault.target, "slow", fault.duration_s):
                table.faults.delay_s = 0.0

    async def _hold(self, target: str, state: str, duration_s: float) -> bool:
        """Wait, and return whether no overlapping fault keeps up the state."""
        self.count_by_state[target, state] += 1
        await trio.sleep(duration_s)
        self.count_by_state[target, state] -= 1
        return self.count_by_state[target, state] == 0
