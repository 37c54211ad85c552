"""What a process takes from its clients at a time, and whom it turns away beyond."""

from __future__ import annotations

from coltsfoottray.intake.account import ByteAccount, Holding
from coltsfoottray.intake.connections import ConnectionTable, OpenConnection
from coltsfoottray.intake.limits import MachineLimits, PortLimits
from coltsfoottray.intake.refusals import (
    IntakeObserver,
    RefusalReason,
    RequestRefused,
    SilentObserver,
)
from coltsfoottray.intake.turns import Turns

__all__ = [
    "ByteAccount",
    "ConnectionTable",
    "Holding",
    "IntakeObserver",
    "MachineLimits",
    "OpenConnection",
    "PortLimits",
    "RefusalReason",
    "RequestRefused",
    "SilentObserver",
    "Turns",
]
