"""Attendant of a worker: the only authority on what its VM is committed to."""

from __future__ import annotations

from coltsfoottray.worker.attendant import WorkerAttendant
from coltsfoottray.worker.ledger import CapacityLedger, Reservation
from coltsfoottray.worker.messages import (
    FORGET,
    START,
    STOP,
    ForgetRequest,
    StartReply,
    StartRequest,
    StopReply,
    StopRequest,
)

__all__ = [
    "FORGET",
    "START",
    "STOP",
    "CapacityLedger",
    "ForgetRequest",
    "Reservation",
    "StartReply",
    "StartRequest",
    "StopReply",
    "StopRequest",
    "WorkerAttendant",
]
