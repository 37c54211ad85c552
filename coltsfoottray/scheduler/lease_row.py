"""The lease row, and what a holder grants by it."""

from __future__ import annotations

import math
from datetime import timedelta
from typing import Annotated

import msgspec

from coltsfoottray.types import Address

__all__ = [
    "DRIFT_FACTOR",
    "MAX_GRANT",
    "MAX_LEASE_AFTER_WRITE",
    "RENEWAL_INTERVAL",
    "LeaseRow",
    "as_remaining_ms",
]

# How long after a scheduler's last confirmed write worker leases may reach. Just under
# the platform's longest lease (10 s), so that neither a table outage of 4.5 s nor one
# of 9 s that only some processes see stops a task.
MAX_LEASE_AFTER_WRITE = timedelta(seconds=9)

# Longest lease granted in reply to one report. The runs of a lost worker are declared
# lost once the lease has expired, and users count them as lost after 7 s. An attendant
# must restart before then, or its worker stops all tasks; an ordinary outage of a VM
# lasts 3.5 s.
MAX_GRANT = timedelta(milliseconds=6400)

# Two monotonic clocks drift apart by at most 2% over a lease.
DRIFT_FACTOR = 1.02

# The holder writes the row at least this often.
RENEWAL_INTERVAL = timedelta(milliseconds=500)

# The patience of others doubles with each take-over that was replaced before it had
# loaded: what was too slow for one entry may be too slow for the next.
_MAX_DOUBLINGS = 3
# A fencing token is the epoch times 10^9, and has to fit into 64 bits.
_MAX_EPOCH = 5 * 10**9
_Count = Annotated[int, msgspec.Meta(ge=0, le=1 << 53)]
# No lease lasts for a day.
_Milliseconds = Annotated[int, msgspec.Meta(ge=0, le=24 * 3600 * 1000)]


def as_remaining_ms(end: timedelta, now: timedelta) -> int:
    """Return the time until `end` in milliseconds, rounded up, 0 once it has passed."""
    return max(math.ceil((end - now).total_seconds() * 1000), 0)


class LeaseRow(msgspec.Struct, frozen=True, kw_only=True):
    """The entry that is the scheduler.

    Parameters
    ----------
    epoch : int
        Increases with each holder.
    renewals : int
        Increases with each renewal, so that each one changes the row.
    is_resigned : bool
        The holder has resigned; any entry may take over at once.
    is_loading : bool
        The holder is reading the stored state. It renews the row only while it makes
        progress.
    failed_takeovers : int
        Number of holders in a row, before this one, that were replaced while loading.
    silent_ms : dict
        For each silent worker that holds runs, how long its lease may last from the
        time of this write. The holder grants no lease to a listed worker, so that the
        next holder does not have to wait longer. A holder that takes the row over
        continues the list, since it may be replaced before it knows who holds runs.
    max_grant_ms : int
        Longest lease that the holder grants in reply to one report. 0 in a row of an
        earlier version, which grants up to 7 s.
    prior_left_ms : int
        How long leases of earlier holders may last from the time of this write.
    standbys : list of str, optional
        The entries that the holder reckons with when it grants a lease without a recent
        renewal; see `GrantLimit`. None in a row of an earlier version.
    """

    epoch: Annotated[int, msgspec.Meta(ge=1, le=_MAX_EPOCH)]
    holder: str
    incarnation: str
    address: Address
    renewals: _Count = 0
    is_resigned: bool = False
    is_loading: bool = False
    failed_takeovers: _Count = 0
    silent_ms: dict[str, _Milliseconds] = msgspec.field(default_factory=dict)
    max_grant_ms: _Milliseconds = 0
    prior_left_ms: _Milliseconds = 0
    standbys: list[str] | None = None

    @property
    def patience(self) -> int:
        """Factor by which others wait longer before they replace the holder."""
        return 1 << min(self.failed_takeovers, _MAX_DOUBLINGS)
