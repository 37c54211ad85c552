"""Which workers may run a step, where a queue's policy asks an outside service.

Its answers take long, a fixed time and more for each worker named, and hold for some
seconds only. One question is asked at a time, mostly for the most urgent step that has
no valid answer, about the workers it would go to.
"""

from __future__ import annotations

import abc
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from coltsfoottray.clock import Clock
from coltsfoottray.errors import CommunicationError
from coltsfoottray.jobs.model import AdviceTerms, JobId
from coltsfoottray.logs import log_event
from coltsfoottray.scheduler.advice_requests import AdviceRequest, AdviceRequestSelector
from coltsfoottray.scheduler.live import Ticket
from coltsfoottray.scheduler.planner import Planner

__all__ = ["Adviser", "Permit", "run_advice_loop"]

_POLL = timedelta(milliseconds=30)
_RETRY = timedelta(milliseconds=200)


@dataclass(frozen=True, kw_only=True)
class Permit:
    """One worker that may run the step."""

    life: str
    ticket: str


class Adviser(abc.ABC):
    """The outside service."""

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

        Raises
        ------
        CommunicationError
            If no answer came, or the service turned the question away.
        """


async def run_advice_loop(
    planner: Planner, adviser: Adviser, *, clock: Clock, wake: Callable[[], None]
) -> None:
    """Keep the steps that need it supplied with tickets."""
    questions = AdviceRequestSelector(planner=planner)
    while True:
        question = questions.choose(clock.elapsed())
        if question is None:
            await clock.sleep(_POLL)
            continue
        terms = planner.terms_of(question.step).advice
        if terms is not None and await _ask(question, terms, adviser, clock):
            wake()
        else:
            await clock.sleep(_RETRY)


async def _ask(
    question: AdviceRequest, terms: AdviceTerms, adviser: Adviser, clock: Clock
) -> bool:
    """Ask about one step; return whether an answer came."""
    step = question.step
    asked = clock.elapsed()
    try:
        permits = await adviser.advise(
            job=step.job.id,
            occurrence=step.occurrence,
            step=step.number,
            lives=question.lives,
            terms=terms,
        )
    except CommunicationError as error:
        log_event("advice:no-answer", job=step.job.id, reason=str(error))
        return False
    expires_at = asked + timedelta(milliseconds=terms.validity_ms)
    step.ticket_by_life = {
        permit.life: Ticket(value=permit.ticket, expires_at=expires_at)
        for permit in permits
    }
    AdviceRequestSelector.note_answer(question, step.ticket_by_life, asked)
    log_event(
        "decision:advised",
        step=f"{step.job.id}.{step.occurrence}.{step.number}",
        asked=len(question.lives),
        allowed=len(permits),
        took_s=(clock.elapsed() - asked).total_seconds(),
    )
    return True
