"""A deployment for jobs in one process: real daemons that use stand-ins."""

from __future__ import annotations

import itertools
from collections.abc import Sequence
from dataclasses import dataclass, field
from functools import partial

import trio

from coltsfoottray.daemons.common import PEERS
from coltsfoottray.daemons.job_attendant import JobAttendantDaemon
from coltsfoottray.daemons.job_common import JobDaemon
from coltsfoottray.daemons.job_entry import JobEntryDaemon
from coltsfoottray.http import Handler
from coltsfoottray.kernel import Kernel
from coltsfoottray.peers.http import HttpPeerClient
from coltsfoottray.settings import (
    JobAttendantSettings,
    JobEntrySettings,
    OverloadSettings,
)
from coltsfoottray.types import Address
from standins.advice import AdviceStandIn
from standins.fabric import MemoryFabric
from standins.job_worker import JobWorkerStandIn
from standins.metadata_table import MetadataTableStandIn
from standins.run_observer import RunObserver

__all__ = ["HOST", "MAX_ATTEMPTS", "PATH_PREFIX", "JobCell"]

HOST = "jobs.example"
PATH_PREFIX = "/rebuild/"
MAX_ATTEMPTS = 2


@dataclass(kw_only=True)
class JobCell:
    """Starts entries, attendants and workers in `nursery`, over a network in memory.

    The entries are in the first data centre; workers are in each of them in turn.

    Parameters
    ----------
    overload : OverloadSettings
        What the entries do while not all jobs can be on time.
    service_names : list of str
        The services that the next config names; with none, no heartbeat can be foreign.
    """

    fabric: MemoryFabric
    nursery: trio.Nursery
    entries: int
    workers: int
    processors: int = 8
    data_centres: Sequence[str] = ("caerdydd",)
    overload: OverloadSettings = field(default_factory=OverloadSettings)
    metadata_table: MetadataTableStandIn = field(default_factory=MetadataTableStandIn)
    advice: AdviceStandIn = field(default_factory=AdviceStandIn)
    observer: RunObserver = field(
        default_factory=partial(RunObserver, max_attempts=MAX_ATTEMPTS)
    )
    entry_by_name: dict[str, JobEntryDaemon] = field(default_factory=dict)
    attendant_by_name: dict[str, JobAttendantDaemon] = field(default_factory=dict)
    worker_by_name: dict[str, JobWorkerStandIn] = field(default_factory=dict)
    scope_by_name: dict[str, trio.CancelScope] = field(default_factory=dict)
    killed: set[str] = field(default_factory=set)
    service_names: list[str] = field(default_factory=list)

    def __post_init__(self) -> None:
        self._table = self.fabric.free_address()
        self._advice_address = self.fabric.free_address()
        self._versions = itertools.count(1)
        self._settings_by_name: dict[str, JobEntrySettings | JobAttendantSettings] = {}

    async def start(self) -> None:
        """Start the stand-ins and the daemons."""
        await self._serve("store", self._table, self.metadata_table.handle)
        await self._serve("adviser", self._advice_address, self.advice.handle)
        self.write_config()
        for number in range(1, self.entries + 1):
            name = f"entry-{number}"
            self._settings_by_name[name] = JobEntrySettings(
                role="job-entry",
                name=name,
                data_centre=self.data_centres[0],
                callers=self.fabric.free_address(),
                readiness=self.fabric.free_address(),
                peers=self.fabric.free_address(),
                table=self._table,
                advice=self._advice_address,
                keep_s=30.0,
                region_by_data_centre=dict.fromkeys(self.data_centres, "cymru"),
                overload=self.overload,
            )
            await self.start_daemon(name)
        for number in range(1, self.workers + 1):
            data_centre = self.data_centres[(number - 1) % len(self.data_centres)]
            await self._start_worker(f"worker-{number}", data_centre)

    def evacuate(self, data_centre: str) -> None:
        """Request that nothing more be started in a data centre, as an operator."""
        self.metadata_table.put("op", "", f"evacuate/{data_centre}", {})

    def end_evacuation(self, data_centre: str) -> None:
        """Take the request to evacuate a data centre back."""
        self.metadata_table.remove("op", "", f"evacuate/{data_centre}")

    def write_config(self, unused_routes: int = 0, **changes: object) -> None:
        """Write a new version of the config, as an operator does.

        Parameters
        ----------
        unused_routes : int
            Number of routes to add that no request uses.
        """
        route = {
            "name": "r-rebuild",
            "host": HOST,
            "pathPrefix": PATH_PREFIX,
            "service": "svc",
            "priority": 1,
            "maxAttempts": MAX_ATTEMPTS,
            "timeoutMs": 3000,
            **changes,
        }
        unused = [
            {**route, "name": f"r-unused-{n}", "pathPrefix": f"/unused-{n}/"}
            for n in range(unused_routes)
        ]
        routes = [route, *unused]
        services = [{"name": name} for name in self.service_names]
        config = {
            "version": next(self._versions),
            "routes": routes,
            "services": services,
        }
        self.metadata_table.put("op", "", "config", config)

    def callers(self, entry: str) -> Address:
        """Return the address at which an entry accepts jobs."""
        settings = self._settings_by_name[entry]
        assert isinstance(settings, JobEntrySettings)
        address = settings.callers
        assert isinstance(address, Address)
        return address

    def scheduler(self) -> str:
        """Return the entry that holds the scheduler's lease row, or an empty string."""
        row = self.metadata_table.value_of("state", "scheduler", "lease")
        return str(row["holder"]) if isinstance(row, dict) else ""

    def kill(self, name: str) -> None:
        """End a process at once, as a crash does."""
        self.scope_by_name[name].cancel()
        self.killed.add(name)

    async def start_daemon(self, name: str) -> None:
        """Start or restart a daemon."""
        self.killed.discard(name)
        settings = self._settings_by_name[name]
        daemon: JobDaemon
        if isinstance(settings, JobEntrySettings):
            daemon = JobEntryDaemon(settings=settings, kernel=self._kernel(name))
            self.entry_by_name[name] = daemon
        else:
            daemon = JobAttendantDaemon(settings=settings, kernel=self._kernel(name))
            self.attendant_by_name[name] = daemon
        scope = trio.CancelScope()
        self.scope_by_name[name] = scope

        async def run(
            *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
        ) -> None:
            with scope:
                await daemon.run(task_status=task_status)

        await self.nursery.start(run)

    def _kernel(self, name: str) -> Kernel:
        kernel = Kernel()
        # Peer calls use HTTP too, so that the faults of the network apply to them.
        kernel.register(PEERS, HttpPeerClient(transport=self.fabric.transport(name)))
        self.fabric.register_parts(kernel, name)
        return kernel

    async def _start_worker(self, name: str, data_centre: str) -> None:
        address = self.fabric.free_address()
        heartbeats = self.fabric.free_address()
        worker = JobWorkerStandIn(
            name=name,
            address=address,
            attendant=heartbeats,
            transport=self.fabric.transport(f"{name}/vm"),
            observer=self.observer,
            processors=self.processors,
            advice=self.advice,
            data_centre=data_centre,
        )
        self.worker_by_name[name] = worker
        await self._serve(f"{name}/vm", address, worker.handle)
        self._settings_by_name[name] = JobAttendantSettings(
            role="job-attendant",
            name=name,
            data_centre=data_centre,
            heartbeats=heartbeats,
            peers=self.fabric.free_address(),
            table=self._table,
        )
        await self.start_daemon(name)
        await self.nursery.start(worker.run)

    async def _serve(self, process: str, address: Address, handler: Handler) -> None:
        listener = self.fabric.listeners(process).http(address, handler)
        await self.nursery.start(listener.run)
