"""Steps on the HTTP client and connections that become silent, over real sockets."""

from __future__ import annotations

import re
from datetime import timedelta
from functools import partial

import trio
from behave import given, then, when

from coltsfoottray.errors import CommunicationError
from coltsfoottray.http import HttpClient, HttpRequest
from coltsfoottray.http.pool import ConnectionPool, PooledConnection
from coltsfoottray.types import Address

_TIMEOUT = timedelta(milliseconds=300)
# Longer than a client waits for an answer.
_UNANSWERED_S = 30.0
_MAX_REQUESTS = 40
_ANSWER = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n"
_HELD = HttpRequest(method="GET", target="/held")
_UNANSWERED = HttpRequest(method="GET", target="/unanswered")
_PLAIN = HttpRequest(method="GET", target="/")
_ADDRESS = Address(host="127.0.0.1", port=1)
_NOW_S = 100.0


class _Connection(PooledConnection):
    def __init__(self, age_s):
        self.age_s = age_s
        self.received_at = _NOW_S - age_s
        self.is_closed = False

    def is_closed_by_peer(self):
        return False

    def close(self):
        self.is_closed = True


class _Peer:
    """A server that answers held requests together, and can make connections silent."""

    def __init__(self):
        self.opened = 0
        self.silent = set()
        self.expected = 0
        self.released = trio.Event()
        self.address = None

    async def run(self, *, task_status=trio.TASK_STATUS_IGNORED):
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        port = listeners[0].socket.getsockname()[1]
        self.address = Address(host="127.0.0.1", port=port)
        task_status.started()
        await trio.serve_listeners(self._serve, listeners)

    def silence(self):
        """Make all open connections silent; new ones work."""
        self.silent = set(range(self.opened))

    async def _serve(self, stream):
        number = self.opened
        self.opened += 1
        async with stream:
            while data := await stream.receive_some():
                if number in self.silent:
                    continue
                if _UNANSWERED.target.encode() in data:
                    await trio.sleep(_UNANSWERED_S)
                if _HELD.target.encode() in data:
                    await self._hold()
                await stream.send_all(_ANSWER)

    async def _hold(self):
        self.expected -= 1
        if not self.expected:
            self.released.set()
            self.released = trio.Event()
            return
        await self.released.wait()


async def _send_at_once(peer, client, count):
    """Send requests of which each needs a connection of its own."""
    peer.expected = count
    send = partial(client.send, peer.address, _HELD, timeout=_TIMEOUT)
    async with trio.open_nursery() as nursery:
        for _ in range(count):
            nursery.start_soon(send)


async def _send_unanswered(peer, client):
    try:
        await client.send(peer.address, _UNANSWERED, timeout=_TIMEOUT)
    except CommunicationError:
        return
    raise AssertionError("answered")


def _play(context, script):
    async def play():
        peer, client = _Peer(), HttpClient()
        async with trio.open_nursery() as nursery:
            await nursery.start(peer.run)
            await _send_at_once(peer, client, context.count)
            await script(peer, client)
            client.close()
            nursery.cancel_scope.cancel()

    trio.run(play)


@given("a peer to which a burst has left {count:d} idle connections")
def set_count(context, count):
    context.count = count


@when("they become silent, and requests follow each other until one is answered")
def silence(context):
    async def script(peer, client):
        peer.silence()
        context.timeouts = 0
        for _ in range(_MAX_REQUESTS):
            try:
                await client.send(peer.address, _PLAIN, timeout=_TIMEOUT)
            except CommunicationError:
                context.timeouts += 1
            else:
                return

    _play(context, script)


@when("they become silent, and callers who wait for {ms:d} ms follow each other")
def silence_impatient(context, ms):
    async def script(peer, client):
        peer.silence()
        context.timeouts = 0
        for _ in range(_MAX_REQUESTS):
            with trio.move_on_after(ms / 1000):
                await client.send(peer.address, _PLAIN)
                return
            context.timeouts += 1

    _play(context, script)


@then("{count:d} request has timed out")
def check_timeouts(context, count):
    assert context.timeouts == count, context.timeouts


@when("one request is left unanswered while {count:d} at a time are answered")
def leave_one_unanswered(context, count):
    async def script(peer, client):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_send_unanswered, peer, client)
            await trio.sleep(_TIMEOUT.total_seconds() / 2)
            await _send_at_once(peer, client, count)
        context.opened_before = peer.opened
        await _send_at_once(peer, client, count)
        context.opened = peer.opened

    _play(context, script)


@then("{count:d} requests at a time open no connection")
def check_opened(context, count):
    assert context.opened == context.opened_before, (
        context.opened,
        context.opened_before,
    )


@given("idle connections that carried something {ages} s ago")
def fill_pool(context, ages):
    ages_s = map(float, re.findall(r"[\d.]+", ages))
    context.connections = [_Connection(age_s) for age_s in ages_s]
    context.pool = ConnectionPool()
    for connection in context.connections:
        context.pool.put(_ADDRESS, connection)


@when("connections are taken from the pool until it is empty")
def take_all(context):
    context.taken = []
    while (connection := context.pool.take(_ADDRESS, now=_NOW_S)) is not None:
        context.taken.append(connection.age_s)


@then("those of {last:g} s and {first:g} s ago were taken, and the third one is closed")
def check_taken(context, last, first):
    assert context.taken == [last, first], context.taken
    assert [each.is_closed for each in context.connections] == [True, False, False]
