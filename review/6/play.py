"""Status reports with missing fields take the place of sound workers."""

from __future__ import annotations

import json
import time
from datetime import timedelta
from pathlib import Path

import trio

from coltsfoottray.http import HttpClient, HttpRequest
from review.deployment import Script, main, make_body
from soak.site import WORKERS

_HEARTBEATS_PORT = 7004
_NOBODY_PORT = 7010
_EARLIER, _LATER = "b" * 16, "c" * 16
# A job is lost if nothing of it runs for 3 s, after 4 s without a disruption.
_CALM_S = 4.0
_MAX_IDLE_S = 3.0
# A task that lasts may be away for 6 s after its last run.
_AFTER_LAST_RUN_S = 6.0
_WATCHED_S = 45.0


class _StrayReport(Script):
    async def play(self) -> list[str]:
        lasting = make_body({"lasts": True}, longRunning=True)
        await self.call_any("POST", _EARLIER, lasting)
        await trio.sleep(3.0)
        for worker in WORKERS:
            await self._report(worker)
        reported_at = self.now
        await trio.sleep(_CALM_S)
        await self.call_any("POST", _LATER, lasting)
        return await self._watch(reported_at)

    async def _report(self, worker: str) -> None:
        """Send the attendant of a worker a report of another writer.

        The fields `labels`, `version`, `slots`, `coldRemainingMs` and `clockMs` are
        missing. Without the disruption, the worker sends one more report of its own.
        """
        stand_in = self.site.worker_by_name[worker]
        if not self.has_trouble:
            await stand_in.send_heartbeat()
            return
        body = {
            "service": "svc",
            "address": str(self.site.address(worker, _NOBODY_PORT)),
            "zone": stand_in.data_centre,
            "state": "ready",
            "capacity": {"cpu": 8000, "memoryLimitMb": 64_000},
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
        response = await HttpClient().send(
            attendant, request, timeout=timedelta(seconds=1)
        )
        self.note(f"report at {worker}'s attendant: {body}: {response.status}")

    async def _watch(self, reported_at: float) -> list[str]:
        """Return which jobs had nothing running for too long."""
        last_run = dict.fromkeys((_EARLIER, _LATER), self.now)
        longest = dict.fromkeys(last_run, 0.0)
        end = reported_at + _WATCHED_S
        while self.now < end:
            await trio.sleep(0.05)
            for job in last_run:
                if self.running.get(f"{job}.0.0.0"):
                    last_run[job] = self.now
                longest[job] = max(longest[job], self.now - last_run[job])
        await self.call_any("GET", _EARLIER)
        await self.call_any("GET", _LATER)
        return [
            f"nothing of {job} ran for {idle_s:.1f} s, with three sound, idle workers"
            for job, idle_s in longest.items()
            if idle_s > _AFTER_LAST_RUN_S + _MAX_IDLE_S
        ]


if __name__ == "__main__":
    main(_StrayReport(), Path(__file__).parent)
