"""Round-robin routing, the baseline policy."""

from __future__ import annotations

from collections.abc import Sequence
from random import Random

from coltsfoottray.routing.common import Candidate, Choice, Router, register_router
from coltsfoottray.types import DataCentre, Kind

__all__ = ["RoundRobin"]


class RoundRobin(Router):
    """Chooses the candidates in turn, regardless of their load."""

    def __init__(self, *, data_centre: DataCentre, random: Random) -> None:
        super().__init__(data_centre=data_centre, random=random)
        self._next = random.randrange(1 << 16)

    def choose(  # noqa: D102
        self, kind: Kind, candidates: Sequence[Candidate]
    ) -> Choice:
        candidate = candidates[self._next % len(candidates)]
        self._next += 1
        return Choice(candidate=candidate, reason="next in turn", runners_up=[])


register_router("round-robin", RoundRobin)
