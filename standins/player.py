"""Play a trace against a cell, in the roles of callers, customers and operators."""

from __future__ import annotations

import itertools
import math
from collections import defaultdict
from collections.abc import Callable, Sequence
from datetime import timedelta
from random import Random

import msgspec
import trio

from coltsfoottray.entry.batch import TaskSubmission
from coltsfoottray.errors import CommunicationError
from coltsfoottray.http import HttpRequest, HttpResponse
from coltsfoottray.lists import Edit, Lists
from coltsfoottray.tasks import TaskRow
from coltsfoottray.types import Address, Kind, TaskState
from standins.cell import Cell
from standins.report import LatencySummary, Report
from standins.trace import (
    CancelEvent,
    EditEvent,
    Event,
    FaultEvent,
    FaultKind,
    RequestEvent,
    TaskEvent,
)

__all__ = ["Player"]

_CALL_TIMEOUT = timedelta(seconds=40)
_MAX_ATTEMPTS = 40
_RETRY_INTERVAL_S = 0.25
_STORE_DELAY_S = 0.5


class Player:
    """Plays the events of a trace at their times and counts the outcomes.

    Parameters
    ----------
    report_progress : callable
        Called with each line of progress.
    completion_timeout_s : float
        Time in seconds to wait for the tasks to end after the last event.
    """

    def __init__(
        self,
        *,
        cell: Cell,
        name: str,
        seed: int,
        report_progress: Callable[[str], None],
        completion_timeout_s: float = 60.0,
    ) -> None:
        self._cell = cell
        self._name = name
        self._random = Random(seed)
        self._report_progress = report_progress
        self._completion_timeout_s = completion_timeout_s
        self._client = cell.fabric.transport("callers")
        self._entry_counter = itertools.count(self._random.randrange(1000))
        self._status_by_request: dict[str, int] = {}
        self._latencies_by_kind: dict[str, list[float]] = defaultdict(list)
        self._customer_by_task: dict[str, str] = {}
        self._accepted: set[str] = set()
        self._false_refusals = 0

    async def play(self, events: Sequence[Event]) -> Report:
        """Play `events` and return the report on them."""
        started_at = trio.current_time()
        async with trio.open_nursery() as nursery:
            for event in events:
                await trio.sleep_until(started_at + event.at)
                nursery.start_soon(self._play_event, event)
        self._report_progress("all events played; waiting for the tasks to end")
        with trio.move_on_after(self._completion_timeout_s):
            while self._unfinished_tasks():
                await trio.sleep(_RETRY_INTERVAL_S)
        return self._report()

    async def _play_event(self, event: Event) -> None:
        if isinstance(event, RequestEvent):
            await self._send_request(event)
        elif isinstance(event, TaskEvent):
            await self._submit_task(event)
        elif isinstance(event, CancelEvent):
            await self._cancel_task(event)
        elif isinstance(event, EditEvent):
            await self._edit_list(event)
        else:
            await self._inject_fault(event)

    async def _send_request(self, event: RequestEvent) -> None:
        key = event.retry_of or event.id
        request = HttpRequest(
            method="POST",
            target=f"/requests/{event.kind}",
            header_by_name={
                "x-customer": event.customer,
                "idempotency-key": key,
                "x-idempotent": str(event.idempotent).lower(),
                "x-service-ms": str(event.service_ms),
            },
            body=event.id.encode(),
        )
        started_at = trio.current_time()
        try:
            response = await self._client.send(
                self._next_entry(), request, timeout=_CALL_TIMEOUT
            )
        except CommunicationError as error:
            self._report_progress(f"request {event.id}: {error}")
            self._status_by_request[event.id] = 504
            return
        self._status_by_request[event.id] = response.status
        if response.status == 200:
            elapsed_ms = (trio.current_time() - started_at) * 1000
            self._latencies_by_kind[event.kind].append(elapsed_ms)
            self._check_response(event, key, response)
        elif response.status in (403, 503) and event.retry_of is None:
            ran = self._cell.observer.runs_by_request[f"{event.customer}/{key}"]
            self._false_refusals += ran > 0

    def _check_response(
        self, event: RequestEvent, key: str, response: HttpResponse
    ) -> None:
        expected = f"answer to {event.customer}/{key}: "
        if not response.body.startswith(expected.encode()):
            self._report_progress(f"request {event.id}: got another request's response")
            self._cell.observer.doubled.add(event.id)

    async def _submit_task(self, event: TaskEvent) -> None:
        payload: dict[str, object] = {"outcome": event.outcome}
        if event.real_runtime_s is not None:
            payload["real_runtime_s"] = event.real_runtime_s
        if event.real_memory_gb is not None:
            payload["real_memory_gb"] = event.real_memory_gb
        submission = TaskSubmission(
            id=event.id,
            kind=Kind(event.kind),
            processors=event.processors,
            memory_gb=event.memory_gb,
            accelerators=event.accelerators,
            runtime_s=event.runtime_s,
            worth=event.worth,
            payload=payload,
        )
        self._customer_by_task[event.id] = event.customer
        response = await self._send_until_certain(
            "POST", "/tasks", event.customer, msgspec.json.encode(submission)
        )
        if response is not None and response.status == 202:
            self._accepted.add(event.id)
        else:
            status = None if response is None else response.body.decode()
            self._report_progress(f"task {event.id} not accepted: {status}")

    async def _cancel_task(self, event: CancelEvent) -> None:
        customer = self._customer_by_task[event.id]
        await self._send_until_certain("DELETE", f"/tasks/{event.id}", customer, b"")

    async def _edit_list(self, event: EditEvent) -> None:
        response = await self._send_until_certain("GET", "/lists", "operator", b"")
        assert response is not None
        lists = msgspec.json.decode(response.body, type=Lists)
        edit = Edit(
            list=event.list,
            change=event.change,
            based_on=lists.version,
            author="trace",
            token=f"trace-{event.at}-{lists.version}",
        )
        body = msgspec.json.encode(edit)
        edit_response = await self._send_until_certain(
            "POST", "/lists", "operator", body
        )
        status = None if edit_response is None else edit_response.status
        self._report_progress(
            f"edit of {event.list.value} {event.change}: status {status}"
        )

    async def _inject_fault(self, event: FaultEvent) -> None:
        self._report_progress(f"fault: {event.what.value} {event.target}")
        cell, faults = self._cell, self._cell.table.faults
        if event.what is FaultKind.STORE_DOWN:
            faults.is_down = True
            await trio.sleep(event.for_s)
            faults.is_down = False
        elif event.what is FaultKind.STORE_SLOW:
            faults.delay_s = _STORE_DELAY_S
            await trio.sleep(event.for_s)
            faults.delay_s = 0.0
        elif event.what is FaultKind.STORE_ANSWER_LOST:
            faults.lost_answers += 1
        elif event.what is FaultKind.UPSTREAM_DRAIN:
            await cell.upstream_by_name[event.target].shut_down()
        elif event.what is FaultKind.WORKER_LOST:
            cell.lose_worker(event.target)
        else:
            cell.kill(event.target)

    async def _send_until_certain(
        self, method: str, target: str, customer: str, body: bytes
    ) -> HttpResponse | None:
        """Send a request until its outcome is certain, or `_MAX_ATTEMPTS` times."""
        request = HttpRequest(
            method=method,
            target=target,
            header_by_name={"x-customer": customer},
            body=body,
        )
        response: HttpResponse | None = None
        for _ in range(_MAX_ATTEMPTS):
            try:
                response = await self._client.send(self._next_entry(), request)
            except CommunicationError as error:
                self._report_progress(f"{method} {target}: {error}")
            else:
                if response.status not in (503, 504):
                    return response
            await trio.sleep(_RETRY_INTERVAL_S)
        return response

    def _next_entry(self) -> Address:
        """Return the next entry's address, round robin as a load balancer does."""
        entries = self._cell.live_entries()
        entry = entries[next(self._entry_counter) % len(entries)]
        return entry.describe().http

    def _rows(self) -> dict[str, TaskRow]:
        rows = [
            row.decode(TaskRow)
            for key, row in self._cell.table.row_by_key.items()
            if key.startswith("task/")
        ]
        return {row.spec.task.partition("/")[2]: row for row in rows}

    def _unfinished_tasks(self) -> list[str]:
        rows = self._rows()
        return [t for t in self._accepted if t in rows and not rows[t].state.is_final]

    def _report(self) -> Report:
        rows = self._rows()
        statuses = list(self._status_by_request.values())
        observer = self._cell.observer
        return Report(
            trace=self._name,
            requests=len(statuses),
            answered=statuses.count(200),
            refused=statuses.count(503) + statuses.count(403),
            unknown=statuses.count(504) + statuses.count(502),
            tasks=len(self._accepted),
            finished=sum(row.state is TaskState.FINISHED for row in rows.values()),
            evictions=sum(row.evictions for row in rows.values()),
            lost=len(self._find_lost(rows)),
            doubled=len(observer.doubled),
            overcommitted=observer.overcommitted,
            false_refusals=self._false_refusals,
            latency_ms={
                kind: _summarize(values)
                for kind, values in sorted(self._latencies_by_kind.items())
            },
        )

    def _find_lost(self, rows: dict[str, TaskRow]) -> list[str]:
        """Return accepted tasks that are not final, or finished without a success."""
        lost = []
        for task in sorted(self._accepted):
            row = rows.get(task)
            if (
                row is None
                or not row.state.is_final
                or (
                    row.state is TaskState.FINISHED
                    and self._cell.observer.finishes_by_task[row.spec.task] < 1
                )
            ):
                lost.append(task)
        return lost


def _summarize(values: list[float]) -> LatencySummary:
    ordered = sorted(values)

    def at(part: float) -> float:
        return round(ordered[min(len(ordered) - 1, math.floor(part * len(ordered)))], 2)

    return LatencySummary(count=len(ordered), p50=at(0.50), p99=at(0.99))
