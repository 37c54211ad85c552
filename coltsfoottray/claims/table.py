"""Claims in the table, which decides while a member is unreachable."""

from __future__ import annotations

from datetime import timedelta

import trio
from returns.result import Success

from coltsfoottray.claims.members import ClaimMembers
from coltsfoottray.claims.messages import CLAIM_PREFIX, MEMBER_PREFIX, Claim
from coltsfoottray.claims.results import ClaimOutcome, ClaimResult
from coltsfoottray.clock import Clock
from coltsfoottray.platform import (
    Check,
    Put,
    TableError,
    TableService,
    Transaction,
)
from coltsfoottray.platform.common import ABSENT
from coltsfoottray.platform.retry import commit_with_retry
from coltsfoottray.types import EntryId, Incarnation

__all__ = ["ClaimTable"]

_TABLE_TIMEOUT = timedelta(seconds=1)


class ClaimTable:
    """Writes this entry's claims to the table, on condition that it is a member."""

    def __init__(
        self,
        *,
        entry: EntryId,
        incarnation: Incarnation,
        members: ClaimMembers,
        table: TableService,
        clock: Clock,
    ) -> None:
        self._entry = entry
        self._incarnation = incarnation
        self._members = members
        self._table = table
        self._clock = clock

    async def write(self, claim: Claim, supersedes: Incarnation) -> ClaimResult | None:
        """Write the claim; return None if that succeeds, or else why it does not.

        The table decides if a member is unreachable. That member, cut off or
        paused, may be claiming the same key. It reaches no other member either,
        so it writes to the table too, and one of the two writes fails. A row that
        is already there is followed, unless its claimant's claim may be replaced.
        """
        key = CLAIM_PREFIX + claim.request
        with trio.move_on_after(_TABLE_TIMEOUT.total_seconds()):
            try:
                return await self._write_row(key, claim, supersedes)
            except TableError as error:
                return ClaimResult.unknown(f"a member is unreachable, and {error}")
        return ClaimResult.unknown(
            "a member is unreachable, and the table does not answer"
        )

    async def _write_row(
        self, key: str, claim: Claim, supersedes: Incarnation
    ) -> ClaimResult | None:
        found = await self._table.get(key)
        version = ABSENT if found is None else found.version
        if found is not None:
            earlier = found.decode(Claim)
            is_replaceable = earlier.incarnation == self._incarnation or (
                earlier.incarnation == supersedes and earlier.attempt < claim.attempt
            )
            if not is_replaceable:
                return ClaimResult(outcome=ClaimOutcome.FOLLOW, claim=earlier)
        return await self._commit(key, version, claim)

    async def _commit(self, key: str, version: int, claim: Claim) -> ClaimResult | None:
        """Replace `version` of the row; return None if that succeeds."""
        own_row = Check(
            key=MEMBER_PREFIX + self._entry, version=self._members.row_version
        )
        outcome = await commit_with_retry(
            self._table,
            Transaction(puts=[Put.of(key, version, claim)], checks=[own_row]),
            clock=self._clock,
        )
        if isinstance(outcome, Success):
            self._members.record_row(key, outcome.unwrap()[key])
            return None
        rows = {row.key: row for row in outcome.failure().rows}
        if key in rows:
            rival = rows[key].decode(Claim)
            return ClaimResult(outcome=ClaimOutcome.FOLLOW, claim=rival)
        self._members.leave()
        return ClaimResult.unknown("this entry must rejoin")
