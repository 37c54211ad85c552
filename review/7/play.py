"""A status report whose address can't be read ends the attendant's process."""

from __future__ import annotations

import json
import time
from datetime import timedelta
from pathlib import Path

import trio

from coltsfoottray.errors import CommunicationError
from coltsfoottray.http import HttpClient, HttpRequest
from review.deployment import Script, main, make_body
from soak.site import WORKERS

_HEARTBEATS_PORT = 7004
_JOB = "b" * 16
_TASK = f"{_JOB}.0.0.0"
# The address has lost a part; without the disruption it is the worker's own.
_UNREADABLE = "127..0.9:7010"
_HEARTBEAT_S = 1.1
_REPORTS = 12


class _UnreadableAddress(Script):
    async def play(self) -> list[str]:
        lasting = make_body({"lasts": True}, longRunning=True)
        await self.call_any("POST", _JOB, lasting)
        await trio.sleep(3.0)
        for _ in range(_REPORTS):
            for worker in WORKERS:
                await self._report(worker)
            await trio.sleep(_HEARTBEAT_S)
        return [
            f"{name}'s attendant ended by itself {len(program.violations)} times"
            for name, program in self.site.program_by_name.items()
            if program.violations
        ]

    async def _report(self, worker: str) -> None:
        """Send the attendant of a worker a report of another writer."""
        stand_in = self.site.worker_by_name[worker]
        if not self.has_trouble:
            await stand_in.send_heartbeat()
            return
        body = {
            "service": "svc",
            "address": _UNREADABLE,
            "zone": stand_in.data_centre,
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "coldRemainingMs": 0,
            "capacity": {"cpu": 8000, "memoryLimitMb": 64_000, "gpu": 0},
            "labels": ["a", "r1"],
            "clockMs": 1,
            "sequence": 1,
            "born": int(time.time() * 1000),
        }
        request = HttpRequest(
            method="POST",
            target="/v1/instances/i-other/heartbeat",
            header_by_name={"content-type": "application/json"},
            body=json.dumps(body).encode(),
        )
        attendant = self.site.address(worker, _HEARTBEATS_PORT)
        try:
            response = await HttpClient().send(
                attendant, request, timeout=timedelta(seconds=1)
            )
        except CommunicationError as error:
            self.note(f"report at {worker}'s attendant: no answer ({error})")
            return
        self.note(f"report at {worker}'s attendant: {response.status}")


if __name__ == "__main__":
    main(_UnreadableAddress(), Path(__file__).parent)
