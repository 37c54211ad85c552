"""Faults planted in the code to show that the oracle of a machine detects them."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from datetime import timedelta
from typing import Any
from unittest import mock

from msgspec.structs import replace

from coltsfoottray.agent.attendant import TaskAttendant
from coltsfoottray.agent.evacuation import EvacuationGuard, StartPermission
from coltsfoottray.agent.fencing import FencingLink
from coltsfoottray.agent.lease import WorkerLease
from coltsfoottray.agent.runs import Runs
from coltsfoottray.claims import Claim, ClaimOutcome, ClaimResult, Claims
from coltsfoottray.http.pool import ConnectionPool
from coltsfoottray.jobs.api import JobAnswer, JobApi, Verdict
from coltsfoottray.jobs.model import JobId, RunRef
from coltsfoottray.leases import LeaseObserver
from coltsfoottray.lists import Edit, ListEditor, apply_change
from coltsfoottray.lists.editor import read_head
from coltsfoottray.platform import TableUnavailable, metadata_table
from coltsfoottray.scheduler.active import ActiveScheduler
from coltsfoottray.scheduler.fleet import Worker
from coltsfoottray.scheduler.grant_limit import GrantLimit
from coltsfoottray.scheduler.grants import Grants
from coltsfoottray.scheduler.lease_row import (
    MAX_GRANT,
    MAX_LEASE_AFTER_WRITE,
    LeaseRow,
)
from coltsfoottray.scheduler.messages import Orders, Report, ReportReply
from coltsfoottray.tasks import StoredTask, TaskStore
from coltsfoottray.types import ListVersion, TaskState
from coltsfoottray.upstream import ExecutionLedger
from coltsfoottray.worker import CapacityLedger, Reservation
from standins import links

__all__ = [
    "answers_given_up_on_their_way",
    "cancel_without_tombstone",
    "claims_without_asking",
    "earlier_calls_not_fenced_off",
    "edits_without_versions",
    "holders_silent_while_they_load",
    "leases_beyond_what_standbys_heard",
    "leases_lapsed_without_waiting",
    "leases_renewed_out_of_reach",
    "leases_taken_unheard",
    "ledger_without_bounds",
    "orders_lacked_and_not_asked_for",
    "refusals_without_proof",
    "refused_writes_repeated",
    "rejections_accepted_in_any_session",
    "rejections_forgotten_with_the_lease",
    "rejections_made_once",
    "running_tasks_loaded_as_queued",
    "runs_given_up_early",
    "starts_without_judgement",
    "timeouts_without_conclusions",
]


@contextmanager
def claims_without_asking() -> Iterator[None]:
    """Let every entry grant itself every claim without asking other entries."""

    async def acquire(self: Claims, request: Any, place: Any, **_: Any) -> ClaimResult:
        claim = Claim(
            request=request,
            entry=self._entry,
            incarnation=self._incarnation,
            place=place,
            attempt=1,
            is_complete=True,
        )
        return ClaimResult(outcome=ClaimOutcome.MINE, claim=claim)

    with mock.patch.object(Claims, "acquire", acquire):
        yield


@contextmanager
def cancel_without_tombstone() -> Iterator[None]:
    """Let an attendant discard a tombstone as soon as it has confirmed the cancel."""
    original = ExecutionLedger.tombstone

    def tombstone(self: ExecutionLedger, request: Any, attempt: int) -> Any:
        execution = original(self, request, attempt)
        if not execution.response and execution.ended.is_set():
            self._execution_by_id.pop(request, None)
        return execution

    with mock.patch.object(ExecutionLedger, "tombstone", tombstone):
        yield


@contextmanager
def ledger_without_bounds() -> Iterator[None]:
    """Let a worker's attendant admit every reservation, beyond the VM's capacity."""

    def reserve(self: CapacityLedger, reservation: Reservation) -> bool:
        self.reservation_by_task[reservation.task] = reservation
        return True

    with mock.patch.object(CapacityLedger, "reserve", reserve):
        yield


@contextmanager
def leases_lapsed_without_waiting() -> Iterator[None]:
    """Let an observer report all worker leases as lapsed without waiting for it."""

    def observe(self: LeaseObserver, rows: Any) -> Any:
        return [row for row in rows if row.key.startswith("worker/")]

    with mock.patch.object(LeaseObserver, "observe", observe):
        yield


@contextmanager
def running_tasks_loaded_as_queued() -> Iterator[None]:
    """Let the owner load running tasks as queued, so that it starts them again."""
    original = TaskStore.load

    async def load(self: TaskStore, partition: int) -> Any:
        return [
            StoredTask(
                row=replace(stored.row, state=TaskState.QUEUED), version=stored.version
            )
            if stored.row.state is TaskState.RUNNING
            else stored
            for stored in await original(self, partition)
        ]

    with mock.patch.object(TaskStore, "load", load):
        yield


@contextmanager
def edits_without_versions() -> Iterator[None]:
    """Let an editor commit on top of any head, whatever the edit is based on."""

    async def commit(self: ListEditor, edit: Edit) -> Any:
        head = await read_head(self._table)
        version = ListVersion(head.version + 1)
        return await self._write(edit, apply_change(head, edit, version=version))

    with mock.patch.object(ListEditor, "commit", commit):
        yield


@contextmanager
def leases_beyond_what_standbys_heard() -> Iterator[None]:
    """Let a holder grant leases whatever the entries know that may take over."""

    def end(self: GrantLimit, confirmed_at: timedelta) -> timedelta:
        now = self._clock.elapsed()
        return min(now + MAX_GRANT, confirmed_at + MAX_LEASE_AFTER_WRITE)

    with mock.patch.object(GrantLimit, "end", end):
        yield


@contextmanager
def runs_given_up_early() -> Iterator[None]:
    """Let the scheduler give up a silent worker's runs before its lease has ended."""
    original = Grants.grant

    def grant_with_early_end(
        self: Grants, worker: Worker, confirmed_at: timedelta
    ) -> int:
        granted = original(self, worker, confirmed_at)
        worker.leases.end = self._clock.elapsed() + timedelta(seconds=1.5)
        return granted

    with mock.patch.object(Grants, "grant", grant_with_early_end):
        yield


