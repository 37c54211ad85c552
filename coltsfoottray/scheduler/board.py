"""All that the scheduler decides from: jobs, workers, and who runs what."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from datetime import timedelta

from coltsfoottray.agent.pressure import PressureTable
from coltsfoottray.agent.worker import EndKind, Refusal
from coltsfoottray.jobs.config import ConfigHolder
from coltsfoottray.jobs.model import AcceptedJob, JobId, QueueTerms, RunRef
from coltsfoottray.jobs.records import JobRecord, JobState, TaskPhase
from coltsfoottray.logs import log_event
from coltsfoottray.scheduler.fit import (
    Patience,
    choose_gang,
    choose_worker,
    find_faster,
    list_candidates,
)
from coltsfoottray.scheduler.fleet import Fleet, PlacedRun, Worker
from coltsfoottray.scheduler.live import LiveJob, LiveStep
from coltsfoottray.scheduler.messages import RejectedStart, Report
from coltsfoottray.scheduler.order import is_half_over, urgency

__all__ = ["Board"]

# A worker that refused a start as unhealthy or full is left alone for a while:
# two of its attendant's reports.
_BLOCK = timedelta(seconds=2)

# From here on its percentage tells better than the estimate when a task will end.
_TELLING_PERCENT = 10.0
# What is likely to end only just in time is taken for late.
_LATENESS = 1.2

# Two moves a second are far more than crawling tasks come up.
_REBALANCE_PERIOD = timedelta(milliseconds=500)
# A run is left alone for so long: what its image does is learned in two looks.
_SETTLING = timedelta(seconds=1.5)
# Without a checkpoint a move throws the work away: beyond this it costs too much.
_MOVABLE_PERCENT = 15.0

# The users take a job for lost of which nothing runs for 3 s; a start takes up to half
# a second on a day on which the table is slow.
_MAX_IDLE = timedelta(seconds=1)

# After so many tasks in urgency order have found no room the rest wait for the next
# round; it bounds a round's length when thousands wait.
_MAX_MISSES = 60


class Board:
    """Jobs, workers and runs; changed by one task only, the scheduler's rounds."""

    def __init__(self, *, holder: ConfigHolder, fleet: Fleet) -> None:
        self.job_by_id: dict[JobId, LiveJob] = {}
        self.active_by_id: dict[JobId, LiveJob] = {}
        self.fleet = fleet
        self.pressures = PressureTable()
        self._rebalanced = timedelta(0)
        # The steps whose turn has come, the most urgent first, as of the last plan.
        self._ready: list[LiveStep] = []
        self._holder = holder

    # What was stored.

    def restore(
        self,
        accepted: AcceptedJob,
        record: JobRecord | None,
        version: int,
        *,
        lease_end: Callable[[str], timedelta],
        now: timedelta,
    ) -> None:
        """Take in a stored job; its runs may exist until their worker's lease end."""
        job = LiveJob(accepted=accepted, record=record, version=version)
        self._add(job)
        for step in job.steps():
            for index, task in enumerate(step.records):
                if task.phase is not TaskPhase.ASSIGNED:
                    continue
                placed = PlacedRun(
                    ref=RunRef(task=step.ref(index), run=task.run),
                    step=step,
                    worker=task.worker,
                    life=task.life,
                    placed=now,
                    is_released=True,
                    is_stopping=job.record.state.is_final,
                )
                end = lease_end(task.worker)
                self.fleet.get_or_add(task.worker, None, end).hold(placed)

    def accept(self, accepted: AcceptedJob) -> None:
        """Take in a job that has just been accepted."""
        if accepted.id not in self.job_by_id:
            self._add(LiveJob(accepted=accepted))

    def cancel(self, job_id: JobId, now_ms: int) -> None:
        """End a job at its caller's wish."""
        job = self.job_by_id.get(job_id)
        if job is None or job.record.state.is_final:
            return
        log_event("decision:cancel", job=job_id, state=job.record.state.value)
        self._finish(job, JobState.CANCELLED, now_ms)

    def forget(self, job_id: JobId) -> None:
        """Drop a job that ended long ago."""
        self.job_by_id.pop(job_id, None)
        self.active_by_id.pop(job_id, None)

    # What attendants say.

    def take_report(self, report: Report, now: timedelta, now_ms: int) -> int:
        """Take in a report; return the last end that need not be told again."""
        worker = self.fleet.worker_by_id[report.worker]
        self._take_life(worker, report, now_ms)
        self._describe(worker, report)
        for end in report.ends:
            self._note_health(worker, end.ref, end.kind, now)
            self._take_end(worker, end.ref, end.kind, end.checkpoint, now_ms)
        for ref in report.stalled:
            self._take_stall(worker, ref, now)
        for rejected in report.rejected:
            self._take_rejection(worker, rejected, now, now_ms)
        self.pressures.take(worker.id, report.pressures)
        worker.strays.clear()
        for status in report.running:
            placed = worker.held_by_ref.get(status.ref)
            if placed is None:
                worker.strays.add(status.ref)
                continue
            placed.percent = status.percent
            placed.figure = status.figure
            record = placed.step.records[status.ref.task.index]
            if status.checkpoint and record.run == status.ref.run:
                record.checkpoint = status.checkpoint
        worker.note_use()
        return max((end.number for end in report.ends), default=0)

    def expire(self, now: timedelta, now_ms: int) -> None:
        """Give up the runs of workers whose lease has surely run out."""
        for worker in self.fleet.worker_by_id.values():
            if worker.held_by_ref and worker.lease_end < now:
                log_event(
                    "decision:give-up-worker",
                    worker=worker.id,
                    life=worker.life,
                    silent_s=(now - worker.heard).total_seconds(),
                    runs=len(worker.held_by_ref),
                )
                self._lose(worker, list(worker.held_by_ref.values()), now_ms)
                worker.is_reachable = False

    def _take_life(self, worker: Worker, report: Report, now_ms: int) -> None:
        gone: list[PlacedRun] = []
        if report.life and report.life != worker.life:
            held = worker.held_by_ref.values()
            gone += [placed for placed in held if placed.life != report.life]
            worker.acknowledged = 0
            worker.life = report.life
        if report.lapsed_life:
            held = worker.held_by_ref.values()
            gone += [p for p in held if p.life == report.lapsed_life and p not in gone]
        if gone:
            log_event(
                "decision:runs-lost",
                worker=worker.id,
                life=worker.life,
                lapsed_life=report.lapsed_life,
                runs=[str(placed.ref) for placed in gone],
            )
            self._lose(worker, gone, now_ms)

    def _lose(self, worker: Worker, gone: Iterable[PlacedRun], now_ms: int) -> None:
        """Give runs up; orders for them that are still under way become void."""
        worker.session = 0
        for placed in gone:
            self._take_end(worker, placed.ref, EndKind.LAPSED, "", now_ms)

    @staticmethod
    def _describe(worker: Worker, report: Report) -> None:
        worker.service = report.service
        worker.data_centre = report.data_centre
        worker.capacity = report.capacity
        worker.labels = report.labels
        worker.rack = report.rack
        worker.spare_by_image = report.spare_by_image
        if report.is_draining and not worker.is_draining:
            worker.leaves = worker.heard + timedelta(milliseconds=report.remaining_ms)
        worker.is_draining = report.is_draining
        worker.is_reachable = report.is_reachable and bool(report.life)

    def _take_rejection(
        self, worker: Worker, rejected: RejectedStart, now: timedelta, now_ms: int
    ) -> None:
        if rejected.ref not in worker.held_by_ref:
            return
        log_event(
            "decision:start-rejected",
            worker=worker.id,
            run=str(rejected.ref),
            reason=rejected.reason.value,
        )
        if rejected.reason in (Refusal.UNHEALTHY, Refusal.NO_ROOM):
            worker.blocked_until = now + _BLOCK
        if rejected.reason is Refusal.NO_TICKET:
            placed = worker.held_by_ref[rejected.ref]
            placed.step.ticket_by_life.pop(placed.life, None)
        kind = EndKind.STOPPED
        if rejected.reason is Refusal.INVALID:
            # The worker will never take it; counted like a failure, or the job
            # would be tried for ever.
            kind = EndKind.FAILED
        self._take_end(worker, rejected.ref, kind, "", now_ms)

    def _take_stall(self, worker: Worker, ref: RunRef, now: timedelta) -> None:
        """Stop a run that makes no progress, to start it elsewhere."""
        placed = worker.held_by_ref.get(ref)
        if placed is None or placed.is_stopping:
            return
        log_event("decision:stop-stalled", run=str(ref), worker=worker.id)
        placed.is_stopping = True
        self._note_bad(worker, ref, now)

    def _note_health(
        self, worker: Worker, ref: RunRef, kind: EndKind, now: timedelta
    ) -> None:
        if ref not in worker.held_by_ref:
            return
        if kind is EndKind.DONE:
            worker.health.note_good()
        elif kind is EndKind.FAILED:
            self._note_bad(worker, ref, now)

    def _note_bad(self, worker: Worker, ref: RunRef, now: timedelta) -> None:
        job = self.job_by_id.get(ref.task.job)
        step = None if job is None else job.find(ref.task)
        if step is not None:
            step.avoid_by_index.setdefault(ref.task.index, set()).add(worker.id)
        block = worker.health.note_bad(ref.task.job, now)
        if block is not None:
            worker.blocked_until = now + block
            log_event(
                "decision:block-worker",
                worker=worker.id,
                run=str(ref),
                for_s=block.total_seconds(),
            )

    def _take_end(
        self,
        worker: Worker,
        ref: RunRef,
        kind: EndKind,
        checkpoint: str,
        now_ms: int,
    ) -> None:
        worker.let_go(ref)
        job = self.job_by_id.get(ref.task.job)
        step = None if job is None else job.find(ref.task)
        if job is None or step is None:
            return
        record = step.records[ref.task.index]
        if record.run != ref.run or record.phase is TaskPhase.DONE:
            return
        if record.phase is TaskPhase.WAITING and kind is not EndKind.DONE:
            return
        job.is_dirty = True
        if checkpoint:
            record.checkpoint = checkpoint
        if kind is EndKind.DONE and not step.spec.is_service:
            self._note_done(step, ref, now_ms)
            return
        record.phase = TaskPhase.WAITING
        step.recount()
        if kind is EndKind.FAILED and not step.spec.is_service:
            self._note_failure(step, ref, now_ms)
        if step.spec.is_gang:
            self._stop_gang(step, ref.run)

    def _note_done(self, step: LiveStep, ref: RunRef, now_ms: int) -> None:
        ended = [step.records[ref.task.index]]
        if step.spec.is_gang:
            # A gang ends as a whole, so one such end stands for all of them.
            ended = step.records
        for record in ended:
            record.phase = TaskPhase.DONE
            record.checkpoint = ""
        step.recount()
        job = step.job
        job.close_occurrence(step.occurrence)
        if job.is_complete and not job.record.state.is_final:
            log_event("decision:completed", job=job.id)
            self._finish(job, JobState.COMPLETED, now_ms)

    def _note_failure(self, step: LiveStep, ref: RunRef, now_ms: int) -> None:
        record = step.records[0 if step.spec.is_gang else ref.task.index]
        if step.spec.is_gang and ref.run in step.failed_runs:
            return
        step.failed_runs.add(ref.run)
        record.failures += 1
        job = step.job
        allowed = self._terms(job).max_attempts
        if record.failures >= allowed and not job.record.state.is_final:
            log_event(
                "decision:failed",
                job=job.id,
                task=str(ref.task),
                failures=record.failures,
                allowed=allowed,
            )
            self._finish(job, JobState.FAILED, now_ms)

    def _stop_gang(self, step: LiveStep, run: int) -> None:
        """Stop the rest of a gang, which would wait for the one that ended."""
        for worker in self.fleet.worker_by_id.values():
            for placed in worker.held_by_ref.values():
                if placed.step is step and placed.ref.run == run:
                    placed.is_stopping = True

    def _finish(self, job: LiveJob, state: JobState, now_ms: int) -> None:
        job.finish(state, now_ms)
        self.active_by_id.pop(job.id, None)
        for worker in self.fleet.worker_by_id.values():
            for placed in worker.held_by_ref.values():
                if placed.ref.task.job == job.id:
                    placed.is_stopping = True

    # What to start.

    def plan(self, now: timedelta, now_ms: int) -> list[PlacedRun]:
        """Assign waiting tasks to workers; return the new runs."""
        ready: list[LiveStep] = []
        for job in self.active_by_id.values():
            job.open_occurrences(now_ms)
            ready += [step for step in job.steps() if step.can_start]
        ready.sort(key=lambda step: urgency(step, self._holder, now_ms))
        self._ready = ready
        placed: list[PlacedRun] = []
        misses = 0
        for step in ready:
            new = self._place_step(step, now, now_ms)
            placed += new
            misses += not new
            if misses > _MAX_MISSES:
                break
        return placed

    def _place_step(
        self, step: LiveStep, now: timedelta, now_ms: int
    ) -> list[PlacedRun]:
        service = self._terms(step.job).service
        placed: list[PlacedRun] = []
        if step.spec.is_gang:
            gang = choose_gang(
                step,
                self.fleet,
                self.pressures,
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
                if patience is Patience.NONE:
                    # For the others something of the job runs now.
                    patience = Patience.HALF
                step.job.idle_since = None
                placed.append(self._assign(step, step.next_run(index), worker, now))
        if placed:
            step.recount()
            log_event(
                "decision:place",
                step=f"{step.job.id}.{step.occurrence}.{step.number}",
                workers=[f"{each.ref.task.index}@{each.worker}" for each in placed],
                waiting=len(step.waiting),
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
            ref=ref, step=step, worker=worker.id, life=worker.life, placed=now
        )
        worker.hold(placed)
        return placed

    def rebalance(self, now: timedelta) -> None:
        """Move fillers that crawl to where they would work at full speed."""
        if now - self._rebalanced < _REBALANCE_PERIOD:
            return
        self._rebalanced = now
        crawling = [
            placed
            for worker in self.fleet.worker_by_id.values()
            for placed in worker.held_by_ref.values()
            if _may_move(placed, now)
        ]
        for placed in crawling:
            place = find_faster(
                placed,
                self.fleet,
                self.pressures,
                service=self._terms(placed.step.job).service,
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
            placed.is_stopping = True
            index = placed.ref.task.index
            placed.step.avoid_by_index.setdefault(index, set()).add(placed.worker)
            # One at a time: the place found may be full with it.
            return

    def evacuate(self, now: timedelta) -> None:
        """Stop what would not end in time on workers that leave.

        What is stopped in time goes on elsewhere, from its checkpoint if it has
        one; what is still there when the worker leaves is lost without one.
        """
        for worker in self.fleet.worker_by_id.values():
            if not worker.is_draining or not worker.is_reachable:
                continue
            for placed in worker.held_by_ref.values():
                if placed.is_stopping or not placed.is_released:
                    continue
                if self._ends_in_time(placed, worker, now):
                    continue
                if self._find_place(placed.step, now) is not None:
                    placed.is_stopping = True
                    log_event(
                        "decision:evacuate",
                        run=str(placed.ref),
                        worker=worker.id,
                        left_s=(worker.leaves - now).total_seconds(),
                        percent=placed.percent,
                    )

    @staticmethod
    def _ends_in_time(placed: PlacedRun, worker: Worker, now: timedelta) -> bool:
        spec = placed.step.spec
        if spec.is_service:
            return False
        worked = now - placed.placed
        if placed.percent >= _TELLING_PERCENT:
            left = worked * (100.0 / placed.percent - 1.0)
        else:
            left = timedelta(milliseconds=spec.estimate_ms) - worked
        return now + left * _LATENESS < worker.leaves

    def _find_place(
        self,
        step: LiveStep,
        now: timedelta,
        index: int | None = None,
        *,
        patience: Patience = Patience.WHOLE,
    ) -> Worker | None:
        avoid = set() if index is None else step.avoid_by_index.get(index, set())
        return choose_worker(
            step,
            self.fleet,
            self.pressures,
            service=self._terms(step.job).service,
            now=now,
            avoid=avoid,
            allowed=self._allowed(step, now),
            patience=patience,
        )

    def _patience(self, job: LiveJob, now: timedelta, now_ms: int) -> Patience:
        """Return how good a place a job's tasks can wait for.

        A job of which nothing runs while workers have room is lost to its caller,
        however good the reason to wait: after a while any place will do.
        """
        if not job.is_idle:
            job.idle_since = None
        elif job.idle_since is None:
            job.idle_since = now
        elif now - job.idle_since > _MAX_IDLE:
            return Patience.NONE
        if is_half_over(job, self._holder, now_ms):
            return Patience.HALF
        return Patience.WHOLE

    def _allowed(self, step: LiveStep, now: timedelta) -> set[str] | None:
        """Return the lives that may run a step, none if all may."""
        if self.terms_of(step).advice is None:
            return None
        return step.valid_lives(now)

    def next_without_ticket(self, now: timedelta) -> LiveStep | None:
        """Return the most urgent step that waits for advice."""
        for step in self._ready:
            if self.terms_of(step).advice is None or not step.can_start:
                continue
            if not step.valid_lives(now):
                return step
        return None

    def candidates(self, step: LiveStep, now: timedelta) -> list[str]:
        """Return the lives of the workers that a step would go to, best first."""
        workers = list_candidates(
            step,
            self.fleet,
            self.pressures,
            service=self.terms_of(step).service,
            now=now,
        )
        return [worker.life for worker in workers]

    def terms_of(self, step: LiveStep) -> QueueTerms:
        """Return the terms under which a step runs now."""
        return self._terms(step.job)

    def next_due_ms(self) -> int | None:
        """When the next occurrence of any job is due."""
        dues = [job.next_due_ms for job in self.active_by_id.values()]
        return min((due for due in dues if due is not None), default=None)

    def _add(self, job: LiveJob) -> None:
        self.job_by_id[job.id] = job
        if not job.record.state.is_final:
            self.active_by_id[job.id] = job

    def _terms(self, job: LiveJob) -> QueueTerms:
        return self._holder.terms_of(job.accepted.queue, otherwise=job.accepted.terms)


def _may_move(placed: PlacedRun, now: timedelta) -> bool:
    spec = placed.step.spec
    return (
        spec.is_filler
        and not spec.is_gang
        and placed.is_released
        and not placed.is_stopping
        and now - placed.placed > _SETTLING
        and (spec.has_checkpoints or placed.percent < _MOVABLE_PERCENT)
    )
