"""The attendant of an upstream, which makes the final decision to start a request."""

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
