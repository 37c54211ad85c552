"""Steps on the channels of gRPC calls, over TCP connections."""

from __future__ import annotations

import asyncio
import gc
import socket
from datetime import timedelta
from unittest import mock

import msgspec
import trio
from behave import given, then, when
from grpclib.client import Channel

from coltsfoottray.errors import CommunicationError
from coltsfoottray.peers import Call, CallHandlers
from coltsfoottray.peers.grpc import GrpcPeerClient, GrpcPeerServer
from coltsfoottray.types import Address


class _EchoMessage(msgspec.Struct, frozen=True):
    text: str


_ECHO = Call(name="Echo", request_type=_EchoMessage, reply_type=_EchoMessage)
_ANY_PORT = Address(host="127.0.0.1", port=0)
_CALL_TIMEOUT = timedelta(seconds=5)


@given("a peer to which the first connection takes {seconds:d} s")
def delay_first_connection(context, seconds):
    context.first_connection_s = seconds


@when(
    "a call with a timeout of {first:d} ms and one with {second:d} s are made at once"
)
def call_twice(context, first, second):
    timeouts = [timedelta(milliseconds=first), timedelta(seconds=second)]
    connect = Channel._create_connection
    delays = [context.first_connection_s]
    opened = []

    async def connect_slowly(channel):
        if delays:
            await asyncio.sleep(delays.pop())
        protocol = await connect(channel)
        opened.append(protocol)
        return protocol

    with mock.patch.object(Channel, "_create_connection", connect_slowly):
        context.replies = trio.run(_call_all, timeouts)
    context.opened = opened


@then("the first call fails, and the second one is answered")
def check_replies(context):
    failed, answered = context.replies
    assert isinstance(failed, CommunicationError), failed
    assert answered == _EchoMessage("b"), answered


@then("the process keeps running, with no connection left open")
def check_still_running(context):
    # An error that ends the process would already have been raised by `trio.run`.
    assert context.opened
    assert all(each.handler.connection_lost for each in context.opened)


@given("a peer whose process has ended")
def reserve_port(context):
    with socket.socket() as unused:
        unused.bind((_ANY_PORT.host, 0))
        context.peer = Address(host=_ANY_PORT.host, port=unused.getsockname()[1])


@when("it is called")
def call_once(context):
    async def call():
        client = GrpcPeerClient()
        async with trio.open_nursery() as nursery:
            await nursery.start(client.run)
            try:
                await client.call(
                    context.peer, _ECHO, _EchoMessage("a"), timeout=_CALL_TIMEOUT
                )
            except CommunicationError as error:
                context.error = error
            nursery.cancel_scope.cancel()

    trio.run(call)


@then("the call fails because the connection was refused")
def check_refused(context):
    assert context.error.is_refused, context.error


async def _call_all(timeouts):
    handlers = CallHandlers()
    handlers.add(_ECHO, _handle_echo)
    server = GrpcPeerServer(address=_ANY_PORT, handlers=handlers)
    client = GrpcPeerClient()
    replies = [None, None]

    async def call(number, text, timeout):
        try:
            replies[number] = await client.call(
                server.bound_address, _ECHO, _EchoMessage(text), timeout=timeout
            )
        except CommunicationError as error:
            replies[number] = error

    async with trio.open_nursery() as nursery:
        await nursery.start(server.run)
        await nursery.start(client.run)
        async with trio.open_nursery() as calls:
            for number, (text, timeout) in enumerate(zip("ab", timeouts, strict=True)):
                calls.start_soon(call, number, text, timeout)
        gc.collect()
        # A garbage-collected connection raises its error in a task of its own.
        await trio.sleep(0.1)
        nursery.cancel_scope.cancel()
    return replies


async def _handle_echo(request):
    return request
