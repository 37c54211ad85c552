"""The workers an owner may place on, corrected by its own proposals."""

from __future__ import annotations

from collections import Counter, defaultdict
from dataclasses import dataclass
from datetime import timedelta

from coltsfoottray.clock import Clock
from coltsfoottray.logs import log_event
from coltsfoottray.membership import Member, Registry, WorkerReport
from coltsfoottray.placement import PlacementPolicy, WorkerView
from coltsfoottray.tasks.rows import TaskSpec
from coltsfoottray.types import AttendantId, Incarnation, Kind, Role, TaskId

__all__ = ["WorkerViews"]

SUSPECT_FAILURES = 3
SUSPECT_PAUSE = timedelta(minutes=5)


@dataclass(kw_only=True)
class _Learned:
    """What replies to our own proposals said, newer than the announcement."""

    incarnation: Incarnation
    report: WorkerReport
    basis: WorkerReport


class WorkerViews:
    """Joins announcements with the reports that come back on proposals."""

    def __init__(
        self, *, registry: Registry, policy: PlacementPolicy, clock: Clock
    ) -> None:
        self._clock = clock
        self._failed_tasks_by_worker: dict[AttendantId, set[TaskId]] = defaultdict(set)
        self._suspect_until_by_worker: dict[AttendantId, timedelta] = {}
        self._registry = registry
        self._policy = policy
        self._learned_by_worker: dict[AttendantId, _Learned] = {}
        self._spec_by_task: dict[TaskId, TaskSpec] = {}

    def find(self, worker: AttendantId) -> Member | None:
        """Return the worker's attendant if it is present."""
        return self._registry.find(worker)

    def record_spec(self, spec: TaskSpec) -> None:
        """Remember a task's kind, by which pairs on a worker are known."""
        self._spec_by_task[spec.task] = spec

    def forget_spec(self, task: TaskId) -> None:
        """Forget a task that runs no more."""
        self._spec_by_task.pop(task, None)

    @property
    def known_task_count(self) -> int:
        """How many running tasks are remembered."""
        return len(self._spec_by_task)

    def record_end(self, worker: AttendantId, task: TaskId, *, is_good: bool) -> None:
        """Take in how an attempt on `worker` ended.

        Some workers fail everything they start, and being always free they
        draw more than others. After `SUSPECT_FAILURES` different tasks have
        failed there in a row, the worker is passed over for a while; a task
        that fails everywhere does not make a worker suspect by itself.
        """
        failed = self._failed_tasks_by_worker[worker]
        if is_good:
            failed.clear()
            return
        failed.add(task)
        if len(failed) >= SUSPECT_FAILURES:
            self._suspect_until_by_worker[worker] = (
                self._clock.elapsed() + SUSPECT_PAUSE
            )
            log_event("placement:suspect", worker=worker, failed=sorted(failed))
            failed.clear()

    def record_report(self, member: Member, report: WorkerReport) -> None:
        """Take the report that came back on a proposal."""
        announcement = member.announcement
        assert announcement.worker is not None
        worker = AttendantId(announcement.daemon)
        self._learned_by_worker[worker] = _Learned(
            incarnation=announcement.incarnation,
            report=report,
            basis=announcement.worker,
        )

    def report_of(self, member: Member) -> WorkerReport:
        """Return the newest report of a worker."""
        announcement = member.announcement
        assert announcement.worker is not None
        learned = self._learned_by_worker.get(AttendantId(announcement.daemon))
        if (
            learned is not None
            and learned.incarnation == announcement.incarnation
            and learned.basis is announcement.worker
        ):
            return learned.report
        return announcement.worker

    def candidates(self) -> list[WorkerView]:
        """Return the workers that take new tasks."""
        members = [
            member
            for member in self._registry.members(Role.WORKER)
            if not member.announcement.is_draining
            and self.report_of(member).term > 0
            and not self._is_suspect(AttendantId(member.announcement.daemon))
        ]
        tasks_by_rack = Counter({member.announcement.rack: 0 for member in members})
        for member in members:
            attempts = self.report_of(member).attempts
            tasks_by_rack[member.announcement.rack] += len(attempts)
        return [self._as_view(member, tasks_by_rack) for member in members]

    def report_slowdowns(self) -> None:
        """Hand the late reports of slowdown to the policy."""
        for member in self._registry.members(Role.WORKER):
            attempts = self.report_of(member).attempts
            kind_by_task = {a.task: self._kind_of(a.task) for a in attempts}
            for attempt in attempts:
                kind = kind_by_task[attempt.task]
                beside = [
                    other
                    for task, other in kind_by_task.items()
                    if task != attempt.task and other is not None
                ]
                if kind is not None and attempt.exit_code is None and beside:
                    self._policy.record_slowdown(kind, beside, attempt.slowdown)

    def _is_suspect(self, worker: AttendantId) -> bool:
        until = self._suspect_until_by_worker.get(worker)
        return until is not None and self._clock.elapsed() < until

    def _as_view(self, member: Member, tasks_by_rack: Counter[str]) -> WorkerView:
        report = self.report_of(member)
        specs = [self._spec_by_task.get(a.task) for a in report.attempts]
        kinds: list[Kind] = [spec.kind for spec in specs if spec is not None]
        rack = member.announcement.rack
        return WorkerView(
            worker=AttendantId(member.announcement.daemon),
            capacity=report.capacity,
            free=report.capacity - report.reserved,
            kinds=kinds,
            tasks_in_rack=tasks_by_rack[rack],
        )

    def _kind_of(self, task: TaskId) -> Kind | None:
        spec = self._spec_by_task.get(task)
        return None if spec is None else spec.kind
