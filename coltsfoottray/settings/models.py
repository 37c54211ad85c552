"""What a settings file may hold."""

from __future__ import annotations

from datetime import timedelta
from typing import Annotated, Any, Literal

from pydantic import BaseModel, BeforeValidator, ConfigDict, Field

from coltsfoottray.types import Address

__all__ = [
    "DaemonSettings",
    "Deployment",
    "EntrySettings",
    "JobAttendantSettings",
    "JobDaemonSettings",
    "JobEntrySettings",
    "LogSettings",
    "TimingSettings",
    "UpstreamSettings",
    "WorkerSettings",
]

_MAX_PORT = 65535


def parse_address(value: Any) -> Address:
    """Return `value`, "IP:port", as an address."""
    if isinstance(value, Address):
        return value
    host, _, port = str(value).rpartition(":")
    if not host or not port.isdigit() or int(port) > _MAX_PORT:
        raise ValueError(f"got {value!r}, expected IP:port, as in 10.0.0.7:8080")
    return Address(host=host, port=int(port))


AddressField = Annotated[Any, BeforeValidator(parse_address)]
OptionalAddress = Annotated[
    Any, BeforeValidator(lambda value: None if value is None else parse_address(value))
]
Seconds = Annotated[float, Field(gt=0)]


class _Model(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class TimingSettings(_Model):
    """Durations in seconds.

    Parameters
    ----------
    lease_s : float
        Length of the leases in the table; a lost VM's work is free after it.
    hold_s : float
        How long an entry holds an announcement when there is no news.
    silence_s : float
        A daemon not heard for this long gets no new work; above `hold_s`.
    lists_poll_s : float
        How often an entry looks for newer lists, besides being told.
    report_s : float
        How often a worker's attendant reads the worker's reports.
    checkpoint_s : float
        How often running tasks are checkpointed; a lost worker loses as much.
    drain_s : float
        How long a graceful shutdown waits for work in flight.
    retention_s : float
        How long request ids, claims and answers are remembered; the same for
        all daemons.
    outage_grace_s : float
        How long entries go on serving keyed requests without the table. Who
        joins after the loss of all entries waits for as long, see
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
    """Where log lines go; without a file, to standard error."""

    level: Literal["debug", "info", "decisions"] = "info"
    file: str | None = None


class DaemonSettings(_Model):
    """What every daemon is told.

    Parameters
    ----------
    seeds : list of Address
        Peer addresses of entries to turn to until the table has been read; a
        daemon that starts in an outage of the table finds the others by them.
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


class EntrySettings(DaemonSettings):
    """An entry daemon.

    Parameters
    ----------
    claims : Address
        Where the other entries propose claims; no caller's business.
    deadline_s : float
        The deadline of requests that name none.
    max_claims : int
        How many keys are remembered at the most.
    """

    role: Literal["entry"]
    claims: AddressField
    routing: str = "two-choices"
    placement: str = "tightest-fit"
    deadline_s: Seconds = 30.0
    max_claims: int = Field(default=100_000, gt=0)


class UpstreamSettings(DaemonSettings):
    """An attendant beside an upstream.

    Parameters
    ----------
    answer_mb : float
        Bound on the answers remembered.
    """

    role: Literal["upstream"]
    upstream: AddressField
    slots: int = Field(gt=0)
    connections: int = Field(gt=0)
    answer_mb: float = Field(default=16.0, gt=0)


class WorkerSettings(DaemonSettings):
    """An attendant beside a worker."""

    role: Literal["worker"]
    control: AddressField


class JobDaemonSettings(_Model):
    """What every daemon that schedules or runs jobs is told.

    Parameters
    ----------
    peers : Address
        Where other daemons call this one. They all use the same port.
    table : Address
        The platform's store.
    metrics : Address, optional
        Where counters and histograms are served as text.
    seeds : list of Address
        Any addresses of entries to turn to while the table has not been read;
        only the host counts, since all daemons use the same peer port.
    """

    name: str = Field(min_length=1)
    data_centre: str
    peers: AddressField
    table: AddressField
    metrics: OptionalAddress = None
    seeds: list[AddressField] = []
    log: LogSettings = LogSettings()


class JobEntrySettings(JobDaemonSettings):
    """An entry that accepts jobs and may become the scheduler.

    Parameters
    ----------
    callers, readiness : Address
        Where callers hand jobs in, and where the balancer asks for readiness.
    advice : Address, optional
        The service that says which workers a queue's policy allows.
    keep_s : float
        How long an ended job is remembered.
    grace_s : float
        A shutdown ends within it; then the process is killed.
    """

    role: Literal["job-entry"]
    callers: AddressField
    readiness: AddressField
    advice: OptionalAddress = None
    keep_s: Seconds = 120.0
    grace_s: Seconds = 6.0


class JobAttendantSettings(JobDaemonSettings):
    """An attendant beside a worker that runs jobs' tasks.

    Parameters
    ----------
    heartbeats : Address
        Where the worker reports about itself.
    """

    role: Literal["job-attendant"]
    heartbeats: AddressField


class ServiceSettings(_Model):
    """The instances of a deployment's service."""

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
    """One line of the allowances as a deployment begins."""

    processors: float = Field(ge=0)
    memory_gb: float = Field(ge=0)
    accelerators: int = Field(default=0, ge=0)
    vm_share: float = Field(default=1.0, gt=0, le=1)


class Deployment(_Model):
    """A whole user's deployment, for the demo and the load tool.

    Parameters
    ----------
    default_plan : str
        The plan of customers that a trace names and the lists do not.
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
