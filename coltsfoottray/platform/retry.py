"""Commits with a known outcome, although the table's answers can be lost."""

from __future__ import annotations

from datetime import timedelta

import msgspec
from returns.result import Failure, Result, Success

from coltsfoottray.clock import Clock
from coltsfoottray.platform.common import (
    TableConflict,
    TableError,
    TableRefused,
    TableService,
    TableUnavailable,
    Transaction,
)

__all__ = ["commit_with_retry"]

RETRY_DELAY = timedelta(milliseconds=200)


async def commit_with_retry(
    table: TableService, transaction: Transaction, *, clock: Clock
) -> Result[dict[str, int], TableConflict]:
    """Commit `transaction` and return once its outcome is known.

    After a lost answer, the same conditional transaction is sent again. It takes
    effect at most once: if the first attempt takes effect, even with a delay, the
    second fails with a conflict, and the stored rows have the values of
    `transaction`, which means success. No other writer may therefore write these
    values; include an attempt number, an incarnation or a token.

    Raises
    ------
    TableUnavailable
        Only if the first attempt certainly wrote nothing. After an attempt with an
        unknown outcome, the function retries until the table is available again;
        callers that cannot wait use a cancel scope.
    TableRefused
        If the table refuses the transaction for itself. Unless `is_unwritten`, an
        earlier attempt may still take effect.
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
        except TableRefused as error:
            if not is_uncertain:
                raise
            versions = await _written_versions(table, transaction, clock=clock)
            if versions is not None:
                return Success(versions)
            raise TableRefused(detail=error.detail, is_unwritten=False) from error
        if isinstance(outcome, Failure) and is_uncertain:
            versions = await _written_versions(table, transaction, clock=clock)
            if versions is not None:
                return Success(versions)
        return outcome


async def _written_versions(
    table: TableService, transaction: Transaction, *, clock: Clock
) -> dict[str, int] | None:
    """Return the versions of the written rows if all are stored as written."""
    versions: dict[str, int] = {}
    for put in transaction.puts:
        while True:
            try:
                row = await table.get(put.key)
                break
            except TableError:
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
    """Return whether two JSON texts are equal apart from their formatting."""
    return bool(msgspec.json.decode(left) == msgspec.json.decode(right))
