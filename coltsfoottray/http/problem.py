"""Error bodies (RFC 9457 problem details) that tell outcomes apart."""

from __future__ import annotations

import enum
import math
from dataclasses import dataclass
from datetime import timedelta

import msgspec

from coltsfoottray.errors import InputError
from coltsfoottray.http.common import Handler, HttpRequest, HttpResponse

__all__ = ["Outcome", "Problem", "call_handler"]


class Outcome(enum.Enum):
    """What a caller may conclude from an answer that is not a result."""

    INVALID = "invalid"
    FORBIDDEN = "forbidden"
    NOT_RUN = "refused-not-run"
    UNKNOWN = "outcome-unknown"
    FAILED = "failed"
    NOT_FOUND = "not-found"
    CONFLICT = "conflict"


_STATUS_BY_OUTCOME = {
    Outcome.INVALID: 400,
    Outcome.FORBIDDEN: 403,
    Outcome.NOT_RUN: 503,
    Outcome.UNKNOWN: 504,
    Outcome.FAILED: 502,
    Outcome.NOT_FOUND: 404,
    Outcome.CONFLICT: 409,
}


@dataclass(frozen=True, kw_only=True)
class Problem:
    """An answer that carries no result.

    Parameters
    ----------
    outcome : Outcome
        `NOT_RUN` is said only with proof; without proof it is `UNKNOWN`.
    detail : str
        One sentence for the caller.
    retry_after : timedelta, optional
        Given where asking again is safe.
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


async def call_handler(handler: Handler, request: HttpRequest) -> HttpResponse:
    """Return the handler's answer, or status 400 with what was wrong."""
    try:
        return await handler(request)
    except InputError as error:
        return Problem(outcome=Outcome.INVALID, detail=str(error)).to_response()
