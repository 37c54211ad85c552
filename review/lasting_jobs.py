"""Plays lasting jobs of one task each, and a loss just after a worker has started some.

Used by the scripts of some cases. Three entries, three attendants and three workers;
two workers have room for all tasks. A task that lasts and is without a run for longer
than the rule LOST allows is reported.
"""

from __future__ import annotations

import os
import signal
import tempfile
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from datetime import timedelta
from pathlib import Path

import msgspec
import trio

from coltsfoottray.errors import CommunicationError
from coltsfoottray.http import HttpClient, HttpRequest
from soak.site import (
    CALLERS,
    ENTRIES,
    HOST,
    PATH,
    READINESS,
    WORKERS,
    ExactObserver,
    Site,
)

LOST_WORKER = WORKERS[0]
JOBS = 24
JOB_INTERVAL_S = 0.25
# After the first jobs, the loss is this long after a start on the worker.
LOST_AFTER_START_S = 0.1
MIN_JOBS_BEFORE = 12
# A task that lasts may be without a run for 6 s; then 3 s without one break the rule.
# The 4 s before these 3 s are calm, since nothing else happens after the loss.
MAX_GAP_S = 6.0 + 3.0
WATCH_S = 30.0
READY_S = 30.0


@dataclass(kw_only=True)
class TimedObserver(ExactObserver):
    """Records when the runs of each task began and ended."""

    record: list[str] = field(default_factory=list)
    unheard: set[str] = field(default_factory=set)
    began: dict[str, list[float]] = field(default_factory=dict)
    ended: dict[str, list[float]] = field(default_factory=dict)
    last_start_s: dict[str, float] = field(default_factory=dict)
    zero: float = field(default_factory=time.monotonic)

    def now(self) -> float:
        """Return the time since the start of the case in s."""
        return time.monotonic() - self.zero

    def note(self, text: str) -> None:
        """Add a line to the record."""
        self.record.append(f"{self.now():8.3f} s  {text}")

    def begin(
        self, task: str, run: int, worker: str, *, has_limit: bool = False
    ) -> None:
        """Record the start of a run."""
        super().begin(task, run, worker, has_limit=has_limit)
        self.began.setdefault(task, []).append(self.now())
        self.last_start_s[worker] = self.now()
        self.note(f"run     {task} run {run} began on {worker}")

    def end(self, task: str) -> None:
        """Record the end of a run."""
        super().end(task)
        self.ended.setdefault(task, []).append(self.now())
        self.note(f"run     {task} ended")


async def call(
    site: Site, client: HttpClient, method: str, job: str, body: bytes = b""
) -> int:
    """Send a caller's request to one entry after the other; return the status.

    An entry that has not answered is not tried again.
    """
    for entry in [each for each in ENTRIES if each not in site.observer.unheard]:
        request = HttpRequest(
            method=method,
            target=f"{PATH}{job}",
            header_by_name={"host": HOST, "deadline-ms": "3000"},
            body=body,
        )
        try:
            answer = await client.send(
                site.address(entry, CALLERS), request, timeout=timedelta(seconds=4)
            )
        except CommunicationError as error:
            site.observer.note(f"caller  {method} {job} at {entry}: {error}")
            site.observer.unheard.add(entry)
            continue
        site.observer.note(
            f"caller  {method} {job} at {entry}: {answer.status} {answer.body[:60]!r}"
        )
        return answer.status
    return 0


async def wait_until_ready(site: Site, client: HttpClient) -> bool:
    """Wait until all entries are ready and all workers are known."""
    with trio.move_on_after(READY_S):
        for entry in ENTRIES:
            while True:
                try:
                    request = HttpRequest(method="GET", target="/")
                    address = site.address(entry, READINESS)
                    answer = await client.send(
                        address, request, timeout=timedelta(seconds=1)
                    )
                    if answer.status == 200:
                        break
                except CommunicationError:
                    pass
                await trio.sleep(0.1)
        await trio.sleep(3.0)
        return True
    return False


def judge(site: Site, jobs: list[str], end: float) -> list[str]:
    """Return the tasks that were without a run for too long."""
    broken = []
    for job in jobs:
        task = f"{job}.0.0.0"
        began = site.observer.began.get(task, [])
        ended = site.observer.ended.get(task, [])
        for stop in ended:
            later = [start for start in began if start >= stop]
            again = min(later, default=end)
            gap = again - stop
            if gap > MAX_GAP_S:
                text = "again" if later else "not again before the end"
                broken.append(f"{task}: no run for {gap:.1f} s, {text}")
    return broken


Loss = Callable[[Site], Awaitable[None]]


async def play(
    lose: Loss, case: Path, after_start_s: float = LOST_AFTER_START_S
) -> int:
    """Play a case in its folder; return the exit status.

    Parameters
    ----------
    after_start_s : float
        How long after a start on the worker the loss happens.
    """
    # All programs are ended also if the script is.
    signal.signal(signal.SIGINT, signal.default_int_handler)
    signal.signal(signal.SIGTERM, lambda *_: signal.raise_signal(signal.SIGINT))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    folder = Path(tempfile.mkdtemp(prefix="review-"))
    client = HttpClient()
    async with trio.open_nursery() as nursery:
        site = Site(nursery=nursery, folder=folder, observer=TimedObserver())
        try:
            await site.start()
            if not await wait_until_ready(site, client):
                print("the entries did not become ready")
                return 2
            chosen = lose if trouble else None
            return await run_case(site, client, chosen, after_start_s)
        finally:
            site.close()
            text = "\n".join(site.observer.record) + "\n"
            (case / "record.txt").write_text(text)
            nursery.cancel_scope.cancel()


async def run_case(
    site: Site, client: HttpClient, lose: Loss | None, after_start_s: float
) -> int:
    """Hand in the jobs, let the loss happen if there is one, and watch."""
    spec = msgspec.json.encode({"work_s": 1, "lasts": True, "share": 0.2}).decode()
    step = {"count": 1, "cpu": 200, "memoryLimitMb": 100, "longRunning": True}
    body = msgspec.json.encode({"spec": spec, "steps": [step]})
    accepted: list[str] = []
    has_lost = False
    for number in range(JOBS):
        job = f"{number + 1:016x}"
        if await call(site, client, "POST", job, body) == 200:
            accepted.append(job)
        deadline = site.observer.now() + JOB_INTERVAL_S
        while site.observer.now() < deadline:
            await trio.sleep(0.02)
            since = site.observer.now() - site.observer.last_start_s.get(
                LOST_WORKER, -9.0
            )
            is_just_started = after_start_s <= since < after_start_s + 0.1
            is_due = number >= MIN_JOBS_BEFORE and is_just_started
            if lose is not None and not has_lost and is_due:
                has_lost = True
                await lose(site)
    if lose is not None and not has_lost:
        print("no task was started on the worker in time")
        return 2
    await trio.sleep(WATCH_S)
    end = site.observer.now()
    for job in accepted:
        await call(site, client, "GET", job)
    broken = judge(site, accepted, end)
    for line in broken:
        site.observer.note(f"LOST    {line}")
        print("LOST", line)
    print(f"{len(accepted)} jobs accepted, {len(broken)} tasks lost for a time")
    return 1 if broken else 0
