"""Callers that submit, query and cancel jobs over connections that they keep open."""

from __future__ import annotations

import itertools
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from datetime import timedelta
from random import Random
from typing import Any

import msgspec
import trio

from coltsfoottray.errors import CommunicationError, ExchangeStep
from coltsfoottray.http import HttpClient, HttpRequest
from coltsfoottray.types import Address
from soak.site import CHECKED_PATH, HOST, PATH

__all__ = ["Caller", "JobRecord"]

NO_RESPONSE = 0
_TIMEOUT = timedelta(seconds=5)
_DEADLINE_MS = 3000
_DEMAND = {"cpu": 1000, "memoryLimitMb": 100}
_MIN_PAUSE_S = 0.2
_MAX_PAUSE_S = 1.2
_RETRY_PAUSE_S = 0.5
_MAX_ATTEMPTS = 6
# Bound on the work of a caller's jobs. One worker completes that of four callers
# within half of the time after which the jobs are judged.
_MAX_WORK_S = 50.0


@dataclass(kw_only=True)
class JobRecord:
    """What a caller was told about one of its jobs.

    Parameters
    ----------
    tasks : int
        Number of tasks of all its steps.
    submit_statuses : list of int
        Answers to attempts to submit it that may have reached an entry.
    states : list of str
        Answers to queries: a state, or "410" if the job was said not to exist.
    is_told_unknown : bool
        Whether its cancelling was answered with 410.
    is_never_due : bool
        Whether its due time never comes.
    """

    id: str
    path: str
    tasks: int
    submit_statuses: list[int] = field(default_factory=list)
    states: list[str] = field(default_factory=list)
    is_cancel_requested: bool = False
    is_cancel_confirmed: bool = False
    is_told_unknown: bool = False
    is_never_due: bool = False

    @property
    def is_accepted(self) -> bool:
        """Whether an entry has accepted it."""
        return 200 in self.submit_statuses

    @property
    def is_refused(self) -> bool:
        """Whether each attempt to submit it was refused as without effect."""
        return set(self.submit_statuses) == {503}


