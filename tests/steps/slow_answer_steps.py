"""Steps on slow responses over real connections."""

from __future__ import annotations

from datetime import timedelta

import trio
from behave import given, then, when

from coltsfoottray.errors import CommunicationError, ExchangeStep
from coltsfoottray.http import HttpClient, HttpRequest
from coltsfoottray.types import Address

_PIECE = b"x" * 1000
# Much longer than a client may wait for the rest of a response.
_STALL_S = 30.0


@given("a peer that sends a response in {count:d} pieces, one every {pause:d} ms")
def make_slow_peer(context, count, pause):
    context.sending = (count, count, pause / 1000)


@given("a peer that sends {sent:d} of {count:d} pieces of a response, then nothing")
def make_stalling_peer(context, sent, count):
    context.sending = (sent, count, 0.0)


@when(
    "a request is sent that requires the response to start within {milliseconds:d} ms"
)
def send_request(context, milliseconds):
    context.result = trio.run(
        _exchange, *context.sending, timedelta(milliseconds=milliseconds)
    )


@then("all {count:d} pieces are returned")
def check_response(context, count):
    assert context.result == _PIECE * count, context.result


@then("the exchange fails, and the error reports {count:d} pieces as received")
def check_error(context, count):
    error = context.result
    assert isinstance(error, CommunicationError), error
    assert error.step is ExchangeStep.RECEIVE, error
    assert count * len(_PIECE) <= error.received_bytes < (count + 1) * len(_PIECE)


async def _exchange(sent, count, pause_s, timeout):
    async def serve(stream):
        async with stream:
            await stream.receive_some()
            size = count * len(_PIECE)
            await stream.send_all(
                f"HTTP/1.1 200 OK\r\ncontent-length: {size}\r\n\r\n".encode()
            )
            for _ in range(sent):
                await stream.send_all(_PIECE)
                await trio.sleep(pause_s)
            if sent < count:
                await trio.sleep(_STALL_S)

    async with trio.open_nursery() as nursery:
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        nursery.start_soon(trio.serve_listeners, serve, listeners)
        port = listeners[0].socket.getsockname()[1]
        address = Address(host="127.0.0.1", port=port)
        request = HttpRequest(method="GET", target="/")
        try:
            response = await HttpClient().send(address, request, timeout=timeout)
            return response.body
        except CommunicationError as error:
            return error
        finally:
            nursery.cancel_scope.cancel()
