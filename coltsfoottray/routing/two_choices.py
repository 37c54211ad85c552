"""The lower expected latency of two candidates drawn at random.

Load reports are late. Taking the least loaded of all sends every entry to the
same instance until the next report; drawing two at random keeps the entries
apart, and comparing the two still avoids the loaded one (M. Mitzenmacher, "The
power of two choices in randomized load balancing", IEEE TPDS 12(10), 2001).
"""

from __future__ import annotations

from collections.abc import Sequence

from coltsfoottray.explain import RunnerUp
from coltsfoottray.routing.common import Candidate, Choice, Router, register_router
from coltsfoottray.types import Kind

__all__ = ["TwoChoices"]

# One way between data centres is about 1 ms.
REMOTE_PENALTY_S = 0.002


class TwoChoices(Router):
    """Draws two candidates, own data centre and free slots first."""

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
        """Return the nearest group that has a free slot, else all."""
        free = [c for c in candidates if c.in_flight < c.slots]
        near = [c for c in free if c.data_centre == self.data_centre]
        if len(near) > 1:
            return near
        return free or candidates

    def _expected_s(self, candidate: Candidate) -> float:
        ahead = max(0, candidate.in_flight + 1 - candidate.slots)
        wait_s = ahead / candidate.slots * candidate.service_s
        is_remote = candidate.data_centre != self.data_centre
        return candidate.service_s + wait_s + (REMOTE_PENALTY_S if is_remote else 0.0)


register_router("two-choices", TwoChoices)