@dataclass(kw_only=True)
class Caller:
    """Uses one entry until a connection to it fails, then another one.

    Parameters
    ----------
    number : int
        Makes the ids of its jobs differ from those of other callers.
    addresses : sequence of Address
        Addresses of the entries.
    on_state : callable
        Called with a job and the state that was told, before it is recorded.
    """

    number: int
    random: Random
    addresses: Sequence[Address]
    on_state: Callable[[JobRecord, str], None]
    jobs: list[JobRecord] = field(default_factory=list)
    client: HttpClient = field(default_factory=HttpClient)

    def __post_init__(self) -> None:
        self._address = self.random.choice(self.addresses)
        self._job_numbers = itertools.count(1)
        self._work_s = 0.0

    async def run(self) -> None:
        """Act on its jobs until cancelled."""
        while True:
            await trio.sleep(self.random.uniform(_MIN_PAUSE_S, _MAX_PAUSE_S))
            accepted = [job for job in self.jobs if job.is_accepted]
            choice = self.random.random()
            if choice < 0.6 or not accepted:
                await self._submit_new_job()
            elif choice < 0.65:
                await self._submit_and_leave()
            elif choice < 0.67:
                await self._submit_never_due()
            elif choice < 0.9:
                await self.query(self.random.choice(accepted))
            else:
                await self._cancel(self.random.choice(accepted))

    async def query(self, job: JobRecord) -> str:
        """Return and record a job's state, an empty string if none was told."""
        status, body = await self._call("GET", job)
        if status == 410:
            state = "410"
        elif status == 200:
            state = str(msgspec.json.decode(body)["state"])
        else:
            return ""
        self.on_state(job, state)
        job.states.append(state)
        return state

    async def _submit_and_leave(self) -> None:
        """Submit a job, leave before the answer may come, and cancel it."""
        job = self._add_job(tasks=1)
        body = _make_body({"work_s": 1.0, "saves": False}, steps=1, count=1)
        patience = timedelta(seconds=self.random.uniform(0.02, 0.9))
        status, _ = await self._call("POST", job, body, timeout=patience)
        job.submit_statuses.append(NO_RESPONSE if status is None else status)
        for _ in range(_MAX_ATTEMPTS):
            await self._cancel(job)
            if job.is_cancel_confirmed or job.is_told_unknown:
                return
            await trio.sleep(_RETRY_PAUSE_S)

    async def _submit_never_due(self) -> None:
        job = self._add_job(tasks=1)
        job.is_never_due = True
        body = _make_body({"work_s": 1.0, "saves": False}, steps=1, count=1)
        numbers = [2**63 - 1, 2**62, 10**19]
        body |= {"repetitions": 2, "firstRunMs": self.random.choice(numbers)}
        body["steps"][0]["estimateMs"] = 1e300
        status, _ = await self._call("POST", job, body)
        job.submit_statuses.append(NO_RESPONSE if status is None else status)

    def _add_job(self, *, tasks: int, path: str = PATH) -> JobRecord:
        job_id = f"{self.number:04x}{next(self._job_numbers):012x}"
        job = JobRecord(id=job_id, path=path, tasks=tasks)
        self.jobs.append(job)
        return job

    async def _submit_new_job(self) -> None:
        steps = self.random.randint(1, 2)
        count = self.random.randint(1, 4)
        work_s = self.random.choice([0.2, 0.2, 1.0, 1.0, 3.0])
        is_checked = self.random.random() < 0.2
        if self._work_s + steps * count * work_s > _MAX_WORK_S:
            return
        self._work_s += steps * count * work_s
        path = CHECKED_PATH if is_checked else PATH
        job = self._add_job(tasks=steps * count, path=path)
        spec = {
            "work_s": work_s,
            "saves": self.random.random() < 0.5,
            "needs_ticket": is_checked,
        }
        await self._submit(job, _make_body(spec, steps=steps, count=count))

    async def _submit(self, job: JobRecord, body: dict[str, Any]) -> None:
        """Submit a job until it is accepted, or give up after some attempts."""
        attempts = self.random.randint(1, _MAX_ATTEMPTS)
        for _ in range(attempts):
            # An attempt that is cancelled may have reached the entry.
            job.submit_statuses.append(NO_RESPONSE)
            status, _ = await self._call("POST", job, body)
            job.submit_statuses.pop()
            if status is not None:
                job.submit_statuses.append(status)
            if status == 200:
                return
            await trio.sleep(_RETRY_PAUSE_S)

    async def _cancel(self, job: JobRecord) -> None:
        job.is_cancel_requested = True
        status, _ = await self._call("DELETE", job)
        if status == 200:
            job.is_cancel_confirmed = True
        if status == 410:
            job.is_told_unknown = True

    async def _call(
        self,
        method: str,
        job: JobRecord,
        body: object = None,
        *,
        timeout: timedelta = _TIMEOUT,
    ) -> tuple[int | None, bytes]:
        """Return the status and the body; the status is None if nothing was sent."""
        request = HttpRequest(
            method=method,
            target=f"{job.path}{job.id}",
            header_by_name={"host": HOST, "deadline-ms": str(_DEADLINE_MS)},
            body=b"" if body is None else msgspec.json.encode(body),
        )
        try:
            response = await self.client.send(self._address, request, timeout=timeout)
        except CommunicationError as error:
            others = [each for each in self.addresses if each != self._address]
            self._address = self.random.choice(others)
            is_unsent = error.step is ExchangeStep.CONNECT
            return (None if is_unsent else NO_RESPONSE), b""
        return response.status, response.body


def _make_body(spec: dict[str, Any], *, steps: int, count: int) -> dict[str, Any]:
    shape = [
        {
            "count": count,
            "estimateMs": int(spec["work_s"] * 1000),
            "after": [number - 1] if number else [],
            "checkpointing": spec["saves"],
            **_DEMAND,
        }
        for number in range(steps)
    ]
    return {"spec": msgspec.json.encode(spec).decode(), "steps": shape}
