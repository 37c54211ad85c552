"""Requests to an external service that decides which workers may run a step.

The policy of a queue may require such advice. An answer takes long, a fixed time and
more for each worker in the request, and is valid for a few seconds only. Therefore one
request is sent at a time, mostly for the most urgent step without a valid answer, and
about the workers that suit it best.
"""

from __future__ import annotations

import abc
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from coltsfoottray.clock import Clock, as_duration
from coltsfoottray.errors import CommunicationError
from coltsfoottray.jobs.model import AdviceTerms, JobId
from coltsfoottray.logs import log_event
from coltsfoottray.scheduler.advice_requests import AdviceRequest, AdviceRequestSelector
from coltsfoottray.scheduler.planner import Planner
from coltsfoottray.scheduler.tickets import Ticket

__all__ = ["Adviser", "Permit", "run_advice_loop"]

_POLL_INTERVAL = timedelta(milliseconds=30)
_RETRY_INTERVAL = timedelta(milliseconds=200)


@dataclass(frozen=True, kw_only=True)
class Permit:
    """Permission for one worker to run a step."""

    life: str
    ticket: str


class Adviser(abc.ABC):
    """The external service that allows workers to run a step."""

    @abc.abstractmethod
    async def advise(
        self,
        *,
        job: JobId,
        occurrence: int,
        step: int,
        lives: list[str],
        terms: AdviceTerms,
    ) -> list[Permit]:
        """Return which of the workers may run a step.

        Parameters
        ----------
        lives : list of str
            Incarnations of the workers in question.

        Raises
        ------
        CommunicationError
            If there is no answer, or the service rejects the request.
        """


async def run_advice_loop(
    planner: Planner, adviser: Adviser, *, clock: Clock, wake: Callable[[], None]
) -> None:
    """Continuously request tickets for the steps that need them.

    Parameters
    ----------
    wake : callable
        Called after each answer, to plan again.
    """
    selector = AdviceRequestSelector(planner=planner)
    while True:
        request = selector.choose(clock.elapsed())
        if request is None:
            await clock.sleep(_POLL_INTERVAL)
            continue
        terms = planner.terms_of(request.step).advice
        if terms is not None and await _request_advice(request, terms, adviser, clock):
            wake()
        else:
            await clock.sleep(_RETRY_INTERVAL)


async def _request_advice(
    request: AdviceRequest, terms: AdviceTerms, adviser: Adviser, clock: Clock
) -> bool:
    """Request advice on one step and store its tickets; return whether it came."""
    step = request.step
    requested_at = clock.elapsed()
    try:
        permits = await adviser.advise(
            job=step.job.id,
            occurrence=step.occurrence,
            step=step.number,
            lives=request.lives,
            terms=terms,
        )
    except CommunicationError as error:
        log_event("advice:no-answer", job=step.job.id, reason=str(error))
        return False
    expires_at = requested_at + as_duration(terms.validity_ms)
    allowed = {
        permit.life: Ticket(value=permit.ticket, expires_at=expires_at)
        for permit in permits
    }
    step.tickets.add(allowed, clock.elapsed())
    AdviceRequestSelector.record_answer(request, allowed, requested_at)
    log_event(
        "decision:advised",
        step=f"{step.job.id}.{step.occurrence}.{step.number}",
        asked=len(request.lives),
        allowed=len(permits),
        took_s=(clock.elapsed() - requested_at).total_seconds(),
    )
    return True
