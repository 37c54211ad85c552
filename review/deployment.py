"""A small deployment on loopback for the scripts of the second review.

The programs are the project's own, started as the deploy file does; store, workers and
callers are stand-ins in this process. A script derives from `Script` and plays once.
"""

from __future__ import annotations

import abc
import json
import os
import signal
import sys
import tempfile
import traceback
from collections.abc import Mapping
from datetime import timedelta
from pathlib import Path
from typing import Any

import trio

from coltsfoottray.errors import CommunicationError
from coltsfoottray.http import HttpClient, HttpRequest
from soak.site import CALLERS, ENTRIES, HOST, PATH, READINESS, ExactObserver, Site

__all__ = ["NO_ANSWER", "Answer", "Script", "SmallSite", "main", "make_body"]

NO_ANSWER = 0
"""Status of a call that no entry answered."""

# Bounds of the small deployments' sheets.
_STATUS_S = 120.0
_GRACE_S = 6.0
_MAX_ATTEMPTS = 2
_DEADLINE_MS = 3000
_READY_TIMEOUT_S = 20.0
_LIMIT_S = 110.0
_RESTART_DELAY_S = 1.0
_HELD, _BROKEN, _NOT_RUN = 0, 1, 2


class SmallSite(Site):
    """A site whose settings are those of the small deployments.

    The platform starts a process that has ended again after a short delay.
    """

    def _start_program(self, name: str, **settings: object) -> None:
        if settings["role"] == "job-entry":
            settings |= {"keep_s": _STATUS_S, "grace_s": _GRACE_S}
        super()._start_program(name, **settings)

    async def restart_ended(self, script: Script) -> None:
        """Restart programs that have ended, until cancelled."""
        while True:
            await trio.sleep(_RESTART_DELAY_S)
            for program in self.program_by_name.values():
                before = len(program.violations)
                program.check()
                for violation in program.violations[before:]:
                    script.ended_by_themselves += 1
                    script.note(f"process: {violation}; the platform restarts it")
                program.start()


class _RecordingObserver(ExactObserver):
    """Records the starts and ends of runs."""

    script: Script

    def begin(
        self, task: str, run: int, worker: str, *, has_limit: bool = False
    ) -> None:
        super().begin(task, run, worker, has_limit=has_limit)
        self.script.note(f"run: {task}#{run} starts on {worker}")
        self.script.running.setdefault(task, []).append(worker)

    def end(self, task: str) -> None:
        super().end(task)
        self.script.note(f"run: {task} ends")
        if self.script.running.get(task):
            self.script.running[task].pop()


class Answer:
    """The answer to a call."""

    def __init__(self, status: int, body: bytes = b"") -> None:
        self.status = status
        self.body = body

    @property
    def state(self) -> str:
        """The state that it tells, empty for none."""
        if self.status != 200 or not self.body:
            return ""
        return str(json.loads(self.body).get("state", ""))


