"""Handler of callers' HTTP requests about jobs, in the platform's wire format."""

from __future__ import annotations

import math
import re
from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import Annotated

import msgspec

from coltsfoottray.clock import as_duration
from coltsfoottray.errors import InputError
from coltsfoottray.http import HttpRequest, HttpResponse
from coltsfoottray.intake import Turns
from coltsfoottray.intake.turns import weigh_json
from coltsfoottray.jobs.api import JobAnswer, JobApi, Verdict
from coltsfoottray.jobs.config import ConfigHolder, Queue
from coltsfoottray.jobs.model import (
    MAX_TASKS,
    JobId,
    JobSpec,
    Repetition,
    StepSpec,
)
from coltsfoottray.types import Resources

__all__ = ["JobIngress"]

_JOB_ID = re.compile(r"[0-9a-fA-F]{16}")
_MILLICORES_PER_CORE = 1000.0
_MB_PER_GB = 1000.0
_DEFAULT_DEADLINE = timedelta(seconds=3)
_STATUS_BY_VERDICT = {
    Verdict.DONE: 200,
    Verdict.NOT_DONE: 503,
    Verdict.UNKNOWN: 504,
    Verdict.NO_JOB: 410,
}


# No limit above: the product's own types hold as much of a large number as they can.
_Count = Annotated[int, msgspec.Meta(ge=0)]
_Amount = Annotated[float, msgspec.Meta(ge=0)]


class _Step(msgspec.Struct, gc=False):
    count: _Count = 1
    cpu: _Amount = 0.0  # millicores
    memoryLimitMb: _Amount = 0.0  # noqa: N815  reserved for each task
    gpu: _Count = 0
    estimateMs: _Amount = 0.0  # noqa: N815
    after: list[int] = msgspec.field(default_factory=list)
    checkpointing: bool = False
    gang: bool = False
    sameRack: bool = False  # noqa: N815  a preference; tasks run slower otherwise
    requirements: str = ""  # one label that the worker must have
    affinity: str = ""  # the rack that holds the step's data
    # Despite its name not a list: the maximum number of the step's tasks per worker.
    antiAffinity: _Count = 0  # noqa: N815
    speculative: bool = False
    longRunning: bool = False  # noqa: N815
    image: str = ""
    targetMs: _Amount = 0.0  # noqa: N815
    fills: bool = False
    mayMiss: _Count = 0  # noqa: N815


class _Job(msgspec.Struct):
    # The payload passed to the tasks, not the specification of the job.
    spec: str
    steps: list[_Step]
    repetitions: int = 0
    firstRunMs: int = 0  # noqa: N815
    intervalMs: int = 0  # noqa: N815


class JobIngress:
    """Translates callers' requests into calls of `JobApi`.

    Parameters
    ----------
    spawn : callable
        Starts an async function in the background.
    turns : Turns, optional
        In which large jobs are decoded; by default those of this handler.
    """

    def __init__(
        self,
        *,
        holder: ConfigHolder,
        job_api: JobApi,
        spawn: Callable[[Callable[[], Awaitable[None]]], None],
        turns: Turns | None = None,
    ) -> None:
        self._holder = holder
        self._job_api = job_api
        self._spawn = spawn
        self._turns = turns or Turns()

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Return the response to one request."""
        if not self._holder.current.version:
            return _not_done_response(timedelta(seconds=1))
        host = request.header_by_name.get("host", "").partition(":")[0]
        queue = self._holder.current.find_queue(host, request.path)
        if queue is None:
            return HttpResponse(status=404)
        name = request.path[len(queue.path_prefix) :]
        if not name and request.method == "GET":
            return HttpResponse.of_json({"pending": self._job_api.pending(queue)})
        if not _JOB_ID.fullmatch(name):
            return _as_response(JobAnswer(verdict=Verdict.NO_JOB))
        return await self._handle_job(request, queue, JobId(name))

    async def _handle_job(
        self, request: HttpRequest, queue: Queue, job_id: JobId
    ) -> HttpResponse:
        deadline = _deadline(request, queue)
        if request.method == "POST":
            # Until the answer: a large job is held as long as the store takes.
            async with self._turns.turn(weigh_json(request.body)):
                spec = _parse_job(request)
                answer = await self._job_api.submit(
                    queue, job_id, spec, deadline=deadline
                )
            if answer.verdict is Verdict.DONE:
                self._spawn(lambda: self._job_api.notify_scheduler(job_id))
            return _as_response(answer)
        if request.method == "DELETE":
            return _as_response(await self._job_api.cancel(job_id, deadline=deadline))
        if request.method == "GET":
            return _as_response(await self._job_api.state(job_id))
        return HttpResponse(status=405)


def _deadline(request: HttpRequest, queue: Queue) -> timedelta:
    """Return the time that the caller allows, at most the queue's timeout."""
    timeout = as_duration(queue.timeout_ms)
    text = request.header_by_name.get("deadline-ms", "")
    if not text.isdecimal():
        return min(timeout, _DEFAULT_DEADLINE)
    return min(timeout, as_duration(float(text)))


def _parse_job(request: HttpRequest) -> JobSpec:
    wire = request.decode(_Job)
    # Counted first: to build a step takes many times as long as to read it.
    tasks = sum(max(1, step.count) for step in wire.steps)
    if tasks > MAX_TASKS:
        raise InputError(
            field="steps",
            value=f"{tasks} tasks",
            expected=f"at most {MAX_TASKS} tasks",
        )
    for number, step in enumerate(wire.steps):
        if step.count < 1:
            raise InputError(
                field=f"steps[{number}].count", value=step.count, expected="1 or more"
            )
        for dependency in step.after:
            if not 0 <= dependency < number:
                raise InputError(
                    field=f"steps[{number}].after",
                    value=dependency,
                    expected=f"an earlier step, 0 to {number - 1}",
                )
    repetition = None
    if wire.repetitions > 0:
        repetition = Repetition(
            times=wire.repetitions,
            first_ms=wire.firstRunMs,
            interval_ms=wire.intervalMs,
        )
    return JobSpec(
        payload=wire.spec,
        steps=[_as_step(step) for step in wire.steps],
        repetition=repetition,
    )


def _as_step(step: _Step) -> StepSpec:
    return StepSpec(
        count=step.count,
        demand=Resources(
            processors=step.cpu / _MILLICORES_PER_CORE,
            memory_gb=step.memoryLimitMb / _MB_PER_GB,
            accelerators=step.gpu,
        ),
        estimate_ms=step.estimateMs,
        after=step.after,
        has_checkpoints=step.checkpointing,
        is_gang=step.gang,
        is_one_rack=step.sameRack,
        label=step.requirements,
        data_rack=step.affinity,
        max_per_worker=step.antiAffinity,
        is_speculative=step.speculative,
        is_service=step.longRunning,
        image=step.image,
        target_latency_ms=step.targetMs,
        is_filler=step.fills,
        max_unavailable=step.mayMiss,
    )


def _as_response(answer: JobAnswer) -> HttpResponse:
    if answer.verdict is Verdict.NOT_DONE and answer.retry_after is not None:
        return _not_done_response(answer.retry_after)
    status = _STATUS_BY_VERDICT[answer.verdict]
    if answer.state is not None:
        return HttpResponse.of_json({"state": answer.state.value}, status=status)
    return HttpResponse(status=status)


def _not_done_response(retry_after: timedelta) -> HttpResponse:
    seconds = max(1, math.ceil(retry_after.total_seconds()))
    return HttpResponse(status=503, header_by_name={"retry-after": str(seconds)})
