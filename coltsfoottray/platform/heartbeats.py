"""Handler of workers' heartbeats, in the platform's wire format."""

from __future__ import annotations

import re

from returns.result import Failure

from coltsfoottray.agent.attendant import TaskAttendant
from coltsfoottray.http import HttpRequest, HttpResponse
from coltsfoottray.intake import Turns
from coltsfoottray.intake.turns import weigh_json
from coltsfoottray.logs import log_event
from coltsfoottray.platform.instance import parse_heartbeat

__all__ = ["HeartbeatHandler"]

_PATH = re.compile(r"/v1/instances/([!-.0-~]{1,200})/(heartbeat|deregister)")


class HeartbeatHandler:
    """Passes heartbeats and deregistrations on to the attendant.

    Parameters
    ----------
    turns : Turns, optional
        In which large heartbeats are decoded; by default those of this handler.
    """

    def __init__(self, *, attendant: TaskAttendant, turns: Turns | None = None) -> None:
        self._attendant = attendant
        self._turns = turns or Turns()

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Return the response to one heartbeat or deregistration."""
        match = _PATH.fullmatch(request.path)
        if request.method != "POST" or match is None:
            return HttpResponse(status=404)
        instance, action = match.groups()
        if action == "deregister":
            self._attendant.handle_deregistration(instance)
            return HttpResponse.of_json({})
        async with self._turns.turn(weigh_json(request.body)):
            heartbeat = parse_heartbeat(instance, request.body)
        if isinstance(heartbeat, Failure):
            log_event(
                "worker:heartbeat-unreadable",
                instance=instance,
                reason=heartbeat.failure(),
            )
            return HttpResponse(status=400)
        self._attendant.handle_heartbeat(heartbeat.unwrap())
        return HttpResponse.of_json({})
