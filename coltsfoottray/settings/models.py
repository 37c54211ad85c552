"""Models of the settings files."""

from __future__ import annotations

from datetime import timedelta
from typing import Annotated, Any, Literal

from pydantic import (
    BaseModel,
    BeforeValidator,
    ConfigDict,
    Field,
    ValidationInfo,
    field_validator,
)

from coltsfoottray.overload.admission import AdmissionPolicy
from coltsfoottray.overload.order import JobOrder
from coltsfoottray.types import Address

__all__ = [
    "DaemonSettings",
    "Deployment",
    "EntrySettings",
    "JobAttendantSettings",
    "JobDaemonSettings",
    "JobEntrySettings",
    "LimitSettings",
    "LogSettings",
    "OverloadSettings",
    "TimingSettings",
    "UpstreamSettings",
    "WorkerSettings",
]

_MAX_PORT = 65535


def parse_address(value: Any) -> Address:
    """Return the address in `value`, which has the form "IP:port"."""
    if isinstance(value, Address):
        return value
    host, _, port = str(value).rpartition(":")
    if not host or not port.isdecimal() or int(port) > _MAX_PORT:
        raise ValueError(f"got {value!r}, expected IP:port, as in 10.0.0.7:8080")
    return Address(host=host, port=int(port))


AddressField = Annotated[Any, BeforeValidator(parse_address)]
OptionalAddress = Annotated[
    Any, BeforeValidator(lambda value: None if value is None else parse_address(value))
]
Seconds = Annotated[float, Field(gt=0)]

DEFAULT_EVACUATION_MS = 5000.0
# Templates leave values empty that a deployment does not have.
OptionalMilliseconds = Annotated[
    float,
    Field(gt=0),
    BeforeValidator(lambda value: DEFAULT_EVACUATION_MS if value is None else value),
]
# The smallest machine of the users' deployments.
DEFAULT_MEMORY_MB = 128.0
OptionalMemory = Annotated[
    float,
    Field(gt=0),
    BeforeValidator(lambda value: DEFAULT_MEMORY_MB if value is None else value),
]
OptionalMapping = Annotated[
    dict[str, str], BeforeValidator(lambda value: {} if value is None else value)
]


