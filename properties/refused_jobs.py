"""Jobs under the faults of `Jobs` while workers refuse starts.

Their attendants reject these starts: the runs do not and will not exist. Until that is
stored, attendants and schedulers restart, and messages and writes are slow.
"""

from __future__ import annotations

import sys
from enum import StrEnum
from typing import Any

import trio
from hypothesis import strategies as st
from hypothesis.stateful import initialize, rule

from properties.jobs import ENTRIES, WORKERS, Jobs
from properties.repeated_orders import OrderRecorder

__all__ = ["RefusedJobs"]

_TASKS = 12
_WORK_S = 4.0
# A task starts at once on an idle worker.
_START_TIMEOUT_S = 0.5
_STEP_S = 0.001
# The longest that the scheduler's part of the store is slow.
_MAX_DELAY_S = 2.8
# Time within which a restarted daemon has taken up its work, or an attendant has
# noticed that its worker answers again.
_RECOVERY_S = 2.0
# Covers a lease.
_SILENCE_S = 8.0


class Delay(StrEnum):
    """What keeps the scheduler from storing a rejection."""

    SLOW_STORE = "slow store"
    LATE_MESSAGES = "late messages"
    STORE_DOWN = "store down"


class Interruption(StrEnum):
    """What happens before the scheduler has stored a rejection, or after it."""

    ATTENDANT_RESTARTS = "attendant restarts"
    SCHEDULER_RESTARTS = "scheduler restarts"
    LEASE_EXPIRES = "lease expires"


_DELAYS = st.sampled_from(list(Delay))
_REJECTIONS: dict[str, Any] = {
    "entry": ENTRIES,
    "worker": WORKERS,
    "delay": _DELAYS,
    "slow_starts": st.sampled_from([0, 2, 6]),
    # Slow starts are rejected after 0.65 s.
    "seconds": st.sampled_from([0.7, 1.1]),
    "interruption": st.sampled_from(list(Interruption)),
}


class RefusedJobs(Jobs):
    """Adds refused starts, slow starts, writes and messages, and repeated orders."""

    def __init__(self) -> None:
        super().__init__()
        self.orders = OrderRecorder(world=self.world)

    @rule(worker=WORKERS, is_unhealthy=st.booleans())
    def refuse_starts(self, worker: str, is_unhealthy: bool) -> None:
        """A worker refuses all starts, or accepts them again."""
        self.world.cell.worker_by_name[worker].is_unhealthy = is_unhealthy

    @rule(worker=WORKERS, count=st.integers(min_value=1, max_value=6))
    def slow_starts(self, worker: str, count: int) -> None:
        """The next start orders reach the worker just before they time out."""
        self.world.cell.worker_by_name[worker].slow_starts = count

    @rule(delay=_DELAYS, seconds=st.sampled_from([0.5, 1.5, 2.8]))
    def delay_scheduler(self, delay: Delay, seconds: float) -> None:
        """What the scheduler writes or is told is slow for a while."""

        async def begin() -> None:
            await self._delay(delay, seconds)

        self.world.spawn(begin)

    @rule(worker=WORKERS)
    def repeat_orders(self, worker: str) -> None:
        """Orders arrive at an attendant once more."""
        self.orders.repeat(worker)

    @rule(**_REJECTIONS)
    def interrupt_rejections(
        self,
        entry: str,
        worker: str,
        delay: Delay,
        slow_starts: int,
        seconds: float,
        interruption: Interruption,
    ) -> None:
        """Something fails while rejections are on their way to the store."""
        machine = self.world.cell.worker_by_name[worker]
        machine.is_unhealthy = True
        machine.slow_starts = slow_starts
        self._delay_at_start(worker, delay)
        self.submit(entry, _TASKS, 1, _WORK_S, False)
        self.world.advance(seconds)
        machine.is_unhealthy = False
        self._interrupt(worker, interruption)
        self.world.advance(_RECOVERY_S)
        self.repeat_orders(worker)

    @initialize(**_REJECTIONS)
    def begin(self, **arguments: Any) -> None:
        """Begin each run with interrupted rejections in an idle cell."""
        self.interrupt_rejections(**arguments)

    def _interrupt(self, worker: str, interruption: Interruption) -> None:
        if interruption is Interruption.ATTENDANT_RESTARTS:
            self.restart(worker)
        elif interruption is Interruption.LEASE_EXPIRES:
            self._expire_lease(worker)
        elif self.world.cell.scheduler():
            self.restart(self.world.cell.scheduler())

    def _expire_lease(self, worker: str) -> None:
        """Let a worker answer nothing until its lease has expired."""
        if self.permanent_faults.is_unresponsive(worker):
            return
        machine = self.world.cell.worker_by_name[worker]
        machine.is_unreachable = True
        self.world.advance(_SILENCE_S)
        machine.is_unreachable = False

    def _delay_at_start(self, worker: str, delay: Delay) -> None:
        """Delay the scheduler as soon as a worker is sent a start."""
        order_times_s = self.world.cell.worker_by_name[worker].order_times_s
        known = len(order_times_s)

        async def wait_and_delay() -> None:
            with trio.move_on_after(_START_TIMEOUT_S):
                while len(order_times_s) == known:
                    await trio.sleep(_STEP_S)
            if len(order_times_s) > known:
                await self._delay(delay, _MAX_DELAY_S)

        self.world.spawn(wait_and_delay)

    async def _delay(self, delay: Delay, seconds: float) -> None:
        """Delay the scheduler, and return once that is over."""
        cell = self.world.cell
        if delay is Delay.SLOW_STORE:
            cell.metadata_table.occupy("scheduler", seconds)
        elif delay is Delay.STORE_DOWN:
            cell.metadata_table.faults.is_down = True
            await trio.sleep(seconds)
            cell.metadata_table.faults.is_down = False
        elif cell.scheduler():
            faults = self.world.fabric.faults(cell.scheduler())
            faults.late_requests = sys.maxsize
            await trio.sleep(seconds)
            faults.late_requests = 0
