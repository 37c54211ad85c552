"""Judgement of a soak by what callers were told and by what workers ran."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field

import trio

from soak.callers import Caller, JobRecord
from soak.site import PROCESSORS, Site

__all__ = ["FINAL_STATES", "Judge"]

FINAL_STATES = {"completed", "cancelled", "failed"}
_QUERY_INTERVAL_S = 0.3


@dataclass(kw_only=True)
class Judge:
    """Collects violations of the promises to callers.

    Parameters
    ----------
    settle_s : float
        Time after the end of the faults within which all accepted jobs end.
    stale_count : int
        Answers that showed a job as not ended after it was told as ended. They are
        counted but allowed, because an entry without a scheduler answers from its
        own copy.
    """

    site: Site
    settle_s: float
    violations: list[str] = field(default_factory=list)
    stale_count: int = 0

    def hear_state(self, job: JobRecord, state: str) -> None:
        """Check a state that a caller was told of an accepted job."""
        told = [each for each in job.states if each in FINAL_STATES]
        if state == "410" and not job.is_told_unknown:
            self._add(f"{job.id} was accepted, then said not to exist")
        elif state == "failed":
            self._add(f"{job.id} was said to have failed, but no task fails")
        elif state == "cancelled" and not job.is_cancel_requested:
            self._add(f"{job.id} was said to be cancelled, but no caller asked for it")
        elif state == "completed" and self._done_count(job) < job.tasks:
            self._add(f"{job.id} was said to be completed before all its tasks were")
        elif told and state not in FINAL_STATES:
            self.stale_count += 1
        elif told and state != told[-1]:
            self._add(f"{job.id} was said to be {told[-1]}, then {state}")

    async def wait_for_ends(self, callers: Sequence[Caller]) -> None:
        """Query all accepted jobs until they have ended, for at most `settle_s`."""
        with trio.move_on_after(self.settle_s):
            async with trio.open_nursery() as nursery:
                for caller in callers:
                    nursery.start_soon(self._query_until_ended, caller)

    def conclude(self, jobs: Sequence[JobRecord]) -> list[str]:
        """Return all violations once the wait for the ends is over."""
        found = [*self.violations, *self.site.observer.violations]
        found += [
            f"{job.id} has not ended: {self._describe(job)}"
            for job in jobs
            if self._is_awaited(job)
        ]
        started = {_job_of(task) for task, _, _ in self.site.observer.starts}
        found += [
            f"{job.id} was refused as without effect, but started"
            for job in jobs
            if job.is_refused and job.id in started
        ]
        found += [
            f"{job.id} started although its cancelling was answered 410"
            for job in jobs
            if job.is_told_unknown and job.id in started
        ]
        found += [
            f"{job.id} was accepted, and its cancelling was answered 410"
            for job in jobs
            if job.is_told_unknown and job.is_accepted
        ]
        found += [
            f"{job.id} started although it is never due"
            for job in jobs
            if job.is_never_due and job.id in started
        ]
        found += [
            f"{worker.name} ran {worker.max_concurrent_runs:g} tasks at a time"
            for worker in self.site.worker_by_name.values()
            if worker.max_concurrent_runs > PROCESSORS
        ]
        for program in self.site.program_by_name.values():
            program.check()
            found += program.violations
        return found

    async def _query_until_ended(self, caller: Caller) -> None:
        while unended := [job for job in caller.jobs if self._is_awaited(job)]:
            for job in unended:
                await caller.query(job)
            await trio.sleep(_QUERY_INTERVAL_S)

    def _is_awaited(self, job: JobRecord) -> bool:
        is_owed = job.is_accepted and not job.is_never_due
        return is_owed and not self._has_ended(job)

    def _has_ended(self, job: JobRecord) -> bool:
        """Return whether the job was told as ended and none of its tasks runs."""
        is_told = bool(job.states) and job.states[-1] in FINAL_STATES
        return is_told and not self._running_tasks(job)

    def _running_tasks(self, job: JobRecord) -> list[str]:
        return [
            f"{task} on {worker.name}"
            for worker in self.site.worker_by_name.values()
            for task in worker.run_by_task
            if _job_of(task) == job.id
        ]

    def _done_count(self, job: JobRecord) -> int:
        done = self.site.observer.ever_done
        return sum(_job_of(task) == job.id for task in done)

    def _describe(self, job: JobRecord) -> str:
        states = dict(Counter(job.states))
        last = job.states[-1] if job.states else "never told"
        return (
            f"last told {last}, {self._done_count(job)} of {job.tasks} tasks done, "
            f"running {self._running_tasks(job)}, told {states}, "
            f"cancel requested {job.is_cancel_requested}"
        )

    def _add(self, violation: str) -> None:
        if violation not in self.violations:
            self.violations.append(violation)


def _job_of(task: str) -> str:
    return task.split(".")[0]
