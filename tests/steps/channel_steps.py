"""Steps on the channels of gRPC calls, over real connections."""

from __future__ import annotations

import asyncio
import gc
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


class _Ask(msgspec.Struct, frozen=True):
    text: str


_ECHO = Call(name="Echo", request_type=_Ask, reply_type=_Ask)
_ANY_PORT = Address(host="127.0.0.1", port=0)


@given("a peer to which the first connection takes {seconds:d} s")
def plan_connection(context, seconds):
    context.first_s = seconds


@when("a call that waits {first:d} ms and one that waits {second:d} s are made at once")
def call_twice(context, first, second):
    timeouts = [timedelta(milliseconds=first), timedelta(seconds=second)]
    connect = Channel._create_connection
    delays = [context.first_s]
    opened = []

    async def connect_slowly(channel):
        if delays:
            await asyncio.sleep(delays.pop())
        protocol = await connect(channel)
        opened.append(protocol)
        return protocol

    with mock.patch.object(Channel, "_create_connection", connect_slowly):
        context.answers = trio.run(_call_all, timeouts)
    context.opened = opened


@then("the first call fails, and the second one is answered")
def check_answers(context):
    failed, answered = context.answers
    assert isinstance(failed, CommunicationError), failed
    assert answered == _Ask("b"), answered


@then("the caller runs on, with no connection left open")
def check_alive(context):
    # It has, or `trio.run` would have raised what ended it.
    assert context.opened
    assert all(each.handler.connection_lost for each in context.opened)


async def _call_all(timeouts):
    handlers = CallHandlers()
    handlers.add(_ECHO, _answer)
    server = GrpcPeerServer(address=_ANY_PORT, handlers=handlers)
    client = GrpcPeerClient()
    answers = [None, None]

    async def call(number, text, timeout):
        try:
            answers[number] = await client.call(
                server.bound_address, _ECHO, _Ask(text), timeout=timeout
            )
        except CommunicationError as error:
            answers[number] = error

    async with trio.open_nursery() as nursery:
        await nursery.start(server.run)
        await nursery.start(client.run)
        async with trio.open_nursery() as calls:
            for number, (text, timeout) in enumerate(zip("ab", timeouts, strict=True)):
                calls.start_soon(call, number, text, timeout)
        gc.collect()
        # What a collected connection raises is raised in a task of its own.
        await trio.sleep(0.1)
        nursery.cancel_scope.cancel()
    return answers


async def _answer(request):
    return request
