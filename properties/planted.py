"""Faults planted on purpose, to show that an oracle catches them."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any
from unittest import mock

from coltsfoottray.claims import Claim, Claims, Taking, TakingOutcome
from coltsfoottray.upstream import ExecutionLedger

__all__ = ["cancel_without_tombstone", "claims_without_asking"]


@contextmanager
def claims_without_asking() -> Iterator[None]:
    """Let every entry take every claim without asking anybody."""

    async def take(self: Claims, request: Any, place: Any, **_: Any) -> Taking:
        claim = Claim(
            request=request,
            entry=self._entry,
            incarnation=self._incarnation,
            place=place,
            attempt=1,
            is_complete=True,
        )
        return Taking(outcome=TakingOutcome.MINE, claim=claim)

    with mock.patch.object(Claims, "take", take):
        yield


@contextmanager
def cancel_without_tombstone() -> Iterator[None]:
    """Let an attendant forget a cancellation as soon as it has confirmed it."""
    original = ExecutionLedger.tombstone

    def tombstone(self: ExecutionLedger, request: Any, attempt: int) -> Any:
        execution = original(self, request, attempt)
        if not execution.answer and execution.ended.is_set():
            self._execution_by_id.pop(request, None)
        return execution

    with mock.patch.object(ExecutionLedger, "tombstone", tombstone):
        yield
