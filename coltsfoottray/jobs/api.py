"""Submission, cancellation and state of jobs, at any entry.

The table is authoritative: a job is accepted once its row is stored under the id that
the caller chose, so that a retry at another entry finds it. If the table's answer is
lost, the row may or may not be stored; the job is then not reported as refused,
because it might still run.

The write that accepts a job may take effect seconds after its caller has given up,
from any entry. Cancelling an unknown job therefore stores its cancellation, on
condition that the job is not accepted; each acceptance requires that there is none.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass
from datetime import timedelta

import trio
from returns.result import Failure

from coltsfoottray.clock import Clock, as_milliseconds
from coltsfoottray.errors import InputError
from coltsfoottray.jobs.admission import JobAdmission
from coltsfoottray.jobs.config import Queue
from coltsfoottray.jobs.keys import accepted_key, cancel_key
from coltsfoottray.jobs.mirror import Mirror
from coltsfoottray.jobs.model import AcceptedJob, JobId, JobSpec
from coltsfoottray.jobs.records import JobState
from coltsfoottray.jobs.view import JobsView
from coltsfoottray.logs import log_event
from coltsfoottray.metrics import Metrics
from coltsfoottray.overload.backlog import KnownBacklog
from coltsfoottray.platform import (
    ABSENT,
    MAX_VALUE_BYTES,
    Check,
    Put,
    TableConflict,
    TableError,
    TableRefused,
    TableUnavailable,
    Transaction,
    WatchedTable,
)
from coltsfoottray.scheduler.service import Scheduler

__all__ = ["JobAnswer", "JobApi", "Verdict"]

# A refusal by the table clears within a fraction of a second; an outage lasts seconds.
_RETRY_INTERVAL = timedelta(milliseconds=100)
_MAX_RETRY_TIME = timedelta(milliseconds=300)

# Part of a caller's deadline that is reserved for returning the answer. Of a short
# deadline, half is reserved.
_ANSWER_MARGIN = timedelta(milliseconds=250)

# The table counts as down once it has not answered for this long, which is more than
# it takes to replace a broken connection. An outage lasts seconds; a caller that is
# kept waiting could instead be told when to retry.
_TABLE_DOWN_AFTER = timedelta(milliseconds=600)

# Bound on the jobs that may or may not be stored. A caller retries each within its
# deadline of 3 s, and a few per second become uncertain while the table is down.
_MAX_UNCERTAIN = 1000

# The table answers a read within some ms. A job of which it does not tell in this time
# whether it is stored is not rejected.
_MAX_CHECK_TIME = timedelta(milliseconds=300)

# An outage lasts several seconds. A caller that retries after one second either
# succeeds or is refused again without delay.
_RETRY_AFTER = timedelta(seconds=1)
# What the table refuses for itself it takes only after somebody has changed something.
_RETRY_AFTER_REFUSAL = timedelta(seconds=30)


# Bound on the cancellations of jobs that were never accepted. Every entry holds them
# until they are swept; a caller cancels what it has submitted.
_MAX_PREVENTED = 10_000


class Verdict(enum.Enum):
    """Outcome of a call about a job."""

    DONE = "done"
    NOT_DONE = "not-done"
    """The call had no effect and will have none; the caller may retry."""
    UNKNOWN = "unknown"
    NO_JOB = "no-job"


@dataclass(frozen=True, kw_only=True)
class JobAnswer:
    """The answer to a caller.

    Parameters
    ----------
    retry_after : timedelta, optional
        When to retry; only with `Verdict.NOT_DONE`.
    """

    verdict: Verdict
    state: JobState | None = None
    retry_after: timedelta | None = None


_DONE = JobAnswer(verdict=Verdict.DONE)
_NOT_DONE = JobAnswer(verdict=Verdict.NOT_DONE, retry_after=_RETRY_AFTER)
_REFUSED = JobAnswer(verdict=Verdict.NOT_DONE, retry_after=_RETRY_AFTER_REFUSAL)
_UNKNOWN = JobAnswer(verdict=Verdict.UNKNOWN)
_NO_JOB = JobAnswer(verdict=Verdict.NO_JOB)


class JobApi:
    """Answers callers from the table, the view of its rows and the scheduler.

    Parameters
    ----------
    backlog : KnownBacklog
        The backlog by which jobs are rejected.
    admission : JobAdmission, optional
        Rejects jobs that can be of no use; None to accept all.
    """

    def __init__(
        self,
        *,
        table: WatchedTable,
        mirror: Mirror,
        view: JobsView,
        scheduler: Scheduler,
        clock: Clock,
        metrics: Metrics,
        backlog: KnownBacklog,
        admission: JobAdmission | None = None,
    ) -> None:
        self._table = table
        self._mirror = mirror
        self._view = view
        self._scheduler = scheduler
        self._clock = clock
        self._metrics = metrics
        self._backlog = backlog
        self._admission = admission
        self._uncertain_jobs: dict[JobId, None] = {}

    async def submit(
        self, queue: Queue, job_id: JobId, spec: JobSpec, *, deadline: timedelta
    ) -> JobAnswer:
        """Accept a job; submitting it again has no further effect.

        Raises
        ------
        InputError
            If the job is too large to be stored; it never runs.
        """
        started = self._clock.elapsed()
        if job_id in self._view.job_by_id:
            return _DONE
        if self._view.is_prevented(job_id):
            return self._refuse_cancelled(job_id)
        if self._admission is not None and job_id not in self._uncertain_jobs:
            rejected = await self._try_to_reject(
                self._admission, queue, job_id, spec, deadline
            )
            if rejected is not None:
                return rejected
            deadline -= self._clock.elapsed() - started
        job = AcceptedJob(
            id=job_id,
            queue=queue.name,
            terms=queue.terms,
            spec=spec,
            accepted_ms=as_milliseconds(self._clock.now()),
        )
        put = Put.of(accepted_key(job_id), ABSENT, job)
        if await self._is_unstorable(put, job_id, deadline):
            raise InputError(
                field="body",
                value=f"a job of {len(bytes(put.value))} bytes",
                expected=f"at most {MAX_VALUE_BYTES} bytes as stored",
            )
        transaction = Transaction(
            puts=[put], checks=[Check(key=cancel_key(job_id), version=ABSENT)]
        )
        answer, conflict = await self._write(transaction, deadline)
        if conflict is not None and not _holds(conflict, put.key):
            answer = self._refuse_cancelled(job_id)
        else:
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
            "submit", self._clock.elapsed() - started, verdict=answer.verdict.value
        )
        if answer.verdict is Verdict.DONE:
            self._view.job_by_id.setdefault(job_id, job)
        return answer

    def _refuse_cancelled(self, job_id: JobId) -> JobAnswer:
        """Return the answer to a job that was cancelled before it was accepted."""
        self._uncertain_jobs.pop(job_id, None)
        log_event("decision:refuse-cancelled", job=job_id)
        self._metrics.count("submissions_cancelled")
        return _REFUSED

    async def _try_to_reject(
        self,
        admission: JobAdmission,
        queue: Queue,
        job_id: JobId,
        spec: JobSpec,
        deadline: timedelta,
    ) -> JobAnswer | None:
        """Return the answer to a job that is not to be stored now, None for others.

        Another entry may have accepted the job since the view was updated, and an
        accepted job is never rejected. The table is therefore asked first.
        """
        rejection = admission.check(queue, job_id, spec, self._backlog)
        if rejection is None:
            return None
        is_stored = await self._check_stored(job_id, deadline)
        if is_stored is None:
            return None
        if is_stored:
            return _DONE
        admission.record(rejection)
        return JobAnswer(
            verdict=Verdict.NOT_DONE, retry_after=rejection.decision.retry_after
        )

    async def _is_unstorable(
        self, put: Put, job_id: JobId, deadline: timedelta
    ) -> bool:
        """Return whether a job is too large, and has certainly not been accepted.

        An entry of an earlier version may have accepted a larger one.
        """
        if len(bytes(put.value)) <= MAX_VALUE_BYTES or job_id in self._uncertain_jobs:
            return False
        return await self._check_stored(job_id, deadline) is False

    async def _check_stored(self, job_id: JobId, deadline: timedelta) -> bool | None:
        """Return whether a job is stored, None if the table does not tell in time."""
        if self._mirror.failing_for() > _TABLE_DOWN_AFTER:
            return None
        time_left = min(_MAX_CHECK_TIME, deadline / 2)
        with trio.move_on_after(time_left.total_seconds()):
            try:
                return await self._exists(job_id)
            except TableError as error:
                log_event("jobs:check-failed", job=job_id, reason=str(error))
        return None

    def _apply_earlier_outcome(self, job_id: JobId, answer: JobAnswer) -> JobAnswer:
        """Return the answer to a submission, given the outcome of earlier ones.

        The write of an earlier attempt may have taken effect, or may do so later. It
        would then be wrong to answer that the job never runs, although this attempt
        wrote nothing.
        """
        if answer.verdict is Verdict.UNKNOWN:
            self._uncertain_jobs[job_id] = None
            if len(self._uncertain_jobs) > _MAX_UNCERTAIN:
                del self._uncertain_jobs[next(iter(self._uncertain_jobs))]
        elif answer.verdict is Verdict.DONE:
            self._uncertain_jobs.pop(job_id, None)
        elif job_id in self._uncertain_jobs:
            return _UNKNOWN
        return answer

    async def notify_scheduler(self, job_id: JobId) -> None:
        """Notify the scheduler of a job that was accepted here."""
        job = self._view.job_by_id.get(job_id)
        if job is not None:
            await self._scheduler.notify_accepted(job)

    async def cancel(self, job_id: JobId, *, deadline: timedelta) -> JobAnswer:
        """Cancel a job; the state of one that has ended does not change.

        One that is not accepted is kept from being accepted later.
        """
        if job_id not in self._view.job_by_id:
            prevented = await self._prevent(job_id, deadline)
            if prevented is not None:
                return prevented
        put = _cancellation(job_id)
        answer, _ = await self._write(Transaction(puts=[put]), deadline)
        log_event("decision:cancel", job=job_id, verdict=answer.verdict.value)
        if answer.verdict is Verdict.DONE:
            self._view.cancelled.add(job_id)
            await self._scheduler.notify_cancelled(job_id)
        return answer

    async def _prevent(self, job_id: JobId, deadline: timedelta) -> JobAnswer | None:
        """Store that a job must not be accepted any more, unless it is already.

        Returns
        -------
        JobAnswer or None
            The answer to its caller, None if the job is accepted.
        """
        if self._view.is_prevented(job_id):
            return _NO_JOB
        if self._view.has_prevented(_MAX_PREVENTED):
            log_event("decision:cancel-refused", job=job_id, reason="too many")
            return _NOT_DONE
        put = _cancellation(job_id)
        transaction = Transaction(
            puts=[put], checks=[Check(key=accepted_key(job_id), version=ABSENT)]
        )
        answer, conflict = await self._write(transaction, deadline)
        if conflict is not None and _holds(conflict, accepted_key(job_id)):
            for row in conflict.rows:
                self._view.apply(row)
            return None
        log_event("decision:prevent", job=job_id, verdict=answer.verdict.value)
        if answer.verdict is not Verdict.DONE:
            return answer
        self._metrics.count("jobs_prevented")
        self._view.cancelled.add(job_id)
        return _NO_JOB

    async def state(self, job_id: JobId) -> JobAnswer:
        """Return a job's state; `NO_JOB` requires an answer from the table."""
        if self._view.is_prevented(job_id):
            return _NO_JOB
        try:
            if not await self._exists(job_id):
                return _NO_JOB
        except TableError as error:
            log_event("decision:state-refused", job=job_id, reason=str(error))
            return _NOT_DONE
        state = self._view.state_of(job_id)
        if not state.is_final:
            # The view lags behind the table; the job may have ended since.
            newer = await self._scheduler.query_state(job_id)
            state = newer or state
        return JobAnswer(verdict=Verdict.DONE, state=state)

    def pending(self, queue: Queue) -> int:
        """Return the number of the queue's jobs of which no task has started."""
        return self._view.pending(queue.name)

    async def _exists(self, job_id: JobId) -> bool:
        if job_id in self._view.job_by_id:
            return True
        row = await self._table.get(accepted_key(job_id))
        if row is None:
            return False
        self._view.apply(row)
        return True

    async def _write(
        self, transaction: Transaction, deadline: timedelta
    ) -> tuple[JobAnswer, TableConflict | None]:
        """Write a row whose content does not depend on the writer.

        A conflict therefore means that the row is stored already, or that another
        condition does not hold. A write that is sent again after a lost answer takes
        effect at most once.
        """
        started = self._clock.elapsed()
        is_uncertain = False
        is_in_flight = False
        time_left = max(deadline - _ANSWER_MARGIN, deadline / 2)
        if self._mirror.failing_for() > _TABLE_DOWN_AFTER:
            return _NOT_DONE, None
        with trio.move_on_after(time_left.total_seconds()):
            while True:
                is_in_flight = True
                try:
                    outcome = await self._table.commit(transaction)
                    if not isinstance(outcome, Failure):
                        return _DONE, None
                    log_event("jobs:already-stored", key=transaction.puts[0].key)
                    return _DONE, outcome.failure()
                except TableRefused as error:
                    log_event("jobs:write-refused", reason=str(error))
                    return (_UNKNOWN if is_uncertain else _REFUSED), None
                except TableUnavailable as error:
                    is_uncertain = is_uncertain or not error.is_unwritten
                    is_in_flight = False
                    log_event("jobs:write-failed", reason=str(error))
                waited = self._clock.elapsed() - started
                if not is_uncertain and waited > _MAX_RETRY_TIME:
                    return _NOT_DONE, None
                if self._mirror.failing_for() > _TABLE_DOWN_AFTER:
                    return _UNKNOWN, None
                await self._clock.sleep(_RETRY_INTERVAL)
        # A write that was interrupted by the deadline may still take effect.
        return (_UNKNOWN if is_uncertain or is_in_flight else _NOT_DONE), None


def _cancellation(job_id: JobId) -> Put:
    return Put.of(cancel_key(job_id), ABSENT, {"job": job_id})


def _holds(conflict: TableConflict, key: str) -> bool:
    """Return whether a row is among those that exist against a condition."""
    return any(row.key == key and not row.is_deleted for row in conflict.rows)
