"""Peer calls over HTTP with h11, encoded as msgpack, for calls on the request path.

A call costs about a quarter of a call over grpclib (docs/design/data-path.md) and
does not cross a trio-asyncio loop.
"""

from __future__ import annotations

from datetime import timedelta

import msgspec

from coltsfoottray.errors import CommunicationError, ExchangeStep
from coltsfoottray.http import HttpRequest, HttpResponse, HttpTransport
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
            return msgspec.msgpack.decode(response.body, type=call.reply_type)
        except msgspec.DecodeError as error:
            raise _decode_error(address, str(error)) from error


class HttpPeerHandler:
    """Handles the calls that `HttpPeerClient` makes."""

    def __init__(self, *, handlers: CallHandlers) -> None:
        self._handlers = handlers

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Handle one call; return status 404 if it has no handler."""
        for call, handler in self._handlers.handler_by_call.items():
            if call.path == request.path:
                message = msgspec.msgpack.decode(request.body, type=call.request_type)
                reply = await handler(message)
                return HttpResponse(status=200, body=msgspec.msgpack.encode(reply))
        return HttpResponse(status=404)


def _decode_error(address: Address, detail: str) -> CommunicationError:
    return CommunicationError(
        step=ExchangeStep.DECODE, peer=str(address), detail=detail
    )
