"""Service of the platform that advises which workers a queue's policy allows."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

import msgspec
import trio

from coltsfoottray.http import HttpRequest, HttpResponse

__all__ = ["AdviceStandIn"]

VALIDITY_S = 3.0
_DECISION_S = 0.1
_DECISION_PER_WORKER_S = 0.02


@dataclass(kw_only=True)
class AdviceStandIn:
    """Allows some workers and records the tickets that it issues.

    Parameters
    ----------
    allowed_workers : set of str
        Ids of the workers that it allows.
    denied_jobs : set of str
        Ids of the jobs that it allows on no worker.
    expiry_by_ticket : dict
        Time at which each issued ticket expires, in seconds.
    request_count : int
        Requests answered, without those rejected as concurrent.
    validity_s : float
        Time for which a ticket is valid.
    """

    allowed_workers: set[str] = field(default_factory=set)
    denied_jobs: set[str] = field(default_factory=set)
    expiry_by_ticket: dict[str, float] = field(default_factory=dict)
    request_count: int = 0
    is_busy: bool = False
    validity_s: float = VALIDITY_S

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer a request; a concurrent one is rejected with status 429."""
        if self.is_busy:
            return HttpResponse(status=429)
        self.is_busy = True
        try:
            return await self._answer(msgspec.json.decode(request.body))
        finally:
            self.is_busy = False

    async def _answer(self, body: dict[str, Any]) -> HttpResponse:
        self.request_count += 1
        job = body["step"].split(".")[0]
        await trio.sleep(_DECISION_S + _DECISION_PER_WORKER_S * len(body["workers"]))
        rows = []
        for worker in body["workers"]:
            if worker not in self.allowed_workers or job in self.denied_jobs:
                continue
            ticket = f"{body['step']}@{worker}#{self.request_count}"
            self.expiry_by_ticket[ticket] = trio.current_time() + self.validity_s
            rows.append([worker, ticket])
        response_body = {"allowed": rows, "validityMs": self.validity_s * 1000}
        return HttpResponse.of_json(response_body)

    def is_valid(self, ticket: str, step: str, worker: str) -> bool:
        """Return whether `ticket` allows a task of `step` to start on `worker` now."""
        expiry = self.expiry_by_ticket.get(ticket, 0.0)
        matches = ticket.startswith(f"{step}@{worker}#")
        return matches and expiry > trio.current_time()
