"""The workers as the scheduler knows them."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from datetime import timedelta

from coltsfoottray.agent.pressure import SERVICE_USE, ServiceMargin
from coltsfoottray.jobs.model import RunRef
from coltsfoottray.scheduler.health import WorkerHealth
from coltsfoottray.scheduler.lengths import Progress
from coltsfoottray.scheduler.live import LiveStep
from coltsfoottray.types import Address, Resources

__all__ = ["MAX_ORPHAN_TIME", "Fleet", "PlacedRun", "Worker"]

# A slowed filler may be let work a little more by the next look.
_FILLER_HEADROOM = 0.15
_MILLI = 1000.0
# A worker that fails what it starts does so within some tenths of a second; one on
# which tasks stand still is found out after 1.5 s.
_TRIAL = timedelta(seconds=2)
_NEVER = timedelta(days=-1)

# A new life of a worker that never answers its attendant cannot show what it runs. A
# start of the life before that reached it, seconds late, would run for a lease of 10 s
# at the most.
MAX_ORPHAN_TIME = timedelta(seconds=16)
_NOTHING = Resources()


@dataclass(kw_only=True, eq=False)
class PlacedRun:
    """A run that may exist on a worker.

    Parameters
    ----------
    is_released : bool
        Its assignment is stored, so the worker may be told.
    is_stopping : bool
        It is to end; until its end is known it takes room.
    placed_at : timedelta
        When it was assigned, by the scheduler's clock.
    """

    ref: RunRef
    step: LiveStep
    worker: str
    life: str
    placed_at: timedelta
    is_released: bool = False
    is_stopping: bool = False
    is_stop_sent: bool = False
    percent: float = 0.0
    figure: float = 0.0

    def __post_init__(self) -> None:
        self.progress = Progress(begun=self.placed_at)

    @property
    def speed(self) -> float:
        """At which part of its full speed it works, by the processors it uses."""
        wanted = self.step.spec.demand.processors
        if not self.step.spec.is_filler or wanted <= 0:
            return 1.0
        return min(self.figure / _MILLI / wanted, 1.0)

    def update_status(self, percent: float, figure: float, now: timedelta) -> None:
        """Take in how far it is and what it uses."""
        self.progress.note(percent, speed=self.speed, now=now)
        self.percent = percent
        self.figure = figure
        self._tell_length(self.progress.length_ms())

    def record_completion(self, now: timedelta) -> None:
        """Take in that it has ended well."""
        self._tell_length(self.progress.length_at_end(now, speed=self.speed))

    def _tell_length(self, length_ms: float | None) -> None:
        if length_ms is not None and not self.step.spec.is_service:
            self.step.job.record_length(self.step.number, length_ms)

    @property
    def reserved(self) -> Resources:
        """What it takes from the worker's capacity."""
        return self.step.spec.reserved


