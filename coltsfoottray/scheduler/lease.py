"""The scheduler's lease row, which one entry holds at a time.

Every write of the scheduler checks the version of this row, so that a scheduler that
has been replaced, perhaps while it was frozen, can no longer write. The row can
therefore be taken over safely at any time; the delays below only avoid replacing a
scheduler that is merely slow.
"""

from __future__ import annotations

import enum
from datetime import timedelta

from coltsfoottray.clock import Clock
from coltsfoottray.errors import CommunicationError
from coltsfoottray.logs import log_event
from coltsfoottray.peers import PeerClient
from coltsfoottray.platform import Row
from coltsfoottray.scheduler.backlog_watch import BacklogWatch
from coltsfoottray.scheduler.grant_limit import HolderContact
from coltsfoottray.scheduler.lease_row import LeaseRow
from coltsfoottray.scheduler.ping import PING

__all__ = ["HolderStatus", "LeaseWatch"]

# Three missed renewals, less the time until a change is visible.
_STALE_AFTER = timedelta(milliseconds=1300)
# A holder may be replaced once two checks in a row were refused and its row has not
# changed for longer than a renewal takes to be seen. It may live nevertheless, as a
# network can refuse connections in its place.
_REFUSED_AFTER = timedelta(milliseconds=150)
_RENEWAL_SEEN_AFTER = timedelta(milliseconds=700)
# A holder that answers but has not renewed for this long cannot reach the table, while
# others can. Six renewals, since with a table 70 times slower than usual one renewal
# takes almost two intervals.
_CUT_OFF_AFTER = timedelta(seconds=3)
_PING_TIMEOUT = timedelta(milliseconds=400)


class HolderStatus(enum.Enum):
    """The state of the holder, as another entry sees it."""

    NONE = "none"
    HELD = "held"
    RESIGNED = "resigned"
    REPLACED = "replaced"
    """The holder's process has ended; another process answers at its address."""
    ABANDONED = "abandoned"
    """The row names this process, which is not the scheduler: the answer to an
    earlier takeover was lost."""
    REFUSED = "refused"
    """The holder does not renew, and connections to it are refused."""
    STALE = "stale"
    """The holder neither answers nor renews."""
    CUT_OFF = "cut-off"
    """The holder answers, but has not renewed for a long time."""

    @property
    def is_free(self) -> bool:
        """Whether another entry may take the row over."""
        return self is not HolderStatus.HELD


class LeaseWatch:
    """Tracks the lease row and determines whether its holder is alive.

    Parameters
    ----------
    name, incarnation : str
        Name and incarnation of this process.
    backlog : BacklogWatch
        Receives what the holder answers about the backlog.
    """

    def __init__(
        self,
        *,
        name: str,
        incarnation: str,
        peers: PeerClient,
        backlog: BacklogWatch,
        clock: Clock,
    ) -> None:
        self._name = name
        self._incarnation = incarnation
        self._peers = peers
        self._backlog = backlog
        self._clock = clock
        self.row: LeaseRow | None = None
        self.version = 0
        self._started_at = clock.elapsed()
        self.changed_at = self._started_at
        self._contact = HolderContact(name=name, started_at=self._started_at)
        # The process that refused the last check, and since when it does.
        self._refused_incarnation = ""
        self._refused_since = self._started_at

    def observe(self, row: LeaseRow, version: int) -> None:
        """Record the row's current value and version."""
        if version > self.version:
            self._observe(row, version)

    def apply(self, row: Row) -> None:
        """Record the row as the table has it.

        Another writer's names no holder. It has ended the one before, as the version
        has changed that is a condition of the holder's writes.
        """
        if row.is_deleted or row.version <= self.version:
            return
        lease = row.try_decode(LeaseRow)
        if lease is not None and lease.epoch > row.version:
            # Each holder takes a write, so none of ours has so high an epoch.
            log_event("scheduler:epoch-impossible", epoch=lease.epoch, row=row.version)
            lease = None
        self._observe(lease, row.version)

    def _observe(self, row: LeaseRow | None, version: int) -> None:
        if row is not None and row.incarnation == self._refused_incarnation:
            # It lives, or wrote this just before its end, which is then found again.
            self._refused_incarnation = ""
        self.row = row
        self.version = version
        self.changed_at = self._clock.elapsed()
        self._contact.record_change()

    @property
    def next_epoch(self) -> int:
        """The epoch of the next holder, which is higher than each before.

        Each holder takes at least one write of the table, so the version of a row that
        cannot be read is higher, too.
        """
        return (self.version if self.row is None else self.row.epoch) + 1

    async def check_holder(self) -> HolderStatus:
        """Return the holder's status, as seen by a process that is not the holder."""
        row = self.row
        if row is None:
            return HolderStatus.NONE
        if row.is_resigned:
            return HolderStatus.RESIGNED
        if row.incarnation == self._incarnation:
            return HolderStatus.ABANDONED
        if row.holder == self._name:
            self._contact.record_end(row.incarnation, self._started_at)
            return HolderStatus.REPLACED
        try:
            reply = await self._peers.call(
                row.address,
                PING,
                self._contact.make_ping(self._backlog.version),
                timeout=_PING_TIMEOUT,
            )
        except CommunicationError as error:
            return self._status_of_silent(row, error)
        now = self._clock.elapsed()
        self._contact.record_answer(reply, now)
        self._backlog.receive(reply)
        if reply.incarnation != row.incarnation:
            self._contact.record_end(row.incarnation, now)
            return HolderStatus.REPLACED
        self._refused_incarnation = ""
        return (
            HolderStatus.CUT_OFF
            if self._row_age() > _CUT_OFF_AFTER * row.patience
            else HolderStatus.HELD
        )

    def _status_of_silent(
        self, row: LeaseRow, error: CommunicationError
    ) -> HolderStatus:
        """Return the status of a holder that a call has not reached.

        The row may have changed during the call.
        """
        if error.is_refused:
            now = self._clock.elapsed()
            if self._refused_incarnation != row.incarnation:
                self._refused_incarnation = row.incarnation
                self._refused_since = now
            # A process that has ended is not slow, however many take-overs have failed.
            is_refusing = now - self._refused_since > _REFUSED_AFTER
            is_free = is_refusing and self._row_age() > _RENEWAL_SEEN_AFTER
            return HolderStatus.REFUSED if is_free else HolderStatus.HELD
        is_stale = self._row_age() > _STALE_AFTER * row.patience
        return HolderStatus.STALE if is_stale else HolderStatus.HELD

    def record_claim(self) -> None:
        """Record that this process is about to take the row over."""
        self._contact.record_claim()

    def grants_end(self, row: LeaseRow) -> timedelta:
        """Return when the leases of a holder and of earlier ones have expired."""
        return self._contact.grants_end(row, self.changed_at)

    def _row_age(self) -> timedelta:
        """Return the time since the row last changed."""
        return self._clock.elapsed() - self.changed_at
