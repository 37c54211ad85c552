"""A worker's lease: one row that covers all the tasks on the worker."""

from __future__ import annotations

import enum
from datetime import timedelta

import msgspec
import trio
from returns.result import Success

from coltsfoottray.clock import CLOCK_RATE_MARGIN, Clock
from coltsfoottray.errors import CommunicationError
from coltsfoottray.kernel import Service
from coltsfoottray.logs import log_event
from coltsfoottray.platform import (
    Put,
    TableError,
    TableService,
    Transaction,
    WorkerControl,
)
from coltsfoottray.platform.common import ABSENT
from coltsfoottray.types import AttendantId, Incarnation

__all__ = [
    "WORKER_PREFIX",
    "LeaseState",
    "WorkerLease",
    "WorkerLeaseRow",
    "worker_key",
]

WORKER_PREFIX = "worker/"


class LeaseState(enum.Enum):
    """Whether a worker's tasks are bound to it, or may be started elsewhere."""

    HELD = "held"
    LOST = "lost"


class WorkerLeaseRow(msgspec.Struct, frozen=True, kw_only=True):
    """The lease row of one worker.

    Parameters
    ----------
    term : int
        Incremented whenever the lease was lost or the worker has a new
        incarnation. Tasks are bound to the term in which they were started;
        once a later term begins they may be started on any worker.
    boot : str
        The incarnation of the worker's VM. A new incarnation has none of the
        tasks of an earlier one.
    """

    worker: AttendantId
    term: int
    boot: str
    holder: Incarnation
    state: LeaseState
    renewals: int = 0


def worker_key(worker: AttendantId) -> str:
    """Return the key of the worker's row."""
    return WORKER_PREFIX + worker


