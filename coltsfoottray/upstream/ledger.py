"""What an attendant remembers of each request id."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field
from datetime import timedelta

import trio

from coltsfoottray.clock import Clock
from coltsfoottray.http import HttpResponse
from coltsfoottray.types import RequestId

__all__ = ["Execution", "ExecutionLedger", "ExecutionState"]


class ExecutionState(enum.Enum):
    """How far a request has come at this instance."""

    WAITING = "waiting"
    RUNNING = "running"
    ANSWERED = "answered"
    UNKNOWN = "unknown"
    TOMBSTONED = "tombstoned"


_ENDED = frozenset(
    {ExecutionState.ANSWERED, ExecutionState.UNKNOWN, ExecutionState.TOMBSTONED}
)


@dataclass(kw_only=True)
class Execution:
    """One request id at this instance.

    Parameters
    ----------
    attempt : int
        The sending that it came by, or the highest that was cancelled.
    """

    request: RequestId
    attempt: int
    state: ExecutionState
    changed_at: timedelta
    answer: HttpResponse | None = None
    ended: trio.Event = field(default_factory=trio.Event)

    @property
    def has_ended(self) -> bool:
        """Whether the state is final."""
        return self.state in _ENDED


class ExecutionLedger:
    """Remembers ids, so that none starts twice here.

    Parameters
    ----------
    retention : timedelta
        How long an ended id is remembered, answer and all. A caller that asks
        again later than this is treated as new here.
    answer_bytes : int
        Bound on the answers kept. Past it the oldest answers are dropped while
        their ids stay: such a request still never starts again, but its answer
        can no longer be had.
    """

    def __init__(
        self, *, clock: Clock, retention: timedelta, max_answer_bytes: int
    ) -> None:
        self._clock = clock
        self._retention = retention
        self._max_answer_bytes = max_answer_bytes
        self._held_bytes = 0
        self._execution_by_id: dict[RequestId, Execution] = {}

    def find(self, request: RequestId) -> Execution | None:
        """Return what is remembered of `request`."""
        return self._execution_by_id.get(request)

    def admit(self, request: RequestId, attempt: int) -> Execution | None:
        """Return a new execution, or None if `request` was seen before.

        A cancelled id may start by a later attempt: that one was sent by
        somebody who knew of the cancellation.
        """
        self._forget_old()
        earlier = self._execution_by_id.get(request)
        if earlier is not None:
            is_cancelled = earlier.state is ExecutionState.TOMBSTONED
            if not is_cancelled or attempt <= earlier.attempt:
                return None
            del self._execution_by_id[request]
        return self._add(request, attempt, ExecutionState.WAITING)

    def withdraw(self, execution: Execution) -> None:
        """Forget an execution that certainly did not start."""
        self._end(execution, ExecutionState.TOMBSTONED)
        del self._execution_by_id[execution.request]

    def start(self, execution: Execution) -> bool:
        """Mark as running; False if a tombstone came first."""
        if execution.state is not ExecutionState.WAITING:
            return False
        execution.state = ExecutionState.RUNNING
        return True

    def finish(self, execution: Execution, answer: HttpResponse | None) -> None:
        """Record the whole answer, or None where the upstream's fate is unknown."""
        execution.answer = answer
        if answer is None:
            self._end(execution, ExecutionState.UNKNOWN)
            return
        self._held_bytes += len(answer.body)
        self._end(execution, ExecutionState.ANSWERED)
        self._drop_answers()

    def tombstone(self, request: RequestId, attempt: int) -> Execution:
        """Cancel `request` unless it has started.

        After a tombstone no attempt up to this one can start here, also when
        the message that was to start it is still on its way. That is what lets
        an entry send the request elsewhere.
        """
        execution = self._execution_by_id.get(request)
        if execution is None:
            execution = self._add(request, attempt, ExecutionState.WAITING)
        execution.attempt = max(execution.attempt, attempt)
        if execution.state is ExecutionState.WAITING:
            self._end(execution, ExecutionState.TOMBSTONED)
        return execution

    def _add(
        self, request: RequestId, attempt: int, state: ExecutionState
    ) -> Execution:
        execution = Execution(
            request=request,
            attempt=attempt,
            state=state,
            changed_at=self._clock.elapsed(),
        )
        self._execution_by_id[request] = execution
        return execution

    def _end(self, execution: Execution, state: ExecutionState) -> None:
        execution.state = state
        execution.changed_at = self._clock.elapsed()
        execution.ended.set()

    def _forget_old(self) -> None:
        """Drop ended ids past retention; insertion order is near enough to age."""
        oldest = self._clock.elapsed() - self._retention
        while self._execution_by_id:
            first = next(iter(self._execution_by_id.values()))
            if not first.has_ended or first.changed_at > oldest:
                return
            self._release_answer(first)
            del self._execution_by_id[first.request]

    def _drop_answers(self) -> None:
        if self._held_bytes <= self._max_answer_bytes:
            return
        for execution in self._execution_by_id.values():
            self._release_answer(execution)
            if self._held_bytes <= self._max_answer_bytes:
                return

    def _release_answer(self, execution: Execution) -> None:
        if execution.answer is not None:
            self._held_bytes -= len(execution.answer.body)
            execution.answer = None
