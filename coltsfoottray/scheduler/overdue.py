"""Detection of tasks that are owed and do not run, and of who holds them up."""

from __future__ import annotations

import enum
from collections import Counter, defaultdict
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field
from datetime import timedelta

from coltsfoottray.clock import Clock
from coltsfoottray.jobs.model import TaskRef
from coltsfoottray.logs import log_event
from coltsfoottray.metrics import Metrics
from coltsfoottray.scheduler.cluster_state import ClusterState
from coltsfoottray.scheduler.fleet import PlacedRun, Worker
from coltsfoottray.scheduler.live import LiveStep
from coltsfoottray.scheduler.wait_reason import WaitReason

__all__ = ["Holder", "OverdueMonitor"]

_INTERVAL = timedelta(seconds=1)
# Users consider a service's task lost if it does not run for 3 s after 4 s in which
# nothing has failed.
_MAX_OWED_TIME = timedelta(seconds=7)
# A run listed by a report counts as running for two and a half report intervals.
_LISTED_FOR = timedelta(seconds=2.5)
_LOG_INTERVAL = timedelta(seconds=5)
_MAX_LOGGED_TASKS = 10


class Holder(enum.Enum):
    """What a task that does not run waits for."""

    ROOM = "room"
    """A worker with the resources that it reserves."""
    PLACEMENT = "placement"
    """The choice of a worker, for another reason than room."""
    STORE = "store"
    """The write of its assignment."""
    ATTENDANT = "attendant"
    """The start that its worker's attendant was ordered."""
    LEASE = "lease"
    """The end of the lease of a worker that does not answer."""


@dataclass(kw_only=True, slots=True)
class _OwedTask:
    """A task whose turn has come and that no worker lists as running."""

    task: TaskRef
    holder: Holder
    worker: str
    is_service: bool


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

        The present holder may have got the task a moment ago, after a long wait for
        room.
        """
        if now - self.held_since > _MAX_OWED_TIME:
            return self.holder
        return self.checks_by_holder.most_common(1)[0][0]


class OverdueMonitor:
    """Records the tasks that have been owed for too long, by what holds them up.

    The time of a task counts from when this scheduler first found it owed.
    """

    def __init__(
        self, *, cluster: ClusterState, clock: Clock, metrics: Metrics
    ) -> None:
        self._cluster = cluster
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
            logged = [each for each in overdue if _is_logged(each, holder)]
            self._log(holder, logged, now)

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
        for job in self._cluster.jobs.active_by_id.values():
            for step in job.steps():
                if step.waiting and step.has_turn:
                    yield from _list_waiting(step)
        for worker in self._cluster.fleet.worker_by_id.values():
            for placed in worker.held_by_ref.values():
                is_owed = not placed.step.job.record.state.is_final
                if is_owed and not _is_running(placed, now):
                    yield _OwedTask(
                        task=placed.ref.task,
                        holder=_holder_of(placed, worker),
                        worker=worker.id,
                        is_service=placed.step.spec.is_service,
                    )


def _is_logged(owed: _OwedTask, holder: Holder) -> bool:
    """Whether a log line names a task that is overdue because of a holder.

    Waiting for room is no fault, and fillers wait for good places.
    """
    if holder is Holder.PLACEMENT:
        return owed.is_service
    return holder is not Holder.ROOM


def _list_waiting(step: LiveStep) -> Iterator[_OwedTask]:
    lacks_room = step.wait_reason is WaitReason.ROOM
    for index in step.waiting:
        yield _OwedTask(
            task=step.ref(index),
            holder=Holder.ROOM if lacks_room else Holder.PLACEMENT,
            worker="",
            is_service=step.spec.is_service,
        )


def _is_running(placed: PlacedRun, now: timedelta) -> bool:
    return placed.listed_at is not None and now - placed.listed_at <= _LISTED_FOR


def _holder_of(placed: PlacedRun, worker: Worker) -> Holder:
    if not placed.is_released:
        return Holder.STORE
    return Holder.ATTENDANT if worker.is_reachable else Holder.LEASE
