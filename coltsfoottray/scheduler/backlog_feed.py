"""The scheduler's backlog, as other entries receive it.

Load pattern: a burst changes the work ahead by seconds within a second, while a dozen
entries ping the scheduler five times a second each. The backlog is therefore computed
at a fixed interval, and sent only to entries that have an older one.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Mapping, Sequence
from datetime import timedelta

import msgspec

from coltsfoottray.jobs.config import ConfigHolder
from coltsfoottray.logs import log_event
from coltsfoottray.metrics import Metrics
from coltsfoottray.overload.backlog import Backlog, QueueBacklog, make_backlog
from coltsfoottray.overload.demand import JobDemand, JobKey, Pool
from coltsfoottray.overload.queue_ranks import QueueRanks

__all__ = ["NO_UPDATE", "BacklogFeed", "BacklogUpdate"]

_INTERVAL = timedelta(milliseconds=500)
# Each attendant reports within a second. Before that, the rates are those of the few
# workers that have reported already, and the predicted waits too long.
_FIRST_AFTER = timedelta(seconds=1)
# Rounds begin at least twice a second, unless the table holds one up. Entries must not
# take the backlog of such a round for a recent one.
_MAX_SENT_AGE = timedelta(seconds=1)
# Many more backlogs than one scheduler computes.
_VERSIONS_PER_EPOCH = 1 << 32

# A change of a queue's wait is logged if it exceeds both bounds, and at most once per
# interval; of one backlog, only the largest changes are.
_MIN_LOGGED_CHANGE_MS = 250
_MIN_LOGGED_FRACTION = 0.25
_MIN_LOG_INTERVAL = timedelta(seconds=2)
_MAX_LINES = 5


class BacklogUpdate(msgspec.Struct, frozen=True, kw_only=True):
    """The part of an answer that concerns the backlog; see `PingReply`."""

    backlog: Backlog | None = None
    version: int = 0


NO_UPDATE = BacklogUpdate()


class BacklogFeed:
    """Computes the backlog, and selects what another entry lacks.

    Parameters
    ----------
    epoch : int
        Epoch of the lease row.
    publish : callable
        Is passed each computed backlog, for this entry.
    """

    def __init__(
        self,
        *,
        epoch: int,
        holder: ConfigHolder,
        publish: Callable[[Backlog], None],
        metrics: Metrics,
    ) -> None:
        self._holder = holder
        self._publish = publish
        self._metrics = metrics
        self._ranks = QueueRanks()
        self._version = epoch * _VERSIONS_PER_EPOCH
        self._latest: Backlog | None = None
        self._computed_at = timedelta(0)
        self._due_at: timedelta | None = None
        self._logged_by_queue: dict[str, tuple[QueueBacklog, timedelta]] = {}

    def update(
        self,
        demands: Sequence[JobDemand],
        *,
        deferred: Collection[JobKey],
        rate_by_pool: Mapping[Pool, float],
        now: timedelta,
    ) -> None:
        """Compute the backlog if that is due; it gets a new version if it differs."""
        if self._due_at is None:
            self._due_at = now + _FIRST_AFTER
        if now < self._due_at:
            return
        self._due_at = now + _INTERVAL
        backlog = make_backlog(
            demands,
            deferred=deferred,
            rate_by_pool=rate_by_pool,
            rank_by_queue=self._ranks.update(demands, self._holder.terms_by_queue),
            version=self._version + 1,
        )
        if self._latest is None or backlog.by_queue != self._latest.by_queue:
            self._record_gauges(backlog)
            self._log_changes(backlog, now)
            self._version = backlog.version
            self._latest = backlog
        self._computed_at = now
        self._publish(self._latest)

    def update_for(self, known_version: int | None, now: timedelta) -> BacklogUpdate:
        """Return what to answer to an entry, given the version that it knows."""
        if self._latest is None or known_version is None:
            return NO_UPDATE
        if now - self._computed_at > _MAX_SENT_AGE:
            return NO_UPDATE
        if self._latest.version > known_version:
            return BacklogUpdate(backlog=self._latest)
        if self._latest.version == known_version:
            return BacklogUpdate(version=known_version)
        return NO_UPDATE

    def _record_gauges(self, backlog: Backlog) -> None:
        before = {} if self._latest is None else self._latest.by_queue
        for queue in before.keys() | backlog.by_queue.keys():
            each = backlog.by_queue.get(queue, QueueBacklog())
            self._metrics.gauge("backlog_work", each.work, queue=queue)
            self._metrics.gauge("backlog_wait_ms", each.wait_ms, queue=queue)
            self._metrics.gauge("backlog_rate", each.rate, queue=queue)

    def _log_changes(self, backlog: Backlog, now: timedelta) -> None:
        self._logged_by_queue = {
            queue: logged
            for queue, logged in self._logged_by_queue.items()
            if queue in backlog.by_queue
        }
        changed = [
            (change, queue)
            for queue, each in backlog.by_queue.items()
            if (change := self._loggable_change(queue, each, now)) > 0
        ]
        for _, queue in sorted(changed, reverse=True)[:_MAX_LINES]:
            each = backlog.by_queue[queue]
            self._logged_by_queue[queue] = (each, now)
            log_event(
                "decision:backlog",
                queue=queue,
                work=each.work,
                wait_s=round(each.wait_ms / 1000, 2),
                rate=each.rate,
                version=backlog.version,
            )

    def _loggable_change(
        self, queue: str, backlog: QueueBacklog, now: timedelta
    ) -> int:
        """Return by how many ms the wait has changed, 0 if that is not to be logged."""
        logged, logged_at = self._logged_by_queue.get(queue, (QueueBacklog(), None))
        if logged_at is not None and now - logged_at < _MIN_LOG_INTERVAL:
            return 0
        change = abs(backlog.wait_ms - logged.wait_ms)
        larger = max(backlog.wait_ms, logged.wait_ms)
        is_noticeable = change > max(
            _MIN_LOGGED_CHANGE_MS, larger * _MIN_LOGGED_FRACTION
        )
        return change if is_noticeable else 0
