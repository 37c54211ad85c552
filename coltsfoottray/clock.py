"""The clock as an interface, so that tests run on virtual time."""

from __future__ import annotations

import abc
import time
from datetime import UTC, datetime, timedelta

import trio

__all__ = [
    "CLOCK_RATE_MARGIN",
    "Clock",
    "SuspendAwareClock",
    "TrioClock",
    "as_microseconds",
    "as_milliseconds",
]


# The clocks of two VMs may run apart by this part of a duration, at the most.
CLOCK_RATE_MARGIN = 0.1
_EPOCH = datetime(1970, 1, 1, tzinfo=UTC)
_MICROSECOND = timedelta(microseconds=1)


def as_microseconds(moment: datetime) -> int:
    """Return `moment` as whole microseconds since 1970."""
    return (moment - _EPOCH) // _MICROSECOND


def as_milliseconds(moment: datetime) -> int:
    """Return `moment` as whole milliseconds since 1970."""
    return as_microseconds(moment) // 1000


class Clock(abc.ABC):
    """What time it is, and how to wait.

    Two readings are kept apart: `now` is the calendar and may jump, `elapsed`
    never does. Leases and deadlines use `elapsed` alone.
    """

    @abc.abstractmethod
    def now(self) -> datetime:
        """Return the calendar time in UTC."""

    @abc.abstractmethod
    def elapsed(self) -> timedelta:
        """Return a monotonic reading; only differences mean anything."""

    @abc.abstractmethod
    async def sleep(self, duration: timedelta) -> None:
        """Wait for `duration`."""


class TrioClock(Clock):
    """The clock of the running trio loop, real or virtual."""

    def now(self) -> datetime:  # noqa: D102
        return datetime.now(UTC)

    def elapsed(self) -> timedelta:  # noqa: D102
        return timedelta(seconds=trio.current_time())

    async def sleep(self, duration: timedelta) -> None:  # noqa: D102
        await trio.sleep(max(duration.total_seconds(), 0.0))


class SuspendAwareClock(TrioClock):
    """A clock whose `elapsed` also counts the time in which the VM is suspended.

    The usual monotonic clock stands still meanwhile: a lease measured by it would
    seem to have seconds left that are long over for everybody else.
    """

    def elapsed(self) -> timedelta:  # noqa: D102
        return timedelta(seconds=time.clock_gettime(time.CLOCK_BOOTTIME))
