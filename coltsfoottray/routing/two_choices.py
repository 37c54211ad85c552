"""Routing to the lower expected latency of two randomly drawn candidates.

Load reports are out of date. If every entry chose the least loaded instance, all
would choose the same one until the next report. Drawing two at random spreads the
entries, and comparing the two still avoids the loaded one (M. Mitzenmacher, "The
power of two choices in randomized load balancing", IEEE TPDS 12(10), 2001).
"""

from __future__ import annotations

from collections.abc import Sequence

from coltsfoottray.explain import RunnerUp
from coltsfoottray.routing.common import Candidate, Choice, Router, register_router
from coltsfoottray.types import Kind

__all__ = ["TwoChoices"]

# Round trip between data centres, at about 1 ms each way.
REMOTE_PENALTY_S = 0.002


class TwoChoices(Router):
    """Draws two candidates, preferring free slots and the entry's data centre."""

    def choose(  # noqa: D102
        self, kind: Kind, candidates: Sequence[Candidate]
    ) -> Choice:
        pool = self._preferred(candidates)
        drawn = self.random.sample(list(pool), min(2, len(pool)))
        best = min(drawn, key=self._expected_s)
        others = [c for c in drawn if c is not best]
        return Choice(
            candidate=best,
            reason=f"expected {self._expected_s(best) * 1000:.1f} ms",
            runners_up=[
                RunnerUp(
                    name=other.attendant,
                    why_not=f"expected {self._expected_s(other) * 1000:.1f} ms",
                )
                for other in others
            ],
        )

    def _preferred(self, candidates: Sequence[Candidate]) -> Sequence[Candidate]:
        """Return the preferred group of candidates.

        These are the candidates with a free slot in the entry's data centre if there
        are at least two, else those with a free slot anywhere, else all.
        """
        free = [c for c in candidates if c.in_flight < c.slots]
        local = [c for c in free if c.data_centre == self.data_centre]
        if len(local) > 1:
            return local
        return free or candidates

    def _expected_s(self, candidate: Candidate) -> float:
        queued = max(0, candidate.in_flight + 1 - candidate.slots)
        wait_s = queued / candidate.slots * candidate.service_s
        is_remote = candidate.data_centre != self.data_centre
        return candidate.service_s + wait_s + (REMOTE_PENALTY_S if is_remote else 0.0)


register_router("two-choices", TwoChoices)
