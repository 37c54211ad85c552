"""One soak: a site, its callers and a plan of faults, played from one seed."""

from __future__ import annotations

import tempfile
from collections.abc import Sequence
from dataclasses import dataclass, field
from datetime import timedelta
from pathlib import Path
from random import Random

import trio

from coltsfoottray.errors import CommunicationError
from coltsfoottray.http import HttpClient, HttpRequest
from coltsfoottray.types import Address
from soak.callers import Caller
from soak.injector import Injector
from soak.judge import Judge
from soak.plan import Fault, make_plan
from soak.site import CALLERS, ENTRIES, READINESS, WORKERS, Site

__all__ = ["Outcome", "Soak"]

_CALLER_COUNT = 4
_STARTUP_TIMEOUT_S = 60.0
_READY_TIMEOUT = timedelta(seconds=1)
_POLL_INTERVAL_S = 0.05
# The decisions under overload are on for every other seed.
_OVERLOAD = {"order": "least-cost", "admission": "useful"}


@dataclass(kw_only=True)
class Outcome:
    """What a soak found.

    Parameters
    ----------
    tally : dict
        Counts of what happened, by name.
    """

    seed: int
    folder: Path
    plan: Sequence[Fault]
    violations: list[str] = field(default_factory=list)
    tally: dict[str, float] = field(default_factory=dict)


@dataclass(kw_only=True)
class Soak:
    """Plays one seed.

    Parameters
    ----------
    seconds : float
        Time for which faults are injected.
    settle_s : float
        Time after it within which all accepted jobs end.
    planted : str
        Name of a fault in the code of the programs; empty for none.
    """

    seed: int
    seconds: float
    settle_s: float
    planted: str = ""
    max_lag_s: float = 0.0

    async def play(self) -> Outcome:
        """Play the seed, and end all processes also if that fails."""
        plan = make_plan(
            self.seed,
            seconds=self.seconds,
            entries=ENTRIES,
            workers=WORKERS,
        )
        folder = Path(tempfile.mkdtemp(prefix=f"soak-{self.seed}-"))
        outcome = Outcome(seed=self.seed, folder=folder, plan=plan)
        async with trio.open_nursery() as nursery:
            site = Site(
                nursery=nursery,
                folder=folder,
                planted=self.planted,
                overload=_OVERLOAD if self.seed % 2 else {},
                has_proxies=True,
            )
            nursery.start_soon(self._measure_lag)
            try:
                await site.start()
                await self._play_on(site, outcome)
            finally:
                site.close()
            nursery.cancel_scope.cancel()
        return outcome

    async def _play_on(self, site: Site, outcome: Outcome) -> None:
        judge = Judge(site=site, settle_s=self.settle_s)
        callers = [self._make_caller(n, site, judge) for n in range(_CALLER_COUNT)]
        injector = Injector(site=site)
        if not await _wait_until_ready(site):
            outcome.violations.append("the entries did not become ready")
            return
        with trio.move_on_after(self.seconds):
            async with trio.open_nursery() as nursery:
                for caller in callers:
                    nursery.start_soon(caller.run)
                await injector.play(outcome.plan)
                await trio.sleep_forever()
        await injector.heal()
        healed_at = trio.current_time()
        await judge.wait_for_ends(callers)
        jobs = [job for caller in callers for job in caller.jobs]
        outcome.violations = judge.conclude(jobs)
        outcome.tally = {
            "jobs": len(jobs),
            "accepted": sum(job.is_accepted for job in jobs),
            "refused": sum(job.is_refused for job in jobs),
            "cancelled": sum(job.is_cancel_requested for job in jobs),
            "answers": sum(len(job.states) for job in jobs),
            "stale": judge.stale_count,
            "starts": len(site.observer.starts),
            "processes": sum(p.start_count for p in site.program_by_name.values()),
            "faults": len(outcome.plan),
            "settle_s": round(trio.current_time() - healed_at, 1),
            "max_lag_s": round(self.max_lag_s, 2),
        }

    def _make_caller(self, number: int, site: Site, judge: Judge) -> Caller:
        return Caller(
            number=number,
            random=Random(f"{self.seed}/caller-{number}"),
            addresses=[site.address(entry, CALLERS) for entry in ENTRIES],
            on_state=judge.hear_state,
        )

    async def _measure_lag(self) -> None:
        """Measure by how much this process runs late."""
        while True:
            due = trio.current_time() + _POLL_INTERVAL_S
            await trio.sleep_until(due)
            self.max_lag_s = max(self.max_lag_s, trio.current_time() - due)


async def _wait_until_ready(site: Site) -> bool:
    client = HttpClient()
    with trio.move_on_after(_STARTUP_TIMEOUT_S) as scope:
        for entry in ENTRIES:
            while not await _is_ready(client, site.address(entry, READINESS)):
                await trio.sleep(_POLL_INTERVAL_S)
    client.close()
    return not scope.cancelled_caught


async def _is_ready(client: HttpClient, address: Address) -> bool:
    request = HttpRequest(method="GET", target="/")
    try:
        response = await client.send(address, request, timeout=_READY_TIMEOUT)
    except CommunicationError:
        return False
    return response.status == 200
