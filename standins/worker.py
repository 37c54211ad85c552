"""Worker that runs batch tasks, with the platform's interface to control it."""

from __future__ import annotations

from dataclasses import dataclass
from urllib.parse import unquote

import msgspec
import trio

from coltsfoottray.http import HttpRequest, HttpResponse
from coltsfoottray.platform import RunningTask, TaskStart, WorkerDescription
from coltsfoottray.tasks.rows import result_name
from coltsfoottray.types import Resources, TaskId
from standins.observer import Observer

__all__ = ["WorkerStandIn"]

_TICK_S = 0.05
FAILED_EXIT_CODE = 1


@dataclass(kw_only=True)
class _Attempt:
    start: TaskStart
    done_s: float = 0.0
    exit_code: int | None = None
    is_running: bool = False
    has_started: bool = False
    is_result_lost: bool = False


class WorkerStandIn:
    """Runs attempts of tasks while its lease is valid.

    A task's payload may hold `real_runtime_s`, its actual runtime, and `outcome`,
    where "fails" makes the attempt fail at its end.

    Parameters
    ----------
    boot : str
        Id of the VM's boot, which changes with every restart.
    objects : dict
        Contents of the object store by name, for checkpoints and results.
    """

    def __init__(
        self,
        *,
        capacity: Resources,
        boot: str,
        observer: Observer,
        objects: dict[str, bytes],
    ) -> None:
        self.capacity = capacity
        self.boot = boot
        self.fails_everything = False
        self._observer = observer
        self._objects = objects
        self._attempt_by_task: dict[TaskId, _Attempt] = {}
        self._stopped: set[str] = set()
        self._lease_expires_at = trio.current_time()
        self._holder = ""

    async def run(self) -> None:
        """Advance the attempts; cancelling this loses the worker with all attempts."""
        try:
            while True:
                await trio.sleep(_TICK_S)
                for attempt in self._attempt_by_task.values():
                    self._advance(attempt)
        finally:
            for attempt in self._attempt_by_task.values():
                self._suspend(attempt)
                self._lose_result(attempt)

    def restart(self) -> None:
        """Crash and restart at once, without attempts and without a lease."""
        for attempt in self._list_attempts():
            self._suspend(attempt)
            self._lose_result(attempt)
        self._attempt_by_task.clear()
        self._stopped.clear()
        self._lease_expires_at = trio.current_time()
        self._holder = ""
        self.boot += "-anew"

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Serve the worker's HTTP interface."""
        if request.path == "/description":
            return HttpResponse.of_json(
                WorkerDescription(capacity=self.capacity, boot=self.boot)
            )
        if request.path == "/renew":
            return self._renew(request.query)
        if request.path == "/tasks":
            return HttpResponse.of_json(
                [self._make_report(a) for a in self._list_attempts()]
            )
        _, _, task, attempt, action = request.path.split("/")
        return self._handle_action(action, TaskId(unquote(task)), int(attempt), request)

    def _handle_action(
        self, action: str, task: TaskId, attempt: int, request: HttpRequest
    ) -> HttpResponse:
        held = self._attempt_by_task.get(task)
        is_held = held is not None and held.start.attempt == attempt
        if action == "start":
            return self._start(request.decode(TaskStart))
        if action == "stop":
            self._stopped.add(f"{task}#{attempt}")
        if held is not None and is_held and action in ("stop", "forget"):
            self._suspend(held)
            del self._attempt_by_task[task]
        if held is not None and is_held and action == "checkpoint":
            name = request.query["name"]
            self._objects[name] = msgspec.json.encode(held.done_s)
        return HttpResponse.of_json(True)

    def _start(self, start: TaskStart) -> HttpResponse:
        if start.holder != self._holder:
            return HttpResponse(status=409, body=b"not the holder of the lease")
        is_new = (
            start.task not in self._attempt_by_task
            and f"{start.task}#{start.attempt}" not in self._stopped
        )
        if is_new:
            done = self._objects.get(start.checkpoint, b"0")
            self._attempt_by_task[start.task] = _Attempt(
                start=start, done_s=msgspec.json.decode(done, type=float)
            )
            self._observer.record_start(
                start.task, self._attempt_by_task[start.task].done_s
            )
            total = Resources.total(
                [a.start.demand for a in self._unfinished_attempts()]
            )
            self._observer.record_allocation(
                is_overcommitted=not total.fits_in(self.capacity)
            )
            self._advance(self._attempt_by_task[start.task], elapsed_s=0.0)
        return HttpResponse.of_json(True)

    def _renew(self, query: dict[str, str]) -> HttpResponse:
        self._holder = query["holder"]
        self._lease_expires_at = trio.current_time() + float(query["seconds"])
        return HttpResponse.of_json(True)

    def _advance(self, attempt: _Attempt, elapsed_s: float = _TICK_S) -> None:
        has_lapsed = trio.current_time() >= self._lease_expires_at
        if attempt.exit_code is not None:
            if has_lapsed:
                self._lose_result(attempt)
            return
        if has_lapsed:
            self._suspend(attempt)
            return
        if not attempt.is_running:
            attempt.is_running = True
            self._observer.begin_task(
                attempt.start.task,
                attempt.start.attempt,
                is_resumed=attempt.has_started,
            )
            attempt.has_started = True
        attempt.done_s += elapsed_s
        payload = attempt.start.payload
        runtime = payload.get("real_runtime_s", attempt.start.runtime_s)
        assert isinstance(runtime, int | float)
        if attempt.done_s >= runtime:
            self._end(attempt, fails=payload.get("outcome") == "fails")

    def _end(self, attempt: _Attempt, *, fails: bool) -> None:
        self._suspend(attempt)
        attempt.exit_code = FAILED_EXIT_CODE if fails or self.fails_everything else 0
        if attempt.exit_code == 0:
            self._observer.finish_task(attempt.start.task)

    def _lose_result(self, attempt: _Attempt) -> None:
        """Report to the observer a success that other processes may not have learned.

        The lease lapsed, or the VM was lost, before the success was acknowledged, and
        the result is not in the object store either.
        """
        is_stored = result_name(attempt.start.task, attempt.start.attempt) in (
            self._objects
        )
        if attempt.exit_code == 0 and not is_stored and not attempt.is_result_lost:
            attempt.is_result_lost = True
            self._observer.lose_result(attempt.start.task)

    def _suspend(self, attempt: _Attempt) -> None:
        if attempt.is_running:
            attempt.is_running = False
            self._observer.end_task(attempt.start.task)

    def _list_attempts(self) -> list[_Attempt]:
        return list(self._attempt_by_task.values())

    def _unfinished_attempts(self) -> list[_Attempt]:
        return [a for a in self._list_attempts() if a.exit_code is None]

    def _make_report(self, attempt: _Attempt) -> RunningTask:
        return RunningTask(
            task=attempt.start.task,
            attempt=attempt.start.attempt,
            demand=attempt.start.demand,
            used=attempt.start.demand,
            done_s=attempt.done_s,
            slowdown=1.0,
            exit_code=attempt.exit_code,
            is_suspended=not attempt.is_running,
        )
