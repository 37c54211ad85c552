"""The state that the scheduler decides from: jobs, workers and runs."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from datetime import timedelta

from coltsfoottray.agent.lease import MAX_ORPHAN_TIME
from coltsfoottray.agent.pressure import PressureTable
from coltsfoottray.agent.worker import EndKind, Refusal, RunStatus
from coltsfoottray.clock import Moment, as_duration
from coltsfoottray.jobs.config import ConfigHolder
from coltsfoottray.jobs.model import AcceptedJob, JobId, QueueTerms, RunRef
from coltsfoottray.jobs.records import JobState, TaskPhase
from coltsfoottray.logs import log_event
from coltsfoottray.scheduler.fleet import Fleet, Worker
from coltsfoottray.scheduler.job_set import JobSet
from coltsfoottray.scheduler.lengths import LengthEstimator
from coltsfoottray.scheduler.live import LiveJob
from coltsfoottray.scheduler.messages import RejectedStart, Report
from coltsfoottray.scheduler.outcomes import Outcomes
from coltsfoottray.scheduler.placed_run import PlacedRun
from coltsfoottray.scheduler.worker_leases import PriorLeases

__all__ = ["ClusterState"]

# A worker that refused a start for one of these reasons gets no new tasks for this
# time, two report intervals of its attendant. The attendant may know of an evacuation
# that this scheduler has not read yet.
_BLOCK_TIME = timedelta(seconds=2)
_BLOCKING_REFUSALS = (Refusal.UNHEALTHY, Refusal.NO_ROOM, Refusal.EVACUATED)


class ClusterState:
    """Jobs, workers and runs, modified only by the task that runs scheduling rounds."""

    def __init__(self, *, holder: ConfigHolder, fleet: Fleet) -> None:
        self.jobs = JobSet()
        self.fleet = fleet
        self.pressures = PressureTable()
        self.lengths = LengthEstimator()
        self._holder = holder
        # Version of the config whose limits have been applied.
        self._limits_version = 0
        self._outcomes = Outcomes(
            jobs=self.jobs, fleet=fleet, max_attempts_of=self._max_attempts_of
        )

    # Stored and submitted jobs.

    def restore(
        self,
        job: LiveJob,
        *,
        prior_leases: Callable[[str], PriorLeases],
        now: timedelta,
    ) -> None:
        """Add a stored job; its runs may exist until their worker's lease ends."""
        self.jobs.add(job)
        for step in job.steps():
            is_stopping = job.record.state.is_final or step.is_broken_gang
            for index, task in enumerate(step.records):
                if task.phase is not TaskPhase.ASSIGNED:
                    continue
                placed = PlacedRun(
                    ref=RunRef(task=step.ref(index), run=task.run),
                    step=step,
                    worker=task.worker,
                    life=task.life,
                    placed_at=now,
                    is_released=True,
                    is_stopping=is_stopping,
                    is_settled=task.is_settled,
                    # Without stored sums, such runs count as begun at the takeover, as
                    # in earlier versions, although the lengths observed are too short.
                    has_full_time=not self.lengths.has_restored_sums,
                )
                self._restore_worker(task.worker, prior_leases).hold(placed)

    def restore_unreadable(self, job: LiveJob) -> None:
        """Add a job whose stored progress cannot be read; it can only be cancelled.

        Its tasks may have run, so none of them may start.
        """
        self.jobs.by_id[job.id] = job

    def _restore_worker(
        self, name: str, prior_leases: Callable[[str], PriorLeases]
    ) -> Worker:
        """Return the worker of a stored run, whose incarnations have been called."""
        worker = self.fleet.get_or_add(name, None, prior_leases(name))
        if worker.leases.settled_life is None:
            worker.leases.settled_life = ""
        return worker

    def accept(self, accepted: AcceptedJob, now: Moment) -> None:
        """Add a newly accepted job."""
        if accepted.id in self.jobs.by_id or accepted.id in self.jobs.set_aside_ids:
            return
        with self.jobs.isolate(accepted.id):
            self.jobs.add(LiveJob(accepted=accepted, seen=now, lengths=self.lengths))

    def cancel(self, job_id: JobId, now_ms: int) -> None:
        """Cancel a job on its caller's request."""
        job = self.jobs.by_id.get(job_id)
        if job is None or job.record.state.is_final:
            return
        log_event("decision:cancel", job=job_id, state=job.record.state.value)
        self._outcomes.finish(job, JobState.CANCELLED, now_ms)
        self.jobs.open_by_id[job.id] = job

    def apply_limits(self, now_ms: int) -> None:
        """Fail the jobs that exceed a limit of the current config."""
        if self._limits_version != self._holder.current.version:
            self._limits_version = self._holder.current.version
            self._outcomes.apply_limits(now_ms)

    def forget(self, job_id: JobId) -> None:
        """Remove a job whose retention has passed."""
        self.jobs.remove(job_id)

    # Reports of attendants.

    def apply_report(self, report: Report, now: timedelta, now_ms: int) -> int:
        """Apply a report; return the number of the last end to acknowledge."""
        worker = self.fleet.worker_by_id[report.worker]
        if not self._reconcile_incarnations(worker, report, now, now_ms):
            return 0
        self._update_description(worker, report)
        self.jobs.mark_begun(report.listed_runs)
        ended = [
            (worker.held_by_ref[end.ref], end.kind)
            for end in report.ends
            if end.ref in worker.held_by_ref
        ]
        if ended:
            log_event(
                "decision:ends",
                worker=worker.id,
                life=worker.life,
                ends=[f"{placed.ref} {kind.value}" for placed, kind in ended],
            )
        for run, kind in ended:
            if kind is EndKind.DONE:
                run.record_completion(now)
        for end in report.ends:
            self._outcomes.apply_end(worker, end, now_ms)
        self._update_health(worker, ended, now)
        self._stop_stalled(worker, report.stalled, now)
        for rejected in report.rejected:
            if worker.is_rejected(rejected.ref):
                self._apply_rejection(worker, rejected, now, now_ms)
        if report.pressures:
            self.pressures.update(worker.id, report.pressures)
        listed = [status.ref for status in report.running]
        self._set_orphans(
            worker, [ref for ref in listed if ref not in worker.held_by_ref]
        )
        for status in report.running:
            placed = worker.held_by_ref.get(status.ref)
            if placed is None:
                continue
            placed.update_status(status.percent, status.figure, now)
            self._apply_checkpoint(placed, status)
        self._settle_runs(worker, report, now)
        worker.end_probation(now)
        worker.recompute_usage()
        return max((end.number for end in report.ends), default=0)

    def _set_orphans(self, worker: Worker, orphans: Sequence[RunRef]) -> None:
        """Set the runs of a worker that nobody expects there; they are to be stopped.

        Until they are, their tasks wait and their room is taken.
        """
        changed = worker.demand_by_orphan.keys() ^ set(orphans)
        worker.set_orphans({ref: self.jobs.demand_of(ref) for ref in orphans})
        for ref in changed:
            step = self.jobs.find_step(ref.task)
            if step is not None:
                step.set_orphan(ref, worker.id, exists=ref in worker.demand_by_orphan)

    @staticmethod
    def _apply_checkpoint(placed: PlacedRun, status: RunStatus) -> None:
        index = status.ref.task.index
        checkpoint_record = placed.step.checkpoint_record(index)
        if placed.step.records[index].run != status.ref.run:
            return
        if status.checkpoint not in ("", checkpoint_record.checkpoint):
            checkpoint_record.checkpoint = status.checkpoint
            placed.step.job.has_new_checkpoints = True

    @staticmethod
    def _settle_runs(worker: Worker, report: Report, now: timedelta) -> None:
        """Settle the runs that the worker's incarnation has, if it is settled itself.

        It is once a poll in its own session has fenced off calls meant for an earlier
        incarnation, and leases that it took from such calls have expired. Which runs it
        had then stands, even if it does not answer any more.
        """
        if not _is_polled_in_session(worker, report) or report.is_replaced:
            return
        if not worker.leases.settle(report.life, now):
            return
        for ref in report.confirmed_runs:
            placed = worker.held_by_ref.get(ref)
            if placed is not None and placed.life == report.life:
                placed.settle()

    def withdraw(self, placed: PlacedRun, now_ms: int) -> None:
        """Give up a run that was placed and has never been sent to its worker."""
        worker = self.fleet.worker_by_id[placed.worker]
        log_event("decision:withdraw", run=str(placed.ref), worker=worker.id)
        self._outcomes.give_up(worker, placed.ref, "not stored", now_ms)

    def expire_leases(self, now: timedelta, now_ms: int) -> None:
        """Declare lost the runs of workers whose lease has certainly expired."""
        for worker in self.fleet.worker_by_id.values():
            if worker.is_empty or worker.leases.settled_runs_end_by >= now:
                continue
            is_over = worker.runs_end_by < now
            lost = worker.runs_ended_before(now)
            if not lost and not is_over:
                continue
            why = f"lease expired; attendant {worker.describe_silence(now)}"
            self._fence_lost_runs(worker, lost, now_ms, why=why)
            if is_over:
                self._set_orphans(worker, [])
            worker.is_reachable = False

    def _reconcile_incarnations(
        self, worker: Worker, report: Report, now: timedelta, now_ms: int
    ) -> bool:
        """Reconcile the runs of other incarnations; return False if that must wait."""
        superseded = worker.held_by_other_incarnations(report.life)
        if superseded and not self._has_listed_all_runs(worker, report, now):
            return False
        if report.is_replaced:
            worker.leases.replaced_since = worker.leases.replaced_since or now
        elif report.life:
            worker.leases.replaced_since = None
        if report.life and report.life != worker.life:
            worker.begin_incarnation(report.life)
        self._adopt_runs(worker, superseded, report, now, now_ms)
        return True

    @staticmethod
    def _has_listed_all_runs(worker: Worker, report: Report, now: timedelta) -> bool:
        """Return whether a new incarnation cannot have more runs than it reports.

        A worker that restarts under its id accepts starts meant for its previous
        incarnation until its attendant learns of the new one. If these runs were
        declared lost too early, they would overlap with their successors. A poll in a
        later session lists the runs and fences off all earlier starts.
        """
        leases = worker.leases
        if leases.replaced_since is None:
            leases.replaced_since = now
        if now - leases.replaced_since > MAX_ORPHAN_TIME:
            return True
        return _is_polled_in_session(worker, report)

    def _adopt_runs(
        self,
        worker: Worker,
        superseded: list[PlacedRun],
        report: Report,
        now: timedelta,
        now_ms: int,
    ) -> None:
        """Keep the runs that the new incarnation has; declare the others lost.

        The stored record names the previous incarnation until the runs are settled: the
        next scheduler has to know of the lease that came with such a start.
        """
        present = report.listed_runs
        for placed in superseded:
            if placed.ref in present:
                worker.leases.record_adoption(now)
                placed.life = report.life
        lost = [placed for placed in superseded if placed.ref not in present]
        self._mark_lost(worker, lost, now_ms, why="worker restarted")

    def _fence_lost_runs(
        self, worker: Worker, lost: Sequence[PlacedRun], now_ms: int, *, why: str
    ) -> None:
        """Declare runs lost, and fence off orders for them that are in transit."""
        worker.session = 0
        self._mark_lost(worker, lost, now_ms, why=why)

    def _mark_lost(
        self, worker: Worker, lost: Sequence[PlacedRun], now_ms: int, *, why: str
    ) -> None:
        if not lost:
            return
        log_event(
            "decision:runs-lost",
            worker=worker.id,
            life=worker.life,
            why=why,
            runs=[str(placed.ref) for placed in lost],
        )
        for placed in lost:
            self._outcomes.give_up(worker, placed.ref, why, now_ms)

    @staticmethod
    def _update_description(worker: Worker, report: Report) -> None:
        worker.service = report.service
        worker.data_centre = report.data_centre
        worker.capacity = report.capacity
        worker.labels = report.labels
        worker.rack = report.rack
        worker.margin_by_image = report.margin_by_image
        if report.is_draining and not worker.is_draining:
            worker.leaves_at = worker.last_heard + as_duration(report.remaining_ms)
        worker.is_draining = report.is_draining
        was_reachable = worker.is_reachable
        worker.is_reachable = report.is_worker_alive
        if was_reachable and not worker.is_reachable and worker.held_by_ref:
            log_event(
                "decision:out-of-reach",
                worker=worker.id,
                life=report.life,
                lease_left_s=(worker.leases.end - worker.last_heard).total_seconds(),
                runs=[str(ref) for ref in worker.held_by_ref],
            )

    def _apply_rejection(
        self, worker: Worker, rejected: RejectedStart, now: timedelta, now_ms: int
    ) -> None:
        log_event(
            "decision:start-rejected",
            worker=worker.id,
            run=str(rejected.ref),
            reason=rejected.reason.value,
        )
        if rejected.reason in _BLOCKING_REFUSALS:
            worker.block(_BLOCK_TIME, now)
        if rejected.reason is Refusal.NO_TICKET:
            placed = worker.held_by_ref[rejected.ref]
            placed.step.tickets.discard(placed.life)
        self._outcomes.reject(worker, rejected.ref, rejected.reason, now_ms)

    def _stop_stalled(
        self, worker: Worker, stalled: Sequence[RunRef], now: timedelta
    ) -> None:
        """Stop the runs that make no progress, so that they restart elsewhere."""
        held = [worker.held_by_ref[ref] for ref in stalled if ref in worker.held_by_ref]
        new = [placed for placed in held if not placed.is_stopping]
        for placed in new:
            log_event("decision:stop-stalled", run=str(placed.ref), worker=worker.id)
            placed.is_stopping = True
        for placed in new:
            self._add_failure(worker, placed, now)

    def _update_health(
        self,
        worker: Worker,
        ended: Sequence[tuple[PlacedRun, EndKind]],
        now: timedelta,
    ) -> None:
        """Update a worker's health by the ends in a report, successes first."""
        for placed, kind in ended:
            if kind is EndKind.DONE:
                worker.health.record_success(placed.placed_at)
        for placed, kind in ended:
            if kind is EndKind.FAILED:
                self._add_failure(worker, placed, now)

    def _add_failure(self, worker: Worker, placed: PlacedRun, now: timedelta) -> None:
        task = placed.ref.task
        placed.step.avoid_by_index.setdefault(task.index, set()).add(worker.id)
        block = worker.health.record_failure(
            task.job,
            placed_at=placed.placed_at,
            now=now,
            running=[
                each.placed_at
                for each in worker.held_by_ref.values()
                if each.is_released and not each.is_stopping
            ],
        )
        worker.delay_probe(now)
        if block is None:
            return
        worker.block(block, now)
        log_event(
            "decision:block-worker",
            worker=worker.id,
            run=str(placed.ref),
            for_s=block.total_seconds(),
        )

    def terms_of(self, job: LiveJob) -> QueueTerms:
        """Return the queue terms that apply to a job now."""
        return self._holder.terms_of(job.accepted.queue, default=job.accepted.terms)

    def _max_attempts_of(self, job: LiveJob) -> int:
        return self.terms_of(job).max_attempts


def _is_polled_in_session(worker: Worker, report: Report) -> bool:
    """Return whether a poll in the worker's session has fenced off earlier calls."""
    return 0 < worker.session == report.session == report.looked
