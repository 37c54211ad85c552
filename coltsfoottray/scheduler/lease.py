"""The right to schedule: one row, held by one entry at a time.

Every write of the scheduler names the version of this row, so that one that has
been replaced, perhaps while it was frozen, cannot write any more. That makes it
safe to take the row over at any moment; the delays below only keep a scheduler
that is merely slow from being replaced.
"""

from __future__ import annotations

import enum
from datetime import timedelta

import msgspec

from coltsfoottray.clock import Clock
from coltsfoottray.errors import CommunicationError
from coltsfoottray.peers import PeerClient
from coltsfoottray.scheduler.messages import PING, Ping
from coltsfoottray.types import Address

__all__ = [
    "MAX_LEASE_AFTER_WRITE",
    "RENEWAL_INTERVAL",
    "HolderStatus",
    "LeaseRow",
    "LeaseWatch",
]

# How long after its last confirmed write a scheduler lets workers run on. Just
# under the platform's longest lease (10 s), so that an outage of the table of 4.5 s,
# or one of 9 s for some, stops no task.
MAX_LEASE_AFTER_WRITE = timedelta(seconds=9)

# The row is written at least this often.
RENEWAL_INTERVAL = timedelta(milliseconds=500)

# Three renewals missed, less the time a change takes to be seen.
_STALE = timedelta(milliseconds=1300)
# A holder that answers but has not renewed for so long cannot reach the table, which
# others can. Six renewals, since a table that is 70 times slower than usual takes
# almost two for one.
_CUT_OFF = timedelta(seconds=3)
_PING_TIMEOUT = timedelta(milliseconds=400)


class LeaseRow(msgspec.Struct, frozen=True, kw_only=True):
    """Who schedules.

    Parameters
    ----------
    epoch : int
        Rises with each holder.
    renewals : int
        Makes each renewal another value.
    is_resigned : bool
        The holder has stopped; anybody may take over at once.
    silent_ms : dict
        By worker that holds runs and is not heard of: how much longer a lease it
        may have from when this was written. The holder grants it none while it
        is listed, so that the next holder need not wait for longer.
    """

    epoch: int
    holder: str
    incarnation: str
    address: Address
    renewals: int = 0
    is_resigned: bool = False
    silent_ms: dict[str, int] = msgspec.field(default_factory=dict)


class HolderStatus(enum.Enum):
    """What is known of the holder."""

    NONE = "none"
    HELD = "held"
    RESIGNED = "resigned"
    REPLACED = "replaced"
    """The holder's process has ended: another one answers at its address."""
    ABANDONED = "abandoned"
    """It names this very process, which does not schedule: the answer to an
    earlier attempt to take the row over was lost."""
    STALE = "stale"
    """It neither answers nor renews."""
    CUT_OFF = "cut-off"
    """It answers, but has not renewed for long."""

    @property
    def is_free(self) -> bool:
        """Whether the row may be taken over."""
        return self is not HolderStatus.HELD


class LeaseWatch:
    """Follows the row and judges whether its holder lives.

    Parameters
    ----------
    name, incarnation : str
        This process's own.
    """

    def __init__(
        self, *, name: str, incarnation: str, peers: PeerClient, clock: Clock
    ) -> None:
        self._name = name
        self._incarnation = incarnation
        self._peers = peers
        self._clock = clock
        self.row: LeaseRow | None = None
        self.version = 0
        self.changed = clock.elapsed()

    def observe(self, row: LeaseRow, version: int) -> None:
        """Take in what the row holds now."""
        if version > self.version:
            self.row = row
            self.version = version
            self.changed = self._clock.elapsed()

    async def check_holder(self) -> HolderStatus:
        """Return the holder's standing, as seen by a process that is not it."""
        row = self.row
        if row is None:
            return HolderStatus.NONE
        if row.is_resigned:
            return HolderStatus.RESIGNED
        if row.incarnation == self._incarnation:
            return HolderStatus.ABANDONED
        if row.holder == self._name:
            return HolderStatus.REPLACED
        try:
            reply = await self._peers.call(
                row.address, PING, Ping(), timeout=_PING_TIMEOUT
            )
        except CommunicationError:
            # The row may have changed while the call waited.
            return HolderStatus.STALE if self._age() > _STALE else HolderStatus.HELD
        if reply.incarnation != row.incarnation:
            return HolderStatus.REPLACED
        return HolderStatus.CUT_OFF if self._age() > _CUT_OFF else HolderStatus.HELD

    def _age(self) -> timedelta:
        """Return for how long the row has not changed."""
        return self._clock.elapsed() - self.changed
