"""Leases and sessions that the scheduler grants to attendants."""

from __future__ import annotations

import math
from collections.abc import Mapping
from datetime import timedelta

from coltsfoottray.clock import Clock
from coltsfoottray.logs import log_event
from coltsfoottray.scheduler.fleet import Fleet, Worker
from coltsfoottray.scheduler.lease import MAX_LEASE_AFTER_WRITE, as_remaining_ms
from coltsfoottray.scheduler.messages import Report

__all__ = ["Grants", "is_out_of_order"]

# Longest lease granted in reply to one report. The runs of a lost worker are declared
# lost once the lease has expired. An attendant must restart before then, or its worker
# stops all tasks; an ordinary outage of a VM lasts 3.5 s.
_MAX_LEASE = timedelta(seconds=7)

# A worker is listed as silent if no report has shown it alive for this long: two and
# a half report intervals of one second.
_SILENT_AFTER = timedelta(seconds=2.5)

# Two monotonic clocks drift apart by at most 2% over a lease.
_DRIFT_FACTOR = 1.02

# Smaller reductions of a lease are not logged, since every report brings one.
_MIN_LOGGED_REDUCTION = timedelta(milliseconds=500)

# Far more sessions than one scheduler can grant, so that every fencing token of a
# later epoch exceeds all those of an earlier one.
_SESSIONS_PER_EPOCH = 1_000_000


