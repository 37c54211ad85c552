"""Supervision of running attempts until they end."""

from __future__ import annotations

from datetime import timedelta

import msgspec
from msgspec.structs import replace
from returns.result import Success

from coltsfoottray.clock import Clock
from coltsfoottray.errors import CommunicationError
from coltsfoottray.explain import Journal, Verb
from coltsfoottray.leases.lost_workers import LostWorkerDetector
from coltsfoottray.logs import log_event
from coltsfoottray.membership import AttemptReport, Member
from coltsfoottray.peers import PeerClient
from coltsfoottray.platform import ObjectStore
from coltsfoottray.tasks.partition import OwnedPartition
from coltsfoottray.tasks.placer import CALL_TIMEOUT, Placer
from coltsfoottray.tasks.rows import StoredTask, TaskRow, checkpoint_name, result_name
from coltsfoottray.tasks.store import TaskStore
from coltsfoottray.tasks.workers import WorkerViews
from coltsfoottray.types import TaskState
from coltsfoottray.worker.messages import (
    FORGET,
    STOP,
    ForgetRequest,
    StopRequest,
    Verdict,
)

__all__ = ["AttemptSupervisor"]

# A start that no report confirms within this time is requested again.
START_RETRY_INTERVAL = timedelta(seconds=3)
MAX_FAILURES = 3
# Verdicts after which this attempt will never start on that worker.
_PERMANENT_REFUSALS = frozenset(
    {Verdict.NO_ROOM, Verdict.STOPPED, Verdict.WORKER_FAILED}
)


