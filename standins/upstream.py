"""Instance of an upstream service."""

from __future__ import annotations

import trio

from coltsfoottray.http import HttpRequest, HttpResponse
from standins.observer import Observer

__all__ = ["UpstreamStandIn"]


class UpstreamStandIn:
    """Answers each request after `x-service-ms` with the request's id and body."""

    def __init__(self, *, observer: Observer, name: str = "") -> None:
        self._observer = observer
        self._name = name

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Run one request."""
        header = request.header_by_name
        request_id = header["x-request"]
        self._observer.runs_by_instance[self._name] += 1
        is_idempotent = header.get("x-idempotent", "true") != "false"
        self._observer.begin_request(request_id, is_idempotent=is_idempotent)
        try:
            await trio.sleep(float(header.get("x-service-ms", "1")) / 1000)
        finally:
            self._observer.end_request(request_id)
        return HttpResponse(
            status=200,
            header_by_name={"x-answer-to": request_id, "content-type": "text/plain"},
            body=b"answer to " + request_id.encode() + b": " + request.body,
        )
