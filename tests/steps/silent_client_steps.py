"""Steps on the HTTP server and clients that become silent, over real sockets."""

from __future__ import annotations

from datetime import timedelta

import trio
import trio.lowlevel
from behave import given, then, when

from coltsfoottray.http import HttpResponse, HttpServer
from coltsfoottray.intake import PortLimits
from coltsfoottray.types import Address

_ANY_PORT = Address(host="127.0.0.1", port=0)
_REQUEST = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n"
_HALF = b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 10\r\n\r\nabc"
_LIMIT_S = 3.0


def _play(context, body, script):
    async def handle(request):
        return HttpResponse(status=200, body=body)

    async def play():
        limits = PortLimits(request_time=context.timeout)
        served = HttpServer(address=_ANY_PORT, handler=handle, limits=limits)
        async with trio.open_nursery() as nursery:
            await nursery.start(served.run)
            address = served.bound_address
            client = await trio.open_tcp_stream(address.host, address.port)
            async with client:
                with trio.move_on_after(_LIMIT_S):
                    context.is_ended = await script(served, client)
            nursery.cancel_scope.cancel()

    context.is_ended = False
    trio.run(play)


def _send_and_wait(context, data):
    async def script(served, client):
        await client.send_all(data)
        while await client.receive_some():
            pass
        return True

    _play(context, b"", script)


@given("a server that closes connections after {ms:d} ms without progress")
def set_timeout(context, ms):
    context.timeout = timedelta(milliseconds=ms)


@when("a client sends a request, and nothing more")
def send_request(context):
    _send_and_wait(context, _REQUEST)


@when("a client sends half a request, and nothing more")
def send_half(context):
    _send_and_wait(context, _HALF)


@when("a client requests {megabytes:d} MB and receives none of it")
def receive_nothing(context, megabytes):
    async def script(served, client):
        await client.send_all(_REQUEST)
        while not served.in_flight:
            await trio.lowlevel.checkpoint()
        await served.stop()
        return True

    _play(context, b"x" * megabytes * 1_000_000, script)


@then("the server closes the connection")
@then("the server stops within 3 s")
def check_ended(context):
    assert context.is_ended
