"""Acceptance of edits: each is committed exactly once, at the next version."""

from __future__ import annotations

from dataclasses import dataclass

from returns.result import Failure, Result, Success

from coltsfoottray.clock import Clock
from coltsfoottray.lists.holder import ListHolder
from coltsfoottray.lists.models import Edit, EditRecord, Lists, apply_change
from coltsfoottray.platform import Put, TableService, TableUnavailable, Transaction
from coltsfoottray.platform.common import ABSENT
from coltsfoottray.types import ListVersion

__all__ = ["HEAD_KEY", "EditConflict", "ListEditor", "read_head"]

HEAD_KEY = "lists/head"
_HISTORY_PREFIX = "lists/history/"


@dataclass(frozen=True, kw_only=True)
class EditConflict:
    """The lists have changed since the operator read them."""

    winner: EditRecord

    def __str__(self) -> str:
        lists = self.winner.lists
        edit = self.winner.edit
        return (
            f"{edit.author} changed {edit.list.value} at {self.winner.accepted_at}, "
            f"which is version {lists.version}: {edit.change}; "
            "read that version and make the edit again"
        )


async def read_head(table: TableService) -> Lists:
    """Return the newest accepted lists, with version 0 if there are none."""
    row = await table.get(HEAD_KEY)
    return Lists() if row is None else row.decode(Lists)


class ListEditor:
    """Commits operators' edits to the table.

    The head row and a history row are written in one transaction, conditional
    on the head's version, so exactly one of two racing edits succeeds. The
    version of the lists is that of the head row.
    """

    def __init__(
        self, *, table: TableService, clock: Clock, holder: ListHolder
    ) -> None:
        self._table = table
        self._clock = clock
        self._holder = holder

    async def commit(self, edit: Edit) -> Result[Lists, EditConflict]:
        """Accept `edit`, or return a conflict if the lists have changed.

        Raises
        ------
        InputError
            If the edit is malformed; nothing is written.
        TableUnavailable
            If the table does not answer. With `is_unwritten` the edit was not
            accepted. Otherwise the outcome is unknown; the operator learns it
            by sending the same edit with the same token again.
        """
        accepted = await self._find_accepted(edit)
        if accepted is not None:
            return Success(accepted)
        head = await read_head(self._table)
        if head.version != edit.based_on:
            return Failure(await self._conflict(head.version))
        version = ListVersion(head.version + 1)
        lists = apply_change(head, edit, version=version)
        return await self._write(edit, lists)

    async def history(self) -> list[EditRecord]:
        """Return every accepted edit, oldest first."""
        rows = await self._table.scan(_HISTORY_PREFIX)
        return [row.decode(EditRecord) for row in rows]

    async def _write(self, edit: Edit, lists: Lists) -> Result[Lists, EditConflict]:
        record = EditRecord(
            edit=edit, accepted_at=self._clock.now().isoformat(), lists=lists
        )
        transaction = Transaction(
            puts=[
                Put.of(HEAD_KEY, lists.version - 1, lists),
                Put.of(_history_key(lists.version), ABSENT, record),
            ]
        )
        try:
            outcome = await self._table.commit(transaction)
        except TableUnavailable as error:
            # The response can be lost after the write took effect. Comparing the
            # token of the row at that version distinguishes success from failure
            # and never applies the edit twice.
            if not error.is_unwritten:
                accepted = await self._find_accepted(edit)
                if accepted is not None:
                    return Success(accepted)
            raise
        if isinstance(outcome, Failure):
            return Failure(await self._conflict(lists.version))
        self._holder.replace_if_newer(lists)
        return Success(lists)

    async def _find_accepted(self, edit: Edit) -> Lists | None:
        """Return the lists after `edit` if it was accepted before.

        An edit is written at the version after the one it was based on or not
        at all, so the history row of that version decides.
        """
        row = await self._table.get(_history_key(ListVersion(edit.based_on + 1)))
        if row is None:
            return None
        record = row.decode(EditRecord)
        if record.edit.token != edit.token:
            return None
        self._holder.replace_if_newer(record.lists)
        return record.lists

    async def _conflict(self, version: ListVersion) -> EditConflict:
        row = await self._table.get(_history_key(version))
        if row is None:
            raise TableUnavailable(
                detail=f"no history row for version {version}", is_unwritten=True
            )
        return EditConflict(winner=row.decode(EditRecord))


def _history_key(version: ListVersion) -> str:
    return f"{_HISTORY_PREFIX}{version:09d}"
