"""Client with which an entry calls the attendants of upstreams."""

from __future__ import annotations

from datetime import timedelta

from coltsfoottray.http import HttpRequest, HttpTransport
from coltsfoottray.requests.messages import Place, RunReply, RunRequest
from coltsfoottray.types import RequestId

__all__ = ["AttendantClient"]

# An attendant answers control calls at once, so a message without a reply
# within this time is assumed to be lost.
CONTROL_TIMEOUT = timedelta(seconds=1)


class AttendantClient:
    """Runs, fetches and cancels requests at an attendant.

    Each method raises `CommunicationError` if no complete reply arrives.
    """

    def __init__(self, *, transport: HttpTransport) -> None:
        self._transport = transport

    async def run(
        self, place: Place, request: RunRequest, *, timeout: timedelta
    ) -> RunReply:
        """Start `request` at `place` and return its outcome."""
        message = request.to_http(place.incarnation)
        response = await self._transport.send(place.address, message, timeout=timeout)
        return RunReply.from_http(response)

    async def fetch(
        self, place: Place, request: RequestId, *, wait: timedelta
    ) -> RunReply:
        """Return the outcome of `request`, waiting for it up to `wait`."""
        target = f"/run?wait_ms={int(wait.total_seconds() * 1000)}"
        return await self._send_control(place, request, "GET", target, wait)

    async def cancel(self, place: Place, request: RequestId, attempt: int) -> RunReply:
        """Cancel the attempts of `request` up to `attempt`, unless it has started.

        The outcome is `NOT_RUN` if the request is cancelled.
        """
        return await self._send_control(
            place, request, "DELETE", "/run", timedelta(0), attempt=attempt
        )

    async def _send_control(
        self,
        place: Place,
        request: RequestId,
        method: str,
        target: str,
        wait: timedelta,
        attempt: int = 0,
    ) -> RunReply:
        message = HttpRequest(
            method=method,
            target=target,
            header_by_name={
                "x-request": request,
                "x-attempt": str(attempt),
                "x-incarnation": place.incarnation,
            },
        )
        response = await self._transport.send(
            place.address, message, timeout=wait + CONTROL_TIMEOUT
        )
        return RunReply.from_http(response)
