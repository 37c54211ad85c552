"""Acceptance or rejection of a job that is submitted while there is a backlog.

Load pattern: a burst that takes longer to process than its jobs are of use. Without
rejections, their callers wait for results that come too late, and learn of it last.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass
from datetime import timedelta

from coltsfoottray.clock import as_duration
from coltsfoottray.jobs.model import USEFUL_FACTOR, JobId, QueueTerms
from coltsfoottray.overload.backlog import Backlog, QueueBacklog
from coltsfoottray.overload.retry_times import RetryTimes

__all__ = [
    "ACCEPTED",
    "MAX_LENGTH_RATIO",
    "Accepted",
    "Admission",
    "AdmissionPolicy",
    "AdmissionRequest",
    "Decision",
    "Rejected",
    "RejectionReason",
]

MAX_LENGTH_RATIO = 10.0
"""Declared lengths are off by up to 90%: one that is 90% too short is a tenth of the
real one. Others are known to be too long by as much (docs/design/platform.md)."""

# Once a queue rejects, a job has to end this much earlier than `useful_until`, as a
# fraction of it, until the backlog has drained by as much. Otherwise the queue would
# accept and reject in turns with each new backlog.
_REOPEN_FRACTION = 0.9
# Returns to a pool whose rate is unknown are spread one a second.
_DEFAULT_WORK_TIME = timedelta(seconds=1)
# Bounds what a rate near zero predicts. No queue has an objective of years.
_MAX_S = 1e9
_MILLI = 1000.0
_ZERO = timedelta(0)


class AdmissionPolicy(enum.Enum):
    """Which jobs an entry accepts."""

    ALL = "all"
    USEFUL = "useful"
    """Those that can end while they are of use to their callers."""


class RejectionReason(enum.Enum):
    """Why a job is rejected."""

    TOO_LATE = "too-late"
    """Its predicted end is too late to be of use."""
    NOT_DRAINED = "not-drained"
    """It would end just in time to be of use; its queue rejects until the backlog has
    drained further."""


@dataclass(frozen=True, kw_only=True)
class AdmissionRequest:
    """What is known of a job when its caller submits it.

    Parameters
    ----------
    work : float
        Its own work in processor-seconds, by its declared lengths.
    path : timedelta
        Its critical path, by its declared lengths.
    waited : timedelta
        How long ago the caller's first attempt at this entry was.
    is_exempt : bool
        Whether it is accepted whatever the backlog is: a service has no end, a job with
        a due time in the future is not processed now, and an undeclared length predicts
        nothing.
    """

    job: JobId
    queue: str
    terms: QueueTerms
    work: float
    path: timedelta
    waited: timedelta = _ZERO
    is_exempt: bool = False


@dataclass(frozen=True, kw_only=True)
class Accepted:
    """The job is accepted."""


@dataclass(frozen=True, kw_only=True)
class Rejected:
    """The job is rejected.

    Parameters
    ----------
    retry_after : timedelta
        When the caller is to retry, in whole seconds.
    wait : timedelta
        Wait that was predicted at this moment.
    predicted_end, useful_until : timedelta
        Counted from the first attempt, with the lengths that favour the job most.
    rate : float
        Processors of the pool that work on the queue.
    """

    reason: RejectionReason
    retry_after: timedelta
    wait: timedelta
    predicted_end: timedelta
    useful_until: timedelta
    rate: float


Decision = Accepted | Rejected
ACCEPTED = Accepted()


@dataclass(frozen=True, kw_only=True)
class _Forecast:
    """How long a job takes once its pool begins with it, and how long it is of use."""

    length: timedelta
    useful_until: timedelta

    @property
    def reopen_wait(self) -> timedelta:
        """The wait with which such a job ends early enough for its queue to reopen.

        It is negative if the job alone takes longer than that.
        """
        return self.useful_until * _REOPEN_FRACTION - self.length


class Admission:
    """Accepts or rejects jobs, with hysteresis by queue.

    Parameters
    ----------
    max_length_ratio : float
        How much longer or shorter than declared a job can be.
    """

    def __init__(
        self, *, retry_times: RetryTimes, max_length_ratio: float = MAX_LENGTH_RATIO
    ) -> None:
        self._retry_times = retry_times
        self._max_length_ratio = max_length_ratio
        # For each queue that rejects, the wait with which it no longer does.
        self._reopen_wait_by_queue: dict[str, timedelta] = {}

    def decide(
        self,
        request: AdmissionRequest,
        backlog: Backlog | None,
        age: timedelta,
        now: timedelta,
    ) -> Decision:
        """Accept or reject a job.

        Parameters
        ----------
        backlog : Backlog, optional
            None if it is unknown or too old.
        age : timedelta
            Time since the backlog was received.
        """
        ahead = None if backlog is None else backlog.by_queue.get(request.queue)
        if ahead is None or request.is_exempt or not request.terms.has_objective:
            return ACCEPTED
        # What has arrived since the backlog was computed is unknown. The pool may have
        # worked on it all the time, so the wait is at least this.
        wait = max(as_duration(ahead.wait_ms) - age, _ZERO)
        forecast = self._forecast(request, ahead.rate)
        end = request.waited + wait + forecast.length
        reason = self._reason_to_reject(request, end, forecast, wait, now)
        if reason is None:
            return ACCEPTED
        return Rejected(
            reason=reason,
            retry_after=self._retry_after(request, ahead, wait, forecast, now),
            wait=wait,
            predicted_end=end,
            useful_until=forecast.useful_until,
            rate=ahead.rate,
        )

    def _reason_to_reject(
        self,
        request: AdmissionRequest,
        end: timedelta,
        forecast: _Forecast,
        wait: timedelta,
        now: timedelta,
    ) -> RejectionReason | None:
        queue = request.queue
        reopen_wait = self._reopen_wait_by_queue.get(queue)
        if reopen_wait is not None and wait <= reopen_wait:
            del self._reopen_wait_by_queue[queue]
            reopen_wait = None
        if end > forecast.useful_until:
            # A job that would be late on an idle pool, or is late only because its
            # caller came back late, says nothing about the backlog.
            is_by_wait = end - request.waited > forecast.useful_until
            if is_by_wait and forecast.reopen_wait > _ZERO:
                self._reopen_wait_by_queue[queue] = forecast.reopen_wait
            return RejectionReason.TOO_LATE
        is_close = end > forecast.useful_until * _REOPEN_FRACTION
        if reopen_wait is None or not is_close:
            return None
        if self._retry_times.is_due(request.job, now):
            return None
        return RejectionReason.NOT_DRAINED

    def _forecast(self, request: AdmissionRequest, rate: float) -> _Forecast:
        """Return the forecast that favours a job most, whatever its real lengths are.

        A rejection cannot be made good, while an accepted job that turns out useless
        costs little: the scheduler puts such jobs behind all others. A job is therefore
        rejected only if it would be useless with any lengths that it can have. The
        least work lets it end first. The longest critical path allows it the most time
        if its objective grows with it by more than its end does. Otherwise its path
        is best as long as its work takes, since that does not delay its end.
        """
        terms = request.terms
        ratio = self._max_length_ratio
        work_s = request.work / ratio / rate if rate > 0.0 else 0.0
        declared_s = request.path.total_seconds()
        path_s = declared_s * ratio
        if terms.slowdown_factor * USEFUL_FACTOR < 1.0:
            path_s = min(max(declared_s / ratio, work_s), path_s)
        objective_s = terms.objective_ms(path_s * _MILLI) / _MILLI
        return _Forecast(
            length=_as_duration(max(path_s, work_s)),
            useful_until=_as_duration(objective_s * USEFUL_FACTOR),
        )

    def _retry_after(
        self,
        request: AdmissionRequest,
        ahead: QueueBacklog,
        wait: timedelta,
        forecast: _Forecast,
        now: timedelta,
    ) -> timedelta:
        work_time = _DEFAULT_WORK_TIME
        if ahead.rate > 0.0:
            work_time = _as_duration(request.work / ahead.rate)
        return self._retry_times.assign(
            request.job,
            request.queue,
            drained_in=wait - max(forecast.reopen_wait, _ZERO),
            work_time=work_time,
            now=now,
        )


def _as_duration(seconds: float) -> timedelta:
    return timedelta(seconds=min(seconds, _MAX_S))
