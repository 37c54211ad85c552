"""Messages between entries and the attendants of upstreams."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field
from datetime import timedelta

import msgspec

from coltsfoottray.errors import InputError
from coltsfoottray.http import Headers, HttpRequest, HttpResponse
from coltsfoottray.membership import LoadReport
from coltsfoottray.types import (
    NO_LISTS,
    Address,
    AttendantId,
    CustomerId,
    Incarnation,
    Kind,
    ListVersion,
    RequestId,
)

__all__ = ["Place", "RunOutcome", "RunReply", "RunRequest", "parse_int_header"]


class RunOutcome(enum.Enum):
    """The state of a request id, as an attendant reports it."""

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    RUNNING = "running"
    ABSENT = "absent"
    UNKNOWN = "unknown"


class Place(msgspec.Struct, frozen=True, kw_only=True):
    """One incarnation of an attendant."""

    attendant: AttendantId
    incarnation: Incarnation
    address: Address


@dataclass(frozen=True, kw_only=True)
class RunRequest:
    """A caller's request, as an entry sends it to an attendant.

    Parameters
    ----------
    attempt : int
        Increases each time the same id is sent.
    remaining : timedelta
        Time until the caller's deadline.
    """

    request: RequestId
    attempt: int
    customer: CustomerId
    kind: Kind
    lists_version: ListVersion
    remaining: timedelta
    header_by_name: Headers = field(default_factory=dict)
    body: bytes = b""

    def to_http(self, incarnation: Incarnation) -> HttpRequest:
        """Return the HTTP request to the attendant of that `incarnation`."""
        header_by_name = {
            **self.header_by_name,
            "x-request": self.request,
            "x-attempt": str(self.attempt),
            "x-customer": self.customer,
            "x-kind": self.kind,
            "x-lists-version": str(self.lists_version),
            "x-remaining-ms": str(int(self.remaining.total_seconds() * 1000)),
            "x-incarnation": incarnation,
        }
        return HttpRequest(
            method="POST",
            target="/run",
            header_by_name=header_by_name,
            body=self.body,
        )

    @staticmethod
    def from_http(message: HttpRequest) -> RunRequest:
        """Return the request in `message`."""
        header = message.header_by_name
        return RunRequest(
            request=RequestId(_require_header(header, "x-request")),
            attempt=parse_int_header(header, "x-attempt"),
            customer=CustomerId(_require_header(header, "x-customer")),
            kind=Kind(_require_header(header, "x-kind")),
            lists_version=ListVersion(parse_int_header(header, "x-lists-version")),
            remaining=timedelta(
                milliseconds=parse_int_header(header, "x-remaining-ms")
            ),
            header_by_name=header,
            body=message.body,
        )


@dataclass(frozen=True, kw_only=True)
class RunReply:
    """An attendant's reply about one request id.

    Parameters
    ----------
    reason : str
        Why there is no response, if the outcome is not `ANSWERED`.
    is_final : bool
        Whether any other place would refuse for the same reason.
    lists_version : ListVersion
        Version of the lists in force at the attendant.
    """

    outcome: RunOutcome
    reason: str = ""
    is_final: bool = False
    response: HttpResponse | None = None
    load: LoadReport | None = None
    lists_version: ListVersion = NO_LISTS

    def to_http(self) -> HttpResponse:
        """Return the HTTP response to the entry."""
        response = self.response or HttpResponse(status=503)
        header_by_name = {
            **response.header_by_name,
            "x-outcome": self.outcome.value,
            "x-reason": self.reason,
            "x-final": str(int(self.is_final)),
            "x-lists-version": str(self.lists_version),
        }
        if self.load is not None:
            header_by_name["x-load"] = msgspec.json.encode(self.load).decode()
        return HttpResponse(
            status=response.status, header_by_name=header_by_name, body=response.body
        )

    @staticmethod
    def from_http(message: HttpResponse) -> RunReply:
        """Return the reply in `message`, `UNKNOWN` if it has no known outcome."""
        header = dict(message.header_by_name)
        outcome = header.pop("x-outcome", "")
        reason = header.pop("x-reason", "")
        is_final = header.pop("x-final", "0") == "1"
        load = header.pop("x-load", None)
        version = header.pop("x-lists-version", "0")
        if outcome not in {each.value for each in RunOutcome}:
            return RunReply(
                outcome=RunOutcome.UNKNOWN, reason=f"status {message.status}"
            )
        response = HttpResponse(
            status=message.status, header_by_name=header, body=message.body
        )
        return RunReply(
            outcome=RunOutcome(outcome),
            reason=reason,
            is_final=is_final,
            response=response,
            load=msgspec.json.decode(load, type=LoadReport) if load else None,
            lists_version=ListVersion(int(version)),
        )


def _require_header(header: Headers, name: str) -> str:
    value = header.get(name)
    if not value:
        raise InputError(field=name, value=value, expected="a non-empty header")
    return value


def parse_int_header(header: Headers, name: str) -> int:
    """Return the integer in the header `name`."""
    value = _require_header(header, name)
    try:
        return int(value)
    except ValueError as error:
        raise InputError(field=name, value=value, expected="an integer") from error
