"""Selection of the next step to request advice on, and of the workers to name."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from datetime import timedelta

from coltsfoottray.scheduler.live_step import LiveStep
from coltsfoottray.scheduler.planner import Planner

__all__ = ["AdviceRequest", "AdviceRequestSelector"]

# Each worker in a request prolongs the answer; for more workers a step asks again.
_MAX_WORKERS = 30

# According to the service, the workers that may run a step do not change. Refused
# workers are asked about again after this time nonetheless, in fair requests only.
_REFUSAL_VALIDITY = timedelta(seconds=10)

# Requests by urgency before one goes to the step that has waited longest.
_URGENT_PER_FAIR = 3

# Steps per request for which all workers are examined in search of candidates.
_MAX_EXAMINED_STEPS = 15


@dataclass(frozen=True, kw_only=True)
class AdviceRequest:
    """A step, and the incarnations of the workers to ask about."""

    step: LiveStep
    lives: list[str]


class AdviceRequestSelector:
    """Selects among the steps that wait for tickets."""

    def __init__(self, *, planner: Planner) -> None:
        self._planner = planner
        self._urgent_asked = 0

    def choose(self, now: timedelta) -> AdviceRequest | None:
        """Return the next request, None if there is no worker to ask about."""
        waiting = self._planner.waiting_for_tickets(now)
        if self._urgent_asked < _URGENT_PER_FAIR:
            request = self._first(waiting, now, is_fair=False)
            if request is not None:
                self._urgent_asked += 1
                return request
        # Urgent steps whose tickets expire unused would take all requests forever, so
        # some requests go to the step that was considered longest ago.
        self._urgent_asked = 0
        waiting.sort(key=lambda step: step.advice_state.considered_at or now)
        return self._first(waiting, now, is_fair=True)

    @staticmethod
    def record_answer(
        request: AdviceRequest, allowed: Iterable[str], now: timedelta
    ) -> None:
        """Record which of the workers in a request may not run the step."""
        refused = request.step.advice_state.refused_by_life
        refused.update(dict.fromkeys(request.lives, now))
        for life in allowed:
            refused.pop(life, None)

    def _first(
        self, steps: list[LiveStep], now: timedelta, *, is_fair: bool
    ) -> AdviceRequest | None:
        """Return a request for the first step that has workers to ask about."""
        for step in steps[:_MAX_EXAMINED_STEPS]:
            lives = self._lives(step, now, is_fair=is_fair)
            if is_fair or lives:
                step.advice_state.considered_at = now
            # Steps without candidates are passed over, or no request would be sent for
            # the steps behind them.
            if lives:
                return AdviceRequest(step=step, lives=lives[:_MAX_WORKERS])
        return None

    def _lives(self, step: LiveStep, now: timedelta, *, is_fair: bool) -> list[str]:
        """Return the incarnations to ask about, without a ticket or recent refusal."""
        refused = step.advice_state.refused_by_life
        valid = step.tickets.valid_lives(now)
        candidates = [
            life
            for life in self._planner.candidate_lives(step, now)
            if life not in valid
        ]
        # If refused workers were asked about again at once, a step that no worker may
        # run would take every request, and for a step that only the last of many
        # workers may run that worker would never be reached.
        unknown = [life for life in candidates if life not in refused]
        if unknown or not is_fair:
            return unknown
        return [life for life in candidates if now - refused[life] >= _REFUSAL_VALIDITY]
