"""Attendants go on using silent connections to their workers, one after the other."""

from __future__ import annotations

from dataclasses import dataclass, field
from functools import partial
from pathlib import Path

import trio

from coltsfoottray.types import Address
from review.harness import HOLDS, IS_BROKEN, NOT_RUN, Case, ReviewSite, run_case
from soak.site import PATH, PROCESSORS, WORKERS
from standins.job_worker import JobWorkerStandIn

_INSTANCE_PORT, _PROXY_PORT = 7005, 7051
_CHUNK_BYTES = 65_536
_SETTLING_S = 4.0
# The widest step of the small sites has 36 tasks.
_BATCHES, _BATCH_TASKS = 2, 36
_MAX_BATCH_S = 10.0
_WATCH_S = 40.0
_POLL_INTERVAL_S = 0.1
# A task that lasts has to run again 6 s after its last run, and counts as lost once it
# has not for 3 s more.
_RESTART_S = 6.0
_IDLE_S = 3.0


@dataclass(kw_only=True, eq=False)
class _Connection:
    is_silent: bool = False


@dataclass(kw_only=True)
class _Proxy:
    """Passes the connections to one worker on."""

    worker: Address
    connections: list[_Connection] = field(default_factory=list)

    async def handle(self, client: trio.SocketStream) -> None:
        connection = _Connection()
        self.connections.append(connection)
        try:
            worker = await trio.open_tcp_stream(self.worker.host, self.worker.port)
            async with client, worker, trio.open_nursery() as nursery:
                nursery.start_soon(self._pass_on, connection, client, worker, nursery)
                nursery.start_soon(self._pass_on, connection, worker, client, nursery)
        finally:
            self.connections.remove(connection)

    async def _pass_on(
        self,
        connection: _Connection,
        source: trio.SocketStream,
        target: trio.SocketStream,
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
    """A site whose attendants reach their workers through a proxy each."""

    def __post_init__(self) -> None:
        super().__post_init__()
        self.proxy_by_name: dict[str, _Proxy] = {}

    async def _start_worker(self, name: str) -> None:
        proxy = _Proxy(worker=self.address(name, _INSTANCE_PORT))
        self.proxy_by_name[name] = proxy
        host = self.address(name, _PROXY_PORT).host
        serve = partial(trio.serve_tcp, proxy.handle, _PROXY_PORT, host=host)
        await self.nursery.start(serve)
        await super()._start_worker(name)

    async def open_worker(self, name: str) -> None:
        """Accept connections; the worker reports the address of its proxy."""
        await super().open_worker(name)
        self.worker_by_name[name].address = self.address(name, _PROXY_PORT)


def _make_job(*, count: int, cpu: int, spec: str, lasts: bool) -> dict[str, object]:
    step = {"count": count, "cpu": cpu, "memoryLimitMb": 100, "longRunning": lasts}
    return {"spec": spec, "steps": [step if lasts else {**step, "estimateMs": 500}]}


def _running_lasting(case: Case, job: str) -> set[str]:
    return {
        task
        for worker in case.site.worker_by_name.values()
        for task in worker.run_by_task
        if task.startswith(job)
    }


def _describe(workers: dict[str, JobWorkerStandIn]) -> str:
    runs = {name: len(worker.run_by_task) for name, worker in workers.items()}
    return f"runs on the workers of {PROCESSORS} processors, which are up: {runs}"


async def _find_longest_gap(case: Case, tasks: set[str], job: str) -> float:
    """Watch the tasks that last; return the longest time that one has not run."""
    last_seen_s = dict.fromkeys(tasks, trio.current_time())
    longest_s = 0.0
    end_s = trio.current_time() + _WATCH_S
    is_noted = False
    while trio.current_time() < end_s:
        now_s = trio.current_time()
        for task in _running_lasting(case, job):
            last_seen_s[task] = now_s
        gap_s = max(now_s - seen_s for seen_s in last_seen_s.values())
        longest_s = max(longest_s, gap_s)
        if gap_s > _RESTART_S + _IDLE_S and not is_noted:
            is_noted = True
            workers = case.site.worker_by_name
            case.record.add(f"judge  a task has not run for 9 s; {_describe(workers)}")
        await trio.sleep(_POLL_INTERVAL_S)
    return longest_s


async def _play(case: Case) -> int:
    site = case.site
    assert isinstance(site, _Site)
    await trio.sleep(_SETTLING_S)
    lasting = f"{1:016x}"
    job = _make_job(
        count=len(WORKERS), cpu=1000, spec='{"work_s":1,"lasts":true}', lasts=True
    )
    await case.call("entry-1", "POST", f"{PATH}{lasting}", job)
    spec = '{"work_s":0.5,"share":0.2}'
    job = _make_job(count=_BATCH_TASKS, cpu=200, spec=spec, lasts=False)
    batches = [f"{PATH}{0x10 + number:016x}" for number in range(_BATCHES)]
    async with trio.open_nursery() as nursery:
        for batch in batches:
            nursery.start_soon(case.call, "entry-1", "POST", batch, job)
    with trio.move_on_after(_MAX_BATCH_S):
        for batch in batches:
            while await case.state("entry-2", batch) != "completed":
                await trio.sleep(0.5)
    await trio.sleep(_SETTLING_S)
    tasks = _running_lasting(case, lasting)
    if len(tasks) != len(WORKERS):
        case.record.add("judge  the site does not work before the disruption")
        return NOT_RUN
    if case.has_trouble:
        count = {name: proxy.silence() for name, proxy in site.proxy_by_name.items()}
        case.record.add(f"proxy  open connections to the workers go silent: {count}")
    longest_s = await _find_longest_gap(case, tasks, lasting)
    case.record.add(f"judge  longest time that a lasting task did not run: {longest_s}")
    return IS_BROKEN if longest_s > _RESTART_S + _IDLE_S else HOLDS


if __name__ == "__main__":
    run_case(Path(__file__).resolve().parent, _play, site_type=_Site)
