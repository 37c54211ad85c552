"""The scheduler's view of workers and of the runs placed on them."""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass, field
from datetime import timedelta

from coltsfoottray.agent.pressure import ServiceMargin
from coltsfoottray.jobs.model import RunRef
from coltsfoottray.logs import log_event
from coltsfoottray.scheduler.health import WorkerHealth
from coltsfoottray.scheduler.live_step import LiveStep
from coltsfoottray.scheduler.placed_run import PlacedRun
from coltsfoottray.scheduler.worker_leases import PriorLeases, WorkerLeases
from coltsfoottray.scheduler.worker_usage import WorkerUsage
from coltsfoottray.types import Address, Resources

__all__ = ["Fleet", "Worker"]

# A worker that fails its tasks does so within some tenths of a second; one on which
# tasks make no progress is detected after 1.5 s.
_PROBE_TIME = timedelta(seconds=2)
# As long as the first block, so that a worker that goes on failing is probed no more
# often than that.
_PROBE_DELAY = timedelta(seconds=2)
_NEVER = timedelta(days=-1)
_NO_RESOURCES = Resources()


@dataclass(kw_only=True, eq=False)
class Worker:
    """One VM that runs tasks, as described by its attendant's reports.

    Parameters
    ----------
    session : int
        Fencing token of its attendant's orders. A new one is granted when the
        attendant or the worker restarts, and when runs on it were declared lost.
    session_life : str
        The worker's incarnation for which the session was granted.
    leases : WorkerLeases
        How long its runs can last.
    last_answered : timedelta
        When a report last showed that the worker answers its attendant, or when a new
        attendant began to poll it.
    report_number : int
        Number of the latest report of the attendant's current incarnation.
    acknowledged : int
        Ends of its current incarnation up to this number are stored.
    applied_ends : int
        Ends of its current incarnation up to this number have been applied.
    demand_by_orphan : dict
        Resources of the runs that the worker lists and the scheduler does not expect
        there. They occupy room until they are stopped.
    unsent_orphans : set of RunRef
        Those among them that its attendant has not been told to stop yet.
    leaves_at : timedelta
        Until when a draining worker certainly stays.
    blocked_until : timedelta
        Until when it gets no new tasks.
    probe_from : timedelta
        From when it may get a probe, also during a longer block; see `may_be_probed`.
    is_evacuated : bool
        Whether its data centre is evacuated; it gets no new tasks then.
    has_new_deferred : bool
        Whether other fillers are deferred than its attendant has been told.
    """

    id: str
    address: Address | None
    leases: WorkerLeases
    incarnation: str = ""
    session: int = 0
    session_life: str = ""
    life: str = ""
    service: str = ""
    data_centre: str = ""
    capacity: Resources = _NO_RESOURCES
    labels: list[str] = field(default_factory=list)
    rack: str = ""
    is_draining: bool = False
    leaves_at: timedelta = _NEVER
    is_reachable: bool = False
    report_number: int = 0
    last_heard: timedelta = _NEVER
    last_answered: timedelta = _NEVER
    acknowledged: int = 0
    applied_ends: int = 0
    held_by_ref: dict[RunRef, PlacedRun] = field(default_factory=dict)
    demand_by_orphan: dict[RunRef, Resources] = field(default_factory=dict)
    unsent_orphans: set[RunRef] = field(default_factory=set)
    blocked_until: timedelta = _NEVER
    probe_from: timedelta = _NEVER
    is_evacuated: bool = False
    has_new_deferred: bool = False

    def __post_init__(self) -> None:
        self.health = WorkerHealth()
        self.margin_by_image: dict[str, ServiceMargin] = {}
        self._usage: WorkerUsage | None = None
        self._deferred: set[RunRef] | None = None

    @property
    def room(self) -> Resources:
        """Capacity that no run reserves."""
        orphans = Resources.total(list(self.demand_by_orphan.values()))
        return self.capacity - (self.usage.reserved + orphans)

    @property
    def idle_processors(self) -> float:
        """Processors that its runs are not expected to use."""
        return self.capacity.processors - self.usage.busy_processors

    def idle_for(self, step: LiveStep) -> float:
        """Return the processors that tasks of a step can use."""
        if step.is_deferred:
            return self.idle_processors
        return self.idle_processors + self.usage.deferred_processors

    def filler_share_beside(self, step: LiveStep) -> Mapping[str, float]:
        """Return the share of the worker that fillers use beside a step, by image."""
        usage = self.usage
        if step.is_deferred or not usage.deferred_share_by_image:
            return usage.filler_share_by_image
        return {
            image: share - usage.deferred_share_by_image.get(image, 0.0)
            for image, share in usage.filler_share_by_image.items()
        }

    @property
    def service_images(self) -> list[str]:
        """Images of the services with a latency target that it holds, sorted."""
        return self.usage.service_images

    def deferred_fillers(self) -> list[RunRef] | None:
        """Return the fillers that are deferred here, None before the first decision."""
        return None if self._deferred is None else self._list_deferred()

    def share_of(self, processors: float) -> float:
        """Return `processors` as a fraction of the worker's capacity."""
        return self.usage.share_of(processors)

    def describe_silence(self, now: timedelta) -> str:
        """Return for how long its attendant has not reported, for log lines."""
        if self.last_heard == _NEVER:
            return "not heard by this scheduler"
        return f"silent for {(now - self.last_heard).total_seconds():.1f} s"

    @property
    def has_unconfirmed_runs(self) -> bool:
        """Whether it is still unknown what became of the runs that it holds."""
        if not self.held_by_ref:
            return False
        return not self.life or self.leases.replaced_since is not None

    def run_ends_by(self, placed: PlacedRun) -> timedelta:
        """Return when a held run cannot exist any more."""
        if placed.is_settled:
            return self.leases.settled_runs_end_by
        return self.leases.runs_end_by

    @property
    def runs_end_by(self) -> timedelta:
        """When none of the runs that are held or listed can exist any more."""
        if self.demand_by_orphan or not self.held_by_ref:
            return self.leases.runs_end_by
        return max(self.run_ends_by(placed) for placed in self.held_by_ref.values())

    @property
    def first_run_ends_by(self) -> timedelta | None:
        """When the first of these runs cannot exist any more, None if there is none."""
        ends = [self.run_ends_by(placed) for placed in self.held_by_ref.values()]
        if self.demand_by_orphan:
            ends.append(self.leases.runs_end_by)
        return min(ends, default=None)

    def runs_ended_before(self, now: timedelta) -> list[PlacedRun]:
        """Return the held runs that cannot exist any more."""
        return [
            placed
            for placed in self.held_by_ref.values()
            if self.run_ends_by(placed) < now
        ]

    def block(self, duration: timedelta, now: timedelta) -> None:
        """Give it no new tasks for some time."""
        self.blocked_until = now + duration
        self.delay_probe(now)

    def delay_probe(self, now: timedelta) -> None:
        """Let no probe begin for some time after a failure or a rejection."""
        self.probe_from = now + _PROBE_DELAY

    def may_be_probed(self, now: timedelta) -> bool:
        """Return whether a service's task may probe it although it is blocked.

        Failures of services count no attempt, and services must not wait as long as the
        longest block lasts.
        """
        return self.health.is_on_probation and self.probe_from <= now

    def end_probation(self, now: timedelta) -> None:
        """End the probation, and the block, if a probe is still at work.

        If only completed tasks ended it, a worker that gets nothing but services would
        be given one task per probe for good.
        """
        if self.health.is_on_probation and any(
            self.probe_from <= placed.placed_at
            and now - placed.placed_at >= _PROBE_TIME
            and placed.is_at_work(now)
            for placed in self.held_by_ref.values()
        ):
            self.health.record_survival()
            self.blocked_until = min(self.blocked_until, now)

    def has_probe_running(self, now: timedelta) -> bool:
        """Return whether the first task after a block is still under observation.

        On a worker that has not recovered, all tasks placed together after a block
        would fail.
        """
        return self.health.is_on_probation and any(
            self.probe_from <= placed.placed_at and now - placed.placed_at < _PROBE_TIME
            for placed in self.held_by_ref.values()
        )

    def held_by_other_incarnations(self, life: str) -> list[PlacedRun]:
        """Return the held runs that were meant for another incarnation than `life`."""
        if not life:
            return []
        return [placed for placed in self.held_by_ref.values() if placed.life != life]

    def begin_incarnation(self, life: str) -> None:
        """Begin another incarnation, which has no ends and no lease yet."""
        self.life = life
        self.acknowledged = 0
        self.applied_ends = 0
        self.leases.begin_incarnation()

    def receive_rejection(self, ref: RunRef, *, session: int) -> None:
        """Record a rejection if it answers the last order for the run.

        If the order was repeated in a later session, a new attendant may have started
        the run. It answers that order too.
        """
        placed = self.held_by_ref.get(ref)
        if placed is None:
            return
        if placed.ordered_session == session:
            placed.is_rejected = True
        else:
            log_event("decision:rejection-outdated", worker=self.id, run=str(ref))

    def is_rejected(self, ref: RunRef) -> bool:
        """Return whether its attendant has rejected a held run and it stands."""
        placed = self.held_by_ref.get(ref)
        return placed is not None and placed.is_rejected

    @property
    def is_empty(self) -> bool:
        """Whether no run is held there or listed."""
        return not self.held_by_ref and not self.demand_by_orphan

    def set_orphans(self, demand_by_orphan: dict[RunRef, Resources]) -> None:
        """Set the runs that it lists and that are not expected there."""
        self.unsent_orphans |= demand_by_orphan.keys() - self.demand_by_orphan.keys()
        self.unsent_orphans &= demand_by_orphan.keys()
        self.demand_by_orphan = demand_by_orphan

    def hold(self, placed: PlacedRun) -> None:
        """Reserve room for a run."""
        if placed.ref in self.held_by_ref:
            self._usage = None
        elif self._usage is not None:
            self._usage.add(placed)
        self.held_by_ref[placed.ref] = placed

    def release(self, ref: RunRef) -> PlacedRun | None:
        """Release the room of a run that cannot exist any more."""
        placed = self.held_by_ref.pop(ref, None)
        self._usage = None
        return placed

    def update_deferred(self) -> None:
        """Update the usage by fillers after other jobs have been deferred."""
        deferred = set(self._list_deferred())
        before, self._deferred = self._deferred, deferred
        if deferred == (before or set()):
            return
        self.has_new_deferred = True
        self._usage = None

    def _list_deferred(self) -> list[RunRef]:
        return [ref for ref, placed in self.held_by_ref.items() if placed.is_deferred]

    def recompute_usage(self) -> None:
        """Recompute the sums after a report has updated the usage of runs."""
        self._usage = None

    @property
    def usage(self) -> WorkerUsage:
        """What its runs reserve and are expected to use."""
        if self._usage is None:
            self._usage = WorkerUsage(
                held=self.held_by_ref.values(), processors=self.capacity.processors
            )
        return self._usage


