"""Leases and sessions that the scheduler grants to attendants."""

from __future__ import annotations

import math
from collections.abc import Mapping
from datetime import timedelta

from coltsfoottray.agent.lease import MAX_WORKER_LEASE
from coltsfoottray.clock import Clock, as_duration
from coltsfoottray.logs import log_event
from coltsfoottray.scheduler.fleet import Fleet, Worker
from coltsfoottray.scheduler.grant_limit import GrantLimit
from coltsfoottray.scheduler.lease_row import DRIFT_FACTOR, as_remaining_ms
from coltsfoottray.scheduler.messages import Report
from coltsfoottray.scheduler.worker_leases import PriorLeases

__all__ = ["Grants", "is_out_of_order"]

# A worker is listed as silent if no report has shown it alive for this long: two and
# a half report intervals of one second.
_SILENT_AFTER = timedelta(seconds=2.5)

# Longest list of silent workers in the lease row, which has to fit into a row of the
# table with names of 200 bytes.
_MAX_LISTED = 200

# Smaller reductions of a lease are not logged, since every report brings one.
_MIN_LOGGED_REDUCTION = timedelta(milliseconds=500)

# A write is confirmed at least every half second; later ones are logged.
_UNCONFIRMED_AFTER = timedelta(seconds=1.5)

# Far more sessions than one scheduler can grant, so that every fencing token of a
# later epoch exceeds all those of an earlier one.
_SESSIONS_PER_EPOCH = 1_000_000