class WorkerLease(Service):
    """Holds a worker's lease row, and renews the worker's own lease from it.

    The worker's own lease suspends its tasks when it lapses, even if this
    process is dead or paused. It never outlasts the lease of the row: it is
    counted from before the row's renewal was sent, less a margin for the
    different rates of the two clocks.
    """

    def __init__(
        self,
        *,
        table: TableService,
        control: WorkerControl,
        clock: Clock,
        worker: AttendantId,
        incarnation: Incarnation,
        lease: timedelta,
    ) -> None:
        self._table = table
        self._control = control
        self._clock = clock
        self._incarnation = incarnation
        self._lease = lease
        self._usable_duration = lease * (1 - CLOCK_RATE_MARGIN)
        self._row = WorkerLeaseRow(
            worker=worker,
            term=0,
            boot="",
            holder=incarnation,
            state=LeaseState.LOST,
        )
        self._version: int | None = None
        self._row_valid_until = clock.elapsed()
        self._valid_until = clock.elapsed()
        self._is_accepted = True

    @property
    def term(self) -> int:
        """The current term; 0 before the first."""
        return self._row.term

    @property
    def holder(self) -> str:
        """The holder in whose name the worker is called in the current term."""
        return self._holder_in(self._row.term)

    @property
    def is_valid(self) -> bool:
        """Whether tasks may be started now."""
        return self._clock.elapsed() < self._valid_until

    async def run(  # noqa: D102
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        is_renewed = await self._try_renew()
        task_status.started()
        while True:
            # Retry sooner after a failure. After an outage or a short silence, a
            # renewal delayed by an interval and a timeout would be too late.
            await self._clock.sleep(self._lease / (3 if is_renewed else 10))
            is_renewed = await self._try_renew()

    async def _try_renew(self) -> bool:
        try:
            with trio.move_on_after((self._lease / 3).total_seconds()):
                return await self._renew()
        except TableError as error:
            log_event("lease:worker-not-renewed", error=str(error))
        except CommunicationError as error:
            log_event("lease:worker-unreachable", error=str(error))
        return False

    async def _renew(self) -> bool:
        """Renew the row, then the worker's own lease; return whether both succeeded."""
        # Ask the worker first. If the row were renewed for a worker that answers
        # no calls, it would never lapse, and its tasks would never run elsewhere.
        boot = (await self._control.describe()).boot
        is_rebooted = boot != self._row.boot
        if is_rebooted:
            # The VM has a new incarnation. In the old term an attempt of the earlier
            # one could be started again: nothing records that it has already run.
            self._row_valid_until = self._valid_until = self._clock.elapsed()
        # After a reboot, a successor of this attendant may already have begun a term.
        must_read = self._version is None or not self._is_accepted or is_rebooted
        if must_read and not await self._read_row(boot):
            return False
        if not self._is_accepted:
            # If the row were renewed for a worker that accepts no renewals, it would
            # never lapse, and the tasks suspended there would never run elsewhere.
            await self._renew_on_worker()
        assert self._version is not None
        sent_at = self._clock.elapsed()
        renewed = msgspec.structs.replace(self._row, renewals=self._row.renewals + 1)
        key = worker_key(renewed.worker)
        put = Put.of(key, self._version, renewed)
        self._version = None
        outcome = await self._table.commit(Transaction(puts=[put]))
        if not isinstance(outcome, Success):
            return False
        self._version = outcome.unwrap()[key]
        self._row = renewed
        self._row_valid_until = sent_at + self._usable_duration
        self._is_accepted = False
        if self._row_valid_until <= self._clock.elapsed():
            return False
        await self._renew_on_worker()
        return True

    async def _renew_on_worker(self) -> None:
        """Renew the worker's own lease for the remaining time of the row's lease.

        With no time remaining, the call still shows whether the worker accepts
        renewals. Only a worker that has accepted one is given tasks: on any
        other they would stay suspended.
        """
        left = max(self._row_valid_until - self._clock.elapsed(), timedelta(0))
        await self._control.renew(holder=self.holder, duration=left)
        self._is_accepted = True
        self._valid_until = self._row_valid_until

    async def _read_row(self, boot: str) -> bool:
        """Read the row; return whether this attendant may write it.

        After a lost response, reading the row shows whether the renewal took effect.
        """
        row = await self._table.get(worker_key(self._row.worker))
        if row is None:
            await self._begin_term(1, boot)
            self._version = ABSENT
            return True
        found = row.decode(WorkerLeaseRow)
        is_own = found.holder == self._incarnation and found.state is LeaseState.HELD
        if not is_own and self._incarnation < found.holder:
            # A later incarnation of this attendant holds the row. This process is
            # outdated and must not compete with it.
            log_event("lease:worker-superseded", holder=found.holder)
            return False
        if found.state is LeaseState.LOST or found.boot != boot:
            await self._begin_term(found.term + 1, boot)
        else:
            # Same term: a restarted attendant keeps the worker's tasks.
            self._row = msgspec.structs.replace(
                self._row, term=found.term, boot=boot, state=LeaseState.HELD
            )
        # Last: with the version, an attendant whose new term failed to begin would
        # renew the row in the term it knew before, which may be over.
        self._version = row.version
        return True

    async def _begin_term(self, term: int, boot: str) -> None:
        """Begin a term with an empty worker.

        Tasks of the earlier term may already run elsewhere. They are stopped
        permanently before a renewal can let them continue here. The new holder comes
        first, so that the worker refuses starts of the earlier term that arrive later.
        """
        holder = self._holder_in(term)
        await self._control.renew(holder=holder, duration=timedelta(0))
        for running in await self._control.tasks():
            await self._control.stop(task=running.task, attempt=running.attempt)
            await self._control.forget(task=running.task, attempt=running.attempt)
        if term != self._row.term:
            log_event("lease:worker-term", worker=self._row.worker, term=term)
        self._row = msgspec.structs.replace(
            self._row, term=term, boot=boot, state=LeaseState.HELD
        )
        # No row grants the term yet, so no task may be accepted in it. A restarted
        # attendant would begin the same term again and stop the task permanently,
        # but the task would stay bound to this worker permanently.
        self._row_valid_until = self._valid_until = self._clock.elapsed()

    def _holder_in(self, term: int) -> str:
        return f"{self._incarnation}/{term}"
