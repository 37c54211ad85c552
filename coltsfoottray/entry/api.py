"""Routing of HTTP requests by path."""

from __future__ import annotations

from coltsfoottray.entry.batch import BatchApi
from coltsfoottray.entry.callers import CallerApi
from coltsfoottray.entry.operators import OperatorApi
from coltsfoottray.http import HttpRequest, HttpResponse, Outcome, Problem

__all__ = ["EntryApi"]


class EntryApi:
    """Passes each request to the API that handles its path."""

    def __init__(
        self, *, callers: CallerApi, batch: BatchApi, operators: OperatorApi
    ) -> None:
        self._callers = callers
        self._batch = batch
        self._operators = operators

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Handle one request; return a not-found problem for an unknown path."""
        prefix = request.path.split("/")[1]
        if prefix == "requests":
            return await self._callers.handle(request)
        if prefix == "tasks":
            return await self._batch.handle(request)
        if prefix in ("lists", "status", "explain", "health"):
            return await self._operators.handle(request)
        return Problem(
            outcome=Outcome.NOT_FOUND,
            detail=f"no such path: {request.path}; available are /requests, /tasks, "
            "/lists, /status, /explain and /health",
        ).to_response()
