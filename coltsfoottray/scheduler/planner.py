"""Planning of a scheduling round: starts, moves and evacuations."""

from __future__ import annotations

from datetime import timedelta

from coltsfoottray.clock import Moment
from coltsfoottray.jobs.config import ConfigHolder
from coltsfoottray.jobs.model import QueueTerms, RunRef
from coltsfoottray.jobs.records import JobState, TaskPhase
from coltsfoottray.logs import log_event
from coltsfoottray.scheduler.cluster_state import ClusterState
from coltsfoottray.scheduler.fleet import PlacedRun, Worker
from coltsfoottray.scheduler.live import LiveJob, LiveStep
from coltsfoottray.scheduler.packing import choose_moves, is_fully_running
from coltsfoottray.scheduler.urgency import is_half_elapsed, urgency_key
from coltsfoottray.scheduler.wait_reason import WaitReason
from coltsfoottray.scheduler.worker_selection import (
    FreeCapacityBounds,
    Strictness,
    choose_gang,
    choose_worker,
    find_faster,
    has_room_in_evacuation,
    is_schedulable,
    list_candidates,
)

__all__ = ["Planner"]

# From this progress on, extrapolation predicts a task's end better than its estimate.
_MIN_PREDICTIVE_PERCENT = 10.0

# A run predicted to end only just before its worker leaves counts as too late.
_SAFETY_FACTOR = 1.2

# Two moves per second are far more than the rate at which fillers become slow.
_REBALANCE_PERIOD = timedelta(milliseconds=500)

# A moved service is running again within a second.
_PACKING_PERIOD = timedelta(seconds=1)

# Younger runs are not moved: learning an image's pressure takes two polls.
_SETTLING_TIME = timedelta(seconds=1.5)

