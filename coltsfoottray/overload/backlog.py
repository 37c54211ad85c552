"""The work ahead of a job that is submitted now, by queue.

Load pattern: a burst that takes longer to work off than its jobs are of use. Entries
learn of it from the scheduler and can then reject jobs at once.
"""

from __future__ import annotations

from datetime import timedelta

import msgspec

__all__ = ["Backlog", "KnownBacklog", "QueueBacklog"]


class QueueBacklog(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """The backlog of one queue.

    Parameters
    ----------
    work : float
        Work ahead of a new job in processor-seconds: that of its pool with the same or
        a higher priority.
    wait_ms : int
        Predicted time until the pool has done that work, in ms.
    rate : float
        Processors that work on it.
    """

    work: float = 0.0
    wait_ms: int = 0
    rate: float = 0.0


class Backlog(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """The backlog of all queues, as computed by a scheduler.

    Parameters
    ----------
    version : int
        Increases with each one, also across schedulers.
    """

    version: int
    by_queue: dict[str, QueueBacklog] = msgspec.field(default_factory=dict)


class KnownBacklog:
    """The latest backlog that a process knows.

    Parameters
    ----------
    max_age : timedelta
        An older backlog counts as unknown.
    """

    def __init__(self, *, max_age: timedelta) -> None:
        self._max_age = max_age
        self._backlog: Backlog | None = None
        self._received_at = timedelta(0)

    @property
    def version(self) -> int:
        """The version of the latest backlog, 0 for none."""
        return 0 if self._backlog is None else self._backlog.version

    def receive(self, backlog: Backlog | None, now: timedelta) -> None:
        """Keep a backlog unless a newer one is known."""
        if backlog is not None and backlog.version >= self.version:
            self._backlog = backlog
            self._received_at = now

    def confirm(self, now: timedelta) -> None:
        """Record that the scheduler has no newer backlog."""
        self._received_at = now

    def age(self, now: timedelta) -> timedelta:
        """Return the time since the latest backlog was received or confirmed."""
        return now - self._received_at

    def current(self, now: timedelta) -> Backlog | None:
        """Return the latest backlog, None if it is unknown or too old."""
        return self._backlog if self.age(now) <= self._max_age else None
