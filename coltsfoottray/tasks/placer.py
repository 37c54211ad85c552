"""Placement of one queued task: quota, choice, reservation, commit, start."""

from __future__ import annotations

import math
from collections.abc import Sequence
from datetime import timedelta

from msgspec.structs import replace
from returns.result import Failure

from coltsfoottray.clock import Clock
from coltsfoottray.errors import CommunicationError
from coltsfoottray.explain import Journal, RunnerUp, Verb
from coltsfoottray.lists import ListHolder
from coltsfoottray.logs import log_event
from coltsfoottray.membership import Member
from coltsfoottray.peers import PeerClient
from coltsfoottray.placement import Placement, PlacementPolicy, WorkerView
from coltsfoottray.platform import TableError
from coltsfoottray.tasks.partition import OwnedPartition
from coltsfoottray.tasks.rows import StoredTask, TaskRow, TaskSpec
from coltsfoottray.tasks.store import TaskStore
from coltsfoottray.tasks.workers import WorkerViews
from coltsfoottray.types import AttendantId, TaskId, TaskState
from coltsfoottray.worker.messages import (
    RESERVE,
    START,
    ReserveRequest,
    StartReply,
    StartRequest,
    Verdict,
)

__all__ = ["Placer"]

CALL_TIMEOUT = timedelta(seconds=2)
# Reservations proposed for one task before it waits for newer reports.
MAX_PROPOSALS = 3


