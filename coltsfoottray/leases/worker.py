"""A worker's lease: one row for all the tasks on it."""

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
    TableService,
    TableUnavailable,
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
    """Whether a worker's tasks are its own."""

    HELD = "held"
    LOST = "lost"


class WorkerLeaseRow(msgspec.Struct, frozen=True, kw_only=True):
    """The row of one worker.

    Parameters
    ----------
    term : int
        Counts the times the lease was lost. Tasks are bound to the term in
        which they were started; a later term means that they are anybody's.
    boot : str
        The worker's own life; another one has none of the earlier one's tasks.
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
    """Holds the worker's lease, and lets its tasks run only as long.

    The worker's own lease, which stops its tasks at the lapse even if this
    process is dead or paused, never outlasts the row's: it is counted from
    before the renewal was sent, less a margin for the rates of two clocks.
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
        self._usable = lease * (1 - CLOCK_RATE_MARGIN)
        self._row = WorkerLeaseRow(
            worker=worker,
            term=0,
            boot="",
            holder=incarnation,
            state=LeaseState.LOST,
        )
        self._version: int | None = None
        self._row_until = clock.elapsed()
        self._valid_until = clock.elapsed()
        self._is_taken = True

    @property
    def term(self) -> int:
        """The term now held; 0 before the first."""
        return self._row.term

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
            # After a failure sooner: a renewal that comes back from an outage, or
            # a moment's silence, late by an interval and a time-out is too late.
            await self._clock.sleep(self._lease / (3 if is_renewed else 10))
            is_renewed = await self._try_renew()

    async def _try_renew(self) -> bool:
        try:
            with trio.move_on_after((self._lease / 3).total_seconds()):
                return await self._renew()
        except TableUnavailable as error:
            log_event("lease:worker-not-renewed", error=str(error))
        except CommunicationError as error:
            log_event("lease:worker-unreachable", error=str(error))
        return False

    async def _renew(self) -> bool:
        """Renew the row, then the worker's own lease; return whether both are."""
        # The worker is asked first: renewed for one that answers nobody, the row
        # never lapses, and what ran there is held for ever.
        boot = (await self._control.describe()).boot
        if self._version is None or not self._is_taken:
            if not await self._read(boot):
                return False
        elif boot != self._row.boot:
            # Renewed for the VM's next life, the term lets an attempt of the life
            # before be started again there: nothing says that it has run already.
            await self._begin_term(self._row.term + 1, boot)
        if not self._is_taken:
            # Written for a worker that takes no renewal, the row never lapses, and
            # what stands still there is held for ever.
            await self._hand_over()
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
        self._row_until = sent_at + self._usable
        self._is_taken = False
        if self._row_until <= self._clock.elapsed():
            return False
        await self._hand_over()
        return True

    async def _hand_over(self) -> None:
        """Renew the worker's own lease for what is left of the row's.

        With nothing left the worker still shows whether it takes renewals. Only
        one that has taken it is given tasks: elsewhere they would stand still.
        """
        left = max(self._row_until - self._clock.elapsed(), timedelta(0))
        await self._control.renew(holder=self._incarnation, duration=left)
        self._is_taken = True
        self._valid_until = self._row_until

    async def _read(self, boot: str) -> bool:
        """Find out what the row says; return whether it may be written.

        After a lost answer the row tells whether the renewal took effect.
        """
        row = await self._table.get(worker_key(self._row.worker))
        if row is None:
            self._version = ABSENT
            await self._begin_term(1, boot)
            return True
        found = row.decode(WorkerLeaseRow)
        is_own = found.holder == self._incarnation and found.state is LeaseState.HELD
        if not is_own and self._incarnation < found.holder:
            # A later life of this attendant holds the row: this one is a
            # leftover, and must not fight it.
            log_event("lease:worker-superseded", holder=found.holder)
            return False
        self._version = row.version
        if found.state is LeaseState.LOST or found.boot != boot:
            await self._begin_term(found.term + 1, boot)
        else:
            # Same term: a restarted attendant keeps the worker's tasks.
            self._row = msgspec.structs.replace(
                self._row, term=found.term, boot=boot, state=LeaseState.HELD
            )
        return True

    async def _begin_term(self, term: int, boot: str) -> None:
        """Start a term with an empty worker.

        The earlier term's tasks may already run elsewhere; they are stopped for
        good before any renewal could let them go on here.
        """
        for running in await self._control.tasks():
            await self._control.stop(task=running.task, attempt=running.attempt)
            await self._control.forget(task=running.task, attempt=running.attempt)
        if term != self._row.term:
            log_event("lease:worker-term", worker=self._row.worker, term=term)
        self._row = msgspec.structs.replace(
            self._row, term=term, boot=boot, state=LeaseState.HELD
        )
        # No row grants the term yet. A task taken in it is held for ever: a restarted
        # attendant begins it anew, and stops for good what runs there.
        self._row_until = self._valid_until = self._clock.elapsed()
