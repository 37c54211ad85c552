"""HTTP messages, and the h11 input and output shared by server and client."""

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

from coltsfoottray.decoding import MalformedData, decode_json
from coltsfoottray.errors import InputError
from coltsfoottray.types import Address

__all__ = [
    "MAX_BODY_BYTES",
    "TOO_LARGE",
    "Handler",
    "Headers",
    "HttpRequest",
    "HttpResponse",
    "HttpTransport",
    "OnResponseStart",
    "announced_size",
    "extend_deadline",
    "read_event",
    "send_all",
    "send_response",
]

# Bodies are buffered, so that a truncated one is never passed on as complete.
MAX_BODY_BYTES = 8 * 1024 * 1024
TOO_LARGE = 413
"""Status that says that a body is larger than is taken."""
_READ_BYTES = 64 * 1024
DEFAULT_TIMEOUT = timedelta(seconds=30)
# Longer than the retransmission of a lost packet takes.
_IDLE_TIMEOUT = timedelta(seconds=1)

Headers = Mapping[str, str]
T = TypeVar("T")


@dataclass(frozen=True, kw_only=True)
class HttpRequest:
    """A complete request; header names are in lower case.

    Parameters
    ----------
    max_answer_bytes : int
        Largest body of an answer that its sender takes.
    """

    method: str
    target: str
    header_by_name: Headers = field(default_factory=dict)
    body: bytes = b""
    max_answer_bytes: int = MAX_BODY_BYTES

    @property
    def path(self) -> str:
        """Path of the target, without the query.

        Raises
        ------
        InputError
            If the target cannot be read.
        """
        try:
            return urlsplit(self.target).path
        except ValueError as error:
            raise InputError(
                field="target", value=self.target[:80], expected=str(error)
            ) from error

    @property
    def query(self) -> dict[str, str]:
        """Query parameters by name; of a repeated one, the last value."""
        return dict(parse_qsl(urlsplit(self.target).query))

    def decode(self, kind: type[T]) -> T:
        """Decode the JSON body into an instance of `kind`.

        Raises
        ------
        InputError
            If the body is not valid JSON or does not match `kind`. The message names
            the field at fault.
        """
        try:
            return decode_json(self.body, kind)
        except MalformedData as error:
            raise InputError(
                field="body", value=self.body[:80], expected=str(error)
            ) from error


@dataclass(frozen=True, kw_only=True)
class HttpResponse:
    """A complete response; header names are in lower case."""

    status: int
    header_by_name: Headers = field(default_factory=dict)
    body: bytes = b""

    @staticmethod
    def of_json(value: object, *, status: int = 200) -> HttpResponse:
        """Return a response with `value` as its JSON body."""
        return HttpResponse(
            status=status,
            header_by_name={"content-type": "application/json"},
            body=msgspec.json.encode(value),
        )


Handler = Callable[[HttpRequest], Awaitable[HttpResponse]]
OnResponseStart = Callable[[int], None]


class HttpTransport(abc.ABC):
    """Sends a request to an address and returns the response."""

    @abc.abstractmethod
    async def send(
        self,
        address: Address,
        request: HttpRequest,
        *,
        timeout: timedelta = DEFAULT_TIMEOUT,
        on_response_start: OnResponseStart | None = None,
    ) -> HttpResponse:
        """Send `request` and return the complete response.

        Parameters
        ----------
        timeout : timedelta
            Limit on the time until the response starts. After that there is no
            fixed limit while data keeps arriving: with one, a response that is
            large for its link would fail at every attempt.
        on_response_start : callable, optional
            Called with the status code as soon as the response starts.

        Raises
        ------
        CommunicationError
            If the exchange does not complete. The step is `ExchangeStep.CONNECT`
            only if nothing was sent, which proves that the peer has not seen the
            request.
        """


def extend_deadline(cancel_scope: trio.CancelScope) -> None:
    """Move the deadline of `cancel_scope` to at least the idle timeout from now.

    Called whenever data arrives from the peer.
    """
    new_deadline = trio.current_time() + _IDLE_TIMEOUT.total_seconds()
    cancel_scope.deadline = max(cancel_scope.deadline, new_deadline)


async def read_event(
    stream: trio.abc.ReceiveStream, connection: h11.Connection
) -> h11.Event | type[h11.PAUSED]:
    """Return the next h11 event, reading from `stream` while h11 needs data."""
    while True:
        event = connection.next_event()
        if event is not h11.NEED_DATA:
            return event  # type: ignore[return-value]
        connection.receive_data(bytes(await stream.receive_some(_READ_BYTES)))


async def send_all(
    stream: trio.abc.Stream, connection: h11.Connection, events: list[h11.Event]
) -> None:
    """Send `events` in one write."""
    chunks = [connection.send(event) or b"" for event in events]
    await stream.send_all(b"".join(chunks))


async def send_response(
    stream: trio.abc.Stream, connection: h11.Connection, response: HttpResponse
) -> None:
    """Send a complete response."""
    head = h11.Response(
        status_code=response.status,
        headers=encode_headers(response.header_by_name, response.body),
    )
    await send_all(
        stream, connection, [head, h11.Data(data=response.body), h11.EndOfMessage()]
    )


async def read_body(
    stream: trio.abc.ReceiveStream,
    connection: h11.Connection,
    *,
    announced: int | None,
    limit: int,
) -> bytes:
    """Return the complete body of an answer.

    Parameters
    ----------
    announced : int, optional
        Its length in bytes, if its head tells it.
    limit : int
        Largest length in bytes.

    Raises
    ------
    h11.RemoteProtocolError
        If the peer closes the connection before the announced length is received,
        so that a truncated body is never returned as complete, or if the body is
        larger than `limit`.
    """
    if announced is not None and announced > limit:
        raise _too_large(limit)
    body = bytearray()
    while True:
        event = await read_event(stream, connection)
        if isinstance(event, h11.EndOfMessage):
            return bytes(body)
        if not isinstance(event, h11.Data):
            raise h11.RemoteProtocolError(f"unexpected {event!r} in the body")
        if len(body) + len(event.data) > limit:
            # Whoever handles the error keeps this frame, and would keep the body.
            body.clear()
            raise _too_large(limit)
        body += event.data


def _too_large(limit: int) -> h11.RemoteProtocolError:
    return h11.RemoteProtocolError(
        f"body is larger than {limit} bytes", error_status_hint=TOO_LARGE
    )


def announced_size(headers: h11._headers.Headers) -> int | None:
    """Return the length in bytes that a head announces, None if it does not."""
    for name, value in headers:
        if name == b"content-length":
            return int(value)
    return None


def decode_headers(headers: h11._headers.Headers) -> dict[str, str]:
    """Return the headers of h11 by name; of a repeated one, the last value."""
    return {name.decode("ascii"): value.decode("latin-1") for name, value in headers}


def encode_headers(header_by_name: Headers, body: bytes) -> list[tuple[str, str]]:
    """Return header pairs for h11 with the true `content-length` of `body`."""
    pairs = [(k, v) for k, v in header_by_name.items() if k != "content-length"]
    pairs.append(("content-length", str(len(body))))
    return pairs
