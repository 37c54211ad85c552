"""Planning of the starts of a scheduling round."""

from __future__ import annotations

from datetime import timedelta

from coltsfoottray.clock import Moment
from coltsfoottray.jobs.config import ConfigHolder
from coltsfoottray.jobs.model import QueueTerms, RunRef
from coltsfoottray.jobs.records import TaskPhase
from coltsfoottray.logs import log_event
from coltsfoottray.scheduler.capacity_bounds import FreeCapacityBounds
from coltsfoottray.scheduler.cluster_state import ClusterState
from coltsfoottray.scheduler.fleet import Worker
from coltsfoottray.scheduler.live import LiveJob
from coltsfoottray.scheduler.live_step import LiveStep
from coltsfoottray.scheduler.placed_run import PlacedRun
from coltsfoottray.scheduler.places import PlaceFinder, TicketedPlaces
from coltsfoottray.scheduler.urgency import UrgencyKey, is_half_elapsed, urgency_key
from coltsfoottray.scheduler.wait_reason import WaitReason
from coltsfoottray.scheduler.worker_selection import (
    Strictness,
    choose_gang,
    has_idle_processors,
    list_candidates,
)

__all__ = ["Planner"]

# Users consider a job lost when nothing of it runs for 3 s; a start takes up to half a
# second while the table is slow.
_MAX_IDLE = timedelta(seconds=1)

# Steps per pass that may examine the workers without success. There is a pass in order
# of urgency and one over the rest; this bounds a round when thousands of steps wait.
_MAX_MISSES = 60


