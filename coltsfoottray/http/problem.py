"""Error responses (RFC 9457 problem details) that state the outcome of a request."""

from __future__ import annotations

import enum
import math
from dataclasses import dataclass
from datetime import timedelta

import msgspec

from coltsfoottray.errors import InputError
from coltsfoottray.http.common import Handler, HttpRequest, HttpResponse
from coltsfoottray.intake import IntakeObserver, RefusalReason, RequestRefused

__all__ = ["Outcome", "Problem", "call_handler", "to_problem"]

_RETRY_AFTER = timedelta(seconds=1)


class Outcome(enum.Enum):
    """What a caller may conclude from a response without a result."""

    INVALID = "invalid"
    TOO_LARGE = "too-large"
    HEAD_TOO_LARGE = "head-too-large"
    FORBIDDEN = "forbidden"
    NOT_RUN = "refused-not-run"
    UNKNOWN = "outcome-unknown"
    FAILED = "failed"
    NOT_FOUND = "not-found"
    CONFLICT = "conflict"


_STATUS_BY_OUTCOME = {
    Outcome.INVALID: 400,
    Outcome.TOO_LARGE: 413,
    Outcome.HEAD_TOO_LARGE: 431,
    Outcome.FORBIDDEN: 403,
    Outcome.NOT_RUN: 503,
    Outcome.UNKNOWN: 504,
    Outcome.FAILED: 502,
    Outcome.NOT_FOUND: 404,
    Outcome.CONFLICT: 409,
}


@dataclass(frozen=True, kw_only=True)
class Problem:
    """A response without a result.

    Parameters
    ----------
    outcome : Outcome
        `NOT_RUN` only if it is proven that the request did not run, else `UNKNOWN`.
    detail : str
        Explanation for the caller, one sentence.
    retry_after : timedelta, optional
        Set where it is safe to repeat the request.
    """

    outcome: Outcome
    detail: str
    retry_after: timedelta | None = None

    def to_response(self) -> HttpResponse:
        """Return the problem as an HTTP response."""
        header_by_name = {"content-type": "application/problem+json"}
        if self.retry_after is not None:
            seconds = max(1, math.ceil(self.retry_after.total_seconds()))
            header_by_name["retry-after"] = str(seconds)
        status = _STATUS_BY_OUTCOME[self.outcome]
        body = msgspec.json.encode(
            {
                "type": f"urn:coltsfoottray:{self.outcome.value}",
                "title": self.outcome.value,
                "status": status,
                "detail": self.detail,
            }
        )
        return HttpResponse(status=status, header_by_name=header_by_name, body=body)


_OUTCOME_BY_REASON = {
    RefusalReason.BODY_TOO_LARGE: Outcome.TOO_LARGE,
    RefusalReason.HEAD_TOO_LARGE: Outcome.HEAD_TOO_LARGE,
    RefusalReason.MALFORMED: Outcome.INVALID,
}


def to_problem(refused: RequestRefused) -> Problem:
    """Return the answer to a request that was not taken in.

    Where the same request may be taken in later, an earlier attempt at it may have run,
    here or elsewhere. The answer therefore does not say that it never runs.
    """
    if refused.reason.is_final:
        outcome = _OUTCOME_BY_REASON[refused.reason]
        return Problem(outcome=outcome, detail=refused.detail)
    return Problem(
        outcome=Outcome.UNKNOWN, detail=refused.detail, retry_after=_RETRY_AFTER
    )


async def call_handler(
    handler: Handler, request: HttpRequest, observer: IntakeObserver | None = None
) -> HttpResponse:
    """Return the handler's response, or that to an error which it raises.

    That is status 400 for an `InputError`. Of a `RequestRefused`, `observer` is told.
    """
    try:
        return await handler(request)
    except InputError as error:
        return Problem(outcome=Outcome.INVALID, detail=str(error)).to_response()
    except RequestRefused as refused:
        if observer is not None:
            observer.record_refused(refused.reason)
        return to_problem(refused).to_response()
