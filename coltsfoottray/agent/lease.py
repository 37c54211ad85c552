"""A worker's lease, converted from the scheduler's grants to the worker's clock."""

from __future__ import annotations

import math
from datetime import timedelta

from coltsfoottray.agent.worker import ClockReading

__all__ = ["MAX_ORPHAN_TIME", "MAX_WORKER_LEASE", "WorkerLease"]

# The longest lease that a worker holds is 10 s by its own clock, which may be 2% slow.
MAX_WORKER_LEASE = timedelta(seconds=10.2)

# A start meant for a previous incarnation that arrives seconds late at a new one runs
# there for at most one such lease.
MAX_ORPHAN_TIME = timedelta(seconds=16)

# Longest lease that is issued to the worker at a time. An attendant that is killed must
# return within it (3.5 s of power loss of the VM, plus its own start), and a worker
# that stops answering is declared lost after it.
_LEASE_HORIZON = timedelta(seconds=6)

# A worker's clock may run 2% slow, so the lease is shortened by slightly more.
_CLOCK_MARGIN = 0.975

_ZERO = timedelta(0)


class WorkerLease:
    """Lease granted by the scheduler, and the part of it issued to the worker.

    Parameters
    ----------
    started_at : timedelta
        When this attendant started. Its predecessor may have issued a full lease at
        that moment, and leaves no record of it. It may also have called an incarnation
        that nobody has heard of.
    """

    def __init__(self, *, started_at: timedelta) -> None:
        self._granted_until = _ZERO
        self._issued_until = started_at + _LEASE_HORIZON
        # When leases have ended that the current and the next incarnation took from
        # calls meant for an earlier one.
        self._foreign_until = _ZERO
        self._next_foreign_until = _ZERO
        # When such leases have ended that the predecessor may have caused: of any
        # incarnation while none has answered a poll, then of the one that did.
        self._unheard_until = started_at + MAX_ORPHAN_TIME
        self._inherited_until = _ZERO
        self._reading: ClockReading | None = None
        self._incarnations = 0

    def begin_incarnation(self) -> None:
        """Begin another incarnation, whose clock is not known yet."""
        self._reading = None
        self._incarnations += 1
        self._foreign_until = self._next_foreign_until
        self._next_foreign_until = _ZERO

    def record_foreign_call(self, now: timedelta, *, is_next: bool) -> None:
        """Record that an incarnation has answered a call meant for an earlier one.

        The lease end in the call was meant for the earlier one's clock, which is ahead.

        Parameters
        ----------
        is_next : bool
            Whether the incarnation has not reported itself yet; it is the current one
            otherwise.
        """
        if is_next:
            self._next_foreign_until = now + MAX_WORKER_LEASE
        else:
            self._foreign_until = now + MAX_WORKER_LEASE

    def set_reading(self, reading: ClockReading, *, lists_runs: bool) -> None:
        """Set the latest reading of the worker's clock.

        The first poll fences off the predecessor's calls. Those before it may have been
        answered by the current incarnation and meant for an earlier one. If a new
        incarnation has runs then, it took them from calls of this attendant that it did
        not answer.

        Parameters
        ----------
        lists_runs : bool
            Whether the worker has listed runs or ends together with the reading.
        """
        is_new = self._reading is None and self._incarnations > 1
        if is_new and lists_runs:
            self._foreign_until = reading.received + MAX_WORKER_LEASE
        if self._unheard_until:
            self._unheard_until = _ZERO
            self._inherited_until = reading.received + MAX_WORKER_LEASE
        self._reading = reading

    def grant(self, end: timedelta) -> None:
        """Extend the grant to `end`; an earlier end has no effect."""
        self._granted_until = max(self._granted_until, end)

    def remaining_grant(self, now: timedelta) -> timedelta:
        """Return the time until the grant ends."""
        return max(self._granted_until - now, _ZERO)

    @property
    def is_clock_known(self) -> bool:
        """Whether a lease end can be expressed on the worker's clock."""
        return self._reading is not None

    def remaining_issued(self, now: timedelta) -> timedelta:
        """Return the time until the lease that the worker holds ends."""
        end = max(self._issued_until, self._foreign_until, self._next_foreign_until)
        return max(end - now, _ZERO)

    def remaining_foreign(self, now: timedelta) -> timedelta:
        """Return the time until leases end that incarnations took from others' calls.

        This includes what the predecessor may have caused without a record.
        """
        end = max(
            self._foreign_until,
            self._next_foreign_until,
            self._unheard_until,
            self._inherited_until,
        )
        return max(end - now, _ZERO)

    def limit_to_issued(self) -> None:
        """Revoke the part of the grant that has not been issued to the worker."""
        self._granted_until = min(self._granted_until, self._issued_until)

    def mark_ended(self, *, has_incarnation_ended: bool) -> None:
        """Record that nothing can run any more by a lease that is known.

        Parameters
        ----------
        has_incarnation_ended : bool
            Whether no lease is left at all, since the worker has ended.
        """
        self._issued_until = _ZERO
        self._foreign_until = _ZERO
        self._next_foreign_until = _ZERO
        if has_incarnation_ended:
            self._unheard_until = _ZERO
            self._inherited_until = _ZERO

    def issue(self, now: timedelta) -> int:
        """Return the lease end to issue, on the worker's clock in ms; 0 for none.

        The clock was read before the reading was received, so at that moment it shows
        at least the reading. With the margin, the lease ends in time on a slow clock.
        """
        end = min(self._granted_until, now + _LEASE_HORIZON)
        if self._reading is None or end <= now:
            return 0
        lease = (end - self._reading.received) * _CLOCK_MARGIN
        self._issued_until = max(self._issued_until, end)
        return self._reading.reading_ms + math.floor(lease.total_seconds() * 1000)
