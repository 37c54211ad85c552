"""An in-memory cell on a virtual clock, driven step by step."""

from __future__ import annotations

import math
import threading
from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import Any

import msgspec
import trio
import trio.testing
from trio.testing import MockClock

from coltsfoottray.errors import CommunicationError
from coltsfoottray.http import HttpRequest, HttpResponse
from coltsfoottray.settings import Deployment
from coltsfoottray.tasks import TaskRow
from standins.cell import Cell
from standins.fabric import MemoryFabric

__all__ = ["CUSTOMERS", "World"]

CUSTOMERS = ("arolwg", "labs", "prisiau", "ysgol")
_CALL_TIMEOUT = timedelta(seconds=60)


class World:
    """Runs trio in a thread; virtual time passes only inside `run`."""

    def __init__(
        self,
        *,
        entries: int = 2,
        instances: int = 3,
        workers: int = 0,
        table_start_delay_s: float = 0.0,
    ):
        self._table_start_delay_s = table_start_delay_s
        self.fabric = MemoryFabric()
        self.response_by_label: dict[str, HttpResponse | None] = {}
        self.runs_at_response_by_label: dict[str, int] = {}
        self.cell: Cell = None  # type: ignore[assignment]
        trio._core._run._r.seed(0)
        self._deployment = _make_deployment(entries, instances, workers)
        self._clock = MockClock()
        self._ready = threading.Event()
        self._token: Any = None
        self._nursery: Any = None
        self._stop: Any = None
        self._failure: BaseException | None = None
        self._thread = threading.Thread(target=self._run_trio, daemon=True)
        self._thread.start()
        self._ready.wait()
        self.run(self._start_cell)

    def run(self, function: Callable[..., Awaitable[Any]], *arguments: Any) -> Any:
        """Run an async function while virtual time passes."""

        async def go() -> Any:
            self._clock.autojump_threshold = 0
            try:
                return await function(*arguments)
            finally:
                self._clock.autojump_threshold = math.inf
                # State that the caller reads next must not change meanwhile.
                await trio.testing.wait_all_tasks_blocked()

        try:
            return trio.from_thread.run(go, trio_token=self._token)
        except (trio.RunFinishedError, trio.Cancelled):
            self._thread.join()
            assert self._failure is not None
            raise self._failure from None

    def close(self) -> None:
        """Stop the trio loop and its thread."""
        if self._thread.is_alive():
            trio.from_thread.run_sync(self._stop.set, trio_token=self._token)
            self._thread.join()

    def spawn(self, function: Callable[[], Awaitable[None]]) -> None:
        """Run an async function in the background."""

        async def start() -> None:
            self._nursery.start_soon(function)

        self.run(start)

    def advance(self, seconds: float) -> None:
        """Let virtual time pass."""
        self.run(trio.sleep, seconds)

    def now(self) -> float:
        """Return the virtual time in seconds."""
        return self._clock.current_time()

    def kill(self, name: str) -> None:
        """Kill a process."""

        async def kill() -> None:
            self.cell.kill(name)

        self.run(kill)

    def lose_worker(self, name: str) -> None:
        """Lose a worker's VM with everything on it."""

        async def lose() -> None:
            self.cell.lose_worker(name)

        self.run(lose)

    def resume(self, name: str) -> None:
        """Resume a paused process."""

        async def resume() -> None:
            self.fabric.faults(name).resume()

        self.run(resume)

    def send(self, label: str, entry: str, key: str, **options: Any) -> None:
        """Send a request in the background; see `wait_for_response`."""
        self.response_by_label[label] = None
        address = self.cell.entry_by_name[entry].describe().http
        request = _make_request(key, **options)

        async def exchange() -> None:
            transport = self.fabric.transport("caller")
            try:
                response = await transport.send(address, request, timeout=_CALL_TIMEOUT)
            except CommunicationError:
                response = HttpResponse(status=0)
            self.runs_at_response_by_label[label] = self.runs(key)
            self.response_by_label[label] = response

        self.spawn(exchange)

    def ask(self, entry: str, request: HttpRequest) -> HttpResponse:
        """Send a request and return the response, with status 0 if none arrives."""
        address = self.cell.entry_by_name[entry].describe().http

        async def exchange() -> HttpResponse:
            transport = self.fabric.transport("caller")
            try:
                return await transport.send(address, request, timeout=_CALL_TIMEOUT)
            except CommunicationError:
                return HttpResponse(status=0)

        response = self.run(exchange)
        assert isinstance(response, HttpResponse)
        return response

    def submit(self, entry: str, task: str, customer: str, **options: Any) -> int:
        """Submit a task and return the status of the response."""
        body = {
            "id": task,
            "kind": "basket-rebuild",
            "processors": 4,
            "memory_gb": 8,
            "runtime_s": 1.0,
            **options,
        }
        request = HttpRequest(
            method="POST",
            target="/tasks",
            header_by_name={"x-customer": customer},
            body=msgspec.json.encode(body),
        )
        return self.ask(entry, request).status

    def cancel(self, entry: str, task: str, customer: str) -> int:
        """Cancel a task and return the status of the response."""
        request = HttpRequest(
            method="DELETE",
            target=f"/tasks/{task}",
            header_by_name={"x-customer": customer},
        )
        return self.ask(entry, request).status

    def rows(self) -> dict[str, TaskRow]:
        """Return the task rows by the id that the customer gave the task."""
        found = {}
        for key, row in self.cell.table.row_by_key.items():
            if key.startswith("task/"):
                decoded = row.decode(TaskRow)
                found[decoded.spec.task.partition("/")[2]] = decoded
        return found

    def wait_for_response(self, label: str) -> HttpResponse:
        """Return the response, letting time pass until it has arrived."""
        self.wait_until(lambda: self.response_by_label[label] is not None)
        response = self.response_by_label[label]
        assert response is not None
        return response

    def wait_until(
        self, condition: Callable[[], bool], limit_s: float = 60, step_s: float = 0.01
    ) -> None:
        """Let time pass until `condition` holds, or fail after `limit_s` seconds."""

        async def wait() -> None:
            deadline = trio.current_time() + limit_s
            while not condition():
                assert trio.current_time() < deadline, (
                    "condition not met within the time limit"
                )
                await trio.sleep(step_s)

        self.run(wait)

    def runs(self, key: str, customer: str = "arolwg") -> int:
        """Return how often upstreams have started to run `key`."""
        return self.cell.observer.runs_by_request[f"{customer}/{key}"]

    async def _start_cell(self) -> None:
        self.cell = Cell(
            deployment=self._deployment,
            nursery=self._nursery,
            fabric=self.fabric,
            table_start_delay_s=self._table_start_delay_s,
        )
        await self.cell.start()

    def _run_trio(self) -> None:
        try:
            trio.run(self._main, clock=self._clock)
        except BaseException as error:
            self._failure = error
            self._ready.set()

    async def _main(self) -> None:
        self._token = trio.lowlevel.current_trio_token()
        self._stop = trio.Event()
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            self._ready.set()
            await self._stop.wait()
            nursery.cancel_scope.cancel()