class Grants:
    """Tracks the leases and sessions of workers, also those of earlier schedulers.

    Parameters
    ----------
    epoch : int
        Epoch of the lease row.
    acquired_at : timedelta
        When the lease row was taken over.
    silent_until : mapping
        For each worker that the lease row lists as silent since it was taken over, when
        its lease is certain to have expired.
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
        self._is_loading = True
        # The workers that the stored lease row lists as silent, or one being written.
        self._listed = set(silent_until)
        self._fleet = fleet
        self._clock = clock
        self._session_count = 0

    def renew(self, worker: Worker, report: Report, confirmed_at: timedelta) -> int:
        """Return the worker's new lease, 0 unless the report shows it alive.

        An attendant can outlive its worker. If its reports alone renewed the lease, the
        lease of a lost worker would never expire and its runs would never be started
        elsewhere. A lease that is not passed on to a worker has no effect, so none is
        granted.

        Parameters
        ----------
        confirmed_at : timedelta
            When the last successful write, which proved that this scheduler still
            holds the lease row, was sent.

        Returns
        -------
        int
            Length of the lease in milliseconds.
        """
        worker.last_heard = self._clock.elapsed()
        if report.is_worker_alive or report.incarnation != worker.incarnation:
            # A new attendant has not reached its worker yet. If the worker were listed
            # as silent in the meantime, it would get no lease if the table failed just
            # as the attendant reaches it.
            worker.last_answered = worker.last_heard
        if report.is_worker_alive:
            return self.grant(worker, confirmed_at)
        if 0 < worker.session == report.session:
            # A report of another session is ignored: another attendant may have
            # replaced the sender in the meantime.
            self._shorten_lease(worker, timedelta(milliseconds=report.lease_left_ms))
        return 0

    def grant(self, worker: Worker, confirmed_at: timedelta) -> int:
        """Return a lease and record when it is certain to have expired.

        Parameters
        ----------
        confirmed_at : timedelta
            When the last successful write was sent.

        Returns
        -------
        int
            Length of the lease in milliseconds, 0 if none can be granted.
        """
        now = self._clock.elapsed()
        granted = min(now + _MAX_LEASE, confirmed_at + MAX_LEASE_AFTER_WRITE) - now
        if granted <= timedelta(0) or worker.id in self._listed:
            return 0
        worker.lease_end = max(worker.lease_end, now + granted * _DRIFT_FACTOR)
        return math.floor(granted.total_seconds() * 1000)

    def is_pending(self, worker: Worker, confirmed_at: timedelta) -> bool:
        """Return whether only the listing as silent keeps a worker from a lease."""
        return (
            worker.id in self._listed
            and self._clock.elapsed() < confirmed_at + MAX_LEASE_AFTER_WRITE
        )

    def _shorten_lease(self, worker: Worker, remaining: timedelta) -> None:
        """Limit the lease of a worker that does not answer to `remaining`.

        Every report repeats the remaining time, so that it reaches each scheduler. A
        single notice that the lease has expired would be lost with the scheduler that
        received it, and the next scheduler would wait for a whole lease.
        """
        end = worker.last_heard + remaining * _DRIFT_FACTOR
        if worker.held_by_ref and worker.lease_end - end > _MIN_LOGGED_REDUCTION:
            log_event(
                "scheduler:lease-shortened",
                worker=worker.id,
                life=worker.life,
                left_s=remaining.total_seconds(),
                held=len(worker.held_by_ref),
            )
        worker.lease_end = min(worker.lease_end, end)

    def prior_lease_end(self, worker: str) -> timedelta:
        """Return when leases of earlier schedulers are certain to have expired."""
        return self._silent_until.get(
            worker, self._acquired_at + MAX_LEASE_AFTER_WRITE * _DRIFT_FACTOR
        )

    def list_silent(self) -> dict[str, int]:
        """List the silent workers, which get no lease from now on.

        Returns
        -------
        dict
            For each silent worker that holds runs, the rest of its lease in
            milliseconds. The next scheduler waits for it.
        """
        now = self._clock.elapsed()
        end_by_id = {
            worker.id: worker.runs_end_by
            for worker in self._fleet.worker_by_id.values()
            if worker.held_by_ref
        }
        if self._is_loading:
            # Which workers hold runs is not known yet. If those that the row lists were
            # dropped, the next scheduler would wait for the longest lease.
            end_by_id.update(self._listed_ends())
        silent = [each for each in end_by_id if not self._has_answered(each, now)]
        self._listed.update(silent)
        return {each: as_remaining_ms(end_by_id[each], now) for each in silent}

    def mark_loaded(self) -> None:
        """Record that the fleet contains all workers that hold runs."""
        self._is_loading = False

    def _listed_ends(self) -> dict[str, timedelta]:
        """Return when the leases end that were listed when the row was taken over."""
        fleet = self._fleet.worker_by_id
        return {
            each: fleet[each].runs_end_by if each in fleet else end
            for each, end in self._silent_until.items()
        }

    def _has_answered(self, worker_id: str, now: timedelta) -> bool:
        worker = self._fleet.worker_by_id.get(worker_id)
        return worker is not None and now - worker.last_answered <= _SILENT_AFTER

    def unlist(self, silent_ms: Mapping[str, int]) -> None:
        """Allow leases again for workers that the stored lease row does not list."""
        self._listed = set(silent_ms)

    def has_recovered_worker(self) -> bool:
        """Return whether a worker that the lease row lists as silent answers again.

        It gets no lease until the row is written again. Without an early renewal, such
        workers would stay idle until the next regular one.
        """
        now = self._clock.elapsed()
        return any(self._has_answered(each, now) for each in self._listed)

    def ensure_session(self, worker: Worker, report: Report) -> None:
        """Grant a new session to each new incarnation of an attendant or its worker.

        Once a worker has been polled in its new session, it rejects orders that were
        meant for an earlier incarnation.
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
        """Return a fencing token greater than every earlier one of any scheduler."""
        self._session_count += 1
        return self._epoch * _SESSIONS_PER_EPOCH + self._session_count


def is_out_of_order(worker: Worker, report: Report) -> bool:
    """Return whether a later report of the same attendant has been processed.

    A report whose call timed out may still arrive seconds later. The remaining lease
    in it is out of date if the worker has answered since.
    """
    if report.incarnation != worker.incarnation:
        return False
    if report.number <= worker.report_number:
        return True
    worker.report_number = report.number
    return False
