"""The clock interface, which lets tests run on virtual time."""

from __future__ import annotations

import abc
import math
import time
from dataclasses import dataclass
from datetime import UTC, datetime, timedelta

import trio

__all__ = [
    "CLOCK_RATE_MARGIN",
    "Clock",
    "Moment",
    "SuspendAwareClock",
    "TrioClock",
    "as_duration",
    "as_microseconds",
    "as_milliseconds",
]


# Upper bound of the difference in rate between the clocks of two VMs, as a share of
# the measured duration.
CLOCK_RATE_MARGIN = 0.1
_UNIX_EPOCH = datetime(1970, 1, 1, tzinfo=UTC)
_MICROSECOND = timedelta(microseconds=1)

# 30,000 years. A duration can hold the sum of eighty of them.
_MAX_DURATION_MS = 1e15


def as_duration(milliseconds: float) -> timedelta:
    """Return a duration, which is limited if no arithmetic could hold it.

    For numbers that callers, workers or other processes name, and sums of them.
    """
    if math.isnan(milliseconds):
        return timedelta(0)
    limited = min(max(milliseconds, -_MAX_DURATION_MS), _MAX_DURATION_MS)
    return timedelta(milliseconds=limited)


def as_microseconds(moment: datetime) -> int:
    """Return `moment` in whole microseconds since 1970-01-01 UTC."""
    return (moment - _UNIX_EPOCH) // _MICROSECOND


def as_milliseconds(moment: datetime) -> int:
    """Return `moment` in whole milliseconds since 1970-01-01 UTC."""
    return as_microseconds(moment) // 1000


class Clock(abc.ABC):
    """Reads the time and waits.

    `now` is the wall-clock time, which may jump; `elapsed` is monotonic. Leases and
    deadlines use only `elapsed`.
    """

    @abc.abstractmethod
    def now(self) -> datetime:
        """Return the wall-clock time in UTC."""

    @abc.abstractmethod
    def elapsed(self) -> timedelta:
        """Return a monotonic time, of which only differences are meaningful."""

    @abc.abstractmethod
    async def sleep(self, duration: timedelta) -> None:
        """Wait for `duration`."""


@dataclass(frozen=True, kw_only=True)
class Moment:
    """A moment by both clocks of a process.

    Parameters
    ----------
    elapsed : timedelta
        Monotonic time.
    time_ms : int
        Time of day in milliseconds since 1970, which may jump.
    """

    elapsed: timedelta
    time_ms: int

    @classmethod
    def read(cls, clock: Clock) -> Moment:
        """Return the present moment."""
        return cls(elapsed=clock.elapsed(), time_ms=as_milliseconds(clock.now()))

    def since(self, time_ms: int, *, longest: timedelta) -> timedelta:
        """Return the monotonic time of a time of day, at most `longest` ago."""
        age = as_duration(self.time_ms - time_ms)
        return self.elapsed - min(max(age, timedelta(0)), longest)


class TrioClock(Clock):
    """The clock of the running trio loop, which is real or virtual."""

    def now(self) -> datetime:  # noqa: D102
        return datetime.now(UTC)

    def elapsed(self) -> timedelta:  # noqa: D102
        return timedelta(seconds=trio.current_time())

    async def sleep(self, duration: timedelta) -> None:  # noqa: D102
        await trio.sleep(max(duration.total_seconds(), 0.0))


class SuspendAwareClock(TrioClock):
    """A clock whose `elapsed` includes the time during which the VM is suspended.

    The usual monotonic clock stops while the VM is suspended. A lease measured by it
    would still seem valid when it has expired for all other processes.
    """

    def elapsed(self) -> timedelta:  # noqa: D102
        return timedelta(seconds=time.clock_gettime(time.CLOCK_BOOTTIME))
