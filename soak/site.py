"""A site on loopback: the stand-ins in this process, the programs in others."""

from __future__ import annotations

import itertools
import os
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path

import trio
import yaml

from coltsfoottray.http import Handler
from coltsfoottray.types import Address
from soak.parted import write_partings
from soak.programs import Program
from soak.proxy import Proxy
from standins.advice import AdviceStandIn
from standins.connections import Direction
from standins.fabric import LoopbackFabric
from standins.job_worker import JobWorkerStandIn
from standins.metadata_table import MetadataTableStandIn
from standins.run_observer import RunObserver

__all__ = [
    "CALLERS",
    "CHECKED_PATH",
    "ENTRIES",
    "HOST",
    "PATH",
    "PROCESSORS",
    "READINESS",
    "WORKERS",
    "Site",
]

HOST = "jobs.example"
PATH = "/rebuild/"
# Path of a queue whose policy is decided by the service of advice.
CHECKED_PATH = "/checked/"
PROCESSORS = 8
ENTRIES = ("entry-1", "entry-2", "entry-3")
WORKERS = ("worker-1", "worker-2", "worker-3")

_DATA_CENTRE = "caerdydd"
# Ports below the range from which the system chooses those of clients. Each program
# has its own address, because all use the same port for peers.
_PEERS, CALLERS, READINESS, _METRICS = 7000, 7001, 7002, 7003
_HEARTBEATS, _INSTANCE = 7004, 7005
_STORE, _ADVICE = 7006, 7007
_STORE_PROXY, _INSTANCE_PROXY = 7008, 7009
# Ended jobs are kept until the judgement.
_KEEP_S = 600.0
_MAX_ATTEMPTS = 2
_Server = Callable[..., Awaitable[object]]
_ADVICE_TERMS = {"decisionMs": 100, "periodMs": 20, "validityMs": 3000}


@dataclass(kw_only=True)
class ExactObserver(RunObserver):
    """Ends the runs of expired leases before it judges the start of a run.

    The stand-ins of all workers share one thread. If it is busy, a lease that has
    expired on one worker would otherwise be noticed after a later start on another.
    """

    workers: list[JobWorkerStandIn] = field(default_factory=list)

    def begin(
        self, task: str, run: int, worker: str, *, has_limit: bool = False
    ) -> None:
        for each in self.workers:
            each.expire_lease_if_due()
        super().begin(task, run, worker, has_limit=has_limit)


