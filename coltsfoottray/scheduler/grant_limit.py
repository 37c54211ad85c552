"""Until when a holder may have granted leases: its own limit, and what others know.

Failure guarded against: the holder lives, cannot renew its row and grants leases to the
attendants that it reaches, while the entry that takes over does not reach it. Refused,
closed and silent connections do not tell whether it grants. A successor that takes them
for its end starts tasks again that still run; one that always waits for the longest
lease leaves the tasks of a worker that is lost with the holder waiting for too long.

Both sides therefore reckon from what they have told one another. Entries that may take
over (standbys) check the holder all the time, and send back with each check the clock
reading of the last answer that they got. A lease lasts no longer than `MAX_GRANT` from
the last renewal of the row, or from the oldest of these readings, whichever is later. A
standby knows when it saw that renewal, and when it got the last answer: each is later
than what the holder counts from, whatever has become of the holder since.

The row lists the standbys whose readings the holder counts. An entry that is not listed
waits for the longest lease. If none is listed, the holder counts from its renewals
only, and each entry can do the same.
"""

from __future__ import annotations

from datetime import timedelta

from coltsfoottray.clock import Clock, as_duration
from coltsfoottray.scheduler.lease_row import (
    DRIFT_FACTOR,
    MAX_GRANT,
    MAX_LEASE_AFTER_WRITE,
    RENEWAL_INTERVAL,
    LeaseRow,
)
from coltsfoottray.scheduler.ping import Ping, PingReply

__all__ = ["GrantLimit", "HolderContact"]

# Five checks: a standby that has sent back nothing for longer would only shorten the
# leases of an outage.
_HEARD_WITHIN = timedelta(seconds=1)

# What the row holds beside the longest list of silent workers: 160 names of 25 bytes.
_MAX_LIST_BYTES = 4_000
_MAX_STANDBYS = 500


class GrantLimit:
    """Limits the leases that a holder grants to what its successor allows for.

    Parameters
    ----------
    incarnation : str
        This process, the holder.
    acquired_at : timedelta
        When the write that took the row over was sent. That row lists no standbys.
    """

    def __init__(self, *, incarnation: str, acquired_at: timedelta, clock: Clock):
        self._incarnation = incarnation
        self._renewed_at = acquired_at
        self._clock = clock
        self._heard_by_standby: dict[str, timedelta] = {}
        # The lists in the versions of the row of which any may be the stored one.
        self._lists: list[list[str]] = [[]]

    def record_ping(self, ping: Ping) -> None:
        """Record which answer of this process a standby has got."""
        heard_at = as_duration(ping.heard_ms)
        is_ours = ping.standby and ping.holder == self._incarnation
        if not is_ours or heard_at > self._clock.elapsed():
            return
        known = self._heard_by_standby
        if ping.standby in known or len(known) < _MAX_STANDBYS:
            known[ping.standby] = max(known.get(ping.standby, heard_at), heard_at)

    def list_standbys(self) -> list[str]:
        """List the standbys for a version of the row that is about to be written."""
        now = self._clock.elapsed()
        listed = {name for names in self._lists for name in names}
        self._heard_by_standby = {
            name: heard_at
            for name, heard_at in self._heard_by_standby.items()
            if now - heard_at <= _HEARD_WITHIN or name in listed
        }
        standbys = [
            name
            for name, heard_at in sorted(self._heard_by_standby.items())
            if now - heard_at <= _HEARD_WITHIN
        ]
        while sum(len(name.encode()) for name in standbys) > _MAX_LIST_BYTES:
            standbys.pop()
        self._lists.append(standbys)
        return standbys

    def record_renewal(self, sent_at: timedelta) -> None:
        """Record that the row with the last list, which was sent then, is stored."""
        self._renewed_at = sent_at
        del self._lists[:-1]

    def end(self, confirmed_at: timedelta) -> timedelta:
        """Return until when a lease may last that is granted now.

        Parameters
        ----------
        confirmed_at : timedelta
            When the last write that showed that this process is the holder was sent.
        """
        end = self._renewed_at + MAX_GRANT
        if all(self._lists):
            heard_at = min(
                self._heard_by_standby[name] for names in self._lists for name in names
            )
            heard_end = min(heard_at + MAX_GRANT, confirmed_at + MAX_LEASE_AFTER_WRITE)
            end = max(end, heard_end)
        return min(end, self._clock.elapsed() + MAX_GRANT)


class HolderContact:
    """What this process has heard of the holder, from which it knows its grants.

    Parameters
    ----------
    name : str
        Name of this entry.
    started_at : timedelta
        When this process started. An earlier one under its name has ended before.
    """

    def __init__(self, *, name: str, started_at: timedelta) -> None:
        self._name = name
        # When any holder has answered last.
        self._heard_at = started_at
        self._answered_by = ""
        self._reading_ms = 0
        self._is_claiming = False
        self._ended_incarnation = ""
        self._ended_at = started_at

    def make_ping(self, backlog_version: int | None) -> Ping:
        """Return the next ping to the holder."""
        return Ping(
            standby=self._name,
            holder=self._answered_by,
            heard_ms=self._reading_ms,
            backlog_version=backlog_version,
        )

    def record_answer(self, reply: PingReply, at: timedelta) -> None:
        """Record an answer that came at a given time."""
        self._heard_at = at
        if self._is_claiming:
            return
        self._answered_by = reply.incarnation if reply.clock_ms else ""
        self._reading_ms = reply.clock_ms

    def record_claim(self) -> None:
        """Record that this process is about to take the row over, if it still can.

        That may succeed unheard, with a row that says how long leases can last that the
        holder has granted. It must not learn of later answers from this process.
        """
        self._is_claiming = True

    def record_change(self) -> None:
        """Record that the row has changed: no earlier write takes it over any more."""
        self._is_claiming = False

    def record_end(self, incarnation: str, at: timedelta) -> None:
        """Record that a process has ended by then, as another one is in its place."""
        if self._ended_incarnation != incarnation:
            self._ended_incarnation = incarnation
            self._ended_at = at

    def grants_end(self, row: LeaseRow, changed_at: timedelta) -> timedelta:
        """Return when the leases of a holder and of earlier ones have expired.

        Parameters
        ----------
        changed_at : timedelta
            When this process saw the row. After half a second each write of the holder
            is one that others see.
        """
        write_age = RENEWAL_INTERVAL + MAX_LEASE_AFTER_WRITE
        longest_end = changed_at + write_age * DRIFT_FACTOR
        counted_from = self._counted_from(row, changed_at)
        if counted_from is None or not row.max_grant_ms:
            return longest_end
        end = counted_from + as_duration(row.max_grant_ms) * DRIFT_FACTOR
        prior_end = changed_at + as_duration(row.prior_left_ms)
        return min(longest_end, max(end, prior_end))

    def _counted_from(self, row: LeaseRow, changed_at: timedelta) -> timedelta | None:
        """Return from when the holder's longest grant counts, None if not known."""
        known = []
        if row.incarnation == self._ended_incarnation:
            known.append(self._ended_at)
        if row.standbys is not None and not row.standbys:
            known.append(changed_at)
        if row.standbys and self._name in row.standbys:
            known.append(max(changed_at, self._heard_at))
        return min(known, default=None)