class Script(abc.ABC):
    """One play of a case.

    Attributes
    ----------
    has_trouble : bool
        Whether the disruption is brought about.
    running : dict
        The workers on which each task runs.
    """

    def __init__(self) -> None:
        self.has_trouble = os.environ.get("TROUBLE", "1") != "0"
        self.running: dict[str, list[str]] = {}
        self.ended_by_themselves = 0
        self._lines: list[str] = []
        self._client = HttpClient()
        self._began_at = 0.0
        self.site: SmallSite

    @abc.abstractmethod
    async def play(self) -> list[str]:
        """Play, and return how the rule was broken; nothing if it held."""

    def make_site(self, **arguments: Any) -> SmallSite:
        """Return the site; a case may replace its stand-ins."""
        return SmallSite(**arguments)

    @property
    def now(self) -> float:
        """Seconds since the deployment was started."""
        return trio.current_time() - self._began_at

    def note(self, line: str) -> None:
        """Add a line to the record."""
        self._lines.append(f"{self.now:8.3f} s  {line}")

    async def call(
        self, entry: str, method: str, job: str, body: object = None
    ) -> Answer:
        """Call an entry about a job, and record the call and its answer."""
        request = HttpRequest(
            method=method,
            target=PATH + job,
            header_by_name={"host": HOST, "deadline-ms": str(_DEADLINE_MS)},
            body=b"" if body is None else json.dumps(body).encode(),
        )
        address = self.site.address(entry, CALLERS)
        limit = timedelta(milliseconds=_DEADLINE_MS)
        try:
            response = await self._client.send(address, request, timeout=limit)
        except CommunicationError as error:
            self.note(f"call: {method} {job} at {entry}: no answer ({error})")
            return Answer(NO_ANSWER)
        self.note(
            f"call: {method} {job} at {entry}: {response.status} "
            f"{response.body.decode(errors='replace')[:80]}"
        )
        return Answer(response.status, response.body)

    async def call_any(self, method: str, job: str, body: object = None) -> Answer:
        """Call the entries in turn until one answers."""
        answer = Answer(NO_ANSWER)
        for entry in ENTRIES:
            answer = await self.call(entry, method, job, body)
            if answer.status not in (NO_ANSWER, 502, 503, 504):
                break
        return answer

    def run(self, folder: Path) -> int:
        """Play, write the record into `folder` and return the exit status."""
        status, verdict = _NOT_RUN, "the case couldn't run"
        try:
            broken = trio.run(self._run)
        except Exception:
            traceback.print_exc()
        else:
            status = _BROKEN if broken else _HELD
            verdict = "broken: " + "; ".join(broken) if broken else "the rule held"
        trouble = "with" if self.has_trouble else "without"
        lines = [f"{trouble} the disruption", *self._lines, verdict]
        (folder / "record.txt").write_text("\n".join(lines) + "\n")
        print(verdict)
        return status

    async def _run(self) -> list[str]:
        with tempfile.TemporaryDirectory(prefix="review-") as name:
            with trio.fail_after(_LIMIT_S):
                async with trio.open_nursery() as nursery:
                    broken = await self._run_site(nursery, Path(name))
                    nursery.cancel_scope.cancel()
            self._keep_logs(Path(name))
        return broken

    def _keep_logs(self, folder: Path) -> None:
        """Copy the programs' logs if that is asked for."""
        target = os.environ.get("LOGS")
        if target is None:
            return
        Path(target).mkdir(parents=True, exist_ok=True)
        for log in folder.glob("*.log"):
            (Path(target) / log.name).write_bytes(log.read_bytes())

    async def _run_site(self, nursery: trio.Nursery, folder: Path) -> list[str]:
        self._began_at = trio.current_time()
        observer = _RecordingObserver(max_attempts=_MAX_ATTEMPTS)
        observer.script = self
        self.site = self.make_site(nursery=nursery, folder=folder, observer=observer)
        try:
            await self.site.start()
            await self._wait_until_ready()
            nursery.start_soon(self.site.restart_ended, self)
            return await self.play()
        finally:
            self.site.close()

    async def _wait_until_ready(self) -> None:
        """Wait until all entries are ready and all workers have been called."""
        with trio.fail_after(_READY_TIMEOUT_S):
            for entry in ENTRIES:
                while not await self._is_ready(entry):
                    await trio.sleep(0.1)
            for worker in self.site.worker_by_name.values():
                while not (worker.fence and worker.lease_until_ms):
                    await trio.sleep(0.1)
        # The directory of entries is read within 2.5 s of a start.
        await trio.sleep(3.0)
        self.note("all entries are ready, all workers have a lease")

    async def _is_ready(self, entry: str) -> bool:
        address = self.site.address(entry, READINESS)
        request = HttpRequest(method="GET", target="/v1/readiness")
        try:
            response = await self._client.send(
                address, request, timeout=timedelta(seconds=1)
            )
        except CommunicationError:
            return False
        return response.status == 200


def make_body(spec: Mapping[str, object], **step: object) -> dict[str, object]:
    """Return the body that submits a job of one step."""
    return {
        "spec": json.dumps(spec),
        "steps": [{"count": 1, "cpu": 1000, "memoryLimitMb": 100, **step}],
    }


def main(script: Script, folder: Path) -> None:
    """Play a script and exit with its status, ending all processes in any case."""
    signal.signal(signal.SIGINT, signal.default_int_handler)
    signal.signal(signal.SIGTERM, lambda *_: signal.raise_signal(signal.SIGINT))
    try:
        status = script.run(folder)
    except KeyboardInterrupt:
        status = _NOT_RUN
    sys.exit(status)
