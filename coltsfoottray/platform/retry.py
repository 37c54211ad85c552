"""Commits whose outcome is certain, although answers can be lost."""

from __future__ import annotations

from datetime import timedelta

import msgspec
from returns.result import Failure, Result, Success

from coltsfoottray.clock import Clock
from coltsfoottray.platform.common import (
    TableConflict,
    TableService,
    TableUnavailable,
    Transaction,
)

__all__ = ["commit_with_retry"]

RETRY_DELAY = timedelta(milliseconds=200)


async def commit_with_retry(
    table: TableService, transaction: Transaction, *, clock: Clock
) -> Result[dict[str, int], TableConflict]:
    """Commit `transaction` and return only once its outcome is certain.

    After a lost answer the same conditional transaction is sent again. It can
    take effect once at most: if the first sending did, or still does, the second
    meets a conflict whose rows hold our own values, which is our success. The
    values must therefore be ours alone (an attempt number, an incarnation, a
    token).

    Raises
    ------
    TableUnavailable
        Only where the first sending certainly wrote nothing. After an uncertain
        one it keeps trying until the table is back; callers that cannot wait
        put a cancel scope around it.
    """
    is_uncertain = False
    while True:
        try:
            outcome = await table.commit(transaction)
        except TableUnavailable as error:
            if error.is_unwritten and not is_uncertain:
                raise
            is_uncertain = True
            await clock.sleep(RETRY_DELAY)
            continue
        if isinstance(outcome, Failure) and is_uncertain:
            versions = await _own_versions(table, transaction, clock=clock)
            if versions is not None:
                return Success(versions)
        return outcome


async def _own_versions(
    table: TableService, transaction: Transaction, *, clock: Clock
) -> dict[str, int] | None:
    """Return the versions of our rows if every one stands as we wrote it."""
    versions: dict[str, int] = {}
    for put in transaction.puts:
        while True:
            try:
                row = await table.get(put.key)
                break
            except TableUnavailable:
                await clock.sleep(RETRY_DELAY)
        if put.is_deletion:
            if row is not None:
                return None
        elif row is None or not _is_equal(row.value, put.value):
            return None
        else:
            versions[put.key] = row.version
    return versions


def _is_equal(left: msgspec.Raw, right: msgspec.Raw) -> bool:
    """Whether two JSON texts mean the same; a table may space them anew."""
    return bool(msgspec.json.decode(left) == msgspec.json.decode(right))
