"""Which step an outside service is asked about next, and about which workers."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from datetime import timedelta

from coltsfoottray.scheduler.live import LiveStep
from coltsfoottray.scheduler.planner import Planner

__all__ = ["AdviceRequest", "AdviceRequestSelector"]

# Each worker named prolongs the answer; a step that needs more asks again.
_MAX_WORKERS = 30

# Who may run a step is said not to change; what was not allowed is asked about again
# after it all the same, in a step's turn only.
_REFUSAL = timedelta(seconds=10)

# After so many questions by urgency one goes to the step that has waited longest.
_URGENT_RUN = 3

# Looks at all the workers for steps about which there turns out to be nobody to ask.
_MAX_LOOKS = 15


@dataclass(frozen=True, kw_only=True)
class AdviceRequest:
    """A step, and the lives of the workers that it would go to."""

    step: LiveStep
    lives: list[str]


class AdviceRequestSelector:
    """Chooses among the steps that wait for tickets."""

    def __init__(self, *, planner: Planner) -> None:
        self._planner = planner
        self._urgent_asked = 0

    def choose(self, now: timedelta) -> AdviceRequest | None:
        """Return the next question, none if there is nobody to ask about."""
        waiting = self._planner.waiting_for_tickets(now)
        if self._urgent_asked < _URGENT_RUN:
            question = self._first(waiting, now, is_fair=False)
            if question is not None:
                self._urgent_asked += 1
                return question
        # Urgent steps whose tickets expire unused ask for ever, and leave no question
        # to any other: so one in some goes to the step whose turn is longest ago.
        self._urgent_asked = 0
        waiting.sort(key=lambda step: step.inquiry.turn or now)
        return self._first(waiting, now, is_fair=True)

    @staticmethod
    def note_answer(
        question: AdviceRequest, allowed: Iterable[str], now: timedelta
    ) -> None:
        """Note which of the workers may not run the step."""
        refused = question.step.inquiry.refused_by_life
        refused.update(dict.fromkeys(question.lives, now))
        for life in allowed:
            refused.pop(life, None)

    def _first(
        self, steps: list[LiveStep], now: timedelta, *, is_fair: bool
    ) -> AdviceRequest | None:
        """Return a question on the first step about which there is somebody to ask."""
        for step in steps[:_MAX_LOOKS]:
            lives = self._lives(step, now, is_fair=is_fair)
            if is_fair or lives:
                step.inquiry.turn = now
            # Nobody is asked about any step behind one without candidates, unless it
            # is passed over.
            if lives:
                return AdviceRequest(step=step, lives=lives[:_MAX_WORKERS])
        return None

    def _lives(self, step: LiveStep, now: timedelta, *, is_fair: bool) -> list[str]:
        """Return the lives to ask about: those that are not known to be refused."""
        refused = step.inquiry.refused_by_life
        candidates = self._planner.candidate_lives(step, now)
        # Asked about again at once, a step that nobody may run takes every question,
        # and one that the last of many workers may run is never asked about that one.
        unknown = [life for life in candidates if life not in refused]
        if unknown or not is_fair:
            return unknown
        return [life for life in candidates if now - refused[life] >= _REFUSAL]
