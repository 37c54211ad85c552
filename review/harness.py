"""What the scripts of the review share: a small site on loopback, and a record.

The programs are the project's own, started with the command of the deploy file. The
platform, the workers and the callers are the project's stand-ins.
"""

from __future__ import annotations

import os
import signal
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from datetime import timedelta
from functools import partial
from pathlib import Path

import msgspec
import trio

from coltsfoottray.errors import CommunicationError
from coltsfoottray.http import Handler, HttpClient, HttpRequest, HttpResponse
from coltsfoottray.types import Address
from soak.site import (
    CALLERS,
    ENTRIES,
    HOST,
    PROCESSORS,
    READINESS,
    ExactObserver,
    Site,
)
from standins.job_worker import JobWorkerStandIn

__all__ = [
    "HEARTBEATS_PORT",
    "HOLDS",
    "IS_BROKEN",
    "NOT_RUN",
    "Case",
    "ForeignWorker",
    "RecordingObserver",
    "ReviewSite",
    "run_case",
]

HOLDS, IS_BROKEN, NOT_RUN = 0, 1, 2
# Ports of a worker's attendant and of the worker itself, as in `soak.site`.
HEARTBEATS_PORT, _INSTANCE_PORT = 7004, 7005
_MAX_DURATION_S = 115.0
_MAX_STARTUP_S = 40.0
_POLL_INTERVAL_S = 0.1
_CALL_TIMEOUT = timedelta(seconds=5)
_DEADLINE_MS = "3000"
_NO_ANSWER = 0


@dataclass(kw_only=True)
class Record:
    """Writes what was sent, answered and run, with the time since the start."""

    path: Path

    def __post_init__(self) -> None:
        self._started_at = trio.current_time()
        self.path.write_text("")

    def add(self, text: str) -> None:
        """Add one line."""
        line = f"{trio.current_time() - self._started_at:8.3f} {text}\n"
        with self.path.open("a") as file:
            file.write(line)
        sys.stdout.write(line)


@dataclass(kw_only=True)
class RecordingObserver(ExactObserver):
    """Records the runs of all workers.

    Parameters
    ----------
    started : set of str
        Tasks that have been started.
    """

    record: Record
    started: set[str] = field(default_factory=set)

    def begin(
        self, task: str, run: int, worker: str, *, has_limit: bool = False
    ) -> None:
        """Record the start of a run."""
        self.record.add(f"run    {task} run {run} starts on {worker}")
        self.started.add(task)
        super().begin(task, run, worker, has_limit=has_limit)

    def end(self, task: str) -> None:
        """Record the end of a run, for whatever reason."""
        self.record.add(f"run    {task} ends")
        super().end(task)


@dataclass(kw_only=True)
class Case:
    """A running site, with callers that record each call.

    Parameters
    ----------
    has_trouble : bool
        Whether the disruption is to be made.
    """

    site: ReviewSite
    record: Record
    observer: RecordingObserver
    has_trouble: bool

    async def call(
        self,
        entry: str,
        method: str,
        target: str,
        body: object = None,
    ) -> tuple[int, bytes]:
        """Call an entry over a connection of its own; status 0 means no answer."""
        request = HttpRequest(
            method=method,
            target=target,
            header_by_name={"host": HOST, "deadline-ms": _DEADLINE_MS},
            body=b"" if body is None else msgspec.json.encode(body),
        )
        status, answer = await self.send(self.site.address(entry, CALLERS), request)
        self.record.add(f"caller {method} {target} at {entry}: {status} {answer!r}")
        return status, answer

    async def state(self, entry: str, target: str) -> str:
        """Return the state of a job, an empty string if it was not told."""
        status, body = await self.call(entry, "GET", target)
        return str(msgspec.json.decode(body)["state"]) if status == 200 else ""

    async def send(self, address: Address, request: HttpRequest) -> tuple[int, bytes]:
        """Send one request over a new connection."""
        client = HttpClient()
        try:
            response = await client.send(address, request, timeout=_CALL_TIMEOUT)
        except CommunicationError as error:
            return _NO_ANSWER, str(error).encode()
        finally:
            client.close()
        return response.status, response.body

    async def wait_until_ready(self) -> bool:
        """Return whether all entries have become ready in time."""
        request = HttpRequest(method="GET", target="/v1/readiness")
        with trio.move_on_after(_MAX_STARTUP_S):
            for entry in ENTRIES:
                address = self.site.address(entry, READINESS)
                while (await self.send(address, request))[0] != 200:
                    await trio.sleep(_POLL_INTERVAL_S)
            return True
        return False


class _Worker(JobWorkerStandIn):
    """A worker that says when it was born as the platform's do, in Unix ms."""

    def _reset(self) -> None:
        super()._reset()
        self.born = int(time.time() * 1000)


class ForeignWorker(_Worker):
    """A worker of a service that no config names; records the calls to it."""

    record: Record

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Serve the platform's interface of a worker."""
        response = await super().handle(request)
        self.record.add(f"other  {request.path} {request.body!r}: {response.status}")
        return response


class ReviewSite(Site):
    """A site whose config names its service, and whose workers tell the time."""

    def write_config(self) -> None:
        """Write a new version of the config, as an operator does."""
        super().write_config()
        config = self.table.value_of("op", "", "config")
        assert isinstance(config, dict)
        services = [{"name": "svc", "rejectsOverload": False}]
        self.table.put("op", "", "config", {**config, "services": services})

    async def _start_worker(self, name: str) -> None:
        worker = _Worker(
            name=name,
            address=self.address(name, _INSTANCE_PORT),
            attendant=self.address(name, HEARTBEATS_PORT),
            transport=self.fabric.transport(name),
            observer=self.observer,
            processors=PROCESSORS,
            advice=self.advice,
            data_centre="caerdydd",
        )
        self.worker_by_name[name] = worker
        self.observer.workers.append(worker)
        await self.open_worker(name)
        await self.nursery.start(worker.run)

    async def serve(self, address: Address, handler: Handler) -> None:
        """Serve one more stand-in."""
        await self._serve(address, handler)


Play = Callable[[Case], Awaitable[int]]


async def _run(folder: Path, play: Play, site_type: type[ReviewSite]) -> int:
    outcome = NOT_RUN
    record = Record(path=folder / "record.txt")
    observer = RecordingObserver(record=record, max_attempts=2)
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record.add(f"start  with the disruption: {has_trouble}")
    async with trio.open_nursery() as nursery:
        logs = Path(tempfile.mkdtemp(prefix="review-"))
        site = site_type(nursery=nursery, folder=logs, observer=observer)
        case = Case(
            site=site, record=record, observer=observer, has_trouble=has_trouble
        )
        try:
            with trio.move_on_after(_MAX_DURATION_S):
                await site.start()
                if await case.wait_until_ready():
                    outcome = await play(case)
                else:
                    record.add("end    the entries did not become ready")
        finally:
            site.close()
        nursery.cancel_scope.cancel()
    record.add(f"end    exit status {outcome}")
    return outcome


def run_case(
    folder: Path,
    play: Play,
    *,
    site_type: type[ReviewSite] = ReviewSite,
) -> None:
    """Play a case and exit with 1 if the rule is broken, 0 if it holds, else 2."""
    # Raises `KeyboardInterrupt`, so that all processes are ended.
    signal.signal(signal.SIGINT, signal.default_int_handler)
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    try:
        outcome = trio.run(partial(_run, folder, play, site_type))
    except (Exception, KeyboardInterrupt) as error:
        sys.stderr.write(f"the case could not run: {error!r}\n")
        outcome = NOT_RUN
    sys.exit(outcome)