class Fleet:
    """All workers, by the name of their attendant."""

    def __init__(self) -> None:
        self.worker_by_id: dict[str, Worker] = {}

    def get_or_add(
        self, worker: str, address: Address | None, prior: PriorLeases
    ) -> Worker:
        """Return a worker, and add it if it is not known yet.

        Parameters
        ----------
        prior : PriorLeases
            What earlier schedulers may have left to a worker that is not known yet.
        """
        known = self.worker_by_id.get(worker)
        if known is None:
            leases = WorkerLeases.after(prior)
            known = Worker(id=worker, address=address, leases=leases)
            self.worker_by_id[worker] = known
        known.address = address or known.address
        return known

    def mark_evacuated(self, data_centres: Collection[str]) -> None:
        """Mark the workers in evacuated data centres."""
        for worker in self.worker_by_id.values():
            worker.is_evacuated = worker.data_centre in data_centres

    def next_lease_end(self, before: timedelta) -> timedelta | None:
        """Return when the next runs have to be declared lost, None if not by then."""
        ends = [
            each.first_run_ends_by
            for each in self.worker_by_id.values()
            if not each.is_empty and each.leases.settled_runs_end_by < before
        ]
        return min(
            (end for end in ends if end is not None and end < before), default=None
        )

    def placed_runs(self) -> list[PlacedRun]:
        """Return every run that may exist on any worker."""
        return [
            placed
            for worker in self.worker_by_id.values()
            for placed in worker.held_by_ref.values()
        ]
