"""Steps on the limits of the HTTP server, over real sockets."""

from __future__ import annotations

from datetime import timedelta

import trio
from behave import given, then, when

from coltsfoottray.http import HttpResponse, HttpServer
from coltsfoottray.intake import PortLimits
from coltsfoottray.types import Address

_ANY_PORT = Address(host="127.0.0.1", port=0)
# Reached only if the server hangs.
_LIMIT_S = 20.0
_ORDINARY = b"GET /ordinary HTTP/1.1\r\nhost: a\r\n\r\n"
_POST = "POST / HTTP/1.1\r\nhost: a\r\n"


def _with_length(announced, sent):
    return f"{_POST}content-length: {announced}\r\n\r\n".encode() + b"x" * sent


def _in_chunks(size, chunk):
    head = f"{_POST}transfer-encoding: chunked\r\n\r\n".encode()
    parts = b"%x\r\n%s\r\n" % (chunk, b"x" * chunk) * (size // chunk)
    rest = size % chunk
    last = b"%x\r\n%s\r\n" % (rest, b"x" * rest) if rest else b""
    return head + parts + last + b"0\r\n\r\n"


def _with_lines(count):
    lines = "".join(f"x-{number}: 1\r\n" for number in range(count - 3))
    return f"{_POST}{lines}\r\n".encode()


_DATA_BY_REQUEST = {
    "the head of a body of 1001 bytes": _with_length(1001, 0),
    "the head of a body of 4000000000 bytes": _with_length(4_000_000_000, 0),
    "a body of 1001 bytes in chunks": _in_chunks(1001, 100),
    "a head of 3000 bytes": f"{_POST}x: {'x' * 3000}\r\n\r\n".encode(),
    "a head of 30 lines": _with_lines(30),
    "a head that is no HTTP": b"nothing\r\n\r\n",
    "a body of 1000 bytes": _with_length(1000, 1000),
    "a body of 1000 bytes in chunks": _in_chunks(1000, 100),
    "a body in chunks of one byte": _in_chunks(1000, 1),
    "a head of 18 lines": _with_lines(18),
}


def _play(context, script):
    """Serve while `script` runs; slow requests wait for `context.release`."""
    context.seen = []

    async def handle(request):
        context.seen.append(request.target)
        if context.is_slow:
            await context.release.wait()
        return HttpResponse(status=200)

    async def play():
        context.release = trio.Event()
        server = HttpServer(address=_ANY_PORT, handler=handle, limits=context.limits)
        with trio.fail_after(_LIMIT_S):
            async with trio.open_nursery() as nursery:
                await nursery.start(server.run)
                await script(server)
                nursery.cancel_scope.cancel()

    trio.run(play)


async def _connect(server):
    address = server.bound_address
    return await trio.open_tcp_stream(address.host, address.port)


async def _read_all(client):
    """Return what arrives until the connection ends."""
    received = b""
    try:
        while data := await client.receive_some():
            received += data
    except trio.BrokenResourceError:
        return received
    return received


async def _read_status(client):
    received = b""
    while b"\r\n\r\n" not in received:
        data = await client.receive_some()
        if not data:
            return None
        received += data
    return int(received.split()[1])


async def _wait_until_seen(context, count):
    while len(context.seen) < count:
        await trio.sleep(0.01)


@given(
    "a port that takes bodies of {body:d} bytes and heads of {head:d} bytes and "
    "{lines:d} lines"
)
def limit_sizes(context, body, head, lines):
    context.is_slow = False
    # The connection ends as no further request comes in this time.
    context.limits = PortLimits(
        body_bytes=body,
        head_bytes=head,
        head_lines=lines,
        request_time=timedelta(seconds=1),
    )


@given("a port that takes {count:d} connections")
def limit_connections(context, count):
    context.is_slow = False
    context.limits = PortLimits(connections=count)


@given("a port that handles {count:d} requests at a time")
def limit_handlers(context, count):
    context.is_slow = True
    context.limits = PortLimits(handlers=count)


@when("a client sends {request}, and an ordinary request behind it")
def send_both(context, request):
    async def script(server):
        async with await _connect(server) as client:
            await client.send_all(_DATA_BY_REQUEST[request] + _ORDINARY)
            context.received = await _read_all(client)

    _play(context, script)


@then("it is answered {status:d}, the connection ends, and no handler has seen any")
def check_refused(context, status):
    assert context.received.count(b"HTTP/1.1 ") == 1, context.received
    assert int(context.received.split()[1]) == status, context.received
    assert b"connection: close" in context.received.lower()
    assert context.seen == [], context.seen


@then("both are answered 200")
def check_both(context):
    assert context.received.count(b"HTTP/1.1 200") == 2, context.received
    assert context.seen == ["/", "/ordinary"], context.seen


@when("{count:d} clients send a request each")
def send_each(context, count):
    async def script(server):
        clients = [await _connect(server) for _ in range(count)]
        for client in clients[:-1]:
            await client.send_all(_ORDINARY)
        await _wait_until_seen(context, count - 1)
        await clients[-1].send_all(_ORDINARY)
        context.last = await _read_all(clients[-1])
        context.release.set()
        context.statuses = [await _read_status(client) for client in clients[:-1]]

    _play(context, script)


@then("one is told to come back, and the others are answered")
def check_busy(context):
    assert context.last.split()[1] == b"504", context.last
    assert b"retry-after: 1" in context.last.lower(), context.last
    assert set(context.statuses) == {200}, context.statuses


async def _is_closed(client):
    with trio.move_on_after(0.2):
        return not await _read_all(client)
    return False


@when("{count:d} clients connect, and the last one sends a request")
def connect_many(context, count):
    async def script(server):
        clients = [await _connect(server) for _ in range(count)]
        await clients[-1].send_all(_ORDINARY)
        context.status = await _read_status(clients[-1])
        context.closed = [await _is_closed(client) for client in clients[:-1]]

    _play(context, script)


@then("it is answered, and {count:d} of the others are closed")
def check_displaced(context, count):
    assert context.status == 200, context.status
    kept = len(context.closed) - count
    assert context.closed == [True] * count + [False] * kept, context.closed


@when("{count:d} clients wait for an answer, and another one connects")
def connect_beside(context, count):
    context.is_slow = True

    async def script(server):
        clients = [await _connect(server) for _ in range(count)]
        for client in clients:
            await client.send_all(_ORDINARY)
        await _wait_until_seen(context, count)
        context.is_last_closed = not await _read_all(await _connect(server))
        context.release.set()
        context.statuses = [await _read_status(client) for client in clients]

    _play(context, script)


@then("it is closed, and the {count:d} are answered")
def check_kept(context, count):
    assert context.is_last_closed
    assert context.statuses == [200] * count, context.statuses
