"""In-memory entries, attendants and workers for jobs, on a virtual clock."""

from __future__ import annotations

from collections.abc import Sequence
from datetime import timedelta
from typing import Any

import msgspec
import trio

from coltsfoottray.errors import CommunicationError
from coltsfoottray.http import HttpRequest, HttpResponse
from coltsfoottray.settings import OverloadSettings
from standins.job_cell import HOST, PATH_PREFIX, JobCell
from standins.metadata_table import MetadataTableStandIn
from tests.support.world import World

__all__ = ["JobWorld", "job_id", "make_steps"]

_CALL_TIMEOUT = timedelta(seconds=5)
_HEARTBEAT_TIMEOUT = timedelta(seconds=1)
_DEMAND = {"cpu": 1000, "memoryLimitMb": 100}


def job_id(label: str) -> str:
    """Return the id of the job that a scenario names `label`."""
    return label.encode().hex().ljust(16, "0")[:16]


def make_steps(
    steps: int, tasks: int, seconds: float, **extra: Any
) -> list[dict[str, Any]]:
    """Return the request form of a chain of steps, each depending on the previous."""
    return [
        {
            "count": tasks,
            "estimateMs": int(seconds * 1000),
            "after": [number - 1] if number else [],
            **_DEMAND,
            **extra,
        }
        for number in range(steps)
    ]


class JobWorld(World):
    """A world whose cell accepts jobs."""

    cell: JobCell  # type: ignore[assignment]

    def __init__(
        self,
        *,
        entries: int = 2,
        workers: int = 0,
        metadata_table: MetadataTableStandIn | None = None,
        data_centres: Sequence[str] = ("caerdydd",),
        overload: OverloadSettings | None = None,
    ) -> None:
        self._overload = overload or OverloadSettings()
        self._data_centres = data_centres
        self._metadata_table = metadata_table or MetadataTableStandIn()
        super().__init__(entries=entries, instances=1, workers=workers)

    def submit_job(self, entry: str, label: str, steps: list[Any], **spec: Any) -> int:
        """Submit a job; return the status, 0 if no response arrived."""
        body = {"spec": msgspec.json.encode(spec).decode(), "steps": steps}
        return self.call("POST", entry, job_id(label), body).status

    def cancel_job(self, entry: str, label: str) -> int:
        """Cancel a job; return the status."""
        return self.call("DELETE", entry, job_id(label)).status

    def state_of(self, entry: str, label: str) -> str:
        """Return a job's state according to an entry, or else the status."""
        response = self.call("GET", entry, job_id(label))
        if response.status != 200:
            return str(response.status)
        return str(msgspec.json.decode(response.body)["state"])

    def call(
        self,
        method: str,
        entry: str,
        name: str,
        body: object = None,
        *,
        deadline_ms: int = 3000,
    ) -> HttpResponse:
        """Send a request as a caller; return the response, status 0 if none arrived."""
        request = HttpRequest(
            method=method,
            target=f"{PATH_PREFIX}{name}",
            header_by_name={"host": HOST, "deadline-ms": str(deadline_ms)},
            body=b"" if body is None else msgspec.json.encode(body),
        )

        async def exchange() -> HttpResponse:
            transport = self.fabric.transport("caller")
            try:
                return await transport.send(
                    self.cell.callers(entry), request, timeout=_CALL_TIMEOUT
                )
            except CommunicationError:
                return HttpResponse(status=0)

        response = self.run(exchange)
        assert isinstance(response, HttpResponse)
        return response

    def submit_at_once(self, body_by_name: dict[str, Any]) -> list[int]:
        """Submit jobs at entry-1 in the same moment; return the statuses."""
        statuses = []

        async def submit(name: str, body: Any) -> None:
            request = HttpRequest(
                method="POST",
                target=f"{PATH_PREFIX}{name}",
                header_by_name={"host": HOST, "deadline-ms": "3000"},
                body=msgspec.json.encode(body),
            )
            response = await self.fabric.transport("caller").send(
                self.cell.callers("entry-1"), request, timeout=_CALL_TIMEOUT
            )
            statuses.append(response.status)

        async def submit_all() -> None:
            async with trio.open_nursery() as nursery:
                for name, body in body_by_name.items():
                    nursery.start_soon(submit, name, body)

        self.run(submit_all)
        return statuses

    def send_to_attendant(self, name: str, request: HttpRequest) -> None:
        """Send a request to an attendant, as its worker does."""
        worker = self.cell.worker_by_name[name]

        async def send() -> None:
            await worker._transport.send(
                worker._attendant, request, timeout=_HEARTBEAT_TIMEOUT
            )

        self.run(send)

    def kill_daemon(self, name: str) -> None:
        """Kill a daemon."""

        async def kill() -> None:
            self.cell.kill(name)

        self.run(kill)

    def restart_daemon(self, name: str) -> None:
        """Restart a killed daemon."""

        async def start() -> None:
            await self.cell.start_daemon(name)

        self.run(start)

    async def _start_cell(self) -> None:
        self.cell = JobCell(
            fabric=self.fabric,
            nursery=self._nursery,
            entries=self._deployment.entries,
            workers=self._deployment.workers.count,
            processors=int(self._deployment.workers.processors),
            metadata_table=self._metadata_table,
            data_centres=self._data_centres,
            overload=self._overload,
        )
        await self.cell.start()
