"""A worker of the platform, in memory, and what its runs are held against."""

from __future__ import annotations

import itertools
from collections import Counter
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Any

import msgspec
import trio

from coltsfoottray.errors import CommunicationError, ExchangeStep
from coltsfoottray.http import HttpRequest, HttpResponse, HttpTransport
from coltsfoottray.types import Address
from standins.advice import AdviceStandIn

__all__ = ["InstanceStandIn", "RunObserver"]

_STEP_S = 0.02
LATE_ORDER_S = 4.0
# So long a start may be on its way and still be answered in time.
_SLOW_ORDER_S = 0.65
_HEARTBEAT_S = 1.0
_FAIL_AFTER_S = 0.1
# What a task uses of its worker while it works.
_USED_MILLI = 1000
_FOR_EVER_S = 1e9
_SERVICE_START_S = 0.3
_MAX_LEASE_MS = 10_000
_LISTED_AT_A_TIME = 500


@dataclass(kw_only=True)
class RunObserver:
    """Counts what must never happen, over all workers.

    Parameters
    ----------
    violations : list of str
        Two runs of a task at once, and starts after a task has ended well.
    done : set of str
        Tasks that ended well, but for those whose end only a lost life knew; whether
        another has heard of it is not asked.
    ever_done : set of str
        All that ever ended well.
    """

    running_by_task: Counter[str] = field(default_factory=Counter)
    done: set[str] = field(default_factory=set)
    ever_done: set[str] = field(default_factory=set)
    starts: list[tuple[str, int, str]] = field(default_factory=list)
    violations: list[str] = field(default_factory=list)

    def begin(self, task: str, run: int, worker: str) -> None:
        """Note a start."""
        self.starts.append((task, run, worker))
        self.running_by_task[task] += 1
        if self.running_by_task[task] > 1:
            self.violations.append(f"{task} runs twice, at last on {worker}")
        if task in self.done:
            self.violations.append(f"{task} started on {worker} after its end")

    def end(self, task: str) -> None:
        """Note that a run is over, however."""
        self.running_by_task[task] -= 1


@dataclass(kw_only=True)
class _Run:
    task: str
    number: int
    work_s: float
    fails: bool
    saves: bool
    latency_ms: float
    done_s: float = 0.0
    percent: int = 100

    @property
    def figure(self) -> float:
        """Its tail latency in ms if it has users, else thousandths of cores in use."""
        return self.latency_ms or _USED_MILLI * self.percent / 100


