"""In-memory worker of the platform for jobs."""

from __future__ import annotations

import itertools
from datetime import timedelta
from typing import Any

import msgspec
import trio

from coltsfoottray.errors import CommunicationError, ExchangeStep
from coltsfoottray.http import HttpRequest, HttpResponse, HttpTransport
from coltsfoottray.types import Address
from standins.advice import AdviceStandIn
from standins.job_run import UNLIMITED_S, JobRun
from standins.run_observer import RunObserver

__all__ = ["JobWorkerStandIn"]

_TICK_S = 0.02
START_DELAY_S = 4.0
# Delay with which a start is still answered before its sender times out.
_SLOW_START_DELAY_S = 0.65
_HEARTBEAT_INTERVAL_S = 1.0
_FAIL_AFTER_S = 0.1
_MAX_LEASE_MS = 10_000
_MAX_ENDS_PER_REPLY = 500


class JobWorkerStandIn:
    """Runs tasks while its lease lasts, and serves the platform's interface.

    A task's payload is JSON with the key `work_s`. Further keys: `fails`, `saves` (it
    writes checkpoints), `lasts` (it runs until it is stopped), `needs_ticket`,
    `latency_ms` (the tail latency that it reports) and `share` (the processors that it
    reserves, 1 by default).
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
        data_centre: str,
    ) -> None:
        self.name = name
        self.data_centre = data_centre
        self.address = address
        self.service = "svc"
        # Numbers of starts to run unanswered, to run late and unanswered, and to delay.
        self.unanswered_starts = 0
        self.late_starts = 0
        self.slow_starts = 0
        # How long a run takes to stop; it occupies room until then.
        self.stop_time_s = 0.0
        # Number of polls to carry out late and unanswered.
        self.late_polls = 0
        # Number of speed limits to apply late and unanswered.
        self.late_paces = 0
        # Paths of requests that are ignored, and of those executed without an answer.
        self.ignored_paths: set[str] = set()
        self.unanswered_paths: set[str] = set()
        self.pace_count = 0
        self.is_unhealthy = False
        self.is_unreachable = False
        self.is_destroyed = False
        self.sends_heartbeats = True
        self.is_draining = False
        # While hung, it answers calls, but its runs make no progress.
        self.is_hung = False
        self.poll_count = 0
        self.refused_tickets = 0
        # When start orders arrived, whether or not they were carried out.
        self.order_times_s: list[float] = []
        self.fails_everything = False
        self.processors = processors
        # Greatest sum of the shares of runs at a time.
        self.max_concurrent_runs = 0.0
        self._attendant = attendant
        self._advice = advice
        self._transport = transport
        self._observer = observer
        self._incarnations = itertools.count(1)
        self._nursery: trio.Nursery | None = None
        self._reset()

    def _reset(self) -> None:
        self.born = 1_000_000 + next(self._incarnations)
        self._clock_started_at: float | None = None
        self.fence = 0
        self.lease_until_ms = 0
        self.run_by_task: dict[str, JobRun] = {}
        self.ends: list[list[Any]] = []
        self._last_number_by_task: dict[str, int] = {}
        self._end_numbers = itertools.count(1)
        # Ends up to this number were listed when the lease expired, and do not count.
        self._last_void_end = 0
        self._is_called = False
        self._sequence = itertools.count(1)
        self._ended = trio.Event()

    async def run(
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Advance the runs and send heartbeats to the attendant, until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            nursery.start_soon(self._send_heartbeats)
            task_status.started()
            while True:
                await trio.sleep(_TICK_S)
                self._advance_runs()

    def crash(self) -> None:
        """Lose all runs and unacknowledged ends, and start a new incarnation."""
        for run in self.run_by_task.values():
            self._observer.end(run.task)
        self._discard_unacknowledged()
        self._reset()

    def destroy(self) -> None:
        """Lose everything without notice and stay unreachable permanently."""
        self.crash()
        self.is_unreachable = True
        self.is_destroyed = True

    async def deregister(self) -> None:
        """Deregister from the attendant, then end all runs and become unreachable."""
        request = HttpRequest(
            method="POST", target=f"/v1/instances/i-{self.name}/deregister"
        )
        await self._transport.send(
            self._attendant, request, timeout=timedelta(seconds=1)
        )
        self.is_unreachable = True
        for run in list(self.run_by_task.values()):
            self._observer.end(run.task)
        self.run_by_task.clear()

    def finish_all(self) -> None:
        """Mark the work of all runs as done, so that they end at the next tick."""
        for run in self.run_by_task.values():
            run.done_s = run.work_s

    def clock_ms(self) -> int:
        """Return the worker's own clock in ms; each incarnation restarts it."""
        if self._clock_started_at is None:
            self._clock_started_at = trio.current_time()
        return int((trio.current_time() - self._clock_started_at) * 1000)

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Serve the platform's interface of a worker."""
        if self.is_unreachable or request.path in self.ignored_paths:
            await trio.sleep_forever()
        response = await self._dispatch(request)
        if self.is_destroyed or request.path in self.unanswered_paths:
            # Requests that arrived before the destruction get no response either.
            await trio.sleep_forever()
        return response

    async def _dispatch(self, request: HttpRequest) -> HttpResponse:
        if request.header_by_name.get("expect-instance") != f"i-{self.name}":
            return HttpResponse(status=421)
        body = msgspec.json.decode(request.body, type=dict[str, Any])
        if request.path == "/v1/run-start":
            self.order_times_s.append(trio.current_time())
        if request.path == "/v1/run-start" and self.slow_starts > 0:
            self.slow_starts -= 1
            await trio.sleep(_SLOW_START_DELAY_S)
            if self.is_destroyed:
                await trio.sleep_forever()
        if body["fencingToken"] < self.fence:
            return self._make_response({"reason": "fence"}, status=409)
        self.fence = body["fencingToken"]
        self._is_called = True
        if request.path == "/v1/run-start" and self.is_unhealthy:
            return HttpResponse(status=503)
        if request.path == "/v1/run-start":
            return await self._handle_start(body)
        if request.path == "/v1/run-stop":
            return self._handle_stop(body)
        if request.path == "/v1/pace":
            return await self._handle_pace(body)
        return await self._handle_poll(body)

    async def _handle_pace(self, body: dict[str, Any]) -> HttpResponse:
        self.pace_count += 1
        is_late = self.late_paces > 0
        if is_late:
            self.late_paces -= 1
            await trio.sleep(START_DELAY_S)
        run = self.run_by_task.get(body["task"])
        if run is not None and body["fencingToken"] >= self.fence:
            run.percent = body["percent"]
        if is_late:
            await trio.sleep_forever()
        return self._make_response({})

    async def _handle_start(self, body: dict[str, Any]) -> HttpResponse:
        if self.late_starts > 0:
            self.late_starts -= 1
            born = self.born
            await trio.sleep(START_DELAY_S)
            # Nobody can call a start back before the new incarnation is first called.
            may_be_prevented = born == self.born or self._is_called
            if not self.is_destroyed:
                self._start(body, may_be_prevented=may_be_prevented)
            await trio.sleep_forever()
        response = self._start(body)
        if self.unanswered_starts > 0:
            self.unanswered_starts -= 1
            await trio.sleep_forever()
        return response

    def _start(
        self, body: dict[str, Any], *, may_be_prevented: bool = True
    ) -> HttpResponse:
        self._extend_lease(body.get("untilMs", 0))
        task, number = body["task"], body["run"]
        held = self.run_by_task.get(task)
        if held is not None and held.number == number:
            return self._make_response({})
        if body["fencingToken"] < self.fence:
            return self._make_response({"reason": "fence"}, status=409)
        if number <= self._last_number_by_task.get(task, 0):
            return self._make_response({"reason": "old"}, status=409)
        if body["untilMs"] <= self.clock_ms():
            return self._make_response({"reason": "late"}, status=409)
        spec = msgspec.json.decode(body["spec"], type=dict[str, Any])
        if spec.get("is_invalid"):
            return HttpResponse(status=400)
        step = task.rsplit(".", 1)[0]
        ticket = body.get("ticket", "")
        if spec.get("needs_ticket") and not self._advice.is_valid(
            ticket, step, f"i-{self.name}"
        ):
            self.refused_tickets += 1
            return self._make_response({"reason": "ticket"}, status=409)
        self.run_by_task[task] = JobRun(
            task=task,
            number=number,
            work_s=UNLIMITED_S if spec.get("lasts") else spec["work_s"],
            fails=spec.get("fails", False),
            saves_checkpoints=spec.get("saves", False),
            latency_ms=spec.get("latency_ms", 0.0),
            share=spec.get("share", 1.0),
            done_s=float(body.get("checkpoint") or 0),
            checkpoint_length=spec.get("checkpoint_length", 0),
        )
        has_limit = may_be_prevented and not spec.get("lasts")
        self._observer.begin(task, number, self.name, has_limit=has_limit)
        shares = round(sum(run.share for run in self.run_by_task.values()), 3)
        self.max_concurrent_runs = max(self.max_concurrent_runs, shares)
        return self._make_response({})

    def _handle_stop(self, body: dict[str, Any]) -> HttpResponse:
        task, number = body["task"], body["run"]
        held = self.run_by_task.get(task)
        if held is not None and held.number == number:
            self._stop(held)
        last_number = self._last_number_by_task.get(task, 0)
        self._last_number_by_task[task] = max(last_number, number)
        return self._make_response({})

    def _stop(self, run: JobRun) -> None:
        if not self.stop_time_s:
            self._end(run, "stopped")
        elif run.stops_at_s is None:
            run.stops_at_s = trio.current_time() + self.stop_time_s

    async def _handle_poll(self, body: dict[str, Any]) -> HttpResponse:
        self.poll_count += 1
        if self.late_polls > 0:
            self.late_polls -= 1
            await trio.sleep(START_DELAY_S)
            if body["fencingToken"] >= self.fence:
                self._extend_lease(body.get("untilMs", 0))
                self._acknowledge(body["ackCursor"])
            await trio.sleep_forever()
        self._extend_lease(body.get("untilMs", 0))
        self._acknowledge(body["ackCursor"])
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
            [
                run.task,
                run.number,
                run.checkpoint,
                run.progress_percent,
                run.figure,
            ]
            for run in self.run_by_task.values()
        ]
        listed = self.ends[:_MAX_ENDS_PER_REPLY]
        return self._make_response({"running": rows, "finished": listed})

    def _acknowledge(self, last: int) -> None:
        """Discard the ends up to a number."""
        for number, task, run, kind, _ in self.ends:
            if number <= last and kind == "failed" and number > self._last_void_end:
                self._observer.acknowledge(task, run)
        self.ends = [end for end in self.ends if end[0] > last]

    def _extend_lease(self, lease_until_ms: int) -> None:
        max_until_ms = self.clock_ms() + _MAX_LEASE_MS
        self.lease_until_ms = max(
            self.lease_until_ms, min(lease_until_ms, max_until_ms)
        )

    def _advance_runs(self) -> None:
        self.expire_lease_if_due()
        if self.is_hung:
            return
        for run in list(self.run_by_task.values()):
            if run.stops_at_s is not None and run.stops_at_s <= trio.current_time():
                self._end(run, "stopped")
                continue
            run.done_s += _TICK_S * run.percent / 100
            if self.fails_everything and run.done_s > _FAIL_AFTER_S:
                self._end(run, "failed")
                continue
            if run.done_s >= run.work_s:
                self._end(run, "failed" if run.fails else "done")

    def expire_lease_if_due(self) -> None:
        """End every run if the worker's lease has expired."""
        if self.clock_ms() > self.lease_until_ms:
            self._expire_lease()

    def _expire_lease(self) -> None:
        """End every run; ends without an acknowledgement no longer count as done."""
        for run in list(self.run_by_task.values()):
            self._end(run, "lapsed")
        self._discard_unacknowledged()

    def _discard_unacknowledged(self) -> None:
        for number, task, _, kind, _ in self.ends:
            self._last_void_end = number
            if kind == "done":
                self._observer.done.discard(task)

    def _end(self, run: JobRun, kind: str) -> None:
        del self.run_by_task[run.task]
        self._observer.end(run.task)
        if kind == "done":
            self._observer.done.add(run.task)
            self._observer.ever_done.add(run.task)
        if kind == "failed":
            self._observer.fail(run.task, run.number)
        self._last_number_by_task[run.task] = run.number
        number = next(self._end_numbers)
        self.ends.append([number, run.task, run.number, kind, run.checkpoint])
        ended, self._ended = self._ended, trio.Event()
        ended.set()

    def _make_response(self, body: dict[str, Any], status: int = 200) -> HttpResponse:
        complete = {"clockMs": self.clock_ms(), "born": self.born, **body}
        return HttpResponse.of_json(complete, status=status)

    async def _send_heartbeats(self) -> None:
        while True:
            if self.sends_heartbeats and not self.is_unreachable:
                await self.send_heartbeat()
            await trio.sleep(_HEARTBEAT_INTERVAL_S)

    def make_heartbeat(self) -> dict[str, Any]:
        """Return the body of the next heartbeat."""
        return {
            "service": self.service,
            "address": str(self.address),
            "zone": self.data_centre,
            "version": "v1",
            "slots": self.processors,
            "state": "draining" if self.is_draining else "ready",
            "coldRemainingMs": 0,
            "capacity": {
                "cpu": self.processors * 1000,
                "memoryLimitMb": 64_000,
                "gpu": 0,
            },
            "labels": ["a", "r1"],
            "clockMs": self.clock_ms(),
            "sequence": next(self._sequence),
            "born": self.born,
            "remainingMs": 5000 if self.is_draining else 0,
        }

    async def send_heartbeat(self) -> None:
        """Send a heartbeat to the attendant."""
        request = HttpRequest(
            method="POST",
            target=f"/v1/instances/i-{self.name}/heartbeat",
            body=msgspec.json.encode(self.make_heartbeat()),
        )
        try:
            await self._transport.send(
                self._attendant, request, timeout=timedelta(seconds=1)
            )
        except CommunicationError:
            # Ignored, because the next heartbeat follows a second later.
            return