@contextmanager
def leases_renewed_out_of_reach() -> Iterator[None]:
    """Let a report extend the lease of a worker that its attendant cannot reach."""
    original = ActiveScheduler.handle_report

    def handle_and_extend(self: ActiveScheduler, report: Report) -> ReportReply:
        reply = original(self, report)
        if not report.is_reachable or not report.life:
            worker = self._fleet.worker_by_id[report.worker]
            lease_end = self._clock.elapsed() + MAX_GRANT
            worker.leases.end = max(worker.leases.end, lease_end)
        return reply

    with mock.patch.object(ActiveScheduler, "handle_report", handle_and_extend):
        yield


@contextmanager
def holders_silent_while_they_load() -> Iterator[None]:
    """Let a holder that reads the stored state neither renew nor answer in time.

    Others do not wait longer either when take-overs fail.
    """

    async def renew_until(self: ActiveScheduler, loaded: Any, progress: Any) -> None:
        del self, progress
        await loaded.wait()

    with (
        mock.patch.object(ActiveScheduler, "renew_until", renew_until),
        mock.patch.object(LeaseRow, "patience", 1),
    ):
        yield


@contextmanager
def starts_without_judgement() -> Iterator[None]:
    """Let an attendant start whatever it was ordered, also in an evacuation."""

    def judge(self: EvacuationGuard, now: timedelta) -> Any:
        del self, now
        return StartPermission.GIVEN

    with mock.patch.object(EvacuationGuard, "judge", judge):
        yield


@contextmanager
def rejections_accepted_in_any_session() -> Iterator[None]:
    """Let the scheduler accept a rejection of an order of an earlier session."""

    def is_rejected(self: Worker, ref: RunRef) -> bool:
        return ref in self.held_by_ref

    with mock.patch.object(Worker, "is_rejected", is_rejected):
        yield


@contextmanager
def rejections_made_once() -> Iterator[None]:
    """Let an attendant ignore a repeated order for a run that it has rejected."""
    original = TaskAttendant._execute

    def execute(self: TaskAttendant, orders: Orders) -> None:
        rejected = self._runs.reason_by_barred_ref
        starts = [each for each in orders.starts if each.ref not in rejected]
        original(self, replace(orders, starts=starts))

    with mock.patch.object(TaskAttendant, "_execute", execute):
        yield


@contextmanager
def rejections_forgotten_with_the_lease() -> Iterator[None]:
    """Let an attendant forget what it has rejected when its worker's lease expires."""
    original = TaskAttendant._check_lapse

    def check_and_forget(self: TaskAttendant) -> None:
        runs = self._runs
        original(self)
        if self._runs is not runs:
            self._runs = Runs()

    with mock.patch.object(TaskAttendant, "_check_lapse", check_and_forget):
        yield


@contextmanager
def earlier_calls_not_fenced_off() -> Iterator[None]:
    """Let a new incarnation of a worker execute calls meant for the previous one."""

    async def fence_off(self: FencingLink, *_: Any) -> None:
        del self

    with mock.patch.object(FencingLink, "_fence_off", fence_off):
        yield


@contextmanager
def leases_taken_unheard() -> Iterator[None]:
    """Let an attendant count only the leases that its predecessor issued."""
    with mock.patch.object(
        WorkerLease, "remaining_foreign", lambda self, now: timedelta(0)
    ):
        yield


@contextmanager
def orders_lacked_and_not_asked_for() -> Iterator[None]:
    """Let an attendant not tell which runs on its worker it has no order for."""
    with mock.patch.object(Runs, "without_order", lambda self: []):
        yield


@contextmanager
def refusals_without_proof() -> Iterator[None]:
    """Let entries refuse a job as never to run while its row may have been stored."""
    original = JobApi._apply_earlier_outcome

    def refuse(self: JobApi, job_id: JobId, answer: JobAnswer) -> JobAnswer:
        updated = original(self, job_id, answer)
        if updated.verdict is Verdict.UNKNOWN:
            return JobAnswer(verdict=Verdict.NOT_DONE, retry_after=timedelta(seconds=1))
        return updated

    with mock.patch.object(JobApi, "_apply_earlier_outcome", refuse):
        yield


@contextmanager
def answers_given_up_on_their_way() -> Iterator[None]:
    """Apply the timeout for the start of a response to the whole response."""
    with mock.patch.object(links, "extend_deadline", lambda limit: None):
        yield


@contextmanager
def timeouts_without_conclusions() -> Iterator[None]:
    """Let a timeout close no connections but the one on which it happened."""

    def close_suspects(self: Any, *, sent_at: float, now: float) -> int:
        del self, sent_at, now
        return 0

    with mock.patch.object(ConnectionPool, "close_suspects", close_suspects):
        yield


@contextmanager
def refused_writes_repeated() -> Iterator[None]:
    """Take a write that the table refuses for one that it cannot execute now."""

    def make_error(status: int) -> TableUnavailable:
        return TableUnavailable(detail=f"status {status}", is_unwritten=True)

    with mock.patch.object(metadata_table, "error_of_status", make_error):
        yield
