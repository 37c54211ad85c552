"""The hold that an attendant has on the worker beside it."""

from __future__ import annotations

import abc
import enum
from dataclasses import dataclass, field
from datetime import timedelta

import msgspec

from coltsfoottray.errors import ColtsfoottrayError
from coltsfoottray.jobs.model import RunRef
from coltsfoottray.types import Address, Resources

__all__ = [
    "ClockReading",
    "EndKind",
    "Heartbeat",
    "PollReply",
    "Refusal",
    "RunEnd",
    "RunStatus",
    "StartRefused",
    "WorkerLink",
    "WorkerReplaced",
]


class EndKind(enum.Enum):
    """How a run ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    """The worker's lease ran out."""
    BROKEN = "broken"
    """Another member of its gang ended."""
    ALONE = "alone"
    """The rest of its gang never came."""


class Refusal(enum.Enum):
    """Why a worker did not start a run."""

    FENCED = "fenced"
    OLD = "old"
    """A run as high or higher was stopped or has ended there."""
    LATE = "late"
    """The lease that the start carried is over."""
    NO_ROOM = "no-room"
    NO_TICKET = "no-ticket"
    INVALID = "invalid"
    UNHEALTHY = "unhealthy"
    DRAINING = "draining"


class RunEnd(msgspec.Struct, frozen=True, kw_only=True):
    """An end that the worker lists until it is acknowledged by `number`."""

    number: int
    ref: RunRef
    kind: EndKind
    checkpoint: str = ""


class RunStatus(msgspec.Struct, frozen=True, kw_only=True):
    """A run that is there.

    Parameters
    ----------
    percent : float
        How much of the work is done; for a service, 100 when it is at work.
    figure : float
        For a service with users of its own their tail latency in milliseconds,
        otherwise the processors in use, in thousandths; of the last half second.
    """

    ref: RunRef
    checkpoint: str = ""
    percent: float = 0.0
    figure: float = 0.0


@dataclass(frozen=True, kw_only=True)
class ClockReading:
    """A reading of the worker's own clock and when it arrived here."""

    reading_ms: int
    received: timedelta


@dataclass(frozen=True, kw_only=True)
class PollReply:
    """What a worker runs and what has ended there.

    Parameters
    ----------
    is_whole : bool
        Whether it lists all ends; where there are many the oldest come first.
    """

    clock: ClockReading
    running: list[RunStatus]
    ends: list[RunEnd]
    is_complete: bool


@dataclass(frozen=True, kw_only=True)
class Heartbeat:
    """What a worker says of itself.

    Parameters
    ----------
    life : str
        Names this life of the worker; after a crash it is another one.
    born_ms : int
        When this life began, in milliseconds since 1970: of two lives the later
        one counts, whichever report arrives last.
    remaining : timedelta
        While draining, the least time that is left.
    """

    life: str
    born_ms: int
    service: str
    address: Address
    data_centre: str
    capacity: Resources
    labels: list[str] = field(default_factory=list)
    rack: str = ""
    is_draining: bool = False
    remaining: timedelta = timedelta(0)
    sequence: int = 0


@dataclass(kw_only=True)
class WorkerReplaced(ColtsfoottrayError):
    """Another life of the worker answers at its address.

    Parameters
    ----------
    life : str
        The one that was called.
    takes_orders : bool
        Whether the other one has the same id, and so takes orders meant for it.
    """

    life: str
    takes_orders: bool

    def __str__(self) -> str:
        now = "has started again" if self.takes_orders else "is no longer there"
        return f"{self.life} {now}"


@dataclass(kw_only=True)
class StartRefused(ColtsfoottrayError):
    """The worker certainly did not start the run."""

    reason: Refusal

    def __str__(self) -> str:
        return f"start refused: {self.reason.value}"


class WorkerLink(abc.ABC):
    """Calls to one worker.

    Each call names the life of the worker that it is meant for and raises
    `WorkerReplaced` if another one answers, `CommunicationError` if no answer
    came: the order may then have been carried out, or may still be, seconds later.
    """

    @abc.abstractmethod
    async def poll(
        self,
        *,
        heartbeat: Heartbeat,
        fence: int,
        lease_end_ms: int,
        acknowledged: int,
        wait: timedelta,
    ) -> PollReply:
        """Extend the lease, acknowledge ends and return what is there.

        Parameters
        ----------
        lease_end_ms : int
            On the worker's clock; 0 leaves the lease as it is.
        acknowledged : int
            Ends up to this number are forgotten.
        wait : timedelta
            How long the worker may wait for an end before it answers.
        """

    @abc.abstractmethod
    async def start(
        self,
        *,
        heartbeat: Heartbeat,
        ref: RunRef,
        payload: str,
        checkpoint: str,
        ticket: str,
        fence: int,
        lease_end_ms: int,
    ) -> None:
        """Start a run; one that is there already is left alone.

        Raises
        ------
        StartRefused
            If the worker certainly did not start it.
        """

    @abc.abstractmethod
    async def stop(self, *, heartbeat: Heartbeat, ref: RunRef, fence: int) -> None:
        """End a run; from the answer on it can never start there again."""

    @abc.abstractmethod
    async def pace(
        self, *, heartbeat: Heartbeat, ref: RunRef, percent: int, fence: int
    ) -> None:
        """Let a run work at a share of its speed."""