@dataclass(kw_only=True)
class Site:
    """Starts the stand-ins in `nursery` and the programs as processes.

    Parameters
    ----------
    folder : Path
        Where settings and logs are written.
    planted : str
        Name of a fault in the code of the programs; empty for none.
    overload : dict
        The section `overload` of the entries' settings.
    has_proxies : bool
        Whether the programs reach the store and the workers through proxies, whose
        connections can be made silent.
    """

    nursery: trio.Nursery
    folder: Path
    planted: str = ""
    overload: dict[str, str] = field(default_factory=dict)
    has_proxies: bool = False
    table: MetadataTableStandIn = field(default_factory=MetadataTableStandIn)
    advice: AdviceStandIn = field(default_factory=AdviceStandIn)
    observer: ExactObserver = field(
        default_factory=partial(ExactObserver, max_attempts=_MAX_ATTEMPTS)
    )
    fabric: LoopbackFabric = field(default_factory=LoopbackFabric)
    program_by_name: dict[str, Program] = field(default_factory=dict)
    worker_by_name: dict[str, JobWorkerStandIn] = field(default_factory=dict)
    scope_by_worker: dict[str, trio.CancelScope] = field(default_factory=dict)
    store_proxy_by_name: dict[str, Proxy] = field(default_factory=dict)
    worker_proxy_by_name: dict[str, Proxy] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self._versions = itertools.count(1)
        # Loopback addresses of its own, so that soaks can run side by side.
        high, low = divmod(os.getpid() % (64 * 256), 256)
        self._network = f"127.{64 + high}.{low}"

    async def start(self) -> None:
        """Start the stand-ins and the programs."""
        await self._serve(self.address("store", _STORE), self.table.handle)
        await self._serve(self.address("store", _ADVICE), self.advice.handle)
        self.write_config()
        if self.has_proxies:
            await self._start_store_proxies()
        for name in ENTRIES:
            self._start_program(
                name,
                role="job-entry",
                callers=str(self.address(name, CALLERS)),
                readiness=str(self.address(name, READINESS)),
                advice=str(self.address("store", _ADVICE)),
                keep_s=_KEEP_S,
                region_by_data_centre={_DATA_CENTRE: "cymru"},
                overload=self.overload,
            )
        for name in WORKERS:
            heartbeats = str(self.address(name, _HEARTBEATS))
            self._start_program(name, role="job-attendant", heartbeats=heartbeats)
            await self._start_worker(name)

    def heartbeats(self, worker: str) -> Address:
        """Return where a worker's attendant takes heartbeats."""
        return self.address(worker, _HEARTBEATS)

    def way_in(self, name: str, number: int) -> tuple[Address, str]:
        """Return an address at which a program takes messages, and a path there."""
        ports = (
            (_PEERS, "/coltsfoottray.Peers/Report"),
            (_METRICS, "/status"),
            (CALLERS, f"{PATH}00000000000000ff")
            if name in ENTRIES
            else (_HEARTBEATS, "/v1/instances/i-9/heartbeat"),
        )
        port, path = ports[number % len(ports)]
        return self.address(name, port), path

    def write_config(self) -> None:
        """Write a new version of the config, as an operator does."""
        version = next(self._versions)
        plain = {
            "name": "r-rebuild",
            "host": HOST,
            "pathPrefix": PATH,
            "service": "svc",
            "priority": 1 + version % 3,
            "maxAttempts": _MAX_ATTEMPTS,
            "timeoutMs": 3000,
            "slowdownFactor": 2.0,
            "targetLatencyMs": 500,
        }
        checked = {
            **plain,
            "name": "r-checked",
            "pathPrefix": CHECKED_PATH,
            "recommendation": _ADVICE_TERMS,
        }
        config = {"version": version, "routes": [plain, checked], "services": []}
        self.table.put("op", "", "config", config)

    def address(self, name: str, port: int) -> Address:
        """Return the address of the store, a program or a worker."""
        number = ["store", *ENTRIES, *WORKERS].index(name) + 1
        return Address(host=f"{self._network}.{number}", port=port)

    async def open_worker(self, name: str) -> None:
        """Accept connections to a worker, unless it accepts them already."""
        if name in self.scope_by_worker:
            return
        scope = trio.CancelScope()
        self.scope_by_worker[name] = scope
        worker = self.worker_by_name[name]
        instance = self.address(name, _INSTANCE)
        servers = [self._server(instance, worker.handle)]
        if self.has_proxies:
            # It ends with the worker, so that the address refuses connections then.
            worker.address = self.address(name, _INSTANCE_PROXY)
            proxy = Proxy(target=instance)
            self.worker_proxy_by_name[name] = proxy
            servers.append(self._proxy_server(worker.address, proxy))
        await self._start(servers, scope)

    def silence(self, name: str, direction: Direction) -> None:
        """Make the connections silent that a program has opened through proxies."""
        self.store_proxy_by_name[name].silence(direction)
        if name in self.worker_proxy_by_name:
            self.worker_proxy_by_name[name].silence(direction)

    def close_worker(self, name: str) -> None:
        """Close the connections to a worker, as the end of its process does."""
        scope = self.scope_by_worker.pop(name, None)
        if scope is not None:
            scope.cancel()

    def close(self) -> None:
        """End all processes."""
        for program in self.program_by_name.values():
            program.close()

    async def _start_worker(self, name: str) -> None:
        worker = JobWorkerStandIn(
            name=name,
            address=self.address(name, _INSTANCE),
            attendant=self.address(name, _HEARTBEATS),
            transport=self.fabric.transport(name),
            observer=self.observer,
            processors=PROCESSORS,
            advice=self.advice,
            data_centre=_DATA_CENTRE,
        )
        self.worker_by_name[name] = worker
        self.observer.workers.append(worker)
        self.advice.allowed_workers.add(f"i-{name}")
        await self.open_worker(name)
        await self.nursery.start(worker.run)

    async def _start_store_proxies(self) -> None:
        for name in (*ENTRIES, *WORKERS):
            proxy = Proxy(target=self.address("store", _STORE))
            self.store_proxy_by_name[name] = proxy
            server = self._proxy_server(self.address(name, _STORE_PROXY), proxy)
            await self._start([server])

    def partings_file(self, name: str) -> Path:
        """Return the file that says which others a program does not reach."""
        return self.folder / f"{name}.partings"

    def store_address(self, name: str) -> Address:
        """Return the address at which a program reaches the store."""
        if self.has_proxies:
            return self.address(name, _STORE_PROXY)
        return self.address("store", _STORE)

    def _start_program(self, name: str, **settings: object) -> None:
        common = {
            "name": name,
            "data_centre": _DATA_CENTRE,
            "peers": str(self.address(name, _PEERS)),
            "table": str(self.store_address(name)),
            "metrics": str(self.address(name, _METRICS)),
            "seeds": [str(self.address(entry, _PEERS)) for entry in ENTRIES],
        }
        path = self.folder / f"{name}.yaml"
        path.write_text(yaml.safe_dump({**common, **settings}))
        partings = self.partings_file(name)
        write_partings(partings, {})
        planted = [self.planted] if self.planted else []
        program = Program(
            name=name,
            arguments=["soak.parted", str(partings), *planted, str(path)],
            log=self.folder / f"{name}.log",
        )
        self.program_by_name[name] = program
        program.start()

    async def _serve(self, address: Address, handler: Handler) -> None:
        await self._start([self._server(address, handler)])

    def _server(self, address: Address, handler: Handler) -> _Server:
        return self.fabric.listeners("").http(address, handler).run

    @staticmethod
    def _proxy_server(address: Address, proxy: Proxy) -> _Server:
        return partial(trio.serve_tcp, proxy.handle, address.port, host=address.host)

    async def _start(
        self, servers: Sequence[_Server], scope: trio.CancelScope | None = None
    ) -> None:
        """Start servers that end together, with `scope` or with the site."""

        async def run(
            *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
        ) -> None:
            with scope or trio.CancelScope():
                async with trio.open_nursery() as nursery:
                    for server in servers:
                        await nursery.start(server)
                    task_status.started()

        await self.nursery.start(run)
