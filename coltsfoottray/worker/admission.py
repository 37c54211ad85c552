"""Admission of attempts on one worker."""

from __future__ import annotations

from coltsfoottray.clock import Clock
from coltsfoottray.leases import WorkerLease
from coltsfoottray.logs import log_event
from coltsfoottray.platform import TableError
from coltsfoottray.tasks import TaskStore
from coltsfoottray.types import AttendantId, Incarnation, Resources, TaskId, TaskState
from coltsfoottray.worker.attempts import AttemptTracker
from coltsfoottray.worker.ledger import Reservation
from coltsfoottray.worker.messages import ReserveRequest, StartRequest, Verdict

__all__ = ["AttemptAdmission"]


class AttemptAdmission:
    """Decides whether attempts may run on the worker, and reserves resources."""

    def __init__(
        self,
        *,
        worker: AttendantId,
        incarnation: Incarnation,
        lease: WorkerLease,
        store: TaskStore,
        attempts: AttemptTracker,
        clock: Clock,
    ) -> None:
        self._worker = worker
        self._incarnation = incarnation
        self._lease = lease
        self._store = store
        self._attempts = attempts
        self._clock = clock

    @property
    def is_open(self) -> bool:
        """Whether any attempts are admitted now."""
        return self._attempts.is_ready and self._lease.is_valid

    def admit(self, request: ReserveRequest) -> Verdict:
        """Reserve resources for an attempt that is about to be committed."""
        spec = request.spec
        return self._check_admission(
            request.incarnation, spec.task, request.attempt
        ) or self._reserve(spec.task, request.attempt, spec.demand)

    async def admit_start(self, request: StartRequest) -> Verdict:
        """Reserve resources for an attempt that the table assigns to this worker."""
        spec = request.spec
        refusal = self._check_term(request)
        if refusal is None:
            refusal = await self._check_start(request)
        return refusal or self._reserve(spec.task, request.attempt, spec.demand)

    async def _check_start(self, request: StartRequest) -> Verdict | None:
        """Return why the attempt may not start, None if the table assigns it here.

        If a reservation exists, the owner has just made it. Otherwise the request may
        be from an owner that cannot reach the table, for a task that has ended under
        another owner and whose record was dropped here.
        """
        task = request.spec.task
        if self._attempts.reservation(task, request.attempt) is not None:
            return None
        try:
            stored = await self._store.find(request.spec.customer, task)
        except TableError as error:
            log_event("worker:start-unchecked", task=task, error=str(error))
            return Verdict.NO_LEASE
        is_here = (
            stored is not None
            and stored.row.state is TaskState.RUNNING
            and stored.row.attempt == request.attempt
            and stored.row.worker == self._worker
            and stored.row.term == request.term
        )
        if not is_here:
            return Verdict.STOPPED
        # A new term may have begun since the row was read.
        return self._check_term(request)

    def _check_term(self, request: StartRequest) -> Verdict | None:
        """Return why the attempt is not admitted in its term, None if it is."""
        task, attempt = request.spec.task, request.attempt
        refusal = self._check_admission(request.incarnation, task, attempt)
        if refusal is None and request.term != self._lease.term:
            return Verdict.WRONG_LIFE
        return refusal

    def _check_admission(
        self, incarnation: Incarnation, task: TaskId, attempt: int
    ) -> Verdict | None:
        """Return why the attempt is not admitted, None if it is."""
        if incarnation != self._incarnation:
            return Verdict.WRONG_LIFE
        if not self.is_open:
            return Verdict.NO_LEASE
        if self._attempts.ledger.is_stopped(task, attempt):
            return Verdict.STOPPED
        return None

    def _reserve(self, task: TaskId, attempt: int, demand: Resources) -> Verdict:
        reservation = Reservation(
            task=task, attempt=attempt, demand=demand, made_at=self._clock.elapsed()
        )
        is_reserved = self._attempts.ledger.reserve(reservation)
        return Verdict.GRANTED if is_reserved else Verdict.NO_ROOM