class Grants:
    """Tracks the leases and sessions of workers, also those of earlier schedulers.

    Parameters
    ----------
    epoch : int
        Epoch of the lease row.
    limit : GrantLimit
        Until when the leases may last that this scheduler grants.
    prior_end : timedelta
        When all leases of earlier schedulers are certain to have expired.
    silent_until : mapping
        For each worker that the lease row lists as silent since it was taken over, when
        its lease is certain to have expired.
    """

    def __init__(
        self,
        *,
        epoch: int,
        limit: GrantLimit,
        prior_end: timedelta,
        silent_until: Mapping[str, timedelta],
        fleet: Fleet,
        clock: Clock,
    ) -> None:
        self._epoch = epoch
        self.limit = limit
        self._prior_end = prior_end
        self._silent_until = silent_until
        self._is_loading = True
        # The workers that the stored lease row lists as silent, or one being written.
        self._listed = set(silent_until)
        self._fleet = fleet
        self._clock = clock
        self._session_count = 0
        self._settled_life_by_worker: Mapping[str, str] = {}
        self._is_withholding = False
        self._suspended: set[str] = set()
        self._has_logged_unconfirmed = False

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
        self._update_foreign_end(worker, report)
        if report.is_worker_alive:
            return self.grant(worker, confirmed_at)
        if _is_in_session(worker, report):
            # A report of another session is ignored: another attendant may have
            # replaced the sender in the meantime.
            self._shorten_lease(worker, as_duration(report.lease_left_ms))
        return 0

    @staticmethod
    def _update_foreign_end(worker: Worker, report: Report) -> None:
        """Update how long a foreign lease of the worker may last.

        A new attendant allows for calls of its predecessor. That is not needed once it
        has reached an incarnation that was settled before.
        """
        leases = worker.leases
        if leases.settled_life is None and report.life:
            leases.settled_life = report.life
        is_settled = report.is_worker_alive and report.life == leases.settled_life
        left = as_duration(0 if is_settled else report.foreign_left_ms)
        if _is_in_session(worker, report):
            leases.set_foreign_left(left * DRIFT_FACTOR, worker.last_heard)
        else:
            leases.extend_foreign(left * DRIFT_FACTOR, worker.last_heard)

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
        granted = self.limit.end(confirmed_at) - now
        is_barred = worker.id in self._listed or worker.id in self._suspended
        if granted <= timedelta(0) or is_barred or self._is_withholding:
            return 0
        self._log_unconfirmed(now - confirmed_at, reach=granted)
        worker.leases.end = max(worker.leases.end, now + granted * DRIFT_FACTOR)
        return math.floor(granted.total_seconds() * 1000)

    def _log_unconfirmed(self, age: timedelta, *, reach: timedelta) -> None:
        """Log the first lease that is granted while no write is confirmed."""
        is_unconfirmed = age > _UNCONFIRMED_AFTER
        if is_unconfirmed and not self._has_logged_unconfirmed:
            log_event(
                "scheduler:grants-unconfirmed",
                epoch=self._epoch,
                confirmed_s_ago=round(age.total_seconds(), 3),
                lease_s=round(reach.total_seconds(), 3),
            )
        self._has_logged_unconfirmed = is_unconfirmed

    def is_pending(self, worker: Worker, confirmed_at: timedelta) -> bool:
        """Return whether only the listing as silent keeps a worker from a lease."""
        return worker.id in self._listed and self._clock.elapsed() < self.limit.end(
            confirmed_at
        )

    def _shorten_lease(self, worker: Worker, remaining: timedelta) -> None:
        """Limit the lease of a worker that does not answer to `remaining`.

        Every report repeats the remaining time, so that it reaches each scheduler. A
        single notice that the lease has expired would be lost with the scheduler that
        received it, and the next scheduler would wait for a whole lease.
        """
        end = worker.last_heard + remaining * DRIFT_FACTOR
        if worker.held_by_ref and worker.leases.end - end > _MIN_LOGGED_REDUCTION:
            log_event(
                "scheduler:lease-shortened",
                worker=worker.id,
                life=worker.life,
                left_s=remaining.total_seconds(),
                held=len(worker.held_by_ref),
                unsettled=sum(
                    not placed.is_settled for placed in worker.held_by_ref.values()
                ),
                runs_end_in_s=(worker.runs_end_by - worker.last_heard).total_seconds(),
            )
        worker.leases.end = min(worker.leases.end, end)

    def restore_lives(self, settled_life_by_worker: Mapping[str, str]) -> None:
        """Restore which incarnations earlier schedulers knew to be settled.

        Some workers may have reported to this scheduler already.
        """
        self._settled_life_by_worker = settled_life_by_worker
        for worker in self._fleet.worker_by_id.values():
            life = settled_life_by_worker.get(worker.id)
            worker.leases.settled_life = life

    def prior_leases(self, worker: str) -> PriorLeases:
        """Return what earlier schedulers may have left to a worker.

        Of a worker that the lease row lists, the end is known. Any other may have an
        attendant that goes on calling until its lease ends, and whose last call may
        have reached an incarnation that nobody has heard of.
        """
        settled_life = self._settled_life_by_worker.get(worker)
        listed = self._silent_until.get(worker)
        if listed is not None:
            return PriorLeases(
                end=listed, foreign_end=listed, settled_life=settled_life
            )
        end = self._prior_end
        foreign_end = end + MAX_WORKER_LEASE * DRIFT_FACTOR
        return PriorLeases(end=end, foreign_end=foreign_end, settled_life=settled_life)

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
        # A worker that is not listed gets a lease again, and the next scheduler waits
        # for the longest one.
        silent = silent[:_MAX_LISTED]
        self._listed.update(silent)
        return {each: as_remaining_ms(end_by_id[each], now) for each in silent}

    def prior_left_ms(self) -> int:
        """Return how long leases of earlier schedulers may still last."""
        return as_remaining_ms(self._prior_end, self._clock.elapsed())

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

    def withhold(self) -> None:
        """Grant no lease from now on."""
        self._is_withholding = True

    def suspend(self, worker: str) -> None:
        """Grant a worker no lease, as its reports cannot be applied."""
        self._suspended.add(worker)

    def resume(self, worker: str) -> None:
        """Grant a worker leases again."""
        self._suspended.discard(worker)

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


def _is_in_session(worker: Worker, report: Report) -> bool:
    """Return whether a report was sent in the worker's current session."""
    return 0 < worker.session == report.session


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