# A move without a checkpoint discards the work; beyond this progress it costs too much.
_MAX_MOVABLE_PERCENT = 15.0

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
        self._last_rebalance = timedelta(0)
        self._last_packing = timedelta(0)
        self._round = 0
        # The steps that could start at the last plan, the most urgent first.
        self._ready: list[LiveStep] = []

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
        ready: list[LiveStep] = []
        for job in self._cluster.jobs.active_by_id.values():
            job.add_due_occurrences(moment)
            ready += [step for step in job.steps() if step.can_start]
        for step in ready:
            step.advice_state.mark_ready(moment.elapsed)
        now = moment.elapsed
        ready.sort(key=lambda step: urgency_key(step, self._holder, now))
        return ready

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
                step.record_wait_reason(self._room_reason(step, now))
                continue
            new = self._place_step(step, now)
            step.record_wait_reason(self._wait_reason(step, now))
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

    def _wait_reason(self, step: LiveStep, now: timedelta) -> WaitReason:
        """Return why tasks of a step wait although some worker may have room."""
        allowed = self._allowed_lives(step, now)
        if allowed is not None and not allowed:
            return WaitReason.TICKET
        reason = self._room_reason(step, now)
        if step.spec.is_filler and reason is WaitReason.ROOM:
            return WaitReason.GOOD_PLACE
        return reason

    def _room_reason(self, step: LiveStep, now: timedelta) -> WaitReason:
        """Return whether a step lacks room, or only room that is not evacuated."""
        service = self._cluster.terms_of(step.job).service
        if self._fleet.has_evacuated and has_room_in_evacuation(
            step, self._fleet, service=service, now=now
        ):
            return WaitReason.EVACUATION
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
                allowed=self._allowed_lives(step, now),
            )
            workers = gang or []
            refs = [step.next_run(index) for index in step.waiting]
            for ref, member in zip(refs, workers, strict=False):
                placed.append(self._assign(step, ref, member, now))
        else:
            strictness = self._strictness(step.job, now)
            for index in step.waiting:
                worker = self._find_place(step, now, index, strictness=strictness)
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
        job = step.job
        job.is_dirty = True
        job.record.has_started = True
        if job.record.state is JobState.QUEUED:
            job.record.state = JobState.RUNNING
        placed = PlacedRun(
            ref=ref, step=step, worker=worker.id, life=worker.life, placed_at=now
        )
        worker.hold(placed)
        return placed

    def rebalance(self, now: timedelta) -> None:
        """Move a slow filler to a worker on which it would run at full speed."""
        if now - self._last_rebalance < _REBALANCE_PERIOD:
            return
        self._last_rebalance = now
        movable = [
            placed for placed in self._fleet.placed_runs() if _is_movable(placed, now)
        ]
        for placed in movable:
            place = find_faster(
                placed,
                self._fleet,
                self._cluster.pressures,
                service=self._cluster.terms_of(placed.step.job).service,
                now=now,
            )
            if place is None:
                continue
            log_event(
                "decision:move",
                run=str(placed.ref),
                worker=placed.worker,
                to=place.id,
                percent=placed.percent,
            )
            self._stop_to_move(placed)
            # One move at a time: the place found may be full after it.
            return

    def pack_services(self, now: timedelta) -> None:
        """Consolidate services while fillers wait for a worker without services."""
        if now - self._last_packing < _PACKING_PERIOD:
            return
        self._last_packing = now
        if not any(step.spec.is_filler and step.waiting for step in self._ready):
            return
        services = {worker.service for worker in self._fleet.worker_by_id.values()}
        for service in sorted(services):
            workers = [
                worker
                for worker in self._fleet.worker_by_id.values()
                if is_schedulable(worker, service, now)
            ]
            for placed in choose_moves(workers):
                self._move_service(placed, now)

    def _move_service(self, placed: PlacedRun, now: timedelta) -> None:
        runs = [run for run in self._fleet.placed_runs() if run.step is placed.step]
        if not is_fully_running(runs) or not self._has_place_elsewhere(placed, now):
            return
        log_event("decision:pack", run=str(placed.ref), worker=placed.worker)
        self._stop_to_move(placed)

    def _has_place_elsewhere(self, placed: PlacedRun, now: timedelta) -> bool:
        """Return whether a run could restart beside services on another worker.

        Few workers may run a step that needs tickets: a stopped run would wait for one.
        """
        place = self._choose_worker(placed.step, now, {placed.worker}, Strictness.WHOLE)
        return (
            place is not None
            and place.id != placed.worker
            and bool(place.service_images)
        )

    @staticmethod
    def _stop_to_move(placed: PlacedRun) -> None:
        """Stop a run so that it restarts on another worker."""
        placed.is_stopping = True
        avoided = placed.step.avoid_by_index.setdefault(placed.ref.task.index, set())
        avoided.add(placed.worker)

    def evacuate(self, now: timedelta) -> None:
        """Stop the runs that would not end before their draining worker leaves.

        A run stopped in time continues elsewhere, from its checkpoint if it has one;
        a run that is still there when the worker leaves is lost without a checkpoint.
        """
        for worker in self._fleet.worker_by_id.values():
            if not worker.is_draining or not worker.is_reachable:
                continue
            for placed in worker.held_by_ref.values():
                if placed.is_stopping or not placed.is_released:
                    continue
                if _ends_in_time(placed, worker, now):
                    continue
                if self._find_place(placed.step, now) is not None:
                    placed.is_stopping = True
                    log_event(
                        "decision:evacuate",
                        run=str(placed.ref),
                        worker=worker.id,
                        left_s=(worker.leaves_at - now).total_seconds(),
                        percent=placed.percent,
                    )

    def _find_place(
        self,
        step: LiveStep,
        now: timedelta,
        index: int | None = None,
        *,
        strictness: Strictness = Strictness.WHOLE,
    ) -> Worker | None:
        avoid = set() if index is None else step.avoid_by_index.get(index, set())
        return self._choose_worker(step, now, avoid, strictness)

    def _choose_worker(
        self, step: LiveStep, now: timedelta, avoid: set[str], strictness: Strictness
    ) -> Worker | None:
        return choose_worker(
            step,
            self._fleet,
            self._cluster.pressures,
            service=self._cluster.terms_of(step.job).service,
            now=now,
            avoid=avoid,
            allowed=self._allowed_lives(step, now),
            strictness=strictness,
        )

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

    def _allowed_lives(self, step: LiveStep, now: timedelta) -> set[str] | None:
        """Return the worker incarnations that may run a step, None if all may."""
        if self._cluster.terms_of(step.job).advice is None:
            return None
        return step.valid_lives(now)

    def waiting_for_tickets(self, now: timedelta) -> list[LiveStep]:
        """Return the steps that wait for advice, the most urgent first.

        Steps that no worker has room for are left out: there is no worker to ask about,
        and the most urgent of them would take all requests.
        """
        bounds = FreeCapacityBounds(fleet=self._fleet, now=now)
        waiting: list[LiveStep] = []
        for step in self._ready:
            terms = self._cluster.terms_of(step.job)
            if (
                terms.advice is not None
                and bounds.may_fit(step.spec, service=terms.service)
                and not step.valid_lives(now)
                and step.can_start
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


def _ends_in_time(placed: PlacedRun, worker: Worker, now: timedelta) -> bool:
    spec = placed.step.spec
    if spec.is_service:
        return False
    elapsed = now - placed.placed_at
    if placed.percent >= _MIN_PREDICTIVE_PERCENT:
        remaining = elapsed * (100.0 / placed.percent - 1.0)
    else:
        remaining = timedelta(milliseconds=spec.estimate_ms) - elapsed
    return now + remaining * _SAFETY_FACTOR < worker.leaves_at


def _is_movable(placed: PlacedRun, now: timedelta) -> bool:
    spec = placed.step.spec
    return (
        spec.is_filler
        and not spec.is_gang
        and placed.is_released
        and not placed.is_stopping
        and now - placed.placed_at > _SETTLING_TIME
        and (spec.has_checkpoints or placed.percent < _MAX_MOVABLE_PERCENT)
    )
