"""A whole deployment in one process: real daemons that use stand-ins."""

from __future__ import annotations

import itertools
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

import trio

from coltsfoottray.clock import TrioClock
from coltsfoottray.daemons import EntryDaemon, UpstreamDaemon, WorkerDaemon
from coltsfoottray.daemons.common import Daemon
from coltsfoottray.http import Handler
from coltsfoottray.kernel import Listener
from coltsfoottray.lists import (
    Edit,
    ListEditor,
    ListHolder,
    ListName,
)
from coltsfoottray.platform.http import HttpTable
from coltsfoottray.settings import (
    Deployment,
    EntrySettings,
    UpstreamSettings,
    WorkerSettings,
)
from coltsfoottray.types import Address, ListVersion, Resources
from standins.fabric import Fabric
from standins.observer import Observer
from standins.table import TableStandIn
from standins.upstream import UpstreamStandIn
from standins.worker import WorkerStandIn

__all__ = ["Cell", "ProcessHandle"]

_FREE_PORT = Address(host="127.0.0.1", port=0)


@dataclass(kw_only=True)
class ProcessHandle:
    """A daemon or stand-in that runs in the cell as a process of its own would."""

    scope: trio.CancelScope = field(default_factory=trio.CancelScope)

    def kill(self) -> None:
        """End it at once, as a crash does: it sends and finishes nothing more."""
        self.scope.cancel()