class Placer:
    """Moves a task from queued to running, one attempt at a time."""

    def __init__(
        self,
        *,
        store: TaskStore,
        views: WorkerViews,
        policy: PlacementPolicy,
        peers: PeerClient,
        holder: ListHolder,
        journal: Journal,
        clock: Clock,
    ) -> None:
        self._store = store
        self._views = views
        self._policy = policy
        self._peers = peers
        self._holder = holder
        self._journal = journal
        self._clock = clock
        self._wait_reason_by_task: dict[TaskId, str] = {}

    async def place(self, partition: OwnedPartition, stored: StoredTask) -> None:
        """Try once to start `stored`; it stays queued if that fails."""
        spec = stored.row.spec
        refused: list[RunnerUp] = []
        for _ in range(MAX_PROPOSALS):
            placement = self._choose(partition, stored, refused)
            if placement is None:
                return
            member = self._views.find(placement.worker)
            if member is None:
                return
            reply = await self._reserve(member, stored)
            if reply is not None and reply.verdict is Verdict.GRANTED:
                await self._commit_and_start(
                    partition, stored, member, reply, placement
                )
                return
            why = "unreachable" if reply is None else reply.verdict.value
            refused.append(RunnerUp(name=placement.worker, why_not=why))
        self._record_wait(spec, "every worker asked for a reservation refused", refused)

    async def start(self, member: Member, row: TaskRow) -> Verdict | None:
        """Ask the worker to start a committed attempt; return None if unanswered."""
        request = StartRequest(
            spec=row.spec,
            attempt=row.attempt,
            checkpoint=row.checkpoint,
            term=row.term,
            incarnation=member.announcement.incarnation,
        )
        try:
            reply = await self._peers.call(
                member.announcement.peers, START, request, timeout=CALL_TIMEOUT
            )
        except CommunicationError as error:
            log_event("tasks:no-start", task=row.spec.task, error=str(error))
            return None
        self._views.record_report(member, reply.report)
        return reply.verdict

    def _choose(
        self, partition: OwnedPartition, stored: StoredTask, refused: list[RunnerUp]
    ) -> Placement | None:
        spec = stored.row.spec
        reason = self._quota_reason(partition, spec)
        if reason is not None:
            self._record_wait(spec, reason, [])
            return None
        skip = {runner_up.name for runner_up in refused}
        views = [v for v in self._views.candidates() if v.worker not in skip]
        if stored.row.failures:
            # Avoid the worker on which the last attempt failed, if there is another.
            views = [v for v in views if v.worker != stored.row.worker] or views
        allowed = self._within_share(partition, spec, views)
        placement = self._policy.choose(spec, allowed)
        if placement is None:
            self._record_wait(
                spec, f"no room on any of {len(allowed)} workers", refused
            )
        return placement

    def _quota_reason(self, partition: OwnedPartition, spec: TaskSpec) -> str | None:
        allowance = self._holder.current.allowance_of(spec.customer)
        if allowance is None:
            return "the customer has no plan"
        # The task itself is marked busy, so it is already counted.
        in_use = partition.in_use(spec.customer)
        if not in_use.fits_in(allowance.resources):
            return (
                f"quota exceeded: {in_use} with this task, "
                f"allowed {allowance.resources}"
            )
        return None

    def _within_share(
        self, partition: OwnedPartition, spec: TaskSpec, views: list[WorkerView]
    ) -> list[WorkerView]:
        """Return the workers that the customer's share of VMs allows."""
        allowance = self._holder.current.allowance_of(spec.customer)
        assert allowance is not None
        used = partition.workers_of(spec.customer)
        if len(used) < math.ceil(allowance.vm_share * len(views)):
            return views
        return [view for view in views if view.worker in used]

    async def _reserve(self, member: Member, stored: StoredTask) -> StartReply | None:
        request = ReserveRequest(
            spec=stored.row.spec,
            attempt=stored.row.attempt + 1,
            incarnation=member.announcement.incarnation,
        )
        try:
            reply = await self._peers.call(
                member.announcement.peers, RESERVE, request, timeout=CALL_TIMEOUT
            )
        except CommunicationError as error:
            log_event(
                "tasks:no-reservation",
                worker=member.announcement.daemon,
                error=str(error),
            )
            return None
        self._views.record_report(member, reply.report)
        return reply

    async def _commit_and_start(
        self,
        partition: OwnedPartition,
        stored: StoredTask,
        member: Member,
        reply: StartReply,
        placement: Placement,
    ) -> None:
        """Write the row as running attempt n + 1, and only then start it.

        Because the row is written first, the table always shows where a task
        runs, whichever process dies in between, and no entry starts it twice.
        """
        row = replace(
            stored.row,
            state=TaskState.RUNNING,
            attempt=stored.row.attempt + 1,
            worker=AttendantId(member.announcement.daemon),
            term=reply.term,
            reason=placement.reason,
        )
        try:
            outcome = await self._store.update(stored, row, epoch=partition.epoch)
        except TableError as error:
            self._record_wait(row.spec, f"not committed: {error}", [])
            return
        if isinstance(outcome, Failure):
            await self._reload(partition, stored)
            return
        self._wait_reason_by_task.pop(row.spec.task, None)
        partition.put(outcome.unwrap())
        partition.started_at_by_task[row.spec.task] = self._clock.elapsed()
        self._views.record_spec(row.spec)
        self._record_decision(
            row.spec,
            Verb.PLACE,
            choice=f"{row.worker} attempt {row.attempt}",
            reason=placement.reason,
            runners_up=placement.runners_up,
        )
        await self.start(member, row)

    async def _reload(self, partition: OwnedPartition, stored: StoredTask) -> None:
        spec = stored.row.spec
        found = await self._store.find(spec.customer, spec.task)
        if found is not None:
            partition.put(found)

    def _record_wait(
        self, spec: TaskSpec, reason: str, runners_up: list[RunnerUp]
    ) -> None:
        if self._wait_reason_by_task.get(spec.task) == reason:
            return
        self._wait_reason_by_task[spec.task] = reason
        self._record_decision(
            spec, Verb.WAIT, choice="queued", reason=reason, runners_up=runners_up
        )

    def _record_decision(
        self,
        spec: TaskSpec,
        verb: Verb,
        *,
        choice: str,
        reason: str,
        runners_up: Sequence[RunnerUp],
    ) -> None:
        self._journal.record(
            spec.task,
            spec.customer,
            verb,
            choice=choice,
            reason=reason,
            runners_up=runners_up,
        )
