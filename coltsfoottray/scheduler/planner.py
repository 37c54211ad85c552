"""What the scheduler decides in a round: starts, moves, evacuations."""

from __future__ import annotations

from datetime import timedelta

from coltsfoottray.jobs.config import ConfigHolder
from coltsfoottray.jobs.model import QueueTerms, RunRef
from coltsfoottray.jobs.records import JobState, TaskPhase
from coltsfoottray.logs import log_event
from coltsfoottray.scheduler.cluster_state import ClusterState
from coltsfoottray.scheduler.fleet import PlacedRun, Worker
from coltsfoottray.scheduler.live import LiveJob, LiveStep
from coltsfoottray.scheduler.packing import choose_moves, is_fully_running
from coltsfoottray.scheduler.urgency import is_half_elapsed, urgency_key
from coltsfoottray.scheduler.wait_reason import WaitReason, record_wait_reason
from coltsfoottray.scheduler.worker_selection import (
    FreeCapacityBounds,
    Strictness,
    choose_gang,
    choose_worker,
    find_faster,
    is_schedulable,
    list_candidates,
)

__all__ = ["Planner"]

# From here on its percentage tells better than the estimate when a task will end.
_TELLING_PERCENT = 10.0

# What is likely to end only just in time is taken for late.
_LATENESS = 1.2

# Two moves a second are far more than crawling tasks come up.
_REBALANCE_PERIOD = timedelta(milliseconds=500)

# A service that moves is back within a second.
_PACKING_PERIOD = timedelta(seconds=1)

# A run is left alone for so long: what its image does is learned in two looks.
_SETTLING = timedelta(seconds=1.5)

# Without a checkpoint a move throws the work away: beyond this it costs too much.
_MOVABLE_PERCENT = 15.0

# The users take a job for lost of which nothing runs for 3 s; a start takes up to half
# a second on a day on which the table is slow.
_MAX_IDLE = timedelta(seconds=1)

# So many steps in urgency order, and as many of the others, may look at the workers in
# vain; it bounds a round's length when thousands wait.
_MAX_MISSES = 60


