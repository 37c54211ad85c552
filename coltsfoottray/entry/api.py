"""Which path goes to which part."""

from __future__ import annotations

from coltsfoottray.entry.batch import BatchApi
from coltsfoottray.entry.callers import CallerApi
from coltsfoottray.entry.operators import OperatorApi
from coltsfoottray.http import HttpRequest, HttpResponse, Outcome, Problem

__all__ = ["EntryApi"]


class EntryApi:
    """Hands each request to the part that answers it."""

    def __init__(
        self, *, callers: CallerApi, batch: BatchApi, operators: OperatorApi
    ) -> None:
        self._callers = callers
        self._batch = batch
        self._operators = operators

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer one request."""
        head = request.path.split("/")[1]
        if head == "requests":
            return await self._callers.handle(request)
        if head == "tasks":
            return await self._batch.handle(request)
        if head in ("lists", "status", "explain", "health"):
            return await self._operators.handle(request)
        return Problem(
            outcome=Outcome.NOT_FOUND,
            detail=f"no such path: {request.path}; there are /requests, /tasks, "
            "/lists, /status, /explain and /health",
        ).to_response()