class _Model(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class TimingSettings(_Model):
    """Durations in seconds.

    Parameters
    ----------
    lease_s : float
        Duration of the leases in the table. The work of a lost VM is reassigned after
        it.
    hold_s : float
        How long an entry holds an announcement while it has no updates to return.
    silence_s : float
        A daemon that has not been heard from for this long gets no new work. Must be
        greater than `hold_s`.
    lists_poll_s : float
        Interval at which an entry polls for newer lists, in addition to notifications.
    report_s : float
        Interval at which a worker's attendant reads the worker's reports.
    checkpoint_s : float
        Interval between checkpoints of running tasks. A lost worker loses at most the
        work of one interval.
    drain_s : float
        How long a graceful shutdown waits for work in progress.
    retention_s : float
        How long request ids, claims and answers are kept. Must be the same for all
        daemons.
    outage_grace_s : float
        How long entries keep serving keyed requests without the table. An entry that
        joins after all entries were lost waits equally long, see
        docs/design/keyed-requests.md.
    """

    lease_s: Seconds = 15.0
    hold_s: Seconds = 2.0
    silence_s: Seconds = 5.0
    lists_poll_s: Seconds = 1.0
    report_s: Seconds = 1.0
    checkpoint_s: Seconds = 600.0
    drain_s: Seconds = 60.0
    retention_s: Seconds = 600.0
    outage_grace_s: Seconds = 3600.0

    @field_validator("silence_s")
    @classmethod
    def _outlasts_hold(cls, value: float, info: ValidationInfo) -> float:
        hold_s = info.data.get("hold_s")
        if hold_s is not None and value <= hold_s:
            raise ValueError(f"got {value:g}, expected more than hold_s, {hold_s:g}")
        return value

    @property
    def lease(self) -> timedelta:
        """`lease_s` as a duration."""
        return timedelta(seconds=self.lease_s)

    @property
    def retention(self) -> timedelta:
        """`retention_s` as a duration."""
        return timedelta(seconds=self.retention_s)

    @property
    def hold(self) -> timedelta:
        """`hold_s` as a duration."""
        return timedelta(seconds=self.hold_s)


class LogSettings(_Model):
    """Level and file of the log; without a file, lines go to standard error."""

    level: Literal["debug", "info", "decisions"] = "info"
    file: str | None = None


class LimitSettings(_Model):
    """What a process takes from its clients; docs/design/clients.md explains each.

    Parameters
    ----------
    memory_mb : float
        Memory of the process in MB. Shares of it bound open connections, and the sum
        of the bodies that arrive or are handled.
    descriptors : int, optional
        File descriptors that the platform gives the process. Those that the system
        allows bound it in any case.
    connections : int
        Most connections at one port.
    job_kb, heartbeat_kb, peer_kb, call_kb : float
        Largest body in KiB of a caller's job or batch task, a worker's heartbeat, a
        call of another daemon, and any other call that has a body.
    head_kb : float
        Largest head of a request in KiB.
    request_s : float
        Time in s for a whole request to arrive, and for its answer to leave.
    """

    memory_mb: OptionalMemory = DEFAULT_MEMORY_MB
    descriptors: int | None = Field(default=None, gt=0)
    connections: int = Field(default=1024, ge=4)
    job_kb: float = Field(default=512.0, gt=0)
    heartbeat_kb: float = Field(default=4096.0, gt=0)
    peer_kb: float = Field(default=2048.0, gt=0)
    call_kb: float = Field(default=8192.0, gt=0)
    head_kb: float = Field(default=16.0, gt=0)
    request_s: Seconds = 120.0


OptionalLimits = Annotated[
    LimitSettings, BeforeValidator(lambda value: {} if value is None else value)
]


class DaemonSettings(_Model):
    """Settings that all daemons have in common.

    Parameters
    ----------
    seeds : list of Address
        Peer addresses of entries to contact until the table has been read. A daemon
        that starts during an outage of the table finds the others through them.
    """

    name: str = Field(min_length=1)
    data_centre: str
    rack: str = ""
    http: AddressField
    peers: AddressField
    table: AddressField
    objects: AddressField
    seeds: list[AddressField] = []
    timing: TimingSettings = TimingSettings()
    log: LogSettings = LogSettings()
    limits: OptionalLimits = LimitSettings()


class EntrySettings(DaemonSettings):
    """Settings of an entry daemon.

    Parameters
    ----------
    claims : Address
        Address at which other entries propose claims; not for callers.
    deadline_s : float
        Deadline of requests that do not specify one.
    max_claims : int
        Maximum number of keys that are kept.
    """

    role: Literal["entry"]
    claims: AddressField
    routing: str = "two-choices"
    placement: str = "tightest-fit"
    deadline_s: Seconds = 30.0
    max_claims: int = Field(default=100_000, gt=0)


class UpstreamSettings(DaemonSettings):
    """Settings of an attendant next to an upstream.

    Parameters
    ----------
    answer_mb : float
        Maximum size of the stored answers, in MB.
    """

    role: Literal["upstream"]
    upstream: AddressField
    slots: int = Field(gt=0)
    connections: int = Field(gt=0)
    answer_mb: float = Field(default=16.0, gt=0)


class WorkerSettings(DaemonSettings):
    """Settings of an attendant next to a worker."""

    role: Literal["worker"]
    control: AddressField


class JobDaemonSettings(_Model):
    """Settings that all daemons that schedule or run jobs have in common.

    Parameters
    ----------
    peers : Address
        Address at which other daemons call this one. All daemons use the same port.
    table : Address
        Address of the platform's metadata store.
    metrics : Address, optional
        Address at which counters and histograms are served as text.
    seeds : list of Address
        Any addresses of entries to contact until the table has been read. Only the
        host is used, because all daemons use the same peer port.
    """

    name: str = Field(min_length=1)
    data_centre: str
    peers: AddressField
    table: AddressField
    metrics: OptionalAddress = None
    seeds: list[AddressField] = []
    log: LogSettings = LogSettings()
    limits: OptionalLimits = LimitSettings()


class OverloadSettings(_Model):
    """What an entry does while not all jobs can be on time.

    Parameters
    ----------
    order : JobOrder
        In which order jobs of one priority get free capacity.
    admission : AdmissionPolicy
        Which jobs it accepts.
    backlog_max_age_s : float
        An entry does not use a backlog that it learned longer ago: it says little about
        jobs that take some seconds.
    """

    order: JobOrder = JobOrder.DEADLINE
    admission: AdmissionPolicy = AdmissionPolicy.ALL
    backlog_max_age_s: Seconds = 3.0

    @property
    def uses_backlog(self) -> bool:
        """Whether the entry asks the scheduler for the backlog.

        A scheduler computes it only with `JobOrder.LEAST_COST`.
        """
        return (
            self.order is JobOrder.LEAST_COST
            or self.admission is AdmissionPolicy.USEFUL
        )


OptionalOverload = Annotated[
    OverloadSettings, BeforeValidator(lambda value: {} if value is None else value)
]


class JobEntrySettings(JobDaemonSettings):
    """Settings of an entry that accepts jobs and may become the scheduler.

    Parameters
    ----------
    callers, readiness : Address
        Addresses at which callers submit jobs and the load balancer checks readiness.
    advice : Address, optional
        Address of the service that decides which workers a queue's policy allows.
    keep_s : float
        How long an ended job is kept.
    grace_s : float
        Time within which a shutdown ends; the process is killed after it.
    region_by_data_centre : dict
        The deployment's data centres; the operator's request to evacuate another one
        is logged as unknown. Empty if they are not known.
    overload : OverloadSettings
        What it does while not all jobs can be on time.
    """

    role: Literal["job-entry"]
    callers: AddressField
    readiness: AddressField
    advice: OptionalAddress = None
    keep_s: Seconds = 120.0
    grace_s: Seconds = 6.0
    region_by_data_centre: OptionalMapping = {}
    overload: OptionalOverload = OverloadSettings()


class JobAttendantSettings(JobDaemonSettings):
    """Settings of an attendant next to a worker that runs the tasks of jobs.

    Parameters
    ----------
    heartbeats : Address
        Address that receives the worker's heartbeats.
    evacuation_ms : float
        Time in ms after the operator's request to evacuate a data centre from which
        nothing may be started there.
    """

    role: Literal["job-attendant"]
    heartbeats: AddressField
    evacuation_ms: OptionalMilliseconds = DEFAULT_EVACUATION_MS


class ServiceSettings(_Model):
    """The upstream instances of a deployment's service."""

    instances: int = Field(gt=0)
    slots: int = Field(gt=0)
    connections: int = Field(gt=0)


class WorkerPoolSettings(_Model):
    """The workers of a deployment."""

    count: int = Field(ge=0)
    processors: float = Field(gt=0)
    memory_gb: float = Field(gt=0)
    accelerators: int = Field(default=0, ge=0)
    per_rack: int = Field(gt=0)


class AllowanceSettings(_Model):
    """The initial allowance of a plan in a deployment."""

    processors: float = Field(ge=0)
    memory_gb: float = Field(ge=0)
    accelerators: int = Field(default=0, ge=0)
    vm_share: float = Field(default=1.0, gt=0, le=1)


class Deployment(_Model):
    """A complete deployment of a user, for the demo and the load tool.

    Parameters
    ----------
    default_plan : str
        Plan of customers that are in a trace, but not in the lists.
    """

    name: str
    data_centres: list[str] = Field(min_length=1)
    entries: int = Field(gt=0)
    service: ServiceSettings
    workers: WorkerPoolSettings
    plans: dict[str, str]
    allowances: dict[str, AllowanceSettings]
    default_plan: str
    timing: TimingSettings = TimingSettings()
