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


class _RejectedDaemon:
    """A daemon that the table rejects, with entries of which it rejects some."""

    def __init__(self, *, entries: int, rejected: int) -> None:
        self.statuses: list[int] = []
        self.rejections = 0
        self._fabric = MemoryFabric()
        self._table = self._fabric.free_address()
        self._rejects_by_entry = {
            self._fabric.free_address(): number < rejected for number in range(entries)
        }

    async def play(self, writes: int) -> None:
        """Write one time after another."""
        async with trio.open_nursery() as nursery:
            await self._serve(nursery)
            kernel = self._fabric.kernel("daemon")
            transport = RelayTransport(
                direct=self._fabric.transport("daemon"),
                peers=kernel.find(PEERS, PeerClient),
                relays=lambda: list(self._rejects_by_entry),
                clock=TrioClock(),
                random=Random(1),
            )
            for _ in range(writes):
                response = await transport.send(self._table, _WRITE, timeout=_TIMEOUT)
                self.statuses.append(response.status)
            nursery.cancel_scope.cancel()

    async def _serve(self, nursery: trio.Nursery) -> None:
        async def reject(_: HttpRequest) -> HttpResponse:
            return HttpResponse(status=429)

        table = self._fabric.listeners("table").http(self._table, reject)
        await nursery.start(table.run)
        for number, (entry, rejects) in enumerate(self._rejects_by_entry.items()):
            handlers = CallHandlers()
            handlers.add(RELAY, self._reject if rejects else _accept)
            listeners = self._fabric.listeners(f"entry-{number}")
            await nursery.start(listeners.peers(entry, handlers).run)

    async def _reject(self, _: object) -> RelayReply:
        self.rejections += 1
        return RelayReply(status=429)


async def _accept(_: object) -> RelayReply:
    return RelayReply(status=200)


@given("a table that rejects a daemon and {rejected:d} of {entries:d} entries")
def make_rejected(context, rejected, entries):
    context.daemon = _RejectedDaemon(entries=entries, rejected=rejected)


@when("the daemon writes {count:d} times")
def write_many(context, count):
    trio.run(context.daemon.play, count, clock=MockClock(autojump_threshold=0))


@then("all of its writes are accepted")
def check_accepted(context):
    assert set(context.daemon.statuses) == {200}, context.daemon.statuses


@then("none of its writes is accepted")
def check_rejected(context):
    assert set(context.daemon.statuses) == {429}, context.daemon.statuses


@then("at most {count:d} of them were sent to an entry that is rejected")
def check_rejections(context, count):
    assert context.daemon.rejections <= count, context.daemon.rejections


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
