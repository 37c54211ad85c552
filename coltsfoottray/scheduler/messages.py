"""Calls between entries and attendants about jobs and their tasks."""

from __future__ import annotations

import msgspec

from coltsfoottray.agent.pressure import Pressure, ServiceMargin
from coltsfoottray.agent.worker import EndKind, Refusal, RunEnd, RunStatus
from coltsfoottray.jobs.model import AcceptedJob, JobId, RunRef
from coltsfoottray.jobs.records import JobState
from coltsfoottray.peers import Call
from coltsfoottray.types import Address, Resources

__all__ = [
    "HELLO",
    "ORDERS",
    "PING",
    "REPORT",
    "STATE",
    "TELL",
    "Acknowledged",
    "EndKind",
    "Hello",
    "Orders",
    "Ping",
    "PingReply",
    "Refusal",
    "RejectedStart",
    "Report",
    "ReportReply",
    "RunEnd",
    "RunStatus",
    "StartOrder",
    "StateQuery",
    "StateReply",
    "Tell",
]


class StartOrder(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """A run that a worker is to have.

    Parameters
    ----------
    ticket : str
        Shows the worker that the queue's policy lets it run the step.
    processors, estimate_ms, is_service, is_filler, target_latency_ms
        See `StepSpec`; the attendant slows fillers down for the sake of those
        with a target.
    """

    ref: RunRef
    payload: str
    checkpoint: str = ""
    ticket: str = ""
    image: str = ""
    processors: float = 0.0
    estimate_ms: float = 0.0
    is_service: bool = False
    is_filler: bool = False
    target_latency_ms: float = 0.0


class Orders(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """What a worker is to start and to stop.

    Parameters
    ----------
    session : int
        The orders are void for an attendant in another session: since then the
        scheduler may have given the runs up and started them elsewhere.
    life : str
        The worker's life that they are meant for; in another one the runs have
        been given up as well.
    acknowledged : int
        Ends up to this number are stored.
    """

    session: int
    life: str = ""
    starts: list[StartOrder] = msgspec.field(default_factory=list)
    stops: list[RunRef] = msgspec.field(default_factory=list)
    acknowledged: int = 0


class RejectedStart(msgspec.Struct, frozen=True, kw_only=True):
    """A start that certainly did not and will not happen."""

    ref: RunRef
    reason: Refusal


class Report(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """What an attendant knows of its worker.

    Parameters
    ----------
    worker : str
        The attendant's name, which stands for the VM.
    incarnation : str
        This life of the attendant.
    session : int
        The last one granted, 0 for none. A session is the fencing token of the
        attendant's orders to the worker.
    looked : int
        The session in which this life of the worker has last shown what it runs,
        0 for none. No order of an earlier session takes effect there any more.
    life : str
        The worker's life, empty where none is known.
    number : int
        Rises with each report of this attendant, so that a late one can be told.
    lease_left_ms : int
        For how long the worker may still run at the most, by what it was told. In a
        report that shows no life of it this is a promise: it will be told no more
        before the scheduler has granted another lease.
    is_reachable : bool
        Whether the worker answered its last look.
    is_replaced : bool
        Another life under its id answers in its place, which has not reported itself.
    starting : list of RunRef
        Starts of which it is not known yet what became of them.
    stalled : list of RunRef
        Runs that make no progress.
    pressures : list of Pressure
        How images disturb one another, as seen here.
    margin_by_image : dict
        By image of a service, the least margin that its tasks have without fillers.
    """

    worker: str
    incarnation: str
    address: Address
    data_centre: str
    session: int = 0
    looked: int = 0
    life: str = ""
    number: int = 0
    lease_left_ms: int = 0
    service: str = ""
    capacity: Resources = Resources()
    labels: list[str] = msgspec.field(default_factory=list)
    rack: str = ""
    is_draining: bool = False
    remaining_ms: float = 0.0
    is_reachable: bool = True
    is_replaced: bool = False
    running: list[RunStatus] = msgspec.field(default_factory=list)
    starting: list[RunRef] = msgspec.field(default_factory=list)
    ends: list[RunEnd] = msgspec.field(default_factory=list)
    rejected: list[RejectedStart] = msgspec.field(default_factory=list)
    stalled: list[RunRef] = msgspec.field(default_factory=list)
    pressures: list[Pressure] = msgspec.field(default_factory=list)
    margin_by_image: dict[str, ServiceMargin] = msgspec.field(default_factory=dict)

    @property
    def is_worker_alive(self) -> bool:
        """Whether a life of the worker is known and answers its attendant."""
        return self.is_reachable and bool(self.life)


class ReportReply(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """The scheduler's answer.

    Parameters
    ----------
    scheduler : Address, optional
        Whom to report to; absent where none is known.
    is_scheduler : bool
        Whether the answering entry is the scheduler; the rest holds only then.
    epoch : int
        Rises with each change of the scheduler. An attendant that has heard of
        one takes nothing from a scheduler of a lower one.
    lease_ms : int
        How long the worker may run from the moment the report was sent; 0 where the
        report shows no life of it.
    is_lease_pending : bool
        The lease row lists the worker as silent; it gets a lease as soon as another
        row stands.
    pressures : list of Pressure
        How images disturb one another, as seen everywhere.
    """

    scheduler: Address | None = None
    is_scheduler: bool = False
    epoch: int = 0
    lease_ms: int = 0
    is_lease_pending: bool = False
    orders: Orders = Orders(session=0)
    pressures: list[Pressure] = msgspec.field(default_factory=list)


class Hello(msgspec.Struct, frozen=True, kw_only=True):
    """Names the scheduler to an attendant; of several the highest epoch counts."""

    epoch: int
    scheduler: Address


class Tell(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Stored acceptances and cancellations, told to save the wait for the feed."""

    accepted: list[AcceptedJob] = msgspec.field(default_factory=list)
    cancelled: list[JobId] = msgspec.field(default_factory=list)


class Acknowledged(msgspec.Struct, frozen=True, kw_only=True):
    """Done."""

    is_scheduler: bool = True


class StateQuery(msgspec.Struct, frozen=True, kw_only=True):
    """Asks for the stored state of a job."""

    job: JobId


class StateReply(msgspec.Struct, frozen=True, kw_only=True):
    """A job's stored state, none where the scheduler does not know the job."""

    state: JobState | None = None


class Ping(msgspec.Struct, frozen=True, kw_only=True):
    """Asks who is there."""


class PingReply(msgspec.Struct, frozen=True, kw_only=True):
    """The life of the process that answers, and the epoch in which it leads."""

    incarnation: str
    epoch: int = 0


REPORT = Call(name="Report", request_type=Report, reply_type=ReportReply)
HELLO = Call(name="Hello", request_type=Hello, reply_type=Acknowledged)
ORDERS = Call(name="Orders", request_type=Orders, reply_type=Acknowledged)
TELL = Call(name="Tell", request_type=Tell, reply_type=Acknowledged)
STATE = Call(name="State", request_type=StateQuery, reply_type=StateReply)
PING = Call(name="Ping", request_type=Ping, reply_type=PingReply)