class AttemptSupervisor:
    """Acts on the newest report about a running attempt."""

    def __init__(
        self,
        *,
        store: TaskStore,
        views: WorkerViews,
        placer: Placer,
        lost_workers: LostWorkerDetector,
        peers: PeerClient,
        objects: ObjectStore,
        journal: Journal,
        clock: Clock,
    ) -> None:
        self._store = store
        self._views = views
        self._placer = placer
        self._lost_workers = lost_workers
        self._peers = peers
        self._objects = objects
        self._journal = journal
        self._clock = clock

    def needs_action(self, partition: OwnedPartition, stored: StoredTask) -> bool:
        """Return whether `supervise` has anything to do now."""
        row = stored.row
        self._views.record_spec(row.spec)
        if row.wants_cancel or self._lost_workers.has_term_ended(row.worker, row.term):
            return True
        member = self._views.find(row.worker)
        if member is None:
            return False
        report = self._find_report(member, row)
        if report is not None:
            return report.exit_code is not None
        return self._is_start_overdue(partition, row)

    async def supervise(self, partition: OwnedPartition, stored: StoredTask) -> None:
        """Take the next action that a running attempt needs."""
        row = stored.row
        if self._lost_workers.has_term_ended(row.worker, row.term):
            await self._requeue(partition, stored, f"worker {row.worker} was lost")
            return
        member = self._views.find(row.worker)
        if member is None:
            return
        report = self._find_report(member, row)
        if report is not None and report.exit_code is not None:
            await self._handle_end(partition, stored, member, report.exit_code)
        elif row.wants_cancel:
            await self._cancel(partition, stored, member)
        elif report is None and self._is_start_overdue(partition, row):
            await self._retry_start(partition, stored, member)

    def _find_report(self, member: Member, row: TaskRow) -> AttemptReport | None:
        for report in self._views.report_of(member).attempts:
            if report.task == row.spec.task and report.attempt == row.attempt:
                return report
        return None

    def _is_start_overdue(self, partition: OwnedPartition, row: TaskRow) -> bool:
        now = self._clock.elapsed()
        requested_at = partition.started_at_by_task.setdefault(row.spec.task, now)
        return now - requested_at > START_RETRY_INTERVAL

    async def _retry_start(
        self, partition: OwnedPartition, stored: StoredTask, member: Member
    ) -> None:
        partition.started_at_by_task[stored.row.spec.task] = self._clock.elapsed()
        verdict = await self._placer.start(member, stored.row)
        if (
            verdict in _PERMANENT_REFUSALS
            and await self._stop(member, stored.row) is not None
        ):
            assert verdict is not None
            await self._requeue(partition, stored, f"not started: {verdict.value}")

    async def _handle_end(
        self,
        partition: OwnedPartition,
        stored: StoredTask,
        member: Member,
        exit_code: int,
    ) -> None:
        row = stored.row
        self._views.record_end(row.worker, row.spec.task, has_succeeded=exit_code == 0)
        if await self._write_end(partition, stored, exit_code):
            await self._forget(member, row)

    async def _write_end(
        self, partition: OwnedPartition, stored: StoredTask, exit_code: int
    ) -> bool:
        row = stored.row
        failures = row.failures + (exit_code != 0)
        if exit_code == 0:
            state, reason = TaskState.FINISHED, "exit code 0"
        elif row.wants_cancel:
            state, reason = TaskState.CANCELLED, f"exit code {exit_code}, cancelled"
        elif failures < MAX_FAILURES:
            state, reason = TaskState.QUEUED, f"exit code {exit_code}, queued again"
        else:
            state, reason = (
                TaskState.FAILED,
                f"exit code {exit_code}, failed {failures} times",
            )
        ended = replace(row, state=state, failures=failures, reason=reason)
        return await self._update(partition, stored, ended, Verb.FINISH)

    async def _cancel(
        self, partition: OwnedPartition, stored: StoredTask, member: Member
    ) -> None:
        if await self._stop(member, stored.row) is None:
            return
        row = replace(stored.row, state=TaskState.CANCELLED, reason="cancelled")
        await self._update(partition, stored, row, Verb.CANCEL)

    async def _requeue(
        self, partition: OwnedPartition, stored: StoredTask, reason: str
    ) -> None:
        """Queue the task again after its attempt has certainly stopped.

        If the attempt had already ended, its attendant has stored the exit code,
        and that end is written instead. The next attempt resumes from this one's
        checkpoint if there is one, otherwise from the one this attempt resumed
        from.
        """
        task, attempt = stored.row.spec.task, stored.row.attempt
        name = checkpoint_name(task, attempt)
        try:
            result = await self._objects.read(result_name(task, attempt))
            has_checkpoint = await self._objects.has(name)
        except CommunicationError as error:
            # Without a response, an end or a checkpoint could be missed and the
            # work be repeated. The next pass tries again.
            log_event("tasks:not-requeued", task=task, error=str(error))
            return
        if result is not None:
            await self._write_end(
                partition, stored, msgspec.json.decode(result, type=int)
            )
            return
        state = TaskState.CANCELLED if stored.row.wants_cancel else TaskState.QUEUED
        row = replace(
            stored.row,
            state=state,
            checkpoint=name if has_checkpoint else stored.row.checkpoint,
            evictions=stored.row.evictions + 1,
            reason=reason,
        )
        await self._update(partition, stored, row, Verb.EVICT)

    async def _stop(self, member: Member, row: TaskRow) -> str | None:
        """Stop the attempt; return its checkpoint, None if it may still run."""
        request = StopRequest(
            task=row.spec.task,
            attempt=row.attempt,
            wants_checkpoint=False,
            incarnation=member.announcement.incarnation,
        )
        try:
            reply = await self._peers.call(
                member.announcement.peers, STOP, request, timeout=CALL_TIMEOUT
            )
        except CommunicationError as error:
            log_event("tasks:no-stop", task=row.spec.task, error=str(error))
            return None
        return reply.checkpoint if reply.is_stopped else None

    async def _forget(self, member: Member, row: TaskRow) -> None:
        request = ForgetRequest(
            task=row.spec.task,
            attempt=row.attempt,
            incarnation=member.announcement.incarnation,
        )
        try:
            await self._peers.call(
                member.announcement.peers, FORGET, request, timeout=CALL_TIMEOUT
            )
        except CommunicationError as error:
            # The attendant drops the attempt when it next rebuilds its ledger.
            log_event("tasks:no-forget", task=row.spec.task, error=str(error))

    async def _update(
        self, partition: OwnedPartition, stored: StoredTask, row: TaskRow, verb: Verb
    ) -> bool:
        outcome = await self._store.update(stored, row, epoch=partition.epoch)
        if not isinstance(outcome, Success):
            found = await self._store.find(row.spec.customer, row.spec.task)
            if found is not None:
                partition.put(found)
            return False
        partition.put(outcome.unwrap())
        partition.started_at_by_task.pop(row.spec.task, None)
        self._views.forget_spec(row.spec.task)
        self._journal.record(
            row.spec.task,
            row.spec.customer,
            verb,
            choice=row.state.value,
            reason=row.reason,
        )
        return True
