"""Submission, status and cancellation of batch tasks."""

from __future__ import annotations

import msgspec
from returns.result import Failure

from coltsfoottray.entry.callers import parse_customer
from coltsfoottray.entry.problems import to_table_problem_response
from coltsfoottray.errors import InputError
from coltsfoottray.explain import Journal, Verb
from coltsfoottray.http import HttpRequest, HttpResponse, Outcome, Problem
from coltsfoottray.lists import ListHolder
from coltsfoottray.platform import TableError
from coltsfoottray.tasks import TaskRow, TaskSpec, TaskStore
from coltsfoottray.tasks.owner import QueueOwner
from coltsfoottray.types import CustomerId, Kind, Resources, TaskId

__all__ = ["BatchApi", "TaskAnswer", "TaskSubmission"]

_ACCEPTED = 202


class TaskSubmission(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """The body of `POST /tasks`."""

    id: str
    kind: Kind
    processors: float
    memory_gb: float
    runtime_s: float
    accelerators: int = 0
    worth: float = 1.0
    is_urgent: bool = False
    payload: dict[str, object] = msgspec.field(default_factory=dict)


class TaskAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """The status of a task, as returned to its customer."""

    id: str
    state: str
    attempt: int
    evictions: int
    reason: str


class BatchApi:
    """Stores submitted tasks in the table, and reads their status from it."""

    def __init__(
        self,
        *,
        store: TaskStore,
        owner: QueueOwner,
        holder: ListHolder,
        journal: Journal,
    ) -> None:
        self._store = store
        self._owner = owner
        self._holder = holder
        self._journal = journal

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Handle `POST /tasks`, `GET /tasks/ID` and `DELETE /tasks/ID`."""
        customer = parse_customer(request)
        segments = request.path.strip("/").split("/")
        try:
            if request.method == "POST" and len(segments) == 1:
                return await self._submit(customer, request)
            if request.method == "GET" and len(segments) == 2:
                return await self._get_task(customer, segments[1])
            if request.method == "DELETE" and len(segments) == 2:
                return await self._cancel(customer, segments[1])
        except TableError as error:
            return to_table_problem_response(error)
        raise InputError(
            field="request",
            value=f"{request.method} {request.path}",
            expected="POST /tasks, GET /tasks/ID or DELETE /tasks/ID",
        )

    async def _submit(self, customer: CustomerId, request: HttpRequest) -> HttpResponse:
        spec = _make_spec(customer, request.decode(TaskSubmission))
        reason = self._refusal_reason(spec)
        if reason is not None:
            self._record_decision(spec, Verb.REFUSE, "not accepted", reason)
            line = self._holder.current.line_of(customer)
            return Problem(
                outcome=Outcome.FORBIDDEN, detail=f"not accepted: {reason}; {line}"
            ).to_response()
        outcome = await self._store.accept(spec)
        if isinstance(outcome, Failure):
            return Problem(
                outcome=Outcome.CONFLICT,
                detail=f"id {spec.task!r} is already in use for a different task",
            ).to_response()
        self._record_decision(spec, Verb.ACCEPT, "queued", "within the plan")
        await self._owner.notify_owner(spec.customer, spec.task)
        return HttpResponse.of_json(_make_answer(outcome.unwrap()), status=_ACCEPTED)

    def _refusal_reason(self, spec: TaskSpec) -> str | None:
        """Return why `spec` can never run under the customer's plan.

        Returns
        -------
        str or None
            None if the task fits in the plan's allowance.
        """
        allowance = self._holder.current.allowance_of(spec.customer)
        if allowance is None:
            return "the customer has no plan"
        if not spec.demand.fits_in(allowance.resources):
            return f"{spec.demand} exceeds the total allowance of the plan"
        return None

    async def _get_task(self, customer: CustomerId, task: str) -> HttpResponse:
        stored = await self._store.find(customer, TaskId(f"{customer}/{task}"))
        if stored is None:
            return _make_not_found_response(task)
        return HttpResponse.of_json(_make_answer(stored.row))

    async def _cancel(self, customer: CustomerId, task: str) -> HttpResponse:
        task_id = TaskId(f"{customer}/{task}")
        while True:
            stored = await self._store.find(customer, task_id)
            if stored is None:
                return _make_not_found_response(task)
            if stored.row.state.is_final or await self._store.cancel(stored):
                break
        await self._owner.notify_owner(customer, task_id)
        return await self._get_task(customer, task)

    def _record_decision(
        self, spec: TaskSpec, verb: Verb, choice: str, reason: str
    ) -> None:
        self._journal.record(
            spec.task, spec.customer, verb, choice=choice, reason=reason
        )


def _make_spec(customer: CustomerId, submission: TaskSubmission) -> TaskSpec:
    if not submission.id or "/" in submission.id:
        raise InputError(field="id", value=submission.id, expected="a name without /")
    for name in ("processors", "memory_gb", "runtime_s", "accelerators"):
        value = getattr(submission, name)
        if value < 0:
            raise InputError(field=name, value=value, expected="0 or more")
    return TaskSpec(
        task=TaskId(f"{customer}/{submission.id}"),
        customer=customer,
        kind=submission.kind,
        demand=Resources(
            processors=submission.processors,
            memory_gb=submission.memory_gb,
            accelerators=submission.accelerators,
        ),
        runtime_s=submission.runtime_s,
        worth=submission.worth,
        is_urgent=submission.is_urgent,
        payload=submission.payload,
    )


def _make_answer(row: TaskRow) -> TaskAnswer:
    return TaskAnswer(
        id=row.spec.task.partition("/")[2],
        state=row.state.value,
        attempt=row.attempt,
        evictions=row.evictions,
        reason=row.reason,
    )


def _make_not_found_response(task: str) -> HttpResponse:
    return Problem(
        outcome=Outcome.NOT_FOUND, detail=f"no task {task!r} of this customer"
    ).to_response()
