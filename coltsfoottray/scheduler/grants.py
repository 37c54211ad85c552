"""What a scheduler grants attendants: leases for their workers, and sessions."""

from __future__ import annotations

import math
from collections.abc import Mapping
from datetime import timedelta

from coltsfoottray.clock import Clock
from coltsfoottray.logs import log_event
from coltsfoottray.scheduler.fleet import Fleet, Worker
from coltsfoottray.scheduler.lease import MAX_LEASE_AFTER_WRITE
from coltsfoottray.scheduler.messages import Report

__all__ = ["Grants", "is_out_of_order"]

# How far ahead of a report a worker's lease may reach. A worker that is lost is
# given up after it, and an attendant that restarts has this long to return
# before its worker stops everything; 3.5 s are an ordinary outage of a VM.
_HORIZON = timedelta(seconds=7)

# A worker that no report has shown to live for so long is listed as silent: two
# reports of one second each, and half of one.
_SILENCE = timedelta(seconds=2.5)

# Two steady clocks drift apart by at most 2% over a lease.
_DRIFT = 1.02

# A lease that ends sooner by less is not worth a line: each report says so anew.
_TELLING = timedelta(milliseconds=500)

# Far more sessions than one scheduler can grant; keeps tokens of a later epoch
# above all of an earlier one.
_SESSIONS_PER_EPOCH = 1_000_000


class Grants:
    """Keeps account of what workers may still have, now and under schedulers before.

    Parameters
    ----------
    won : timedelta
        When the lease row was taken over.
    silent_until : mapping
        By worker that the scheduler before had not seen to live for a while: when
        its lease has surely ended.
    """

    def __init__(
        self,
        *,
        epoch: int,
        acquired_at: timedelta,
        silent_until: Mapping[str, timedelta],
        fleet: Fleet,
        clock: Clock,
    ) -> None:
        self._epoch = epoch
        self._acquired_at = acquired_at
        self._silent_until = silent_until
        self._fleet = fleet
        self._clock = clock
        self._sessions = 0

    def renew(self, worker: Worker, report: Report, confirmed_at: timedelta) -> int:
        """Return a lease in milliseconds, none unless the worker is seen to live.

        Attendants outlive their workers. Were their reports alone enough, the lease of
        a worker that is gone for good would never end, and what it held would wait for
        ever. Told to nobody, a grant extends nothing, so none is made.

        Parameters
        ----------
        confirmed : timedelta
            When the last write was sent that proved the scheduler's right.
        """
        worker.last_heard = self._clock.elapsed()
        if report.is_worker_alive or report.incarnation != worker.incarnation:
            # A new attendant has yet to see its worker. Were that listed as silent
            # till then, it would get no lease if the table fails just as it is seen.
            worker.last_answered = worker.last_heard
        if report.is_worker_alive:
            return self.grant(worker, confirmed_at)
        if 0 < worker.session == report.session:
            # Not of an attendant that another one may have replaced meanwhile.
            self._shorten(worker, timedelta(milliseconds=report.lease_left_ms))
        return 0

    def grant(self, worker: Worker, confirmed_at: timedelta) -> int:
        """Return a lease in milliseconds and remember when it surely ends.

        Parameters
        ----------
        confirmed : timedelta
            When the last write was sent that proved the scheduler's right.
        """
        now = self._clock.elapsed()
        granted = min(now + _HORIZON, confirmed_at + MAX_LEASE_AFTER_WRITE) - now
        if granted <= timedelta(0) or worker.is_listed_silent:
            return 0
        worker.lease_end = max(worker.lease_end, now + granted * _DRIFT)
        return math.floor(granted.total_seconds() * 1000)

    def is_pending(self, worker: Worker, confirmed_at: timedelta) -> bool:
        """Whether a worker gets a lease as soon as it is no longer listed as silent."""
        return (
            worker.is_listed_silent
            and self._clock.elapsed() < confirmed_at + MAX_LEASE_AFTER_WRITE
        )

    def _shorten(self, worker: Worker, left: timedelta) -> None:
        """Note that a worker that does not answer may run for `left` at the most.

        Told with each report, it reaches every scheduler. A single word that the lease
        is over would be lost with the scheduler that heard it, and the next one would
        wait for a whole lease.
        """
        end = worker.last_heard + left * _DRIFT
        if worker.held_by_ref and worker.lease_end - end > _TELLING:
            log_event(
                "scheduler:lease-shortened",
                worker=worker.id,
                life=worker.life,
                left_s=left.total_seconds(),
                held=len(worker.held_by_ref),
            )
        worker.lease_end = min(worker.lease_end, end)

    def prior_lease_end(self, worker: str) -> timedelta:
        """Return when leases granted by earlier schedulers have surely ended."""
        return self._silent_until.get(
            worker, self._acquired_at + MAX_LEASE_AFTER_WRITE * _DRIFT
        )

    def list_silent(self) -> dict[str, int]:
        """Return what a next scheduler must wait for, and grant them no more."""
        now = self._clock.elapsed()
        silent_ms: dict[str, int] = {}
        for worker in self._fleet.worker_by_id.values():
            if worker.held_by_ref and now - worker.last_answered > _SILENCE:
                worker.is_listed_silent = True
                left = max(worker.runs_end_by - now, timedelta(0))
                silent_ms[worker.id] = math.ceil(left.total_seconds() * 1000)
        return silent_ms

    def unlist(self, silent_ms: Mapping[str, int]) -> None:
        """Let workers that the stored row does not list have leases again."""
        for worker in self._fleet.worker_by_id.values():
            worker.is_listed_silent = worker.id in silent_ms

    def has_recovered_worker(self) -> bool:
        """Whether a worker answers again that the stored row still lists as silent.

        It gets no lease before another row stands; until the next renewal was due,
        workers that came back stood idle.
        """
        now = self._clock.elapsed()
        return any(
            worker.is_listed_silent and now - worker.last_answered <= _SILENCE
            for worker in self._fleet.worker_by_id.values()
        )

    def ensure_session(self, worker: Worker, report: Report) -> None:
        """Grant an attendant a session of its own, and another to each life beside it.

        So a look in it shuts out the orders that were meant for the life before.
        """
        is_known = (
            worker.incarnation == report.incarnation
            and worker.session == report.session
            and worker.session_life == report.life
            and worker.session > 0
        )
        if is_known:
            return
        if worker.incarnation != report.incarnation:
            worker.report_number = report.number
        worker.incarnation = report.incarnation
        worker.session_life = report.life
        worker.session = self._next_session()
        log_event(
            "scheduler:session",
            worker=worker.id,
            session=worker.session,
            attendant=report.incarnation,
            life=report.life,
        )

    def _next_session(self) -> int:
        """Return a fencing token above every earlier one, of any scheduler."""
        self._sessions += 1
        return self._epoch * _SESSIONS_PER_EPOCH + self._sessions


def is_out_of_order(worker: Worker, report: Report) -> bool:
    """Whether a later report of the same attendant has been taken in.

    One that got no answer may still arrive, seconds later. What it says of the lease is
    no longer true of a worker that has answered since.
    """
    if report.incarnation != worker.incarnation:
        return False
    if report.number <= worker.report_number:
        return True
    worker.report_number = report.number
    return False
