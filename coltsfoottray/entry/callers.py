"""Handling of the latency-critical requests that callers send."""

from __future__ import annotations

import secrets
from datetime import timedelta

from coltsfoottray.clock import Clock
from coltsfoottray.entry.metrics import LatencyMetrics
from coltsfoottray.errors import InputError
from coltsfoottray.explain import Journal, Verb
from coltsfoottray.http import HttpRequest, HttpResponse, Outcome, Problem
from coltsfoottray.lists import ListHolder
from coltsfoottray.requests.dispatcher import CallerRequest, Dispatcher
from coltsfoottray.types import CustomerId, Kind, RequestId

__all__ = ["CallerApi", "parse_customer"]

# Headers that apply to one connection only, or that entries and attendants use among
# themselves. They are removed, so that a caller cannot set them.
_DROPPED_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "host",
        "keep-alive",
        "transfer-encoding",
        "x-attempt",
        "x-final",
        "x-incarnation",
        "x-lists-version",
        "x-load",
        "x-outcome",
        "x-reason",
        "x-remaining-ms",
        "x-request",
    }
)
_MAX_KEY_LENGTH = 200


def parse_customer(request: HttpRequest) -> CustomerId:
    """Return the customer that sent `request`.

    Raises
    ------
    InputError
        If the header is missing or malformed.
    """
    customer = request.header_by_name.get("x-customer", "")
    if not customer or "/" in customer:
        raise InputError(
            field="X-Customer", value=customer, expected="a customer's name, without /"
        )
    return CustomerId(customer)


class CallerApi:
    """Admits callers' requests and returns their final responses.

    Parameters
    ----------
    default_deadline : timedelta
        Time allowed for a request without the `X-Deadline-Ms` header.
    """

    def __init__(
        self,
        *,
        dispatcher: Dispatcher,
        holder: ListHolder,
        journal: Journal,
        metrics: LatencyMetrics,
        clock: Clock,
        default_deadline: timedelta,
    ) -> None:
        self._dispatcher = dispatcher
        self._holder = holder
        self._journal = journal
        self._metrics = metrics
        self._clock = clock
        self._default_deadline = default_deadline

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Handle `POST /requests/KIND`."""
        started_at = self._clock.elapsed()
        caller_request = self._parse_request(request)
        lists = self._holder.current
        if lists.allowance_of(caller_request.customer) is None:
            return self._refuse(caller_request)
        response = await self._dispatcher.dispatch(caller_request)
        self._metrics.record(caller_request.kind, self._clock.elapsed() - started_at)
        return response

    def _parse_request(self, request: HttpRequest) -> CallerRequest:
        segments = request.path.strip("/").split("/")
        if request.method != "POST" or len(segments) != 2:
            raise InputError(
                field="request",
                value=f"{request.method} {request.path}",
                expected="POST /requests/KIND",
            )
        customer = parse_customer(request)
        return CallerRequest(
            request=RequestId(f"{customer}/{_parse_key(request)}"),
            customer=customer,
            kind=Kind(segments[1]),
            deadline=self._clock.elapsed() + self._parse_deadline(request),
            header_by_name={
                name: value
                for name, value in request.header_by_name.items()
                if name not in _DROPPED_HEADERS
            },
            body=request.body,
            is_keyed="idempotency-key" in request.header_by_name,
            is_idempotent=request.header_by_name.get("x-idempotent") != "false",
        )

    def _parse_deadline(self, request: HttpRequest) -> timedelta:
        text = request.header_by_name.get("x-deadline-ms")
        if text is None:
            return self._default_deadline
        if not text.isdecimal() or int(text) == 0:
            raise InputError(
                field="X-Deadline-Ms", value=text, expected="milliseconds, above 0"
            )
        return timedelta(milliseconds=int(text))

    def _refuse(self, request: CallerRequest) -> HttpResponse:
        line = self._holder.current.line_of(request.customer)
        self._journal.record(
            request.request,
            request.customer,
            Verb.REFUSE,
            choice="not run",
            reason="the customer has no plan",
        )
        return Problem(
            outcome=Outcome.FORBIDDEN, detail=f"not run: {line}"
        ).to_response()


def _parse_key(request: HttpRequest) -> str:
    """Return the idempotency key of `request`, or a generated one.

    Generated keys start with `~`, which callers' keys must not, so they never collide.
    """
    key = request.header_by_name.get("idempotency-key")
    if key is None:
        return f"~{secrets.token_hex(12)}"
    if not key or key.startswith("~") or len(key) > _MAX_KEY_LENGTH:
        raise InputError(
            field="Idempotency-Key",
            value=key,
            expected=f"1 to {_MAX_KEY_LENGTH} characters, the first not ~",
        )
    return key
