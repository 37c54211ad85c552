"""Messages and the h11 exchange that server and client share."""

from __future__ import annotations

import abc
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, field
from datetime import timedelta
from typing import TypeVar
from urllib.parse import parse_qsl, urlsplit

import h11
import msgspec
import trio

from coltsfoottray.errors import InputError
from coltsfoottray.types import Address

__all__ = [
    "MAX_BODY_BYTES",
    "Handler",
    "Headers",
    "HttpRequest",
    "HttpResponse",
    "HttpTransport",
    "OnResponseStart",
    "extend_deadline",
    "read_event",
    "send_all",
]

# Bodies are held whole, so that a cut-off answer is never passed on as complete.
MAX_BODY_BYTES = 8 * 1024 * 1024
_READ_BYTES = 64 * 1024
DEFAULT_TIMEOUT = timedelta(seconds=30)
# Longer than a lost packet takes to be sent again.
_IDLE_TIMEOUT = timedelta(seconds=1)

Headers = Mapping[str, str]
T = TypeVar("T")


@dataclass(frozen=True, kw_only=True)
class HttpRequest:
    """A whole request; header names are in lower case."""

    method: str
    target: str
    header_by_name: Headers = field(default_factory=dict)
    body: bytes = b""

    @property
    def path(self) -> str:
        """The path without its query."""
        return urlsplit(self.target).path

    @property
    def query(self) -> dict[str, str]:
        """The query's last value for each name."""
        return dict(parse_qsl(urlsplit(self.target).query))

    def decode(self, kind: type[T]) -> T:
        """Return the JSON body as a `kind`.

        Raises
        ------
        InputError
            If the body is not JSON or lacks a field; it names the field.
        """
        try:
            return msgspec.json.decode(self.body, type=kind)
        except msgspec.DecodeError as error:
            raise InputError(
                field="body", value=self.body[:80], expected=str(error)
            ) from error


@dataclass(frozen=True, kw_only=True)
class HttpResponse:
    """A whole response; header names are in lower case."""

    status: int
    header_by_name: Headers = field(default_factory=dict)
    body: bytes = b""

    @staticmethod
    def of_json(value: object, *, status: int = 200) -> HttpResponse:
        """Return a response whose body is `value` in JSON."""
        return HttpResponse(
            status=status,
            header_by_name={"content-type": "application/json"},
            body=msgspec.json.encode(value),
        )


Handler = Callable[[HttpRequest], Awaitable[HttpResponse]]
OnResponseStart = Callable[[int], None]


class HttpTransport(abc.ABC):
    """Carries a request to an address and brings the response back."""

    @abc.abstractmethod
    async def send(
        self,
        address: Address,
        request: HttpRequest,
        *,
        timeout: timedelta = DEFAULT_TIMEOUT,
        on_response_start: OnResponseStart | None = None,
    ) -> HttpResponse:
        """Send `request` and return the whole response.

        Parameters
        ----------
        timeout : timedelta
            How long to wait for the response to begin. One that has begun is
            waited for as long as it keeps coming: given up at a fixed time, one
            that is large for its link would not arrive at any attempt.
        on_begun : callable, optional
            Called with the status as soon as the response has begun.

        Raises
        ------
        CommunicationError
            With `ExchangeStep.CONNECT` only if nothing was sent: the caller may then
            rely on the peer not having seen the request.
        """


def extend_deadline(limit: trio.CancelScope) -> None:
    """Let `limit` wait on for a peer of which something has just been heard."""
    until = trio.current_time() + _IDLE_TIMEOUT.total_seconds()
    limit.deadline = max(limit.deadline, until)


async def read_event(
    stream: trio.abc.ReceiveStream, connection: h11.Connection
) -> h11.Event | type[h11.PAUSED]:
    """Return the next event, reading from `stream` for as long as h11 needs."""
    while True:
        event = connection.next_event()
        if event is not h11.NEED_DATA:
            return event  # type: ignore[return-value]
        connection.receive_data(bytes(await stream.receive_some(_READ_BYTES)))


async def send_all(
    stream: trio.abc.Stream, connection: h11.Connection, events: list[h11.Event]
) -> None:
    """Send `events` in one write."""
    parts = [connection.send(event) or b"" for event in events]
    await stream.send_all(b"".join(parts))


async def read_body(
    stream: trio.abc.ReceiveStream, connection: h11.Connection
) -> bytes:
    """Return the whole body.

    Raises
    ------
    h11.RemoteProtocolError
        If the peer closes before the announced end: a cut-off body is an error,
        never a short answer.
    """
    parts: list[bytes] = []
    size = 0
    while True:
        event = await read_event(stream, connection)
        if isinstance(event, h11.Data):
            size += len(event.data)
            if size > MAX_BODY_BYTES:
                raise h11.RemoteProtocolError(
                    f"body over {MAX_BODY_BYTES} bytes", error_status_hint=413
                )
            parts.append(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            return b"".join(parts)
        else:
            raise h11.RemoteProtocolError(f"unexpected {event!r} in a body")


def decode_headers(headers: h11._headers.Headers) -> dict[str, str]:
    """Return h11's header pairs by name, the last one winning."""
    return {name.decode("ascii"): value.decode("latin-1") for name, value in headers}


def encode_headers(header_by_name: Headers, body: bytes) -> list[tuple[str, str]]:
    """Return header pairs for h11 with the body's true length."""
    pairs = [(k, v) for k, v in header_by_name.items() if k != "content-length"]
    pairs.append(("content-length", str(len(body))))
    return pairs
