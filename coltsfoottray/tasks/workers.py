"""An owner's view of the workers, updated by the replies to its own proposals."""

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
SUSPECT_DURATION = timedelta(minutes=5)


@dataclass(kw_only=True)
class _ReplyReport:
    """A report in a reply to a proposal, newer than the announced report."""

    incarnation: Incarnation
    report: WorkerReport
    announced: WorkerReport


class WorkerViews:
    """Combines the workers' announced reports with those in replies to proposals."""

    def __init__(
        self, *, registry: Registry, policy: PlacementPolicy, clock: Clock
    ) -> None:
        self._clock = clock
        self._failed_tasks_by_worker: dict[AttendantId, set[TaskId]] = defaultdict(set)
        self._suspect_until_by_worker: dict[AttendantId, timedelta] = {}
        self._registry = registry
        self._policy = policy
        self._reply_report_by_worker: dict[AttendantId, _ReplyReport] = {}
        self._spec_by_task: dict[TaskId, TaskSpec] = {}

    def find(self, worker: AttendantId) -> Member | None:
        """Return the worker's attendant, None if it is not registered."""
        return self._registry.find(worker)

    def record_spec(self, spec: TaskSpec) -> None:
        """Record a running task's spec, whose kind identifies pairs on a worker."""
        self._spec_by_task[spec.task] = spec

    def forget_spec(self, task: TaskId) -> None:
        """Remove the spec of a task that no longer runs."""
        self._spec_by_task.pop(task, None)

    @property
    def known_task_count(self) -> int:
        """The number of running tasks whose specs are recorded."""
        return len(self._spec_by_task)

    def record_end(
        self, worker: AttendantId, task: TaskId, *, has_succeeded: bool
    ) -> None:
        """Record how an attempt on `worker` ended.

        Some workers fail everything they start. As they are always free, they
        receive more tasks than others. After `SUSPECT_FAILURES` different tasks
        have failed on a worker in a row, it receives no tasks for
        `SUSPECT_DURATION`. A task that fails everywhere does not make a worker
        suspect by itself.
        """
        failed = self._failed_tasks_by_worker[worker]
        if has_succeeded:
            failed.clear()
            return
        failed.add(task)
        if len(failed) >= SUSPECT_FAILURES:
            self._suspect_until_by_worker[worker] = (
                self._clock.elapsed() + SUSPECT_DURATION
            )
            log_event("placement:suspect", worker=worker, failed=sorted(failed))
            failed.clear()

    def record_report(self, member: Member, report: WorkerReport) -> None:
        """Record the report in a reply to a proposal."""
        announcement = member.announcement
        assert announcement.worker is not None
        worker = AttendantId(announcement.daemon)
        self._reply_report_by_worker[worker] = _ReplyReport(
            incarnation=announcement.incarnation,
            report=report,
            announced=announcement.worker,
        )

    def report_of(self, member: Member) -> WorkerReport:
        """Return the newest report of a worker, announced or from a reply."""
        announcement = member.announcement
        assert announcement.worker is not None
        reply_report = self._reply_report_by_worker.get(
            AttendantId(announcement.daemon)
        )
        if (
            reply_report is not None
            and reply_report.incarnation == announcement.incarnation
            and reply_report.announced is announcement.worker
        ):
            return reply_report.report
        return announcement.worker

    def candidates(self) -> list[WorkerView]:
        """Return the workers that accept new tasks."""
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
        """Pass the slowdowns in the workers' newest reports to the policy."""
        for member in self._registry.members(Role.WORKER):
            attempts = self.report_of(member).attempts
            kind_by_task = {a.task: self._kind_of(a.task) for a in attempts}
            for attempt in attempts:
                kind = kind_by_task[attempt.task]
                colocated = [
                    other
                    for task, other in kind_by_task.items()
                    if task != attempt.task and other is not None
                ]
                if kind is not None and attempt.exit_code is None and colocated:
                    self._policy.record_slowdown(kind, colocated, attempt.slowdown)

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
