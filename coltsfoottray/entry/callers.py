"""Latency-critical requests as callers send them."""

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

__all__ = ["CallerApi", "read_customer"]

# Of no meaning beyond one connection, or ours alone: a caller must not set them.
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


def read_customer(request: HttpRequest) -> CustomerId:
    """Return who sent `request`."""
    customer = request.header_by_name.get("x-customer", "")
    if not customer or "/" in customer:
        raise InputError(
            field="X-Customer", value=customer, expected="a customer's name, without /"
        )
    return CustomerId(customer)


class CallerApi:
    """Admits callers' requests and sees them to their final answer."""

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
        """Answer `POST /requests/KIND`."""
        began = self._clock.elapsed()
        caller_request = self._read(request)
        lists = self._holder.current
        if lists.allowance_of(caller_request.customer) is None:
            return self._forbid(caller_request)
        response = await self._dispatcher.dispatch(caller_request)
        self._metrics.record(caller_request.kind, self._clock.elapsed() - began)
        return response

    def _read(self, request: HttpRequest) -> CallerRequest:
        parts = request.path.strip("/").split("/")
        if request.method != "POST" or len(parts) != 2:
            raise InputError(
                field="request",
                value=f"{request.method} {request.path}",
                expected="POST /requests/KIND",
            )
        customer = read_customer(request)
        return CallerRequest(
            request=RequestId(f"{customer}/{_read_key(request)}"),
            customer=customer,
            kind=Kind(parts[1]),
            deadline=self._clock.elapsed() + self._read_deadline(request),
            header_by_name={
                name: value
                for name, value in request.header_by_name.items()
                if name not in _DROPPED_HEADERS
            },
            body=request.body,
            is_keyed="idempotency-key" in request.header_by_name,
            is_idempotent=request.header_by_name.get("x-idempotent") != "false",
        )

    def _read_deadline(self, request: HttpRequest) -> timedelta:
        text = request.header_by_name.get("x-deadline-ms")
        if text is None:
            return self._default_deadline
        if not text.isdigit() or int(text) == 0:
            raise InputError(
                field="X-Deadline-Ms", value=text, expected="milliseconds, above 0"
            )
        return timedelta(milliseconds=int(text))

    def _forbid(self, request: CallerRequest) -> HttpResponse:
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


def _read_key(request: HttpRequest) -> str:
    """Return the caller's key, or a new one that cannot equal any caller's."""
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
