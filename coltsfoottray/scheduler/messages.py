"""Calls between entries and attendants about jobs and their tasks."""

from __future__ import annotations

import msgspec

from coltsfoottray.agent.pressure import Pressure, ServiceMargin
from coltsfoottray.agent.worker import EndKind, Refusal, RunEnd, RunStatus
from coltsfoottray.decoding import MalformedData, decode_msgpack
from coltsfoottray.jobs.evacuations import EvacuationNotice
from coltsfoottray.jobs.model import MAX_TASKS, AcceptedJob, JobId, RunRef
from coltsfoottray.jobs.records import JobState
from coltsfoottray.overload.backlog import Backlog
from coltsfoottray.peers import Call
from coltsfoottray.types import Address, Resources

__all__ = [
    "JOB_NOTIFICATION",
    "ORDERS",
    "REPORT",
    "SCHEDULER_ANNOUNCEMENT",
    "STATE",
    "Acknowledged",
    "EndKind",
    "JobNotification",
    "Orders",
    "Refusal",
    "RejectedStart",
    "Report",
    "ReportReply",
    "RunEnd",
    "RunStatus",
    "SchedulerAnnouncement",
    "StartOrder",
    "StateQuery",
    "StateReply",
]


# Ids and addresses.
_SMALL_REQUEST_BYTES = 4096
# One job, of which the store takes 48,000 bytes as JSON; numbers take up to three times
# as much in msgpack.
_NOTIFICATION_BYTES = 160 * 1024


