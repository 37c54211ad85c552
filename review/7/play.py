"""A job starts after the answer to its cancelling, as its acceptance is stored late."""

from __future__ import annotations

import json
from datetime import timedelta
from functools import partial
from pathlib import Path
from random import Random
from typing import Any

import trio

from coltsfoottray.errors import CommunicationError
from coltsfoottray.http import HttpClient, HttpRequest, HttpResponse
from review.deployment import NO_ANSWER, Script, SmallSite, main, make_body
from soak.site import CALLERS, ENTRIES, HOST, PATH
from standins.metadata_table import MetadataTableStandIn

# `platform_lost` as in the site's days: this share of the writes for this long, carried
# out 1 to 6 s later.
_LOST_SHARE = 0.45
_LOST_S = 4.9
_MIN_LATE_S, _MAX_LATE_S = 1.0, 6.0
_SEED = 57
# `give_up` as in the site's days: two of five consumers leave after this time.
_LEAVING, _OF = 2, 5
_PATIENCE = timedelta(milliseconds=900)
_TIME_BUDGET = timedelta(seconds=3)
_JOBS = 40
_CANCEL_S = 3.0
_STOP_S = 0.9
_CONTACT_S = 3.0
_WATCHED_S = 12.0


class _Store(MetadataTableStandIn):
    """A store that loses the answers of a share of the writes for a while."""

    nursery: trio.Nursery
    until = 0.0
    random = Random(_SEED)
    lost = 0

    async def _transact(self, tx: Any, *, size_bytes: int) -> HttpResponse:
        is_lost = self.random.random() < _LOST_SHARE
        if trio.current_time() >= self.until or not is_lost:
            return await super()._transact(tx, size_bytes=size_bytes)
        self.lost += 1
        self.nursery.start_soon(self._apply_late, tx, size_bytes)
        await trio.sleep_forever()
        raise AssertionError

    async def _apply_late(self, tx: Any, size_bytes: int) -> None:
        await trio.sleep(self.random.uniform(_MIN_LATE_S, _MAX_LATE_S))
        await super()._transact(tx, size_bytes=size_bytes)


class _LateAcceptance(Script):
    def make_site(self, **arguments: Any) -> SmallSite:
        self.store = _Store()
        self.store.nursery = arguments["nursery"]
        return super().make_site(**arguments, table=self.store)

    async def play(self) -> list[str]:
        if self.has_trouble:
            self.store.until = trio.current_time() + _LOST_S
            self.note(f"the store loses {_LOST_SHARE} of the writes for {_LOST_S} s")
        lost_until = self.now + _LOST_S
        self.cancelled_at: dict[str, float] = {}
        async with trio.open_nursery() as nursery:
            for number in range(_JOBS):
                nursery.start_soon(self._consume, f"{number:016x}", number)
                await trio.sleep(_LOST_S / _JOBS)
        self.note(f"{self.store.lost} writes got no answer")
        await trio.sleep_until(
            self._began_at + lost_until + _MAX_LATE_S + _CONTACT_S + _CANCEL_S
        )
        return await self._find_running()

    async def _consume(self, job: str, number: int) -> None:
        """Submit a job; a consumer that leaves cancels it at another entry."""
        body = make_body({"lasts": True}, longRunning=True, cpu=100)
        entry = ENTRIES[number % len(ENTRIES)]
        leaves = number % _OF < _LEAVING
        await self._submit(entry, job, body, _PATIENCE if leaves else _TIME_BUDGET)
        if not leaves:
            return
        for attempt in range(1, 20):
            other = ENTRIES[(number + attempt) % len(ENTRIES)]
            answer = await self.call(other, "DELETE", job)
            if answer.status in (200, 410):
                self.cancelled_at[job] = self.now
                return
            await trio.sleep(0.3)

    async def _submit(
        self, entry: str, job: str, body: object, patience: timedelta
    ) -> int:
        request = HttpRequest(
            method="POST",
            target=PATH + job,
            header_by_name={"host": HOST, "deadline-ms": "3000"},
            body=json.dumps(body).encode(),
        )
        client = HttpClient()
        send = partial(client.send, self.site.address(entry, CALLERS), request)
        try:
            status = (await send(timeout=patience)).status
        except CommunicationError:
            status = NO_ANSWER
        client.close()
        self.note(f"call: POST {job} at {entry}: {status or 'none'}")
        return status

    async def _find_running(self) -> list[str]:
        """Return the jobs that run although their cancelling was acknowledged."""
        late = {
            task: self.now - self.cancelled_at[task.split(".")[0]]
            for task, workers in self.running.items()
            if workers and task.split(".")[0] in self.cancelled_at
        }
        for job in {task.split(".")[0] for task in late}:
            await self.call_any("GET", job)
        return [
            f"{task} runs {since:.1f} s after its job's DELETE was acknowledged"
            for task, since in late.items()
            if since > _CANCEL_S + _STOP_S
        ]


if __name__ == "__main__":
    main(_LateAcceptance(), Path(__file__).parent)
