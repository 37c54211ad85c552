"""A job that is due in the far future ends the process of each scheduler in turn."""

from __future__ import annotations

import time
from pathlib import Path

import trio

from review.deployment import Script, main, make_body
from soak.site import ENTRIES

# The largest number that a 64-bit integer holds, a usual value for "never".
_NEVER_MS = 2**63 - 1
_IN_AN_HOUR_MS = 3_600_000
_WATCHED_S = 40.0
_QUERY_INTERVAL_S = 4.0
# A fault: on two machines, processes end by themselves three times.
_MIN_MACHINES, _MIN_ENDS = 2, 3
_EARLIER, _TIMED = "a" * 16, "c" * 16


class _DueNever(Script):
    async def play(self) -> list[str]:
        lasting = make_body({"lasts": True}, longRunning=True)
        await self.call_any("POST", _EARLIER, lasting)
        await trio.sleep(2.0)
        await self.call_any("GET", _EARLIER)
        due_ms = _NEVER_MS
        if not self.has_trouble:
            due_ms = int(time.time() * 1000) + _IN_AN_HOUR_MS
        timed = make_body({"work_s": 0.5})
        timed |= {"repetitions": 1, "firstRunMs": due_ms}
        self.note(f"{_TIMED} is due at {due_ms} ms")
        await self.call_any("POST", _TIMED, timed)
        unanswered = await self._query_for(_WATCHED_S)
        return self._judge(unanswered)

    async def _query_for(self, duration_s: float) -> int:
        """Ask all entries for the earlier job; return how often none answered."""
        unanswered = 0
        end = self.now + duration_s
        while self.now < end:
            await trio.sleep(_QUERY_INTERVAL_S)
            answer = await self.call_any("GET", _EARLIER)
            unanswered += answer.status != 200
        return unanswered

    def _judge(self, unanswered: int) -> list[str]:
        ends = {
            name: len(self.site.program_by_name[name].violations) for name in ENTRIES
        }
        self.note(f"processes ended by themselves: {ends}; unanswered: {unanswered}")
        if sum(count >= _MIN_ENDS for count in ends.values()) < _MIN_MACHINES:
            return []
        return [
            f"processes of entries ended by themselves, by entry {ends}",
            f"{unanswered} queries for an accepted job got no answer at any entry",
        ]


if __name__ == "__main__":
    main(_DueNever(), Path(__file__).parent)