class Planner:
    """Makes decisions from the cluster state and applies them to it."""

    def __init__(self, *, cluster: ClusterState, holder: ConfigHolder) -> None:
        self._cluster = cluster
        self._fleet = cluster.fleet
        self._holder = holder
        self._round = 0
        # The steps that could start at the last plan, the most urgent first.
        self._ready: list[LiveStep] = []
        self._places = PlaceFinder(cluster=cluster)

    def plan(self, moment: Moment) -> list[PlacedRun]:
        """Assign waiting tasks to workers; return the new runs."""
        now = moment.elapsed
        self._round += 1
        self._ready = self._list_ready(moment)
        bounds = FreeCapacityBounds(fleet=self._fleet, now=now)
        placed, untried = self._place_steps(self._ready, bounds, now)
        # A few dozen steps that fit nowhere would starve all steps behind them, so the
        # second pass begins with the steps whose last try is longest ago.
        untried.sort(key=lambda step: step.last_tried_round)
        more, _ = self._place_steps(untried, bounds, now)
        return placed + more

    def _list_ready(self, moment: Moment) -> list[LiveStep]:
        ranked: list[tuple[UrgencyKey, LiveStep]] = []
        jobs = self._cluster.jobs
        for job in list(jobs.active_by_id.values()):
            with jobs.isolate(job.id):
                ranked += self._rank_steps(job, moment)
        ranked.sort(key=lambda each: each[0])
        return [step for _, step in ranked]

    def _rank_steps(
        self, job: LiveJob, moment: Moment
    ) -> list[tuple[UrgencyKey, LiveStep]]:
        """Return the steps of a job that can start, with what they are sorted by."""
        job.add_due_occurrences(moment)
        if job.is_withheld:
            return []
        ready = [step for step in job.steps() if step.can_start]
        for step in ready:
            step.advice_state.mark_ready(moment.elapsed)
        return [
            (urgency_key(step, self._holder, moment.elapsed), step) for step in ready
        ]

    def _place_steps(
        self,
        steps: list[LiveStep],
        bounds: FreeCapacityBounds,
        now: timedelta,
    ) -> tuple[list[PlacedRun], list[LiveStep]]:
        """Place steps in order; return the new runs and the steps not reached."""
        placed: list[PlacedRun] = []
        misses = 0
        for number, step in enumerate(steps):
            if misses > _MAX_MISSES:
                return placed, steps[number:]
            # Not a miss, as no worker is examined: counting these would end the pass
            # early, and less urgent steps would get room before others that fit.
            if self._has_no_place(step, bounds, now):
                step.record_wait_reason(self._room_reason(step, bounds))
                continue
            new = self._place_step(step, now)
            step.record_wait_reason(self._wait_reason(step, bounds, now))
            step.last_tried_round = self._round
            placed += new
            misses += not new
        return placed, []

    def _has_no_place(
        self, step: LiveStep, bounds: FreeCapacityBounds, now: timedelta
    ) -> bool:
        """Return whether the bounds alone show that no worker has room for a task."""
        if step.spec.is_filler:
            self._update_idle_since(step.job, now)
        return not bounds.may_fit(
            step.spec, service=self._cluster.terms_of(step.job).service
        )

    def _wait_reason(
        self, step: LiveStep, bounds: FreeCapacityBounds, now: timedelta
    ) -> WaitReason:
        """Return why tasks of a step wait although some worker may have room."""
        allowed = self._places.allowed_lives(step, now)
        if allowed is not None and not allowed:
            return WaitReason.TICKET
        reason = self._room_reason(step, bounds)
        if not step.spec.is_filler or reason is not WaitReason.ROOM:
            return reason
        service = self._cluster.terms_of(step.job).service
        if has_idle_processors(step, self._fleet, service=service, now=now):
            return WaitReason.GOOD_PLACE
        return WaitReason.ROOM

    def _room_reason(self, step: LiveStep, bounds: FreeCapacityBounds) -> WaitReason:
        """Return whether a step lacks room, or only room that it may use now."""
        service = self._cluster.terms_of(step.job).service
        if bounds.may_fit_after_evacuation(step.spec, service=service):
            return WaitReason.EVACUATION
        if bounds.may_fit_once_healthy(step.spec, service=service):
            return WaitReason.HEALTH
        return WaitReason.ROOM

    def _place_step(self, step: LiveStep, now: timedelta) -> list[PlacedRun]:
        service = self._cluster.terms_of(step.job).service
        placed: list[PlacedRun] = []
        if step.spec.is_gang:
            gang = choose_gang(
                step,
                self._fleet,
                self._cluster.pressures,
                service=service,
                now=now,
                allowed=self._places.allowed_lives(step, now),
            )
            workers = gang or []
            refs = [step.next_run(index) for index in step.waiting]
            for ref, member in zip(refs, workers, strict=False):
                placed.append(self._assign(step, ref, member, now))
        else:
            strictness = self._strictness(step.job, now)
            for index in step.waiting:
                worker = self._places.find(
                    step,
                    now,
                    avoid=step.avoid_by_index.get(index, ()),
                    strictness=strictness,
                    may_probe=step.spec.is_service,
                )
                if worker is None:
                    break
                if strictness is Strictness.NONE:
                    # The job is no longer idle, so its other tasks can wait.
                    strictness = Strictness.HALF
                step.job.idle_since = None
                placed.append(self._assign(step, step.next_run(index), worker, now))
        if placed:
            step.recount()
            log_event(
                "decision:place",
                step=f"{step.job.id}.{step.occurrence}.{step.number}",
                workers=[f"{each.ref.task.index}@{each.worker}" for each in placed],
                waiting=len(step.waiting),
                lasts=step.spec.is_service,
                config=self._holder.current.version,
            )
        return placed

    def _assign(
        self, step: LiveStep, ref: RunRef, worker: Worker, now: timedelta
    ) -> PlacedRun:
        record = step.records[ref.task.index]
        record.phase = TaskPhase.ASSIGNED
        record.run = ref.run
        record.worker = worker.id
        record.life = worker.life
        record.is_settled = False
        step.job.is_dirty = True
        placed = PlacedRun(
            ref=ref, step=step, worker=worker.id, life=worker.life, placed_at=now
        )
        worker.hold(placed)
        return placed

    def _strictness(self, job: LiveJob, now: timedelta) -> Strictness:
        """Return how good a place must be for tasks of a job.

        A job that runs nothing while workers have room is lost to its caller, whatever
        it waits for, so any place is good enough once it has been idle for a while.
        """
        self._update_idle_since(job, now)
        if job.idle_since is not None and now - job.idle_since > _MAX_IDLE:
            return Strictness.NONE
        if is_half_elapsed(job, self._holder, now):
            return Strictness.HALF
        return Strictness.WHOLE

    @staticmethod
    def _update_idle_since(job: LiveJob, now: timedelta) -> None:
        if not job.is_idle:
            job.idle_since = None
        elif job.idle_since is None:
            job.idle_since = now

    @property
    def has_waiting_fillers(self) -> bool:
        """Whether fillers still wait after the last plan."""
        return any(step.spec.is_filler and step.waiting for step in self._ready)

    def waiting_for_tickets(self, now: timedelta) -> list[LiveStep]:
        """Return the steps that wait for advice, the most urgent first.

        Steps that no worker has room for are left out: there is no worker to ask about,
        and the most urgent of them would take all requests. So are those that can use a
        ticket; a ticket for a worker that has ended or is full is of no use.
        """
        bounds = FreeCapacityBounds(fleet=self._fleet, now=now)
        places = TicketedPlaces(fleet=self._fleet, now=now)
        waiting: list[LiveStep] = []
        for step in self._ready:
            terms = self._cluster.terms_of(step.job)
            if (
                terms.advice is not None
                and bounds.may_fit(step.spec, service=terms.service)
                and step.can_start
                and not places.has_any(step, service=terms.service)
            ):
                waiting.append(step)
        return waiting

    def terms_of(self, step: LiveStep) -> QueueTerms:
        """Return the queue terms that apply to a step now."""
        return self._cluster.terms_of(step.job)

    def candidate_lives(self, step: LiveStep, now: timedelta) -> list[str]:
        """Return the incarnations of the workers that suit a step, the best first."""
        workers = list_candidates(
            step,
            self._fleet,
            self._cluster.pressures,
            service=self._cluster.terms_of(step.job).service,
            now=now,
        )
        return [worker.life for worker in workers]
