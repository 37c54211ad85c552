"""Calls of task owners to the attendant of a worker."""

from __future__ import annotations

import enum

import msgspec

from coltsfoottray.membership import WorkerReport
from coltsfoottray.peers import Call
from coltsfoottray.tasks.rows import TaskSpec
from coltsfoottray.types import Incarnation, TaskId

__all__ = [
    "FORGET",
    "RESERVE",
    "START",
    "STOP",
    "ForgetReply",
    "ForgetRequest",
    "ReserveRequest",
    "StartReply",
    "StartRequest",
    "StopReply",
    "StopRequest",
    "Verdict",
]


class Verdict(enum.Enum):
    """Result of a reservation or start request."""

    GRANTED = "granted"
    NO_ROOM = "no-room"
    WRONG_LIFE = "wrong-life"
    NO_LEASE = "no-lease"
    STOPPED = "stopped"
    WORKER_FAILED = "worker-failed"


class ReserveRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Reserve resources for an attempt that is about to be committed."""

    spec: TaskSpec
    attempt: int
    incarnation: Incarnation


class StartRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Start an attempt that the table assigns to this worker in this term."""

    spec: TaskSpec
    attempt: int
    checkpoint: str
    term: int
    incarnation: Incarnation


class StartReply(msgspec.Struct, frozen=True, kw_only=True):
    """Verdict, with the current term and report of the worker."""

    verdict: Verdict
    term: int
    report: WorkerReport


class StopRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Stop an attempt permanently, optionally after taking a checkpoint."""

    task: TaskId
    attempt: int
    wants_checkpoint: bool
    incarnation: Incarnation


class StopReply(msgspec.Struct, frozen=True, kw_only=True):
    """Whether the attempt can no longer run here, and the name of its checkpoint."""

    is_stopped: bool
    checkpoint: str = ""


class ForgetRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Drop an attempt whose end is stored in the table."""

    task: TaskId
    attempt: int
    incarnation: Incarnation


class ForgetReply(msgspec.Struct, frozen=True, kw_only=True):
    """Empty reply."""


RESERVE = Call(name="Reserve", request_type=ReserveRequest, reply_type=StartReply)
START = Call(name="Start", request_type=StartRequest, reply_type=StartReply)
STOP = Call(name="Stop", request_type=StopRequest, reply_type=StopReply)
FORGET = Call(name="Forget", request_type=ForgetRequest, reply_type=ForgetReply)
