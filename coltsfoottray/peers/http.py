"""Peer calls over HTTP with h11, encoded as msgpack, for calls on the request path.

A call costs about a quarter of a call over grpclib (docs/design/data-path.md) and
does not cross a trio-asyncio loop.
"""

from __future__ import annotations

from datetime import timedelta

import msgspec

from coltsfoottray.decoding import MalformedData, decode_msgpack
from coltsfoottray.errors import CommunicationError, ExchangeStep, InputError
from coltsfoottray.http import HttpRequest, HttpResponse, HttpTransport
from coltsfoottray.intake import Turns
from coltsfoottray.intake.turns import is_heavy, weigh_msgpack
from coltsfoottray.peers.common import Call, CallHandlers, PeerClient, Reply, Request
from coltsfoottray.types import Address

__all__ = ["HttpPeerClient", "HttpPeerHandler"]


class HttpPeerClient(PeerClient):
    """Makes calls as HTTP `POST` requests."""

    def __init__(self, *, transport: HttpTransport) -> None:
        self._transport = transport

    async def call(  # noqa: D102
        self,
        address: Address,
        call: Call[Request, Reply],
        request: Request,
        *,
        timeout: timedelta,
    ) -> Reply:
        message = HttpRequest(
            method="POST", target=call.path, body=msgspec.msgpack.encode(request)
        )
        response = await self._transport.send(address, message, timeout=timeout)
        if response.status != 200:
            size = len(message.body)
            raise _decode_error(
                address, f"status {response.status} for {call.name} of {size} bytes"
            )
        try:
            return decode_msgpack(response.body, call.reply_type)
        except MalformedData as error:
            raise _decode_error(address, str(error)) from error


class HttpPeerHandler:
    """Handles the calls that `HttpPeerClient` makes.

    Parameters
    ----------
    turns : Turns, optional
        In which large calls are decoded; by default those of this handler.
    """

    def __init__(self, *, handlers: CallHandlers, turns: Turns | None = None) -> None:
        self._handlers = handlers
        self._turns = turns or Turns()

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Handle one call; return status 404 if it has no handler."""
        for call, handler in self._handlers.handler_by_call.items():
            if call.path == request.path:
                weight = weigh_msgpack(
                    request.body, has_defaults=call.check_request is not None
                )
                # Not until it is answered: a relayed call waits for the store.
                async with self._turns.turn(weight):
                    message = _decode(request, call, is_large=is_heavy(weight))
                reply = await handler(message)
                return HttpResponse(status=200, body=msgspec.msgpack.encode(reply))
        return HttpResponse(status=404)


def _decode(
    request: HttpRequest, call: Call[Request, Reply], *, is_large: bool
) -> Request:
    try:
        if is_large and call.check_request is not None:
            call.check_request(request.body)
        return decode_msgpack(request.body, call.request_type)
    except MalformedData as error:
        raise InputError(
            field="body", value=request.body[:80], expected=f"{call.name}: {error}"
        ) from error


def _decode_error(address: Address, detail: str) -> CommunicationError:
    return CommunicationError(
        step=ExchangeStep.DECODE, peer=str(address), detail=detail
    )