def _make_request(
    key: str,
    *,
    customer: str = "arolwg",
    kind: str = "quote-submission",
    idempotent: bool = False,
    service_ms: float = 20,
    deadline_ms: int = 20_000,
) -> HttpRequest:
    return HttpRequest(
        method="POST",
        target=f"/requests/{kind}",
        header_by_name={
            "x-customer": customer,
            "idempotency-key": key,
            "x-idempotent": str(idempotent).lower(),
            "x-service-ms": str(service_ms),
            "x-deadline-ms": str(deadline_ms),
        },
        body=key.encode(),
    )


def _make_deployment(entries: int, instances: int, workers: int) -> Deployment:
    return Deployment.model_validate(
        {
            "name": "small",
            "data_centres": ["caerdydd", "abertawe"],
            "entries": entries,
            "service": {"instances": instances, "slots": 2, "connections": 8},
            "workers": {
                "count": workers,
                "processors": 8,
                "memory_gb": 32,
                "accelerators": 1,
                "per_rack": 2,
            },
            "plans": {name: "surveys" for name in CUSTOMERS},
            "allowances": {"surveys": {"processors": 64, "memory_gb": 256}},
            "default_plan": "surveys",
            "timing": {
                "lease_s": 3,
                "hold_s": 1,
                "silence_s": 3,
                "lists_poll_s": 1,
                "report_s": 0.25,
                "checkpoint_s": 2,
                "retention_s": 60,
                "outage_grace_s": 20,
            },
        }
    )
