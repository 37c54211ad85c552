"""Relaying of requests to the table through another entry.

The table may reject requests from some VMs, or be unreachable from them, while it
serves others. An entry that can reach it then forwards the request. Forwarding is
safe, because the table checks the conditions of each request regardless of the
sender, and a request is sent a second time only if the table certainly did not
receive it.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Sequence
from datetime import timedelta
from functools import partial
from random import Random

import msgspec
import trio

from coltsfoottray.clock import Clock, as_duration
from coltsfoottray.errors import CommunicationError, ExchangeStep
from coltsfoottray.http import HttpRequest, HttpResponse, HttpTransport
from coltsfoottray.http.common import DEFAULT_TIMEOUT, OnResponseStart
from coltsfoottray.logs import log_event
from coltsfoottray.peers.common import Call, PeerClient
from coltsfoottray.peers.relay_choice import RelayChoice
from coltsfoottray.types import Address

__all__ = ["RELAY", "Relay", "RelayReply", "RelayRequest", "RelayTransport"]

# Once a direct request has failed, requests are relayed first for this long, so that
# not every request has to fail directly first. Then direct requests are tried again.
_RELAY_DURATION = timedelta(seconds=2)
# If some relays fail as well, the table is assumed to be down for all daemons. Relaying
# pauses, because many times as many requests would not help the table to recover.
_RELAY_PAUSE = timedelta(seconds=1)
_REJECTED_STATUSES = (429, 503)
_MAX_RELAYS = 3


class RelayRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A request that a peer forwards to the table."""

    method: str
    target: str
    header_by_name: dict[str, str]
    body: bytes
    timeout_ms: int


class RelayReply(msgspec.Struct, frozen=True, kw_only=True):
    """The response of the table to a relayed request.

    Parameters
    ----------
    status : int
        HTTP status, or 0 if the peer got no response from the table.
    is_unseen : bool
        Whether the table certainly did not receive the request; set only if there
        is no response.
    """

    status: int
    body: bytes = b""
    is_unseen: bool = False


RELAY = Call(name="Relay", request_type=RelayRequest, reply_type=RelayReply)


class Relay:
    """Forwards requests of other daemons to the table."""

    def __init__(self, *, table: Address, transport: HttpTransport) -> None:
        self._table = table
        self._transport = transport

    async def handle(self, request: RelayRequest) -> RelayReply:
        """Forward one request and return the response of the table."""
        message = HttpRequest(
            method=request.method,
            target=request.target,
            header_by_name=request.header_by_name,
            body=request.body,
        )
        timeout = as_duration(request.timeout_ms)
        try:
            response = await self._transport.send(self._table, message, timeout=timeout)
        except CommunicationError as error:
            return RelayReply(status=0, is_unseen=error.is_unseen)
        return RelayReply(status=response.status, body=response.body)


