"""The backlog as an entry knows it: computed here, or received from the scheduler."""

from __future__ import annotations

from coltsfoottray.clock import Clock
from coltsfoottray.logs import log_event
from coltsfoottray.metrics import Metrics
from coltsfoottray.overload.backlog import Backlog, KnownBacklog
from coltsfoottray.scheduler.messages import Acknowledged
from coltsfoottray.scheduler.ping import PingReply

__all__ = ["BacklogWatch"]


class BacklogWatch:
    """Keeps the backlog up to date, and logs when it becomes unknown or known.

    Parameters
    ----------
    is_enabled : bool
        Whether this entry uses a backlog; the scheduler sends it none otherwise.
    """

    def __init__(
        self, *, known: KnownBacklog, is_enabled: bool, clock: Clock, metrics: Metrics
    ) -> None:
        self._known = known
        self._is_enabled = is_enabled
        self._clock = clock
        self._metrics = metrics
        self._was_known = False

    @property
    def version(self) -> int | None:
        """The version to send to the scheduler; see `Ping`."""
        return self._known.version if self._is_enabled else None

    def publish(self, backlog: Backlog) -> None:
        """Record what the scheduler in this entry has computed, changed or not."""
        self._known.receive(backlog, self._clock.elapsed())
        self.check()

    def receive(self, reply: PingReply | Acknowledged) -> None:
        """Record what the scheduler in another entry has sent.

        A version tells which scheduler has computed it, so that no other one can
        confirm it.
        """
        if not self._is_enabled:
            return
        now = self._clock.elapsed()
        if reply.backlog is not None:
            self._known.receive(reply.backlog, now)
        elif reply.backlog_version and reply.backlog_version == self._known.version:
            self._known.confirm(now)
        self.check()

    def check(self) -> None:
        """Log whether the backlog is known, if that has changed."""
        now = self._clock.elapsed()
        is_known = self._known.current(now) is not None
        if is_known == self._was_known:
            return
        self._was_known = is_known
        self._metrics.gauge("backlog_known", int(is_known))
        log_event(
            "backlog:known" if is_known else "backlog:unknown",
            version=self._known.version,
            age_s=round(self._known.age(now).total_seconds(), 3),
        )
