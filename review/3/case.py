"""Entries go on using silent connections to the store, one after the other."""

from __future__ import annotations

from dataclasses import dataclass, field
from functools import partial
from pathlib import Path

import trio

from coltsfoottray.types import Address
from review.harness import HOLDS, IS_BROKEN, NOT_RUN, Case, ReviewSite, run_case
from soak.site import ENTRIES, HOST, PATH, WORKERS

_STORE_PORT, _PROXY_PORT = 7006, 7050
_NEW_PATH = "/added/"
_CHUNK_BYTES = 65_536
# As the sheets of the small sites give them.
_STORE_ANSWER_S = 0.004
_TRANSACTIONS_PER_S = 150.0
_CONTACT_S = 3.0
_CONFIG_APPLY_S = 2.0
_MAX_EXTENSION_S = 5.0
_USERS_PER_ENTRY = 30
_SETTLING_S = 4.0
_CONFIG_AFTER_S = 0.5
_WATCH_S = 16.0
_ASK_INTERVAL_S = 0.25
_NOT_FOUND = 404


@dataclass(kw_only=True, eq=False)
class _Connection:
    is_silent: bool = False


@dataclass(kw_only=True)
class _Proxy:
    """Passes the connections of one program on to the store."""

    store: Address
    connections: list[_Connection] = field(default_factory=list)

    async def handle(self, client: trio.SocketStream) -> None:
        connection = _Connection()
        self.connections.append(connection)
        store = await trio.open_tcp_stream(self.store.host, self.store.port)
        async with client, store, trio.open_nursery() as nursery:
            nursery.start_soon(self._pass_on, connection, client, store, nursery)
            nursery.start_soon(self._pass_on, connection, store, client, nursery)
        self.connections.remove(connection)

    async def _pass_on(
        self,
        connection: _Connection,
        source: trio.SocketStream,
        target: trio.abc.SendStream,
        nursery: trio.Nursery,
    ) -> None:
        """Pass bytes on; once the connection is silent, drop them."""
        try:
            while data := await source.receive_some(_CHUNK_BYTES):
                if not connection.is_silent:
                    await target.send_all(data)
        except trio.BrokenResourceError:
            pass
        nursery.cancel_scope.cancel()

    def silence(self) -> int:
        """Silence the open connections; return how many. New ones work."""
        for connection in self.connections:
            connection.is_silent = True
        return len(self.connections)


class _Site(ReviewSite):
    """A site whose programs reach the store through a proxy each."""

    def __post_init__(self) -> None:
        super().__post_init__()
        self.proxy_by_name: dict[str, _Proxy] = {}

    async def start(self) -> None:
        self.table.faults.delay_s = _STORE_ANSWER_S
        self.table.transactions_per_s = _TRANSACTIONS_PER_S
        for name in (*ENTRIES, *WORKERS):
            proxy = _Proxy(store=self.address("store", _STORE_PORT))
            self.proxy_by_name[name] = proxy
            host = self.address(name, _PROXY_PORT).host
            serve = partial(trio.serve_tcp, proxy.handle, _PROXY_PORT, host=host)
            await self.nursery.start(serve)
        await super().start()

    def _start_program(self, name: str, **settings: object) -> None:
        table = str(self.address(name, _PROXY_PORT))
        super()._start_program(name, table=table, **settings)

    def add_route(self) -> None:
        """Write a config with one more route, as an operator does."""
        config = self.table.value_of("op", "", "config")
        assert isinstance(config, dict)
        route = {**config["routes"][0], "name": "r-added", "pathPrefix": _NEW_PATH}
        changed = {
            **config,
            "version": config["version"] + 1,
            "routes": [*config["routes"], route],
        }
        self.table.put("op", "", "config", changed)


async def _submit_at_once(case: Case) -> None:
    job = {
        "spec": '{"work_s":0.2,"share":0.1}',
        "steps": [{"count": 1, "cpu": 100, "memoryLimitMb": 10, "estimateMs": 200}],
    }
    async with trio.open_nursery() as nursery:
        for user in range(_USERS_PER_ENTRY):
            for number, entry in enumerate(ENTRIES):
                target = f"{PATH}{0x1000 + user * len(ENTRIES) + number:016x}"
                nursery.start_soon(case.call, entry, "POST", target, job)


@dataclass(kw_only=True)
class _Watch:
    """Asks an entry for the added route, and keeps the late refusals."""

    case: Case
    entry: str
    late_after_s: float
    late_refusals_s: list[float] = field(default_factory=list)
    served: int = 0

    async def run(self, until_s: float) -> None:
        while trio.current_time() < until_s:
            sent_at = trio.current_time()
            status, _ = await self.case.call(self.entry, "GET", _NEW_PATH)
            self.served += status == 200
            if status == _NOT_FOUND and sent_at > self.late_after_s:
                self.late_refusals_s.append(sent_at)
            await trio.sleep(_ASK_INTERVAL_S)


async def _play(case: Case) -> int:
    site = case.site
    assert isinstance(site, _Site)
    await trio.sleep(_SETTLING_S)
    await _submit_at_once(case)
    await trio.sleep(_SETTLING_S)
    if case.has_trouble:
        count = {name: proxy.silence() for name, proxy in site.proxy_by_name.items()}
        case.record.add(f"proxy  open connections to the store go silent: {count}")
    silenced_at = trio.current_time()
    await trio.sleep(_CONFIG_AFTER_S)
    site.add_route()
    confirmed_at = trio.current_time()
    case.record.add(f"store  config with the route {HOST}{_NEW_PATH} is confirmed")
    # Machines are in touch again `contactMs` after the silence began.
    late_after_s = max(confirmed_at, silenced_at + _CONTACT_S) + _CONFIG_APPLY_S
    watches = [
        _Watch(case=case, entry=entry, late_after_s=late_after_s) for entry in ENTRIES
    ]
    async with trio.open_nursery() as nursery:
        for watch in watches:
            nursery.start_soon(watch.run, confirmed_at + _WATCH_S)
    if not all(watch.served for watch in watches):
        case.record.add("judge  an entry never served the added route")
    late = [each for watch in watches for each in watch.late_refusals_s]
    if not late:
        case.record.add("judge  the rule holds: no late 404")
        return HOLDS if all(watch.served for watch in watches) else NOT_RUN
    very_late = [each for each in late if each > late_after_s + _MAX_EXTENSION_S]
    case.record.add(
        f"judge  CONFIG: {len(late)} requests were refused with 404 later than "
        f"{_CONTACT_S:g} s + {_CONFIG_APPLY_S:g} s after the silence, "
        f"{len(very_late)} of them later than {_MAX_EXTENSION_S:g} s more; the last "
        f"{max(late) - confirmed_at:.1f} s after the confirmation"
    )
    return IS_BROKEN


if __name__ == "__main__":
    run_case(Path(__file__).resolve().parent, _play, site_type=_Site)
