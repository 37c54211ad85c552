"""Results of attempts to acquire a claim."""

from __future__ import annotations

import enum
from dataclasses import dataclass

from coltsfoottray.claims.messages import Claim

__all__ = ["ClaimOutcome", "ClaimResult"]


class ClaimOutcome(enum.Enum):
    """Outcome of an attempt to acquire a claim."""

    MINE = "mine"
    FOLLOW = "follow"
    UNKNOWN = "unknown"


@dataclass(frozen=True, kw_only=True)
class ClaimResult:
    """The outcome, with the acquired claim, the claim to follow, or the reason."""

    outcome: ClaimOutcome
    claim: Claim | None = None
    reason: str = ""

    @classmethod
    def unknown(cls, reason: str) -> ClaimResult:
        """Return a result that leaves open whether the key has run.

        This attempt was not run, but a caller that repeats a key asks about the key:
        "not run" would be false if another entry had run it.
        """
        return cls(outcome=ClaimOutcome.UNKNOWN, reason=reason)