class Planner:
    """Decides from a board, and changes it accordingly."""

    def __init__(self, *, cluster: ClusterState, holder: ConfigHolder) -> None:
        self._board = cluster
        self._fleet = cluster.fleet
        self._holder = holder
        self._rebalanced = timedelta(0)
        self._packed = timedelta(0)
        self._round = 0
        # The steps whose turn has come, the most urgent first, as of the last plan.
        self._ready: list[LiveStep] = []

    def plan(self, now: timedelta, now_ms: int) -> list[PlacedRun]:
        """Assign waiting tasks to workers; return the new runs."""
        self._round += 1
        self._ready = self._list_ready(now, now_ms)
        openings = FreeCapacityBounds(fleet=self._fleet, now=now)
        placed, left = self._place_steps(self._ready, openings, now, now_ms)
        # Some dozens of steps that fit nowhere keep all behind them waiting for ever,
        # so of those not come to the ones go first whose last try is longest ago.
        left.sort(key=lambda step: step.last_tried_round)
        more, _ = self._place_steps(left, openings, now, now_ms)
        return placed + more

    def _list_ready(self, now: timedelta, now_ms: int) -> list[LiveStep]:
        ready: list[LiveStep] = []
        for job in self._board.active_by_id.values():
            job.add_due_occurrences(now_ms)
            ready += [step for step in job.steps() if step.can_start]
        for step in ready:
            step.advice_state.mark_ready(now)
        ready.sort(key=lambda step: urgency_key(step, self._holder, now_ms))
        return ready

    def _place_steps(
        self,
        steps: list[LiveStep],
        openings: FreeCapacityBounds,
        now: timedelta,
        now_ms: int,
    ) -> tuple[list[PlacedRun], list[LiveStep]]:
        """Place steps in turn; return the runs, and the steps not come to."""
        placed: list[PlacedRun] = []
        misses = 0
        for number, step in enumerate(steps):
            if misses > _MAX_MISSES:
                return placed, steps[number:]
            # Counted as misses, these would end the turn, and less urgent steps get
            # room before others that fit. They cost no look at each worker.
            if self._has_no_place(step, openings, now):
                record_wait_reason(step, WaitReason.ROOM)
                continue
            new = self._place_step(step, now, now_ms)
            record_wait_reason(step, self._hindrance(step, now))
            step.last_tried_round = self._round
            placed += new
            misses += not new
        return placed, []

    def _has_no_place(
        self, step: LiveStep, openings: FreeCapacityBounds, now: timedelta
    ) -> bool:
        """Whether it is soon told that no worker can take a task of a step."""
        if step.spec.is_filler:
            self._note_idle(step.job, now)
        return not openings.may_fit(
            step.spec, service=self._board.terms_of(step.job).service
        )

    def _hindrance(self, step: LiveStep, now: timedelta) -> WaitReason:
        """Return what tasks of a step lack that wait though there may be room."""
        allowed = self._allowed(step, now)
        if allowed is not None and not allowed:
            return WaitReason.TICKET
        return WaitReason.GOOD_PLACE if step.spec.is_filler else WaitReason.ROOM

    def _place_step(
        self, step: LiveStep, now: timedelta, now_ms: int
    ) -> list[PlacedRun]:
        service = self._board.terms_of(step.job).service
        placed: list[PlacedRun] = []
        if step.spec.is_gang:
            gang = choose_gang(
                step,
                self._fleet,
                self._board.pressures,
                service=service,
                now=now,
                allowed=self._allowed(step, now),
            )
            workers = gang or []
            refs = [step.next_run(index) for index in step.waiting]
            for ref, member in zip(refs, workers, strict=False):
                placed.append(self._assign(step, ref, member, now))
        else:
            patience = self._patience(step.job, now, now_ms)
            for index in step.waiting:
                worker = self._find_place(step, now, index, patience=patience)
                if worker is None:
                    break
                if patience is Strictness.NONE:
                    # For the others something of the job runs now.
                    patience = Strictness.HALF
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
        """Move fillers that crawl to where they would work at full speed."""
        if now - self._rebalanced < _REBALANCE_PERIOD:
            return
        self._rebalanced = now
        crawling = [
            placed for placed in self._fleet.placed_runs() if _may_move(placed, now)
        ]
        for placed in crawling:
            place = find_faster(
                placed,
                self._fleet,
                self._board.pressures,
                service=self._board.terms_of(placed.step.job).service,
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
            # One at a time: the place found may be full with it.
            return

    def pack_services(self, now: timedelta) -> None:
        """Move services together while fillers wait for a place without any."""
        if now - self._packed < _PACKING_PERIOD:
            return
        self._packed = now
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
        """Whether a run would start anew beside services on another worker.

        With tickets, few workers may run its step: once stopped it would wait for one.
        """
        place = self._choose_worker(placed.step, now, {placed.worker}, Strictness.WHOLE)
        return (
            place is not None
            and place.id != placed.worker
            and bool(place.service_images)
        )

    @staticmethod
    def _stop_to_move(placed: PlacedRun) -> None:
        """Stop a run, to start it anew on another worker."""
        placed.is_stopping = True
        avoided = placed.step.avoid_by_index.setdefault(placed.ref.task.index, set())
        avoided.add(placed.worker)

    def evacuate(self, now: timedelta) -> None:
        """Stop what would not end in time on workers that leave.

        What is stopped in time goes on elsewhere, from its checkpoint if it has
        one; what is still there when the worker leaves is lost without one.
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
        patience: Strictness = Strictness.WHOLE,
    ) -> Worker | None:
        avoid = set() if index is None else step.avoid_by_index.get(index, set())
        return self._choose_worker(step, now, avoid, patience)

    def _choose_worker(
        self, step: LiveStep, now: timedelta, avoid: set[str], patience: Strictness
    ) -> Worker | None:
        return choose_worker(
            step,
            self._fleet,
            self._board.pressures,
            service=self._board.terms_of(step.job).service,
            now=now,
            avoid=avoid,
            allowed=self._allowed(step, now),
            patience=patience,
        )

    def _patience(self, job: LiveJob, now: timedelta, now_ms: int) -> Strictness:
        """Return how good a place a job's tasks can wait for.

        A job of which nothing runs while workers have room is lost to its caller,
        however good the reason to wait: after a while any place will do.
        """
        self._note_idle(job, now)
        if job.idle_since is not None and now - job.idle_since > _MAX_IDLE:
            return Strictness.NONE
        if is_half_elapsed(job, self._holder, now_ms):
            return Strictness.HALF
        return Strictness.WHOLE

    @staticmethod
    def _note_idle(job: LiveJob, now: timedelta) -> None:
        if not job.is_idle:
            job.idle_since = None
        elif job.idle_since is None:
            job.idle_since = now

    def _allowed(self, step: LiveStep, now: timedelta) -> set[str] | None:
        """Return the lives that may run a step, none if all may."""
        if self._board.terms_of(step.job).advice is None:
            return None
        return step.valid_lives(now)

    def waiting_for_tickets(self, now: timedelta) -> list[LiveStep]:
        """Return the steps that wait for advice, the most urgent first.

        A step that no worker has room for is none of them: as the most urgent one it
        kept all questions to itself, and there is nobody to ask about.
        """
        openings = FreeCapacityBounds(fleet=self._fleet, now=now)
        waiting: list[LiveStep] = []
        for step in self._ready:
            terms = self._board.terms_of(step.job)
            if (
                terms.advice is not None
                and openings.may_fit(step.spec, service=terms.service)
                and not step.valid_lives(now)
                and step.can_start
            ):
                waiting.append(step)
        return waiting

    def terms_of(self, step: LiveStep) -> QueueTerms:
        """Return the terms under which a step runs now."""
        return self._board.terms_of(step.job)

    def candidates(self, step: LiveStep, now: timedelta) -> list[str]:
        """Return the lives of the workers that a step would go to, best first."""
        workers = list_candidates(
            step,
            self._fleet,
            self._board.pressures,
            service=self._board.terms_of(step.job).service,
            now=now,
        )
        return [worker.life for worker in workers]


def _ends_in_time(placed: PlacedRun, worker: Worker, now: timedelta) -> bool:
    spec = placed.step.spec
    if spec.is_service:
        return False
    worked = now - placed.placed_at
    if placed.percent >= _TELLING_PERCENT:
        left = worked * (100.0 / placed.percent - 1.0)
    else:
        left = timedelta(milliseconds=spec.estimate_ms) - worked
    return now + left * _LATENESS < worker.leaves_at


def _may_move(placed: PlacedRun, now: timedelta) -> bool:
    spec = placed.step.spec
    return (
        spec.is_filler
        and not spec.is_gang
        and placed.is_released
        and not placed.is_stopping
        and now - placed.placed_at > _SETTLING
        and (spec.has_checkpoints or placed.percent < _MOVABLE_PERCENT)
    )