class RelayTransport(HttpTransport):
    """Sends requests to the table directly, or through an entry while that fails.

    Parameters
    ----------
    relays : callable
        Returns the peer addresses of the other entries, which can relay requests.
    """

    def __init__(
        self,
        *,
        direct: HttpTransport,
        peers: PeerClient,
        relays: Callable[[], Sequence[Address]],
        clock: Clock,
        random: Random,
    ) -> None:
        self._direct = direct
        self._peers = peers
        self._relays = relays
        self._clock = clock
        self._choice = RelayChoice(random=random)
        self._relay_until = timedelta(0)
        self._relay_paused_until = timedelta(0)
        self._answered_at = timedelta(days=-1)

    async def send(  # noqa: D102
        self,
        address: Address,
        request: HttpRequest,
        *,
        timeout: timedelta = DEFAULT_TIMEOUT,
        on_response_start: OnResponseStart | None = None,
    ) -> HttpResponse:
        response = await self._send_direct_or_relayed(address, request, timeout)
        if on_response_start is not None:
            # The callback runs only for the complete response: until then, it is not
            # certain which of a direct and a relayed request will succeed.
            on_response_start(response.status)
        return response

    async def _send_direct_or_relayed(
        self, address: Address, request: HttpRequest, timeout: timedelta
    ) -> HttpResponse:
        if self._clock.elapsed() < self._relay_until:
            if request.method == "GET":
                return await self._read_concurrently(address, request, timeout)
            response = await self._send_relayed(request, timeout)
            if response is not None:
                return response
        sent_at = self._clock.elapsed()
        try:
            response = await self._direct.send(address, request, timeout=timeout)
        except CommunicationError as error:
            # If the table has answered another request in the meantime, only this
            # kind of request is slow, and others need not be relayed.
            if self._answered_at <= sent_at:
                self._start_relaying(str(error))
            if not error.is_unseen:
                raise
            response = await self._send_relayed(request, timeout)
            if response is None:
                raise
            return response
        if response.status not in _REJECTED_STATUSES:
            self._answered_at = self._clock.elapsed()
            return response
        self._start_relaying(f"status {response.status}")
        return await self._send_relayed(request, timeout) or response

    async def _read_concurrently(
        self, address: Address, request: HttpRequest, timeout: timedelta
    ) -> HttpResponse:
        """Send a read directly and through an entry, concurrently.

        Return the first response that is not a rejection, if there is one.
        With the relay alone, the read would hang if the chosen entry were cut off
        from the table too, although the direct path may work again. Once the direct
        response has started, the relayed request is cancelled: its response would
        arrive over the same link and delay both.
        """
        responses: list[HttpResponse] = []
        errors: list[CommunicationError] = []

        async def collect(send: Callable[[], Awaitable[HttpResponse | None]]) -> None:
            try:
                response = await send()
            except CommunicationError as error:
                errors.append(error)
                return
            if response is None:
                return
            responses.append(response)
            if response.status not in _REJECTED_STATUSES:
                nursery.cancel_scope.cancel()

        def stop_relaying(status: int) -> None:
            if status not in _REJECTED_STATUSES:
                self._stop_relaying()
                relay_scope.cancel()

        async def send_relayed() -> None:
            with relay_scope:
                await collect(partial(self._send_relayed, request, timeout))

        relay_scope = trio.CancelScope()
        send_direct = partial(
            self._direct.send,
            address,
            request,
            timeout=timeout,
            on_response_start=stop_relaying,
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(collect, send_direct)
            nursery.start_soon(send_relayed)
        if responses:
            return responses[-1]
        self._start_relaying(str(errors[0]))
        raise errors[0]

    def _stop_relaying(self) -> None:
        now = self._clock.elapsed()
        if now < self._relay_until:
            log_event("table:detour-over")
        self._relay_until = now

    def _start_relaying(self, reason: str) -> None:
        now = self._clock.elapsed()
        if now >= self._relay_until:
            log_event(
                "table:detour", reason=reason, for_s=_RELAY_DURATION.total_seconds()
            )
        self._relay_until = now + _RELAY_DURATION

    async def _send_relayed(
        self, request: HttpRequest, timeout: timedelta
    ) -> HttpResponse | None:
        """Send through an entry; return None if the table certainly did not see it.

        A relay that the table rejects is replaced by another one: the table rejects a
        request before it does anything.
        """
        tried: list[Address] = []
        response: HttpResponse | None = None
        while self._clock.elapsed() >= self._relay_paused_until:
            now = self._clock.elapsed()
            relay = self._choice.choose(self._relays(), tried=tried, now=now)
            if relay is None:
                return response
            tried.append(relay)
            response = await self._send_through(relay, request, timeout)
            if response is not None and response.status not in _REJECTED_STATUSES:
                self._choice.record_success(relay)
                return response
            self._choice.record_failure(relay, self._clock.elapsed())
            if len(tried) == _MAX_RELAYS:
                self._pause_relay(f"{len(tried)} relays were rejected or unreachable")
        return response

    async def _send_through(
        self, relay: Address, request: HttpRequest, timeout: timedelta
    ) -> HttpResponse | None:
        """Send through `relay`; return None if the table certainly did not see it."""
        message = RelayRequest(
            method=request.method,
            target=request.target,
            header_by_name=dict(request.header_by_name),
            body=request.body,
            timeout_ms=int(timeout.total_seconds() * 1000),
        )
        try:
            reply = await self._peers.call(relay, RELAY, message, timeout=timeout)
        except CommunicationError as error:
            if error.is_unseen:
                return None
            self._give_up(relay, str(error))
            raise
        if reply.status == 0:
            if reply.is_unseen:
                return None
            self._give_up(relay, f"relay {relay} got no response from the table")
            raise CommunicationError(
                step=ExchangeStep.RECEIVE,
                peer=f"table through {relay}",
                detail="no response",
            )
        return HttpResponse(status=reply.status, body=reply.body)

    def _give_up(self, relay: Address, reason: str) -> None:
        self._choice.record_failure(relay, self._clock.elapsed())
        self._pause_relay(reason)

    def _pause_relay(self, reason: str) -> None:
        self._relay_paused_until = self._clock.elapsed() + _RELAY_PAUSE
        log_event("table:detour-failed", reason=reason)
