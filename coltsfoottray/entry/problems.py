"""Answers that several parts of the entry's HTTP face give."""

from __future__ import annotations

from datetime import timedelta

from coltsfoottray.http import HttpResponse, Outcome, Problem
from coltsfoottray.platform import TableUnavailable

__all__ = ["as_table_problem"]

_RETRY_AFTER = timedelta(seconds=2)


def as_table_problem(error: TableUnavailable) -> HttpResponse:
    """Say truthfully whether anything was written.

    The same submission, or the same edit with its token, may be sent again.
    """
    outcome = Outcome.NOT_RUN if error.is_unwritten else Outcome.UNKNOWN
    return Problem(
        outcome=outcome, detail=str(error), retry_after=_RETRY_AFTER
    ).to_response()