class InstanceStandIn:
    """Runs tasks while its lease lasts, at the platform's interface.

    A task's payload is JSON: `work_s`, and `fails`, `saves` or `lasts` where true.
    """

    def __init__(
        self,
        *,
        name: str,
        address: Address,
        attendant: Address,
        transport: HttpTransport,
        observer: RunObserver,
        processors: int,
        advice: AdviceStandIn,
    ) -> None:
        self.name = name
        self.address = address
        self.unanswered_starts = 0
        self.late_starts = 0
        self.slow_starts = 0
        self.is_unhealthy = False
        self.is_dark = False
        self.is_gone = False
        self.sends_heartbeats = True
        self.is_draining = False
        self.is_hung = False
        self.looks = 0
        self.refused_tickets = 0
        self.fails_everything = False
        self.processors = processors
        self.max_taken = 0.0
        self._attendant = attendant
        self._advice = advice
        self._transport = transport
        self._observer = observer
        self._lives = itertools.count(1)
        self._nursery: trio.Nursery | None = None
        self._begin_life()

    def _begin_life(self) -> None:
        self.born = 1_000_000 + next(self._lives)
        self._life_began: float | None = None
        self.fence = 0
        self.until_ms = 0
        self.run_by_task: dict[str, _Run] = {}
        self.ends: list[list[Any]] = []
        self._highest_by_task: dict[str, int] = {}
        self._numbers = itertools.count(1)
        self._sequence = itertools.count(1)
        self._ended = trio.Event()

    async def run(
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Work, and report to the attendant."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            nursery.start_soon(self._report_for_ever)
            task_status.started()
            while True:
                await trio.sleep(_STEP_S)
                self._work()

    def crash(self) -> None:
        """Lose everything and start a new life."""
        for run in self.run_by_task.values():
            self._observer.end(run.task)
        self._forget_ends()
        self._begin_life()

    def vanish(self) -> None:
        """Lose everything, never to come back; nobody is told."""
        self.crash()
        self.is_dark = True
        self.is_gone = True

    async def leave(self) -> None:
        """Say that it leaves and be gone."""
        request = HttpRequest(
            method="POST", target=f"/v1/instances/i-{self.name}/deregister"
        )
        await self._transport.send(
            self._attendant, request, timeout=timedelta(seconds=1)
        )
        self.is_dark = True
        for run in list(self.run_by_task.values()):
            self._observer.end(run.task)
        self.run_by_task.clear()

    def finish_all(self) -> None:
        """Let all work that is there come to its end now."""
        for run in self.run_by_task.values():
            run.done_s = run.work_s

    def clock_ms(self) -> int:
        """Return the worker's own clock, which starts anew with each life."""
        if self._life_began is None:
            self._life_began = trio.current_time()
        return int((trio.current_time() - self._life_began) * 1000)

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Serve the worker's interface."""
        if self.is_dark:
            await trio.sleep_forever()
        response = await self._carry_out(request)
        if self.is_gone:
            # Nor does it answer what it was asked before.
            await trio.sleep_forever()
        return response

    async def _carry_out(self, request: HttpRequest) -> HttpResponse:
        if request.header_by_name.get("expect-instance") != f"i-{self.name}":
            return HttpResponse(status=421)
        body = msgspec.json.decode(request.body, type=dict[str, Any])
        if request.path == "/v1/run-start" and self.slow_starts > 0:
            self.slow_starts -= 1
            await trio.sleep(_SLOW_ORDER_S)
        if body["fencingToken"] < self.fence:
            return self._answer({"reason": "fence"}, status=409)
        self.fence = body["fencingToken"]
        if request.path == "/v1/run-start" and self.is_unhealthy:
            return HttpResponse(status=503)
        if request.path == "/v1/run-start":
            return await self._take_start(body)
        if request.path == "/v1/run-stop":
            return self._stop(body)
        if request.path == "/v1/pace":
            run = self.run_by_task.get(body["task"])
            if run is not None:
                run.percent = body["percent"]
            return self._answer({})
        return await self._hold(body)

    async def _take_start(self, body: dict[str, Any]) -> HttpResponse:
        if self.late_starts > 0:
            self.late_starts -= 1
            await trio.sleep(LATE_ORDER_S)
            if not self.is_gone:
                self._start(body)
            await trio.sleep_forever()
        response = self._start(body)
        if self.unanswered_starts > 0:
            self.unanswered_starts -= 1
            await trio.sleep_forever()
        return response

    def _start(self, body: dict[str, Any]) -> HttpResponse:
        self._extend(body.get("untilMs", 0))
        task, number = body["task"], body["run"]
        held = self.run_by_task.get(task)
        if held is not None and held.number == number:
            return self._answer({})
        if body["fencingToken"] < self.fence:
            return self._answer({"reason": "fence"}, status=409)
        if number <= self._highest_by_task.get(task, 0):
            return self._answer({"reason": "old"}, status=409)
        if body["untilMs"] <= self.clock_ms():
            return self._answer({"reason": "late"}, status=409)
        wish = msgspec.json.decode(body["spec"], type=dict[str, Any])
        step = task.rsplit(".", 1)[0]
        ticket = body.get("ticket", "")
        if wish.get("needs_ticket") and not self._advice.is_valid(
            ticket, step, f"i-{self.name}"
        ):
            self.refused_tickets += 1
            return self._answer({"reason": "ticket"}, status=409)
        self.run_by_task[task] = _Run(
            task=task,
            number=number,
            work_s=_FOR_EVER_S if wish.get("lasts") else wish["work_s"],
            fails=wish.get("fails", False),
            saves=wish.get("saves", False),
            latency_ms=wish.get("latency_ms", 0.0),
            done_s=float(body.get("checkpoint") or 0),
        )
        self._observer.begin(task, number, self.name)
        self.max_taken = max(self.max_taken, len(self.run_by_task))
        return self._answer({})

    def _stop(self, body: dict[str, Any]) -> HttpResponse:
        task, number = body["task"], body["run"]
        held = self.run_by_task.get(task)
        if held is not None and held.number == number:
            self._end(held, "stopped")
        highest = self._highest_by_task.get(task, 0)
        self._highest_by_task[task] = max(highest, number)
        return self._answer({})

    async def _hold(self, body: dict[str, Any]) -> HttpResponse:
        self.looks += 1
        self._extend(body.get("untilMs", 0))
        seen = body["ackCursor"]
        self.ends = [end for end in self.ends if end[0] > seen]
        born = self.born
        if not self.ends:
            with trio.move_on_after(body.get("waitMs", 0) / 1000):
                await self._ended.wait()
        if self.born != born:
            raise CommunicationError(
                step=ExchangeStep.RECEIVE,
                peer=str(self.address),
                detail="the worker crashed",
            )
        rows = [
            [run.task, run.number, self._saved(run), self._percent(run), run.figure]
            for run in self.run_by_task.values()
        ]
        listed = self.ends[:_LISTED_AT_A_TIME]
        return self._answer({"running": rows, "finished": listed})

    def _extend(self, until_ms: int) -> None:
        most = self.clock_ms() + _MAX_LEASE_MS
        self.until_ms = max(self.until_ms, min(until_ms, most))

    def _work(self) -> None:
        if self.clock_ms() > self.until_ms:
            self._lapse()
        if self.is_hung:
            return
        for run in list(self.run_by_task.values()):
            run.done_s += _STEP_S * run.percent / 100
            if self.fails_everything and run.done_s > _FAIL_AFTER_S:
                self._end(run, "failed")
                continue
            if run.done_s >= run.work_s:
                self._end(run, "failed" if run.fails else "done")

    def _lapse(self) -> None:
        """End every run; ends that nobody has acknowledged do not count."""
        for run in list(self.run_by_task.values()):
            self._end(run, "lapsed")
        self._forget_ends()

    def _forget_ends(self) -> None:
        for _, task, _, how, _ in self.ends:
            if how == "done":
                self._observer.done.discard(task)

    def _end(self, run: _Run, how: str) -> None:
        del self.run_by_task[run.task]
        self._observer.end(run.task)
        if how == "done":
            self._observer.done.add(run.task)
            self._observer.ever_done.add(run.task)
        self._highest_by_task[run.task] = run.number
        number = next(self._numbers)
        self.ends.append([number, run.task, run.number, how, self._saved(run)])
        ended, self._ended = self._ended, trio.Event()
        ended.set()

    def _saved(self, run: _Run) -> str:
        return str(int(run.done_s)) if run.saves and run.done_s >= 1 else ""

    def _percent(self, run: _Run) -> float:
        if run.work_s >= _FOR_EVER_S:
            return 100.0 if run.done_s > _SERVICE_START_S else 0.0
        return min(100.0, 100.0 * run.done_s / run.work_s)

    def _answer(self, body: dict[str, Any], status: int = 200) -> HttpResponse:
        complete = {"clockMs": self.clock_ms(), "born": self.born, **body}
        return HttpResponse.of_json(complete, status=status)

    async def _report_for_ever(self) -> None:
        while True:
            if self.sends_heartbeats and not self.is_dark:
                await self.report()
            await trio.sleep(_HEARTBEAT_S)

    async def report(self) -> None:
        """Say to the attendant how things are."""
        body = {
            "service": "svc",
            "address": str(self.address),
            "zone": "caerdydd",
            "state": "draining" if self.is_draining else "ready",
            "capacity": {"cpu": self.processors * 1000, "memoryLimitMb": 64_000},
            "labels": ["a", "r1"],
            "sequence": next(self._sequence),
            "born": self.born,
            "remainingMs": 5000 if self.is_draining else 0,
        }
        request = HttpRequest(
            method="POST",
            target=f"/v1/instances/i-{self.name}/heartbeat",
            body=msgspec.json.encode(body),
        )
        try:
            await self._transport.send(
                self._attendant, request, timeout=timedelta(seconds=1)
            )
        except CommunicationError:
            # A worker does not mind; it reports again a second later.
            return
