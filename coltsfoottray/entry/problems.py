"""Problem responses that several parts of the entry's HTTP API return."""

from __future__ import annotations

from datetime import timedelta

from coltsfoottray.http import HttpResponse, Outcome, Problem
from coltsfoottray.platform import TableError, TableRefused

__all__ = ["to_table_problem_response"]

_RETRY_AFTER = timedelta(seconds=2)


def to_table_problem_response(error: TableError) -> HttpResponse:
    """Return a problem that states whether the table may have been written.

    The caller may repeat the same submission, or the same edit with its token, unless
    the table refuses it for itself.
    """
    outcome = Outcome.NOT_RUN if error.is_unwritten else Outcome.UNKNOWN
    is_final = isinstance(error, TableRefused) and error.is_unwritten
    return Problem(
        outcome=outcome,
        detail=str(error),
        retry_after=None if is_final else _RETRY_AFTER,
    ).to_response()
