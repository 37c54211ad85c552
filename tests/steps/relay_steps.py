"""Steps about requests to the table that are relayed through another entry."""

from __future__ import annotations

from datetime import timedelta
from random import Random

import trio
from behave import given, then, when
from trio.testing import MockClock

from coltsfoottray.clock import TrioClock
from coltsfoottray.daemons.common import PEERS
from coltsfoottray.errors import CommunicationError
from coltsfoottray.http import HttpRequest, HttpResponse
from coltsfoottray.peers import CallHandlers, PeerClient
from coltsfoottray.peers.relay import RELAY, RelayReply, RelayTransport
from standins.fabric import MemoryFabric

_TIMEOUT = timedelta(milliseconds=300)
_READS = 10
_READ = HttpRequest(method="GET", target="/rows")
_WRITE = HttpRequest(method="POST", target="/transaction")


class _Daemon:
    """A daemon whose table answers reads, but no write in time."""

    def __init__(self, *, interval_s: float) -> None:
        self.interval_s = interval_s
        self.is_reachable = True
        self.relayed = 0
        self._fabric = MemoryFabric()
        self._table = self._fabric.free_address()
        self._entry = self._fabric.free_address()

    async def play(self) -> None:
        """Write once while reading."""
        async with trio.open_nursery() as nursery:
            await self._serve(nursery)
            transport = self._transport()
            if not self.is_reachable:
                self._fabric.cut.add(frozenset(("daemon", "table")))
            nursery.start_soon(self._send, transport, _WRITE)
            for _ in range(_READS):
                await self._read(transport)
            nursery.cancel_scope.cancel()

    async def _serve(self, nursery: trio.Nursery) -> None:
        async def answer(request: HttpRequest) -> HttpResponse:
            if request.method == "POST":
                await trio.sleep_forever()
            return HttpResponse(status=200)

        async def relay(_: object) -> RelayReply:
            self.relayed += 1
            return RelayReply(status=200)

        handlers = CallHandlers()
        handlers.add(RELAY, relay)
        table = self._fabric.listeners("table").http(self._table, answer)
        entry = self._fabric.listeners("entry").peers(self._entry, handlers)
        await nursery.start(table.run)
        await nursery.start(entry.run)

    def _transport(self) -> RelayTransport:
        kernel = self._fabric.kernel("daemon")
        return RelayTransport(
            direct=self._fabric.transport("daemon"),
            peers=kernel.find(PEERS, PeerClient),
            relays=lambda: [self._entry],
            clock=TrioClock(),
            random=Random(0),
        )

    async def _read(self, transport: RelayTransport) -> None:
        await trio.sleep(self.interval_s)
        await self._send(transport, _READ)

    async def _send(self, transport: RelayTransport, request: HttpRequest) -> None:
        try:
            await transport.send(self._table, request, timeout=_TIMEOUT)
        except CommunicationError:
            return


@given("a daemon that reads the table every {interval:g} s")
def make_daemon(context, interval):
    context.daemon = _Daemon(interval_s=interval)


@when("the table becomes unreachable")
def cut_table(context):
    context.daemon.is_reachable = False


@when("a write to it gets no response within {_:g} s")
def write(context, _):
    trio.run(context.daemon.play, clock=MockClock(autojump_threshold=0))


@then("none of its requests is relayed")
def check_none_relayed(context):
    assert context.daemon.relayed == 0, context.daemon.relayed


@then("{count:d} or more of its requests are relayed")
def check_relayed(context, count):
    assert context.daemon.relayed >= count, context.daemon.relayed
