"""Takes the lease row over when its holder is gone.

Load pattern: the holder of a large fleet has died, all entries see it within moments of
one another, and the one that takes over needs a while to read what is stored, over a
link that may be thin. One take-over is in progress at a time: its holder renews the row
while it makes progress, and where take-overs have failed, others wait longer, unless
its process has ended.
"""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from random import Random

from returns.result import Failure

from coltsfoottray.backoff import Backoff
from coltsfoottray.clock import Clock, as_duration
from coltsfoottray.jobs.keys import LEASE_KEY
from coltsfoottray.logs import log_event
from coltsfoottray.platform import (
    Put,
    TableError,
    TableRefused,
    Transaction,
    WatchedTable,
)
from coltsfoottray.scheduler.lease import HolderStatus, LeaseWatch
from coltsfoottray.scheduler.lease_row import (
    DRIFT_FACTOR,
    MAX_GRANT,
    MAX_LEASE_AFTER_WRITE,
    LeaseRow,
    as_remaining_ms,
)
from coltsfoottray.types import Address

__all__ = ["Claim", "LeaseClaimer"]

# Random delay that keeps two entries that find the row free at once from both writing.
_MAX_STAGGER_S = 0.05
# How long this process claims nothing after the table has refused the row itself.
_FIRST_REFUSAL_PAUSE = timedelta(seconds=1)
_LONGEST_REFUSAL_PAUSE = timedelta(seconds=30)


@dataclass(frozen=True, kw_only=True)
class Claim:
    """The lease row, held by this process.

    Parameters
    ----------
    version : int
        Version of the row.
    acquired_at : timedelta
        When the write that took it over was sent.
    grants_end : timedelta
        When all leases of earlier holders are certain to have expired.
    silent_until : dict
        For each worker that the previous holder listed as silent, when its lease is
        certain to have expired.
    """

    lease: LeaseRow
    version: int
    acquired_at: timedelta
    grants_end: timedelta
    silent_until: dict[str, timedelta]


class LeaseClaimer:
    """Writes the lease row for this process if it is free.

    Parameters
    ----------
    name, incarnation, address
        This process, as the row names it.
    """

    def __init__(
        self,
        *,
        name: str,
        incarnation: str,
        address: Address,
        table: WatchedTable,
        watch: LeaseWatch,
        clock: Clock,
        random: Random,
    ) -> None:
        self._name = name
        self._incarnation = incarnation
        self._address = address
        self._table = table
        self._watch = watch
        self._clock = clock
        self._random = random
        self._refusals = Backoff(
            first=_FIRST_REFUSAL_PAUSE, longest=_LONGEST_REFUSAL_PAUSE, random=random
        )
        self._paused_until = clock.elapsed()

    async def try_claim(self) -> Claim | None:
        """Take the row over if its holder is gone; return None if it is not."""
        if self._clock.elapsed() < self._paused_until:
            return None
        # Take over the version that was checked: another entry may write the row
        # during the check, and must then be checked in turn.
        row, version = self._watch.row, self._watch.version
        epoch = self._watch.next_epoch
        status = await self._watch.check_holder()
        if not status.is_free:
            return None
        stagger = timedelta(seconds=self._random.uniform(0, _MAX_STAGGER_S))
        await self._clock.sleep(stagger)
        return await self._write(row, version, status, epoch)

    async def _write(
        self,
        previous: LeaseRow | None,
        version: int,
        status: HolderStatus,
        epoch: int,
    ) -> Claim | None:
        self._watch.record_claim()
        sent = self._clock.elapsed()
        row_age = sent - self._watch.changed_at
        silent_until = self._silent_until(previous)
        grants_end = self._grants_end(previous, sent)
        lease = LeaseRow(
            epoch=epoch,
            holder=self._name,
            incarnation=self._incarnation,
            address=self._address,
            is_loading=True,
            failed_takeovers=_count_failed_takeovers(previous, status),
            silent_ms={
                worker: as_remaining_ms(end, sent)
                for worker, end in silent_until.items()
            },
            max_grant_ms=as_remaining_ms(MAX_GRANT, timedelta(0)),
            prior_left_ms=as_remaining_ms(grants_end, sent),
            standbys=[],
        )
        put = Put.of(LEASE_KEY, version, lease)
        try:
            outcome = await self._table.commit(Transaction(puts=[put]))
        except TableError as error:
            # If the write succeeded after all, the row names this process as holder,
            # and the next check finds it abandoned.
            log_event("scheduler:claim-failed", reason=str(error))
            if isinstance(error, TableRefused):
                pause = self._refusals.next_delay()
                self._paused_until = self._clock.elapsed() + pause
            return None
        self._refusals.reset()
        if isinstance(outcome, Failure):
            for row in outcome.failure().rows:
                self._watch.apply(row)
            return None
        new_version = outcome.unwrap()[LEASE_KEY]
        self._watch.observe(lease, new_version)
        log_event(
            "scheduler:claimed",
            epoch=lease.epoch,
            name=self._name,
            why=status.value,
            row_age_s=round(row_age.total_seconds(), 3),
            leases_left_s=round((grants_end - sent).total_seconds(), 3),
            failed_takeovers=lease.failed_takeovers,
        )
        return Claim(
            lease=lease,
            version=new_version,
            acquired_at=sent,
            grants_end=grants_end,
            silent_until=silent_until,
        )

    def _grants_end(self, previous: LeaseRow | None, sent: timedelta) -> timedelta:
        """Return when all leases of earlier holders are certain to have expired."""
        end = sent + MAX_LEASE_AFTER_WRITE * DRIFT_FACTOR
        return end if previous is None else min(end, self._watch.grants_end(previous))

    def _silent_until(self, previous: LeaseRow | None) -> dict[str, timedelta]:
        if previous is None:
            return {}
        return {
            worker: self._watch.changed_at + as_duration(remaining_ms)
            for worker, remaining_ms in previous.silent_ms.items()
        }


def _count_failed_takeovers(previous: LeaseRow | None, status: HolderStatus) -> int:
    """Return how many take-overs in a row were replaced before they had loaded."""
    was_given_up = status in (HolderStatus.STALE, HolderStatus.CUT_OFF)
    if previous is None or not previous.is_loading or not was_given_up:
        return 0
    return previous.failed_takeovers + 1
