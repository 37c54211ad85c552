"""What a process takes from its clients at a time, and whom it turns away beyond."""

from __future__ import annotations

from coltsfoottray.intake.account import ByteAccount, Holding
from coltsfoottray.intake.limits import MachineLimits, PortLimits
from coltsfoottray.intake.refusals import (
    IntakeObserver,
    RefusalReason,
    RequestRefused,
    SilentObserver,
)

__all__ = [
    "ByteAccount",
    "Holding",
    "IntakeObserver",
    "MachineLimits",
    "PortLimits",
    "RefusalReason",
    "RequestRefused",
    "SilentObserver",
]
