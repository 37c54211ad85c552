"""Detection of tasks that are owed and do not run, and of who holds them up."""

from __future__ import annotations

import enum
from collections import Counter, defaultdict
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, field
from datetime import timedelta

from coltsfoottray.clock import Clock
from coltsfoottray.jobs.model import TaskRef
from coltsfoottray.logs import log_event
from coltsfoottray.metrics import Metrics
from coltsfoottray.scheduler.cluster_state import ClusterState
from coltsfoottray.scheduler.fleet import Worker
from coltsfoottray.scheduler.placed_run import PlacedRun
from coltsfoottray.scheduler.wait_reason import WaitReason

__all__ = ["Holder", "OverdueMonitor"]

_INTERVAL = timedelta(seconds=1)
# Users consider a service's task lost if it does not run for 3 s after 4 s in which
# nothing has failed.
_MAX_OWED_TIME = timedelta(seconds=7)
# A run listed by a report counts as running for two and a half report intervals.
_LISTED_FOR = timedelta(seconds=2.5)
# A write usually takes some 10 ms.
_MAX_WRITE_TIME = timedelta(seconds=1)
_LOG_INTERVAL = timedelta(seconds=5)
_MAX_LOGGED_TASKS = 10


class Holder(enum.Enum):
    """What a task that does not run waits for."""

    PLACEMENT = "placement"
    """The choice of a worker, although some worker may have room."""
    STORE = "store"
    """The write of its assignment, or one that has delayed all decisions."""
    ATTENDANT = "attendant"
    """The start that its worker's attendant was ordered."""
    LEASE = "lease"
    """The end of the lease of a worker that does not answer, or whose new incarnation
    has not listed its runs."""


@dataclass(frozen=True, kw_only=True, slots=True)
class _OwedTask:
    """A task whose turn has come and that no worker lists as running."""

    task: TaskRef
    holder: Holder
    worker: str = ""


@dataclass(kw_only=True, slots=True)
class _Wait:
    """The time since which a task has been owed without a pause.

    Parameters
    ----------
    holder, held_since
        What holds the task now, and since when without a pause.
    checks_by_holder : Counter
        For each holder, how many checks found that it held the task.
    """

    since: timedelta
    holder: Holder
    held_since: timedelta
    checks_by_holder: Counter[Holder] = field(default_factory=Counter)

    def extend(self, holder: Holder, now: timedelta) -> None:
        """Record what holds the task at a check."""
        self.checks_by_holder[holder] += 1
        if holder is not self.holder:
            self.holder = holder
            self.held_since = now

    def main_holder(self, now: timedelta) -> Holder:
        """Return what makes the task overdue.

        The present holder may have got the task a moment ago.
        """
        if now - self.held_since > _MAX_OWED_TIME:
            return self.holder
        return self.checks_by_holder.most_common(1)[0][0]


class OverdueMonitor:
    """Records the tasks that have been owed for too long, by what holds them up.

    The time of a task counts from when this scheduler first found it owed. A task that
    has no worker is owed if it is a service's and does not wait for room: other tasks
    also wait for good places and for more urgent ones.

    Parameters
    ----------
    writing_since : callable
        Returns when the scheduler's write in progress was sent, None if there is none.
        While it lasts, nothing is decided and no report of runs is applied.
    """

    def __init__(
        self,
        *,
        cluster: ClusterState,
        writing_since: Callable[[], timedelta | None],
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._cluster = cluster
        self._writing_since = writing_since
        self._clock = clock
        self._metrics = metrics
        self._wait_by_task: dict[TaskRef, _Wait] = {}
        self._logged_at_by_holder: dict[Holder, timedelta] = {}

    async def run(self) -> None:
        """Check at an interval until cancelled."""
        while True:
            await self._clock.sleep(_INTERVAL)
            self.check()

    def check(self) -> None:
        """Update the metrics, and log what is overdue."""
        now = self._clock.elapsed()
        owed = list(self._list_owed(now))
        self._wait_by_task = {each.task: self._extend_wait(each, now) for each in owed}
        overdue_by_holder: dict[Holder, list[_OwedTask]] = defaultdict(list)
        for each in owed:
            wait = self._wait_by_task[each.task]
            if now - wait.since > _MAX_OWED_TIME:
                overdue_by_holder[wait.main_holder(now)].append(each)
        for holder in Holder:
            overdue = overdue_by_holder[holder]
            self._metrics.gauge("tasks_overdue", len(overdue), held_by=holder.value)
            self._log(holder, overdue, now)

    def _extend_wait(self, owed: _OwedTask, now: timedelta) -> _Wait:
        wait = self._wait_by_task.get(owed.task)
        if wait is None:
            wait = _Wait(since=now, holder=owed.holder, held_since=now)
        wait.extend(owed.holder, now)
        return wait

    def _log(
        self, holder: Holder, overdue: Sequence[_OwedTask], now: timedelta
    ) -> None:
        if not overdue:
            self._logged_at_by_holder.pop(holder, None)
            return
        logged_at = self._logged_at_by_holder.get(holder)
        if logged_at is not None and now - logged_at < _LOG_INTERVAL:
            return
        self._logged_at_by_holder[holder] = now
        oldest = sorted(overdue, key=lambda each: self._wait_by_task[each.task].since)
        longest = now - self._wait_by_task[oldest[0].task].since
        log_event(
            "scheduler:overdue",
            held_by=holder.value,
            count=len(overdue),
            longest_s=round(longest.total_seconds(), 1),
            tasks=[f"{e.task}@{e.worker}" for e in oldest[:_MAX_LOGGED_TASKS]],
        )

    def _list_owed(self, now: timedelta) -> Iterator[_OwedTask]:
        is_store_slow = self._is_store_slow(now)
        yield from self._list_waiting(is_store_slow)
        for worker in self._cluster.fleet.worker_by_id.values():
            for placed in worker.held_by_ref.values():
                is_owed = not placed.step.job.record.state.is_final
                if is_owed and not _is_running(placed, worker, now):
                    holder = _holder_of(placed, worker)
                    yield _OwedTask(
                        task=placed.ref.task,
                        holder=Holder.STORE if is_store_slow else holder,
                        worker=worker.id,
                    )

    def _list_waiting(self, is_store_slow: bool) -> Iterator[_OwedTask]:
        holder = Holder.STORE if is_store_slow else Holder.PLACEMENT
        for job in self._cluster.jobs.active_by_id.values():
            for step in job.steps():
                is_owed = step.spec.is_service and step.waiting and step.has_turn
                if is_owed and step.wait_reason is not WaitReason.ROOM:
                    for index in step.waiting:
                        yield _OwedTask(task=step.ref(index), holder=holder)

    def _is_store_slow(self, now: timedelta) -> bool:
        since = self._writing_since()
        return since is not None and now - since > _MAX_WRITE_TIME


def _is_running(placed: PlacedRun, worker: Worker, now: timedelta) -> bool:
    if placed.listed_at is None or worker.leases.replaced_since is not None:
        return False
    return now - placed.listed_at <= _LISTED_FOR


def _holder_of(placed: PlacedRun, worker: Worker) -> Holder:
    if not placed.is_released:
        return Holder.STORE
    is_answering = worker.is_reachable and worker.leases.replaced_since is None
    return Holder.ATTENDANT if is_answering else Holder.LEASE