class StartOrder(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """An order to start a run on a worker.

    Parameters
    ----------
    ticket : str
        Proves to the worker that the queue's policy allows it to run the step.
    length_ms : int
        Expected length of the task at full speed, 0 if unknown.
    time_left_ms : int
        Time within which the run must end for its job to be on time. Without a length
        it means nothing.
    processors, estimate_ms, is_service, is_filler, target_latency_ms
        See `StepSpec`. The attendant throttles fillers to protect services that have
        a target latency.
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
    length_ms: int = 0
    time_left_ms: int = 0


class Orders(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """The runs that a worker must start and stop.

    Parameters
    ----------
    session : int
        The orders are void in any other session, since the scheduler may have
        declared the runs lost and started their tasks elsewhere.
    life : str
        The incarnation of the worker that the orders are for. They are void in any
        other incarnation for the same reason.
    acknowledged : int
        Run ends up to this number are stored.
    deferred : list of RunRef, optional
        Fillers on the worker that get what others there leave, because their jobs are
        deferred; None if the scheduler has not decided it yet.
    """

    session: int
    life: str = ""
    starts: list[StartOrder] = msgspec.field(default_factory=list)
    stops: list[RunRef] = msgspec.field(default_factory=list)
    acknowledged: int = 0
    deferred: list[RunRef] | None = None


class RejectedStart(msgspec.Struct, frozen=True, kw_only=True):
    """A start that is guaranteed not to have happened and never to happen."""

    ref: RunRef
    reason: Refusal


class Report(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """An attendant's report on its worker.

    Parameters
    ----------
    worker : str
        The attendant's name, which identifies the VM.
    incarnation : str
        The attendant's incarnation.
    session : int
        The last session granted, 0 for none. A session is the fencing token of the
        attendant's orders to the worker.
    looked : int
        The session in which this incarnation of the worker was last polled for its
        runs, 0 for none. The worker no longer executes orders of earlier sessions.
    life : str
        The worker's incarnation, empty if unknown.
    number : int
        Increases with each report of this attendant, so that reports that arrive out
        of order are detected.
    lease_left_ms : int
        Upper bound on how long the worker may still run, by the lease it was sent. In
        a report that does not show the worker alive this is a promise: the worker's
        lease is not extended until the scheduler has granted another one.
    foreign_left_ms : int
        Upper bound on how long an incarnation of the worker may still hold a lease that
        it took from calls meant for an earlier one, as far as this attendant can know.
        A new attendant reports the longest that its predecessor may have caused. Runs
        that are settled are not affected.
    is_reachable : bool
        Whether the worker answered the last poll.
    is_replaced : bool
        Whether a new incarnation that has sent no heartbeat yet answers under the
        worker's id.
    starting : list of RunRef
        Starts whose outcome is not known yet.
    started : list of RunRef
        Those among them that the incarnation `life` has confirmed, so that no other has
        them.
    without_order : list of RunRef
        Running runs whose order the attendant does not have. It can neither pace them
        nor detect that they stall.
    stalled : list of RunRef
        Runs that make no progress.
    pressures : list of Pressure
        Interference between images, as measured on this worker; empty if an earlier
        report had it.
    pressure_revision_by_service : dict
        For each image of a service, the latest revision of its pressures received.
    margin_by_image : dict
        For each image of a service, the smallest margin of its tasks without fillers.
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
    foreign_left_ms: int = 0
    service: str = ""
    capacity: Resources = Resources()
    labels: list[str] = msgspec.field(default_factory=list)
    rack: str = ""
    is_draining: bool = False
    remaining_ms: float = 0.0
    is_reachable: bool = True
    is_replaced: bool = False
    running: list[RunStatus] = msgspec.field(default_factory=list)
    without_order: list[RunRef] = msgspec.field(default_factory=list)
    starting: list[RunRef] = msgspec.field(default_factory=list)
    started: list[RunRef] = msgspec.field(default_factory=list)
    ends: list[RunEnd] = msgspec.field(default_factory=list)
    rejected: list[RejectedStart] = msgspec.field(default_factory=list)
    stalled: list[RunRef] = msgspec.field(default_factory=list)
    pressures: list[Pressure] = msgspec.field(default_factory=list)
    pressure_revision_by_service: dict[str, int] = msgspec.field(default_factory=dict)
    margin_by_image: dict[str, ServiceMargin] = msgspec.field(default_factory=dict)

    @property
    def is_worker_alive(self) -> bool:
        """Whether the worker's incarnation is known and answers its attendant."""
        return self.is_reachable and bool(self.life)

    @property
    def confirmed_runs(self) -> list[RunRef]:
        """The runs that the worker's incarnation has listed or confirmed to start."""
        return [*(status.ref for status in self.running), *self.started]

    @property
    def listed_runs(self) -> set[RunRef]:
        """The runs that the worker has listed as running or ended."""
        listed = {status.ref for status in self.running}
        listed.update(end.ref for end in self.ends)
        return listed


class ReportReply(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """An entry's reply to a report.

    Parameters
    ----------
    scheduler : Address, optional
        The scheduler's address, None if unknown.
    is_scheduler : bool
        Whether the replying entry is the scheduler. The other fields are valid only
        then.
    epoch : int
        Increases with each change of the scheduler. An attendant that knows an epoch
        ignores schedulers of a lower one.
    lease_ms : int
        How long the worker may run from the time the report was sent, 0 if the report
        does not show the worker alive.
    evacuations : EvacuationNotice, optional
        The data centres in which nothing may be started; None from a scheduler of a
        version that knows no evacuations.
    is_lease_pending : bool
        Whether the worker gets no lease only because the lease row lists it as silent;
        it gets one as soon as the row has been written again.
    pressures : list of Pressure
        Interference with the services on the worker, as measured on all workers, as far
        as it has changed.
    pressure_revision_by_service : dict
        For each image of a service with changed pressures, their latest revision.
    services : list of str
        The services that the config names, empty while none is known.
    """

    scheduler: Address | None = None
    is_scheduler: bool = False
    epoch: int = 0
    lease_ms: int = 0
    is_lease_pending: bool = False
    evacuations: EvacuationNotice | None = None
    orders: Orders = Orders(session=0)
    pressures: list[Pressure] = msgspec.field(default_factory=list)
    pressure_revision_by_service: dict[str, int] = msgspec.field(default_factory=dict)
    services: list[str] = msgspec.field(default_factory=list)


class SchedulerAnnouncement(msgspec.Struct, frozen=True, kw_only=True):
    """Announces the scheduler to an attendant; the highest epoch is valid."""

    epoch: int
    scheduler: Address


class JobNotification(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Stored acceptances and cancellations, sent because the change feed is slower.

    Parameters
    ----------
    backlog_version : int, optional
        See `Ping`.
    """

    accepted: list[AcceptedJob] = msgspec.field(default_factory=list)
    cancelled: list[JobId] = msgspec.field(default_factory=list)
    backlog_version: int | None = None


class _StepsOutline(msgspec.Struct):
    """The steps of a job, not decoded."""

    steps: list[msgspec.Raw]


class _JobOutline(msgspec.Struct):
    spec: _StepsOutline


class _NotificationOutline(msgspec.Struct):
    accepted: list[_JobOutline] = msgspec.field(default_factory=list)


def _check_notification(body: bytes) -> None:
    """Count the steps of the jobs in a notification.

    An empty step is one byte, and takes hundreds once it is decoded.

    Raises
    ------
    MalformedData
        If there are more than any job has.
    """
    outline = decode_msgpack(body, _NotificationOutline)
    steps = sum(len(job.spec.steps) for job in outline.accepted)
    if steps > MAX_TASKS:
        raise MalformedData(detail=f"got {steps} steps, expected at most {MAX_TASKS}")


class Acknowledged(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Acknowledges a call.

    Parameters
    ----------
    is_scheduler : bool
        False if an entry that received a `JobNotification` is not the scheduler.
    backlog, backlog_version
        See `PingReply`.
    """

    is_scheduler: bool = True
    backlog: Backlog | None = None
    backlog_version: int = 0


class StateQuery(msgspec.Struct, frozen=True, kw_only=True):
    """Asks for the stored state of a job."""

    job: JobId


class StateReply(msgspec.Struct, frozen=True, kw_only=True):
    """A job's stored state, None if the scheduler does not know the job."""

    state: JobState | None = None


REPORT = Call(name="Report", request_type=Report, reply_type=ReportReply)
SCHEDULER_ANNOUNCEMENT = Call(
    name="Hello",
    request_type=SchedulerAnnouncement,
    reply_type=Acknowledged,
    max_request_bytes=_SMALL_REQUEST_BYTES,
)
ORDERS = Call(name="Orders", request_type=Orders, reply_type=Acknowledged)
JOB_NOTIFICATION = Call(
    name="Tell",
    request_type=JobNotification,
    reply_type=Acknowledged,
    max_request_bytes=_NOTIFICATION_BYTES,
    check_request=_check_notification,
)
STATE = Call(
    name="State",
    request_type=StateQuery,
    reply_type=StateReply,
    max_request_bytes=_SMALL_REQUEST_BYTES,
)
