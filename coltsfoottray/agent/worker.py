"""Interface of the calls that an attendant makes to its worker."""

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
    """Reason why a run ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    """The worker's lease expired."""
    BROKEN = "broken"
    """Another member of its gang ended."""
    ALONE = "alone"
    """The other members of its gang did not start."""


class Refusal(enum.Enum):
    """Reason why a worker refused to start a run."""

    FENCED = "fenced"
    OLD = "old"
    """A run of the task with the same or a higher number was stopped or has ended."""
    LATE = "late"
    """The lease in the start request has expired."""
    NO_ROOM = "no-room"
    NO_TICKET = "no-ticket"
    INVALID = "invalid"
    UNHEALTHY = "unhealthy"
    DRAINING = "draining"
    EVACUATED = "evacuated"
    """The worker's data centre is evacuated."""


class RunEnd(msgspec.Struct, frozen=True, kw_only=True):
    """End of a run, which the worker lists until `number` is acknowledged."""

    number: int
    ref: RunRef
    kind: EndKind
    checkpoint: str = ""


class RunStatus(msgspec.Struct, frozen=True, kw_only=True):
    """State of a run that exists on the worker.

    Parameters
    ----------
    percent : float
        Progress of the work in percent; a service reports 100 while it is serving.
    figure : float
        For a service with users of its own, the tail latency in ms; otherwise the
        processor usage in thousandths of a processor. Covers the last half second.
    """

    ref: RunRef
    checkpoint: str = ""
    percent: float = 0.0
    figure: float = 0.0


@dataclass(frozen=True, kw_only=True)
class ClockReading:
    """Reading of the worker's clock, with the local time at which it was received."""

    reading_ms: int
    received: timedelta


@dataclass(frozen=True, kw_only=True)
class PollReply:
    """Running and ended runs of a worker.

    Parameters
    ----------
    ends : list of RunEnd
        Ends that are not acknowledged, oldest first.
    is_complete : bool
        Whether `ends` lists all of them; a worker limits the number per reply.
    born_ms : int
        Start of the incarnation that answered, 0 if the answer does not contain it.
    """

    clock: ClockReading
    running: list[RunStatus]
    ends: list[RunEnd]
    is_complete: bool
    born_ms: int = 0


@dataclass(frozen=True, kw_only=True)
class Heartbeat:
    """Report of a worker about itself.

    Parameters
    ----------
    life : str
        Identifies this incarnation of the worker; a restart begins a new one.
    born_ms : int
        Start of this incarnation in milliseconds since 1970.
    remaining : timedelta
        Minimum time until a draining worker shuts down.
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

    def is_at_same_address(self, other: Heartbeat) -> bool:
        """Return whether both are of one incarnation at one address."""
        return (self.life, self.address) == (other.life, other.address)

    def is_restart_of(self, other: Heartbeat) -> bool:
        """Return whether this is another incarnation with the same id."""
        return self.instance == other.instance and self.life != other.life

    @property
    def instance(self) -> str:
        """The worker's id, which its incarnations may share."""
        return self.life.rpartition("/")[0]

    def has_same_description(self, other: Heartbeat) -> bool:
        """Return whether both say the same of what an incarnation does not change."""
        return (self.service, self.data_centre, self.capacity, self.labels) == (
            other.service,
            other.data_centre,
            other.capacity,
            other.labels,
        )


@dataclass(kw_only=True)
class WorkerReplaced(ColtsfoottrayError):
    """Another incarnation of the worker answered at its address.

    Parameters
    ----------
    life : str
        The incarnation that was called.
    takes_orders : bool
        Whether the other incarnation has the same id, and therefore accepts orders
        that are meant for the one that was called.
    answered_by : str
        The other incarnation, empty if it has another id.
    """

    life: str
    takes_orders: bool
    answered_by: str = ""

    def __str__(self) -> str:
        state = "has restarted" if self.takes_orders else "was replaced"
        return f"worker {self.life} {state}"


@dataclass(kw_only=True)
class StartRefused(ColtsfoottrayError):
    """The worker refused to start a run, and has not started it."""

    reason: Refusal

    def __str__(self) -> str:
        return f"start refused: {self.reason.value}"


class WorkerLink(abc.ABC):
    """Calls to one worker.

    Each call identifies the incarnation of the worker that it is meant for and raises
    `WorkerReplaced` if another one answers. `CommunicationError` means that no answer
    was received: the worker may have executed the order, or may do so seconds later.

    The parameter `fence` of all calls is the fencing token: a worker rejects calls
    with a lower token than the highest one it has received.
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
        """Extend the lease, acknowledge ends and return the worker's runs.

        Parameters
        ----------
        lease_end_ms : int
            End of the lease on the worker's clock; 0 leaves it unchanged.
        acknowledged : int
            The worker discards ends up to this number.
        wait : timedelta
            Maximum time that the worker waits for a run to end before it answers.
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
        """Start a run; has no effect if the worker has it already.

        Raises
        ------
        StartRefused
            If the worker answered that it did not start the run.
        """

    @abc.abstractmethod
    async def stop(self, *, heartbeat: Heartbeat, ref: RunRef, fence: int) -> None:
        """Stop a run; once answered, the run can no longer start on this worker."""

    @abc.abstractmethod
    async def pace(
        self, *, heartbeat: Heartbeat, ref: RunRef, percent: int, fence: int
    ) -> None:
        """Limit a run to `percent` of its full speed."""
