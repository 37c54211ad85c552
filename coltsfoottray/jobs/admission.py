"""Admission of submitted jobs: what is known of each, and the record of rejections."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from random import Random

from coltsfoottray.clock import Clock, as_duration, as_milliseconds
from coltsfoottray.jobs.config import Queue
from coltsfoottray.jobs.model import JobId, JobSpec
from coltsfoottray.logs import log_event
from coltsfoottray.metrics import Metrics
from coltsfoottray.overload.admission import Admission, AdmissionRequest, Rejected
from coltsfoottray.overload.backlog import KnownBacklog
from coltsfoottray.overload.retry_times import RetryTimes
from coltsfoottray.scheduler.critical_path import longest_path

__all__ = ["JobAdmission", "Rejection"]

_MILLI = 1000.0


@dataclass(frozen=True, kw_only=True)
class Rejection:
    """A rejection with the inputs that led to it."""

    request: AdmissionRequest
    decision: Rejected
    backlog_version: int
    backlog_age: timedelta


class JobAdmission:
    """Decides on the jobs that are submitted at one entry.

    Parameters
    ----------
    count_entries : callable
        Returns the number of entries, this one included.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        random: Random,
        count_entries: Callable[[], int],
        metrics: Metrics,
    ) -> None:
        self._clock = clock
        self._metrics = metrics
        self._retry_times = RetryTimes(random=random, count_entries=count_entries)
        self._admission = Admission(retry_times=self._retry_times)

    def check(
        self, queue: Queue, job_id: JobId, spec: JobSpec, known: KnownBacklog
    ) -> Rejection | None:
        """Return the rejection of a job, None if it is accepted."""
        now = self._clock.elapsed()
        request = self._make_request(queue, job_id, spec, now)
        age = known.age(now)
        decision = self._admission.decide(request, known.current(now), age, now)
        if not isinstance(decision, Rejected):
            self._metrics.count("admissions", queue=queue.name, verdict="accepted")
            return None
        return Rejection(
            request=request,
            decision=decision,
            backlog_version=known.version,
            backlog_age=age,
        )

    def record(self, rejection: Rejection) -> None:
        """Log and count a rejection that is returned to the caller."""
        request, decision = rejection.request, rejection.decision
        log_event(
            "decision:reject",
            job=request.job,
            queue=request.queue,
            priority=request.terms.priority,
            work=round(request.work, 2),
            path_s=_round_s(request.path),
            waited_s=_round_s(request.waited),
            wait_s=_round_s(decision.wait),
            rate=round(decision.rate, 2),
            predicted_end_s=_round_s(decision.predicted_end),
            useful_until_s=_round_s(decision.useful_until),
            backlog_version=rejection.backlog_version,
            backlog_age_s=_round_s(rejection.backlog_age),
            reason=decision.reason.value,
            retry_after_s=_round_s(decision.retry_after),
        )
        verdict = decision.reason.value
        self._metrics.count("admissions", queue=request.queue, verdict=verdict)
        self._metrics.time("retry_after", decision.retry_after, queue=request.queue)

    def _make_request(
        self, queue: Queue, job_id: JobId, spec: JobSpec, now: timedelta
    ) -> AdmissionRequest:
        lengths_ms = [step.estimate_ms for step in spec.steps]
        work = sum(
            step.count * step.demand.processors * length_ms / _MILLI
            for step, length_ms in zip(spec.steps, lengths_ms, strict=True)
        )
        return AdmissionRequest(
            job=job_id,
            queue=queue.name,
            terms=queue.terms,
            work=work,
            path=as_duration(longest_path(spec.steps, lengths_ms)),
            waited=self._retry_times.waited(job_id, now),
            is_exempt=self._is_exempt(spec),
        )

    def _is_exempt(self, spec: JobSpec) -> bool:
        """Return whether the backlog predicts nothing for a job."""
        repetition = spec.repetition
        if repetition is not None:
            last_due_ms = repetition.due_ms(repetition.times - 1)
            if last_due_ms > as_milliseconds(self._clock.now()):
                return True
        return not spec.steps or any(
            step.is_service or step.estimate_ms <= 0 for step in spec.steps
        )


def _round_s(duration: timedelta) -> float:
    return round(duration.total_seconds(), 2)