class Cell:
    """Starts a deployment's stand-ins and daemons in `nursery`.

    Parameters
    ----------
    table_start_delay_s : float
        Time in seconds for which the table is down when the daemons start.
    """

    def __init__(
        self,
        *,
        deployment: Deployment,
        nursery: trio.Nursery,
        fabric: Fabric,
        routing: str = "two-choices",
        placement: str = "tightest-fit",
        table_start_delay_s: float = 0.0,
    ) -> None:
        self.deployment = deployment
        self._routing = routing
        self._placement = placement
        self._table_start_delay_s = table_start_delay_s
        self.fabric = fabric
        self.observer = Observer()
        self.table = TableStandIn()
        self.entry_by_name: dict[str, EntryDaemon] = {}
        self.upstream_by_name: dict[str, UpstreamDaemon] = {}
        self.worker_by_name: dict[str, WorkerDaemon] = {}
        self.worker_stand_in_by_name: dict[str, WorkerStandIn] = {}
        self.process_by_name: dict[str, ProcessHandle] = {}
        self._settings_by_name: dict[str, UpstreamSettings | WorkerSettings] = {}
        self._boots = itertools.count(1)
        self._nursery = nursery
        self._table_address = _FREE_PORT

    async def start(self, extra_customers: Iterable[str] = ()) -> None:
        """Start everything, and return once every entry knows all attendants."""
        self._table_address = await self._serve(self.table.handle, "table")
        await self._write_lists(extra_customers)
        if self._table_start_delay_s:
            self.table.faults.is_down = True
            self._nursery.start_soon(self._end_table_outage)
        for number in range(1, self.deployment.entries + 1):
            await self.start_entry(f"entry-{number}")
        for number in range(1, self.deployment.service.instances + 1):
            await self._start_upstream(number)
        for number in range(1, self.deployment.workers.count + 1):
            await self._start_worker(number)
        await self._wait_until_known()

    async def _end_table_outage(self) -> None:
        await trio.sleep(self._table_start_delay_s)
        self.table.faults.is_down = False

    def live_entries(self) -> list[EntryDaemon]:
        """Return the entries that a load balancer would still use."""
        return [e for e in self.entry_by_name.values() if not e.is_draining]

    def kill(self, name: str) -> None:
        """Kill the process `name`."""
        self.process_by_name[name].kill()
        self.entry_by_name.pop(name, None)

    def lose_worker(self, name: str) -> None:
        """Kill a worker's VM, with its tasks and its attendant."""
        self.kill(name)
        self.kill(f"{name}/vm")

    async def start_entry(self, name: str, seeds: Sequence[Address] = ()) -> None:
        """Start an entry that joins through the entries at `seeds`."""
        index = len(self.entry_by_name)
        daemon = EntryDaemon(
            settings=EntrySettings(
                role="entry",
                name=name,
                data_centre=self._data_centre(index),
                http=_FREE_PORT,
                peers=_FREE_PORT,
                claims=_FREE_PORT,
                seeds=list(seeds),
                routing=self._routing,
                placement=self._placement,
                table=self._table_address,
                objects=self._table_address,
                timing=self.deployment.timing,
            ),
            kernel=self.fabric.kernel(name),
        )
        await self._run_daemon(daemon)
        self.entry_by_name[name] = daemon

    async def _start_upstream(self, number: int) -> None:
        name = f"instance-{number:02d}"
        stand_in = UpstreamStandIn(observer=self.observer, name=name)
        address = await self._serve(stand_in.handle, f"{name}/vm")
        self._settings_by_name[name] = UpstreamSettings(
            role="upstream",
            name=name,
            data_centre=self._data_centre(number),
            http=_FREE_PORT,
            peers=_FREE_PORT,
            table=self._table_address,
            objects=self._table_address,
            timing=self.deployment.timing,
            upstream=address,
            slots=self.deployment.service.slots,
            connections=self.deployment.service.connections,
        )
        await self.start_attendant(name)

    async def start_attendant(self, name: str) -> None:
        """Start an attendant, or restart one that was killed."""
        settings = self._settings_by_name[name]
        kernel = self.fabric.kernel(name)
        daemon: UpstreamDaemon | WorkerDaemon
        if isinstance(settings, UpstreamSettings):
            daemon = UpstreamDaemon(settings=settings, kernel=kernel)
            self.upstream_by_name[name] = daemon
        else:
            daemon = WorkerDaemon(settings=settings, kernel=kernel)
            self.worker_by_name[name] = daemon
        await self._run_daemon(daemon)

    async def _start_worker(self, number: int) -> None:
        name = f"worker-{number:02d}"
        address = await self.start_vm(name)
        self._settings_by_name[name] = WorkerSettings(
            role="worker",
            name=name,
            data_centre=self._data_centre(number),
            rack=f"rack-{(number - 1) // self.deployment.workers.per_rack + 1}",
            http=_FREE_PORT,
            peers=_FREE_PORT,
            table=self._table_address,
            objects=self._table_address,
            timing=self.deployment.timing,
            control=address,
        )
        await self.start_attendant(name)

    async def replace_worker(self, name: str) -> None:
        """Replace a lost VM by a new one, with a new attendant."""
        address = await self.start_vm(name)
        settings = self._settings_by_name[name]
        changed = settings.model_copy(update={"control": address})
        self._settings_by_name[name] = changed
        await self.start_attendant(name)

    async def start_vm(self, name: str) -> Address:
        """Start a worker's stand-in and return its address."""
        pool = self.deployment.workers
        stand_in = WorkerStandIn(
            capacity=Resources(
                processors=pool.processors,
                memory_gb=pool.memory_gb,
                accelerators=pool.accelerators,
            ),
            boot=f"boot-{next(self._boots)}",
            observer=self.observer,
            objects=self.table.object_by_name,
        )
        address = await self._serve(stand_in.handle, f"{name}/vm")
        scope = self.process_by_name[f"{name}/vm"].scope
        self._nursery.start_soon(_run_in_scope, stand_in, scope)
        self.worker_stand_in_by_name[name] = stand_in
        return address

    def _data_centre(self, number: int) -> str:
        names = self.deployment.data_centres
        return names[number % len(names)]

    async def _run_daemon(self, daemon: Daemon) -> None:
        process = ProcessHandle()
        self.process_by_name[daemon.settings.name] = process
        await self._nursery.start(_run_daemon, daemon, process.scope)

    async def _serve(self, handler: Handler, name: str) -> Address:
        server = self.fabric.listeners(name).http(_FREE_PORT, handler)
        process = ProcessHandle()
        self.process_by_name[name] = process
        await self._nursery.start(_run_daemon, server, process.scope)
        return server.bound_address

    async def _write_lists(self, extra_customers: Iterable[str]) -> None:
        table = HttpTable(
            address=self._table_address, client=self.fabric.transport("operator")
        )
        editor = ListEditor(table=table, clock=TrioClock(), holder=ListHolder())
        deployment = self.deployment
        plans = {name: deployment.default_plan for name in extra_customers}
        plans.update(deployment.plans)
        allowances = {
            name: allowance.model_dump()
            for name, allowance in deployment.allowances.items()
        }
        for version, name, change in (
            (0, ListName.ALLOWANCES, allowances),
            (1, ListName.PLANS, plans),
        ):
            edit = Edit(
                list=name,
                change=dict(change),
                based_on=ListVersion(version),
                author="deployment",
                token=f"first-{name.value}",
            )
            (await editor.commit(edit)).unwrap()

    async def _wait_until_known(self) -> None:
        expected = len(self.upstream_by_name) + len(self.worker_by_name)
        while not all(self._knows(entry, expected) for entry in self.live_entries()):
            await trio.sleep(0.05)

    def _knows(self, entry: EntryDaemon, expected: int) -> bool:
        ready = [
            member
            for role in (UpstreamDaemon.role, WorkerDaemon.role)
            for member in entry.registry.members(role)
            if member.announcement.worker is None or member.announcement.worker.term
        ]
        return len(ready) >= expected and entry.claim_members.is_joined


async def _run_daemon(
    daemon: Daemon | Listener,
    scope: trio.CancelScope,
    *,
    task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
) -> None:
    with scope:
        await daemon.run(task_status=task_status)


async def _run_in_scope(stand_in: WorkerStandIn, scope: trio.CancelScope) -> None:
    # A scope can be entered only once, and the server has already entered this one.
    with trio.CancelScope() as own_scope:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(stand_in.run)
            while not scope.cancel_called:
                await trio.sleep(0.02)
            own_scope.cancel()
