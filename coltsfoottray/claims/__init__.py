"""Claims, which decide which entry may send a keyed request, and to which place."""

from __future__ import annotations

from coltsfoottray.claims.members import ClaimMembers
from coltsfoottray.claims.memory import ClaimMemory
from coltsfoottray.claims.messages import Claim, MemberRow
from coltsfoottray.claims.results import ClaimOutcome, ClaimResult
from coltsfoottray.claims.service import Claims

__all__ = [
    "Claim",
    "ClaimMembers",
    "ClaimMemory",
    "ClaimOutcome",
    "ClaimResult",
    "Claims",
    "MemberRow",
]
