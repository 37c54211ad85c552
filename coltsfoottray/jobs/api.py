"""Jobs handed in, cancelled and asked for, at any entry.

The table alone decides: a job is accepted once its row stands, under the id that
its caller chose, so that a repeat at another entry finds it. An answer that was
lost leaves open whether the row stands; then nothing is refused that might run.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass
from datetime import timedelta

import trio
from returns.result import Failure

from coltsfoottray.clock import Clock, as_milliseconds
from coltsfoottray.jobs.config import Queue
from coltsfoottray.jobs.keys import accepted_key, cancel_key
from coltsfoottray.jobs.mirror import Mirror
from coltsfoottray.jobs.model import AcceptedJob, JobId, JobSpec
from coltsfoottray.jobs.records import JobState
from coltsfoottray.jobs.view import JobsView
from coltsfoottray.logs import log_event
from coltsfoottray.metrics import Metrics
from coltsfoottray.platform import Put, TableUnavailable, Transaction, WatchedTable
from coltsfoottray.scheduler.service import Scheduler

__all__ = ["JobAnswer", "JobApi", "Verdict"]

# The table's refusals pass in a fraction of a second, its outages take seconds.
_RETRY = timedelta(milliseconds=100)
_RETRY_FOR = timedelta(milliseconds=300)

# What is left of a caller's deadline for the answer's way back; of a short one half.
_ANSWER_MARGIN = timedelta(milliseconds=250)

# A table that has not answered for so long is taken to be down: longer than a
# connection that broke takes to be replaced. An outage lasts seconds, and whoever is
# held meanwhile could have been told when to come back.
_LOST = timedelta(milliseconds=600)

# Jobs of which it is open whether they are stored; each is asked for again within a
# caller's deadline of 3 s, at a few a second while the table is down.
_MAX_OPEN = 1000

# An outage seen so far lasts some seconds more; a caller that comes back after
# one finds it over or is told so again at once.
_COME_BACK = timedelta(seconds=1)


class Verdict(enum.Enum):
    """What became of a call about a job."""

    DONE = "done"
    NOT_DONE = "not-done"
    """Certainly nothing was and will be done; the caller may come back."""
    UNKNOWN = "unknown"
    NO_JOB = "no-job"


@dataclass(frozen=True, kw_only=True)
class JobAnswer:
    """The answer to a caller.

    Parameters
    ----------
    come_back : timedelta, optional
        Where nothing was done: when to try again.
    """

    verdict: Verdict
    state: JobState | None = None
    retry_after: timedelta | None = None


_DONE = JobAnswer(verdict=Verdict.DONE)
_NOT_DONE = JobAnswer(verdict=Verdict.NOT_DONE, retry_after=_COME_BACK)
_UNKNOWN = JobAnswer(verdict=Verdict.UNKNOWN)
_NO_JOB = JobAnswer(verdict=Verdict.NO_JOB)


class JobApi:
    """Answers callers from the table, the view of it and the scheduler."""

    def __init__(
        self,
        *,
        table: WatchedTable,
        mirror: Mirror,
        view: JobsView,
        scheduler: Scheduler,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._table = table
        self._mirror = mirror
        self._view = view
        self._scheduler = scheduler
        self._clock = clock
        self._metrics = metrics
        self._open: dict[JobId, None] = {}

    async def submit(
        self, queue: Queue, job_id: JobId, spec: JobSpec, *, deadline: timedelta
    ) -> JobAnswer:
        """Accept a job, once however often it comes."""
        begun = self._clock.elapsed()
        if job_id in self._view.job_by_id:
            return _DONE
        job = AcceptedJob(
            id=job_id,
            queue=queue.name,
            terms=queue.terms,
            spec=spec,
            accepted_ms=as_milliseconds(self._clock.now()),
        )
        put = Put.of(accepted_key(job_id), 0, job)
        answer = await self._write(Transaction(puts=[put]), deadline)
        answer = self._apply_earlier_outcome(job_id, answer)
        log_event(
            "decision:submit",
            job=job_id,
            queue=queue.name,
            priority=queue.terms.priority,
            verdict=answer.verdict.value,
            table_age_s=self._mirror.age_s(),
        )
        self._metrics.time(
            "submit", self._clock.elapsed() - begun, verdict=answer.verdict.value
        )
        if answer.verdict is Verdict.DONE:
            self._view.job_by_id.setdefault(job_id, job)
        return answer

    def _apply_earlier_outcome(self, job_id: JobId, answer: JobAnswer) -> JobAnswer:
        """Return what can be said of a job, given what was said of it before.

        The write of an earlier attempt may have taken effect, or may still. That the
        job will never run would then be wrong, although this attempt wrote nothing.
        """
        if answer.verdict is Verdict.UNKNOWN:
            self._open[job_id] = None
            if len(self._open) > _MAX_OPEN:
                del self._open[next(iter(self._open))]
        elif answer.verdict is Verdict.DONE:
            self._open.pop(job_id, None)
        elif job_id in self._open:
            return _UNKNOWN
        return answer

    async def notify_scheduler(self, job_id: JobId) -> None:
        """Let the scheduler know of a job accepted here."""
        job = self._view.job_by_id.get(job_id)
        if job is not None:
            await self._scheduler.notify_accepted(job)

    async def cancel(self, job_id: JobId, *, deadline: timedelta) -> JobAnswer:
        """Cancel a job; one that has ended stays as it is."""
        try:
            if not await self._exists(job_id):
                return _NO_JOB
        except TableUnavailable as error:
            log_event("decision:cancel-refused", job=job_id, reason=str(error))
            return _NOT_DONE
        put = Put.of(cancel_key(job_id), 0, {"job": job_id})
        answer = await self._write(Transaction(puts=[put]), deadline)
        log_event("decision:cancel", job=job_id, verdict=answer.verdict.value)
        if answer.verdict is Verdict.DONE:
            self._view.cancelled.add(job_id)
            await self._scheduler.notify_cancelled(job_id)
        return answer

    async def state(self, job_id: JobId) -> JobAnswer:
        """Return a job's state; that there is none is said only with proof."""
        try:
            if not await self._exists(job_id):
                return _NO_JOB
        except TableUnavailable as error:
            log_event("decision:state-refused", job=job_id, reason=str(error))
            return _NOT_DONE
        state = self._view.state_of(job_id)
        if not state.is_final:
            # The view is a little old; an end is worth asking for.
            newer = await self._scheduler.query_state(job_id)
            state = newer or state
        return JobAnswer(verdict=Verdict.DONE, state=state)

    def pending(self, queue: Queue) -> int:
        """Count the jobs of a queue of which no task has been started."""
        return self._view.pending(queue.name)

    async def _exists(self, job_id: JobId) -> bool:
        if job_id in self._view.job_by_id:
            return True
        row = await self._table.get(accepted_key(job_id))
        if row is None:
            return False
        self._view.apply(row)
        return True

    async def _write(self, transaction: Transaction, deadline: timedelta) -> JobAnswer:
        """Write a row that says the same whoever writes it.

        A conflict therefore means that it stands already. Sent again after a lost
        answer it can take effect once at most.
        """
        started = self._clock.elapsed()
        is_uncertain = False
        is_attempted = False
        left = max(deadline - _ANSWER_MARGIN, deadline / 2)
        if self._mirror.failing_for() > _LOST:
            return _NOT_DONE
        with trio.move_on_after(left.total_seconds()):
            while True:
                is_attempted = True
                try:
                    outcome = await self._table.commit(transaction)
                    if isinstance(outcome, Failure):
                        log_event("jobs:already-stored", key=transaction.puts[0].key)
                    return _DONE
                except TableUnavailable as error:
                    is_uncertain = is_uncertain or not error.is_unwritten
                    is_attempted = False
                    log_event("jobs:write-failed", reason=str(error))
                waited = self._clock.elapsed() - started
                if not is_uncertain and waited > _RETRY_FOR:
                    return _NOT_DONE
                if self._mirror.failing_for() > _LOST:
                    return _UNKNOWN
                await self._clock.sleep(_RETRY)
        # A write cut off in the middle may take effect.
        return _UNKNOWN if is_uncertain or is_attempted else _NOT_DONE
