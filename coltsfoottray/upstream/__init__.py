"""The attendant beside an upstream: last judge of what starts there."""

from __future__ import annotations

from coltsfoottray.upstream.attendant import UpstreamAttendant
from coltsfoottray.upstream.ledger import Execution, ExecutionLedger, ExecutionState
from coltsfoottray.upstream.slots import ConcurrencyLimiter

__all__ = [
    "ConcurrencyLimiter",
    "Execution",
    "ExecutionLedger",
    "ExecutionState",
    "UpstreamAttendant",
]