@dataclass(kw_only=True, eq=False)
class Worker:
    """One VM that runs tasks, by its attendant's reports.

    Parameters
    ----------
    session : int
        The fencing token of its attendant's orders; a new one is granted when
        the attendant starts anew, when the worker does, and when runs have been
        given up here.
    session_life : str
        The life for which it was granted.
    lease_end : timedelta
        Nothing runs here after it unless a lease is granted once more.
    answered : timedelta
        When a report last showed that the worker answers its attendant, or a new
        attendant began to look for it.
    report_number : int
        The latest report of this life of its attendant.
    replaced : timedelta, optional
        Since when another life than that of the runs held is known to be there.
    is_listed : bool
        The lease row calls it silent; until another one stands it gets no lease.
    acknowledged : int
        Ends of this life up to this number are stored.
    strays : set of RunRef
        Runs found here that should not be.
    leaves : timedelta
        While it drains: until when it surely stays.
    blocked_until : timedelta
        Takes nothing new until then.
    """

    id: str
    address: Address | None
    lease_end: timedelta
    incarnation: str = ""
    session: int = 0
    session_life: str = ""
    life: str = ""
    replaced_since: timedelta | None = None
    service: str = ""
    data_centre: str = ""
    capacity: Resources = _NOTHING
    labels: list[str] = field(default_factory=list)
    rack: str = ""
    is_draining: bool = False
    leaves_at: timedelta = _NEVER
    is_reachable: bool = False
    report_number: int = 0
    is_listed_silent: bool = False
    last_heard: timedelta = _NEVER
    last_answered: timedelta = _NEVER
    acknowledged: int = 0
    held_by_ref: dict[RunRef, PlacedRun] = field(default_factory=dict)
    orphans: set[RunRef] = field(default_factory=set)
    blocked_until: timedelta = _NEVER

    def __post_init__(self) -> None:
        self.health = WorkerHealth()
        self.reserved = Resources()
        self.busy_processors = 0.0
        self.margin_by_image: dict[str, ServiceMargin] = {}
        self.service_images: list[str] = []
        self.filler_share_by_image: dict[str, float] = {}

    @property
    def room(self) -> Resources:
        """What is not yet taken of its capacity."""
        return self.capacity - self.reserved

    @property
    def idle_processors(self) -> float:
        """Processors that none of its tasks is likely to use."""
        return self.capacity.processors - self.busy_processors

    def share_of(self, processors: float) -> float:
        """Return which part of the whole worker `processors` are."""
        return processors / max(self.capacity.processors, 1e-9)

    @property
    def has_unconfirmed_runs(self) -> bool:
        """Whether it is not known yet what became of runs that it had."""
        if not self.held_by_ref:
            return False
        return not self.life or self.replaced_since is not None

    @property
    def runs_end_by(self) -> timedelta:
        """When nothing that is held here can run any more.

        Another life of the worker may have taken starts that were meant for the one
        before. Its clock is another, so that they outlast the lease of that one.
        """
        if self.replaced_since is None:
            return self.lease_end
        return max(self.lease_end, self.replaced_since + MAX_ORPHAN_TIME)

    def has_probe_running(self, now: timedelta) -> bool:
        """Whether a first task after a block is yet to show if the worker is sound.

        Tasks placed together after a block would all fail where it is still bad.
        """
        return self.health.is_on_probation and any(
            self.blocked_until <= placed.placed_at and now - placed.placed_at < _TRIAL
            for placed in self.held_by_ref.values()
        )

    def held_by_other_lives(self, life: str) -> list[PlacedRun]:
        """Return the runs that were meant for another life than `life`."""
        if not life:
            return []
        return [placed for placed in self.held_by_ref.values() if placed.life != life]

    def hold(self, placed: PlacedRun) -> None:
        """Take room for a run."""
        self.held_by_ref[placed.ref] = placed
        self._sum_up()

    def release(self, ref: RunRef) -> PlacedRun | None:
        """Give back the room of a run that cannot exist any more."""
        placed = self.held_by_ref.pop(ref, None)
        self._sum_up()
        return placed

    def recompute_usage(self) -> None:
        """Count anew, after a report has told what runs use."""
        self._sum_up()

    def _sum_up(self) -> None:
        """Add up anew: sums kept by adding and taking away would drift."""
        held = self.held_by_ref.values()
        self.reserved = Resources.total([placed.reserved for placed in held])
        self.service_images = sorted(
            {
                placed.step.spec.image
                for placed in held
                if placed.step.spec.target_latency_ms
            }
        )
        self.filler_share_by_image = defaultdict(float)
        for placed in held:
            spec = placed.step.spec
            if spec.is_filler:
                share = self.share_of(spec.demand.processors)
                self.filler_share_by_image[spec.image] += share
        self.busy_processors = sum(_likely_use(placed) for placed in held)


def _likely_use(placed: PlacedRun) -> float:
    """Return the processors that a run is likely to keep busy.

    Of a filler it is what it used lately: one that is slowed for a service's sake
    leaves the rest to others.
    """
    spec = placed.step.spec
    wanted = spec.demand.processors
    if spec.target_latency_ms:
        return wanted * SERVICE_USE
    if spec.is_filler and placed.figure > 0:
        return min(wanted, placed.figure / _MILLI + wanted * _FILLER_HEADROOM)
    return wanted


class Fleet:
    """All workers, by their attendant's name."""

    def __init__(self) -> None:
        self.worker_by_id: dict[str, Worker] = {}

    def get_or_add(
        self, worker: str, address: Address | None, lease_end: timedelta
    ) -> Worker:
        """Return a worker, new if it was not known."""
        known = self.worker_by_id.get(worker)
        if known is None:
            known = Worker(id=worker, address=address, lease_end=lease_end)
            self.worker_by_id[worker] = known
        known.address = address or known.address
        return known

    def placed_runs(self) -> list[PlacedRun]:
        """Return every run that may exist on any worker."""
        return [
            placed
            for worker in self.worker_by_id.values()
            for placed in worker.held_by_ref.values()
        ]
