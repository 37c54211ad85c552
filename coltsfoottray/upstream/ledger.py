"""The executions that an attendant records, by request id."""

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
    """Progress of a request at this instance."""

    WAITING = "waiting"
    RUNNING = "running"
    ANSWERED = "answered"
    UNKNOWN = "unknown"
    TOMBSTONED = "tombstoned"


_FINAL_STATES = frozenset(
    {ExecutionState.ANSWERED, ExecutionState.UNKNOWN, ExecutionState.TOMBSTONED}
)


@dataclass(kw_only=True)
class Execution:
    """The execution of one request id at this instance.

    Parameters
    ----------
    attempt : int
        The attempt that delivered the request, or the highest attempt
        that was cancelled.
    changed_at : timedelta
        When the execution was added or ended, by the attendant's clock.
    cancelled_attempt : int, optional
        The highest attempt that was cancelled before this one was admitted.
    response : HttpResponse, optional
        The complete response, unless it has been dropped to save memory.
    ended : trio.Event
        Set once the state is final.
    """

    request: RequestId
    attempt: int
    state: ExecutionState
    changed_at: timedelta
    cancelled_attempt: int | None = None
    response: HttpResponse | None = None
    ended: trio.Event = field(default_factory=trio.Event)

    @property
    def has_ended(self) -> bool:
        """Whether the state is final."""
        return self.state in _FINAL_STATES


class ExecutionLedger:
    """Records executions so that no request id starts twice at this instance.

    Parameters
    ----------
    retention : timedelta
        How long the id and response of an ended execution are kept. A request that
        is repeated later than this is treated as new.
    max_response_bytes : int
        Maximum total size of the stored response bodies. Beyond it the oldest
        responses are dropped while their ids stay: such a request still never
        starts again, but its response is no longer available.
    """

    def __init__(
        self, *, clock: Clock, retention: timedelta, max_response_bytes: int
    ) -> None:
        self._clock = clock
        self._retention = retention
        self._max_response_bytes = max_response_bytes
        self._stored_bytes = 0
        self._execution_by_id: dict[RequestId, Execution] = {}

    def find(self, request: RequestId) -> Execution | None:
        """Return the execution of `request`, or None if its id is not recorded."""
        return self._execution_by_id.get(request)

    def admit(self, request: RequestId, attempt: int) -> Execution | None:
        """Add and return a new execution, or None if `request` is already recorded.

        A cancelled id may start with a higher attempt, because its sender knew of
        the cancellation.
        """
        self._remove_expired()
        existing = self._execution_by_id.get(request)
        if existing is not None:
            is_cancelled = existing.state is ExecutionState.TOMBSTONED
            if not is_cancelled or attempt <= existing.attempt:
                return None
            del self._execution_by_id[request]
        execution = self._add(request, attempt, ExecutionState.WAITING)
        if existing is not None:
            execution.cancelled_attempt = existing.attempt
        return execution

    def withdraw(self, execution: Execution) -> None:
        """Remove an execution that certainly did not start.

        Attempts that were cancelled before it stay cancelled: their messages may
        still arrive.
        """
        self._end(execution, ExecutionState.TOMBSTONED)
        del self._execution_by_id[execution.request]
        if execution.cancelled_attempt is not None:
            self.tombstone(execution.request, execution.cancelled_attempt)

    def start(self, execution: Execution) -> bool:
        """Mark as running; return False if it was tombstoned first."""
        if execution.state is not ExecutionState.WAITING:
            return False
        execution.state = ExecutionState.RUNNING
        return True

    def finish(self, execution: Execution, response: HttpResponse | None) -> None:
        """Record the complete response, or None if the outcome is unknown."""
        execution.response = response
        if response is None:
            self._end(execution, ExecutionState.UNKNOWN)
            return
        self._stored_bytes += len(response.body)
        self._end(execution, ExecutionState.ANSWERED)
        self._drop_oldest_responses()

    def tombstone(self, request: RequestId, attempt: int) -> Execution:
        """Cancel `request` unless it has started.

        After a tombstone no attempt up to `attempt` can start here, even if its
        message arrives later, so the entry may send the request to another
        instance. It is kept for the retention time from the latest cancellation on.
        """
        execution = self._execution_by_id.get(request)
        if execution is None:
            execution = self._add(request, attempt, ExecutionState.WAITING)
        execution.attempt = max(execution.attempt, attempt)
        if execution.state is ExecutionState.WAITING:
            self._end(execution, ExecutionState.TOMBSTONED)
        elif execution.state is ExecutionState.TOMBSTONED:
            # Moved to the end, so that insertion order remains the order of age.
            self._execution_by_id[request] = self._execution_by_id.pop(request)
            execution.changed_at = self._clock.elapsed()
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

    def _remove_expired(self) -> None:
        """Remove ended executions older than the retention.

        Insertion order serves as an approximation of the order in which they ended.
        """
        oldest = self._clock.elapsed() - self._retention
        while self._execution_by_id:
            first = next(iter(self._execution_by_id.values()))
            if not first.has_ended or first.changed_at > oldest:
                return
            self._drop_response(first)
            del self._execution_by_id[first.request]

    def _drop_oldest_responses(self) -> None:
        if self._stored_bytes <= self._max_response_bytes:
            return
        for execution in self._execution_by_id.values():
            self._drop_response(execution)
            if self._stored_bytes <= self._max_response_bytes:
                return

    def _drop_response(self, execution: Execution) -> None:
        if execution.response is not None:
            self._stored_bytes -= len(execution.response.body)
            execution.response = None
