"""A way round: requests to the table that go through another entry.

Answers a table that turns some VMs away, or cannot be reached from some, while it
serves others: what is asked is passed on by an entry that can reach it. Nothing is
risked, since the table judges each request by its own conditions, whoever brings
it; only what the table has certainly not seen is sent a second time from here.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Sequence
from datetime import timedelta
from functools import partial
from random import Random

import msgspec
import trio

from coltsfoottray.clock import Clock
from coltsfoottray.errors import CommunicationError, ExchangeStep
from coltsfoottray.http import HttpRequest, HttpResponse, HttpTransport
from coltsfoottray.http.common import DEFAULT_TIMEOUT, OnResponseStart
from coltsfoottray.logs import log_event
from coltsfoottray.peers.common import Call, PeerClient
from coltsfoottray.types import Address

__all__ = ["RELAY", "Relay", "RelayReply", "RelayRequest", "RelayTransport"]

# For so long the way round is taken first once the direct one has failed, so that
# not each request finds out anew; then the direct one is tried again.
_DETOUR = timedelta(seconds=2)
# After the way round has failed as well the table is down for all: asking twice as
# often would not help it up.
_PAUSE = timedelta(seconds=1)
_TURNED_AWAY = (429, 503)


class RelayRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A request that a peer is to pass on to the table."""

    method: str
    target: str
    header_by_name: dict[str, str]
    body: bytes
    timeout_ms: int


class RelayReply(msgspec.Struct, frozen=True, kw_only=True):
    """The table's answer.

    Parameters
    ----------
    status : int
        0 where the peer got no answer.
    is_unseen : bool
        Where there is no answer: the table has certainly not seen the request.
    """

    status: int
    body: bytes = b""
    is_unseen: bool = False


RELAY = Call(name="Relay", request_type=RelayRequest, reply_type=RelayReply)


class Relay:
    """Passes other daemons' requests on to the table."""

    def __init__(self, *, table: Address, transport: HttpTransport) -> None:
        self._table = table
        self._transport = transport

    async def answer(self, request: RelayRequest) -> RelayReply:
        """Pass one request on."""
        message = HttpRequest(
            method=request.method,
            target=request.target,
            header_by_name=request.header_by_name,
            body=request.body,
        )
        timeout = timedelta(milliseconds=request.timeout_ms)
        try:
            response = await self._transport.send(self._table, message, timeout=timeout)
        except CommunicationError as error:
            return RelayReply(status=0, is_unseen=error.is_unseen)
        return RelayReply(status=response.status, body=response.body)


class RelayTransport(HttpTransport):
    """Sends to the table directly, or through an entry while that fails.

    Parameters
    ----------
    helpers : callable
        Returns the peer addresses of other entries.
    """

    def __init__(
        self,
        *,
        direct: HttpTransport,
        peers: PeerClient,
        helpers: Callable[[], Sequence[Address]],
        clock: Clock,
        random: Random,
    ) -> None:
        self._direct = direct
        self._peers = peers
        self._helpers = helpers
        self._clock = clock
        self._random = random
        self._detour_until = timedelta(0)
        self._pause_until = timedelta(0)

    async def send(  # noqa: D102
        self,
        address: Address,
        request: HttpRequest,
        *,
        timeout: timedelta = DEFAULT_TIMEOUT,
        on_response_start: OnResponseStart | None = None,
    ) -> HttpResponse:
        response = await self._send_any_way(address, request, timeout)
        if on_response_start is not None:
            # Only a whole answer has come by one way for certain.
            on_response_start(response.status)
        return response

    async def _send_any_way(
        self, address: Address, request: HttpRequest, timeout: timedelta
    ) -> HttpResponse:
        if self._clock.elapsed() < self._detour_until:
            if request.method == "GET":
                return await self._read_both_ways(address, request, timeout)
            response = await self._send_round(request, timeout)
            if response is not None:
                return response
        try:
            response = await self._direct.send(address, request, timeout=timeout)
        except CommunicationError as error:
            self._take_detour(str(error))
            if not error.is_unseen:
                raise
            response = await self._send_round(request, timeout)
            if response is None:
                raise
            return response
        if response.status not in _TURNED_AWAY:
            return response
        self._take_detour(f"status {response.status}")
        return await self._send_round(request, timeout) or response

    async def _read_both_ways(
        self, address: Address, request: HttpRequest, timeout: timedelta
    ) -> HttpResponse:
        """Send a read directly and through an entry; return the first good answer.

        By way of one entry alone it would wait with that entry, were it cut off in
        turn, though the direct way may be open again. Once the direct answer has
        begun the other one is not waited for: it would come over the same link, and
        delay both.
        """
        answers: list[HttpResponse] = []
        errors: list[CommunicationError] = []

        async def ask(way: Callable[[], Awaitable[HttpResponse | None]]) -> None:
            try:
                response = await way()
            except CommunicationError as error:
                errors.append(error)
                return
            if response is None:
                return
            answers.append(response)
            if response.status not in _TURNED_AWAY:
                nursery.cancel_scope.cancel()

        def end_detour(status: int) -> None:
            if status not in _TURNED_AWAY:
                self._end_detour()
                round_about.cancel()

        async def ask_round() -> None:
            with round_about:
                await ask(partial(self._send_round, request, timeout))

        round_about = trio.CancelScope()
        ask_directly = partial(
            self._direct.send,
            address,
            request,
            timeout=timeout,
            on_response_start=end_detour,
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(ask, ask_directly)
            nursery.start_soon(ask_round)
        if answers:
            return answers[-1]
        self._take_detour(str(errors[0]))
        raise errors[0]

    def _end_detour(self) -> None:
        now = self._clock.elapsed()
        if now < self._detour_until:
            log_event("table:detour-over")
        self._detour_until = now

    def _take_detour(self, reason: str) -> None:
        now = self._clock.elapsed()
        if now >= self._detour_until:
            log_event("table:detour", reason=reason, for_s=_DETOUR.total_seconds())
        self._detour_until = now + _DETOUR

    async def _send_round(
        self, request: HttpRequest, timeout: timedelta
    ) -> HttpResponse | None:
        """Send through an entry; None if it has certainly not been seen."""
        helpers = self._helpers()
        if not helpers or self._clock.elapsed() < self._pause_until:
            return None
        helper = self._random.choice(helpers)
        message = RelayRequest(
            method=request.method,
            target=request.target,
            header_by_name=dict(request.header_by_name),
            body=request.body,
            timeout_ms=int(timeout.total_seconds() * 1000),
        )
        try:
            reply = await self._peers.call(helper, RELAY, message, timeout=timeout)
        except CommunicationError as error:
            self._pause(str(error))
            if error.is_unseen:
                return None
            raise
        if reply.status == 0:
            self._pause(f"{helper} got no answer")
            if reply.is_unseen:
                return None
            raise CommunicationError(
                step=ExchangeStep.RECEIVE, peer=f"table by {helper}", detail="no answer"
            )
        if reply.status in _TURNED_AWAY:
            self._pause(f"{helper} got status {reply.status}")
        return HttpResponse(status=reply.status, body=reply.body)

    def _pause(self, reason: str) -> None:
        self._pause_until = self._clock.elapsed() + _PAUSE
        log_event("table:detour-failed", reason=reason)
