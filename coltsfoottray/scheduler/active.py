"""The scheduler while its entry holds the lease row.

It works in rounds: apply what has arrived, plan, store the decisions, then send orders.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager
from datetime import timedelta

import eliot
import trio

from coltsfoottray.clock import Clock, Moment
from coltsfoottray.jobs.config import ConfigHolder
from coltsfoottray.jobs.evacuations import Evacuations
from coltsfoottray.jobs.model import AcceptedJob, JobId
from coltsfoottray.jobs.records import JobState
from coltsfoottray.logs import log_event
from coltsfoottray.metrics import Metrics
from coltsfoottray.overload.order import JobOrder
from coltsfoottray.peers import PeerClient
from coltsfoottray.platform import Row, WatchedTable
from coltsfoottray.scheduler.backlog_feed import NO_UPDATE, BacklogUpdate
from coltsfoottray.scheduler.backlog_watch import BacklogWatch
from coltsfoottray.scheduler.cluster_state import ClusterState
from coltsfoottray.scheduler.deadlines import Deadlines
from coltsfoottray.scheduler.fleet import Fleet
from coltsfoottray.scheduler.grant_limit import GrantLimit
from coltsfoottray.scheduler.grants import Grants, is_out_of_order
from coltsfoottray.scheduler.inbox import Inbox
from coltsfoottray.scheduler.learned_row import LearnedRow
from coltsfoottray.scheduler.lease_row import LeaseRow
from coltsfoottray.scheduler.least_cost import LeastCost
from coltsfoottray.scheduler.loading import load_jobs
from coltsfoottray.scheduler.messages import Orders, Report, ReportReply
from coltsfoottray.scheduler.order_sender import OrderSender
from coltsfoottray.scheduler.orders import missing_orders
from coltsfoottray.scheduler.overdue import OverdueMonitor
from coltsfoottray.scheduler.ping import Ping
from coltsfoottray.scheduler.placed_run import PlacedRun
from coltsfoottray.scheduler.planner import Planner
from coltsfoottray.scheduler.pressure_feed import PressureFeed
from coltsfoottray.scheduler.relocation import Relocator
from coltsfoottray.scheduler.report_limits import check_report
from coltsfoottray.scheduler.restore import LoadCost, StoredState
from coltsfoottray.scheduler.round_metrics import RoundMetrics
from coltsfoottray.scheduler.round_timer import RoundTimer
from coltsfoottray.scheduler.side_rows import AttendantRows, PressureRow
from coltsfoottray.scheduler.takeover import Claim
from coltsfoottray.scheduler.withheld import limit_to_stored, withdraw_unstored
from coltsfoottray.scheduler.writer import StateWriter
from coltsfoottray.types import Address

__all__ = ["ActiveScheduler"]


class ActiveScheduler:
    """Plans, stores the plans and sends orders while it holds the lease row.

    Parameters
    ----------
    claim : Claim
        The lease row as it was taken over.
    backlog : BacklogWatch
        Is told of the backlog whenever it is computed.
    """

    def __init__(
        self,
        *,
        claim: Claim,
        drops_records: Callable[[], bool],
        table: WatchedTable,
        peers: PeerClient,
        holder: ConfigHolder,
        evacuations: Evacuations,
        backlog: BacklogWatch,
        clock: Clock,
        metrics: Metrics,
        job_order: JobOrder = JobOrder.DEADLINE,
    ) -> None:
        self.is_loaded = False
        self._clock = clock
        self._evacuations = evacuations
        self._holder = holder
        self._fleet = Fleet()
        self.cluster = ClusterState(holder=holder, fleet=self._fleet)
        self.planner = Planner(cluster=self.cluster, holder=holder)
        self._least_cost: LeastCost | None = None
        if job_order is JobOrder.LEAST_COST:
            self._least_cost = LeastCost.create(
                claim=claim,
                cluster=self.cluster,
                holder=holder,
                backlog=backlog,
                clock=clock,
                metrics=metrics,
            )
        self._relocator = Relocator(cluster=self.cluster)
        self._round_metrics = RoundMetrics(
            fleet=self._fleet, clock=clock, metrics=metrics
        )
        self._grants = Grants(
            epoch=claim.lease.epoch,
            limit=GrantLimit(
                incarnation=claim.lease.incarnation,
                acquired_at=claim.acquired_at,
                clock=clock,
            ),
            prior_end=claim.grants_end,
            silent_until=claim.silent_until,
            fleet=self._fleet,
            clock=clock,
        )
        self._pressure_row = PressureRow(
            table=self.cluster.pressures, now=claim.acquired_at
        )
        self._pressure_feed = PressureFeed(
            table=self.cluster.pressures, epoch=claim.lease.epoch
        )
        self._attendant_rows = AttendantRows(fleet=self._fleet, now=claim.acquired_at)
        self._writer = StateWriter(
            claim=claim,
            grants=self._grants,
            side_rows=[
                self._pressure_row,
                self._attendant_rows,
                *([] if self.learned_row is None else [self.learned_row]),
            ],
            drops_records=drops_records,
            table=table,
            clock=clock,
        )
        self._overdue = OverdueMonitor(
            cluster=self.cluster,
            writing_since=lambda: self._writer.writing_since,
            clock=clock,
            metrics=metrics,
        )
        self._order_sender = OrderSender(
            fleet=self._fleet, peers=peers, deadlines=self.deadlines
        )
        self._inbox = Inbox()
        self._reported_by_worker: dict[str, trio.Event] = {}
        self._timer = RoundTimer(cluster=self.cluster, clock=clock)
        self._is_resigning = False

    @property
    def learned_row(self) -> LearnedRow | None:
        """The row of what was learned, None unless the order is by least cost."""
        return None if self._least_cost is None else self._least_cost.learned_row

    @property
    def deadlines(self) -> Deadlines | None:
        """What attendants are told of deadlines, None unless by least cost."""
        return None if self._least_cost is None else self._least_cost.deadlines

    @property
    def version(self) -> int:
        """The version of the lease row as last written."""
        return self._writer.version

    @property
    def lease(self) -> LeaseRow:
        """The lease row as last written."""
        return self._writer.lease

    # Queries and notifications. None of them changes the cluster state.

    def handle_report(self, report: Report) -> ReportReply:
        """Queue a report for the next round; reply with a lease and missing orders.

        Raises
        ------
        RequestRefused
            If there is no room for what would be kept of it.
        """
        if self.is_loaded:
            # Until then it is not known which runs are expected where.
            check_report(report, self._fleet, self._inbox.reports)
        worker = self._fleet.get_or_add(
            report.worker, report.address, self._grants.prior_leases(report.worker)
        )
        if is_out_of_order(worker, report):
            return ReportReply(scheduler=self.lease.address)
        lease_ms = self._grants.renew(worker, report, self._writer.confirmed_at)
        self._grants.ensure_session(worker, report)
        self._report_event(report.worker).set()
        self._round_metrics.record_report(report)
        for rejected in report.rejected:
            worker.receive_rejection(rejected.ref, session=report.session)
        self._inbox.reports.append(report)
        self._timer.wake()
        orders = Orders(session=worker.session, life=report.life)
        if self.is_loaded and worker.session:
            orders = missing_orders(worker, report, deadlines=self.deadlines)
        update = self._pressure_feed.changes_for(
            worker.service_images, report.pressure_revision_by_service
        )
        return ReportReply(
            scheduler=self.lease.address,
            is_scheduler=True,
            epoch=self.lease.epoch,
            lease_ms=lease_ms,
            is_lease_pending=report.is_worker_alive
            and self._grants.is_pending(worker, self._writer.confirmed_at),
            evacuations=self._evacuations.notice(),
            orders=orders,
            pressures=update.pressures,
            pressure_revision_by_service=update.revision_by_service,
            services=[service.name for service in self._holder.current.services],
        )

    async def wait_for_report(self, worker: str) -> None:
        """Wait until a worker's attendant has reported to this scheduler."""
        await self._report_event(worker).wait()

    def _report_event(self, worker: str) -> trio.Event:
        return self._reported_by_worker.setdefault(worker, trio.Event())

    def notify_accepted(self, job: AcceptedJob) -> None:
        """Queue a job whose acceptance is stored."""
        self._inbox.accepted.append(job)
        self._timer.wake()

    def notify_cancelled(self, job: JobId) -> None:
        """Queue a cancellation that is stored."""
        self._inbox.cancelled.append(job)
        self._timer.wake()

    def state_of(self, job_id: JobId) -> JobState | None:
        """Return the stored state of a job, None for an unknown job."""
        job = self.cluster.jobs.by_id.get(job_id)
        return None if job is None else job.rows.state

    def record_ping(self, ping: Ping) -> None:
        """Record what a standby's ping tells about the answers that it got."""
        self._grants.limit.record_ping(ping)

    def backlog_update(self, known_version: int | None) -> BacklogUpdate:
        """Return what an entry that knows a version of the backlog lacks."""
        if self._least_cost is None:
            return NO_UPDATE
        now = self._clock.elapsed()
        return self._least_cost.control.backlog_feed.update_for(known_version, now)

    def jobs_ended_before(self, moment: timedelta) -> list[JobId]:
        """Return the jobs that ended before a given time and have no runs left.

        A job that an earlier scheduler has stored counts as ended when this one began:
        the time of day, which both know, may jump.
        """
        held = {placed.ref.task.job for placed in self._fleet.placed_runs()}
        return [
            job.id
            for job in self.cluster.jobs.by_id.values()
            if job.rows.state.is_final and job.stored_at < moment and job.id not in held
        ]

    def forget(self, job: JobId) -> None:
        """Drop a job whose acceptance has been deleted."""
        self._inbox.forgotten.append(job)
        self._timer.wake()

    def wake(self) -> None:
        """Start a new round, because something outside has changed."""
        self._timer.wake()

    # Rounds.

    def restore_attendants(self, rows: Iterable[Row]) -> dict[str, Address]:
        """Restore the addresses of attendants; return them by worker."""
        address_by_worker = self._attendant_rows.restore(rows)
        self._grants.restore_lives(self._attendant_rows.settled_life_by_worker())
        return address_by_worker

    async def renew_until(
        self, loaded: trio.Event, progress: Callable[[], int]
    ) -> None:
        """Renew the lease row until all is loaded; see `StateWriter`."""
        await self._writer.renew_until(loaded, progress)

    def load(self, stored: StoredState, cost: LoadCost) -> None:
        """Restore the state that earlier schedulers stored."""
        now = Moment.read(self._clock)
        for key, version in stored.orphan_version_by_key.items():
            self._writer.discard(key, version)
        if stored.pressures is not None:
            self._pressure_row.restore(stored.pressures)
            self._pressure_feed.restore()
        if self.learned_row is not None and stored.learned is not None:
            self.learned_row.restore(stored.learned)
        load_jobs(stored, self.cluster, self._grants, now)
        self.is_loaded = True
        self._timer.mark_loaded(now.elapsed)
        self._grants.mark_loaded()
        self._writer.mark_loaded()
        log_event(
            "scheduler:loaded",
            epoch=self.lease.epoch,
            jobs=len(self.cluster.jobs.by_id),
            active=len(self.cluster.jobs.active_by_id),
            workers=len(self._fleet.worker_by_id),
            read_bytes=cost.bytes_read,
            read_rows=cost.rows_read,
            read_s=round(cost.duration.total_seconds(), 3),
            held_by_worker={
                worker.id: len(worker.held_by_ref)
                for worker in self._fleet.worker_by_id.values()
                if worker.held_by_ref
            },
        )

    async def run(self) -> None:
        """Run rounds until asked to resign.

        Raises
        ------
        LeaseLost
            If a write shows that another entry has taken the lease row over.
        """
        async with trio.open_nursery() as nursery, trio.open_nursery() as monitors:
            monitors.start_soon(self._overdue.run)
            while not self._is_resigning:
                await self._timer.wait(renewed_at=self._writer.renewed_at)
                started_at = self._clock.elapsed()
                reports = self._inbox.reports
                placed, last_end_by_worker = self._decide()
                await self._writer.store(self.cluster.jobs.open_by_id.values())
                self.cluster.jobs.close_ended()
                now_ms = Moment.read(self._clock).time_ms
                placed = withdraw_unstored(placed, self.cluster, now_ms)
                limit_to_stored(last_end_by_worker, reports, self.cluster.jobs)
                self._stop_invalid(placed)
                self._order_sender.send(placed, last_end_by_worker, nursery)
                jobs = self.cluster.jobs
                self._round_metrics.record(
                    started_at,
                    placed,
                    active_jobs=len(jobs.active_by_id),
                    withheld_jobs=sum(
                        job.is_withheld for job in jobs.open_by_id.values()
                    ),
                    set_aside_jobs=len(jobs.set_aside_ids),
                )
            monitors.cancel_scope.cancel()
        await self._writer.resign()

    def _stop_invalid(self, placed: list[PlacedRun]) -> None:
        """Stop runs that are not sent yet and that must not start any more.

        Storing a round can take seconds, for which callers who cancel and operators
        who evacuate a data centre do not wait.
        """
        cancelled = set(self._inbox.cancelled)
        for run in placed:
            data_centre = self._fleet.worker_by_id[run.worker].data_centre
            if (
                run.ref.task.job in cancelled
                or data_centre in self._evacuations.data_centres
            ):
                run.is_stopping = True

    def withhold_leases(self) -> None:
        """Grant no lease from now on.

        Others take a process that does not listen any more for one that has ended.
        """
        self._grants.withhold()

    def resign(self) -> None:
        """Release the lease row after the current round."""
        self._is_resigning = True
        self._timer.wake()

    @contextmanager
    def _isolate(self, report: Report) -> Iterator[None]:
        """Leave a report out if the code in the context fails on it.

        Its attendant sends it to each scheduler, and would end all of them.
        """
        try:
            yield
            self._grants.resume(report.worker)
        except Exception as error:
            # What the worker holds is started elsewhere once its lease has ended.
            self._grants.suspend(report.worker)
            self._fleet.worker_by_id[report.worker].is_reachable = False
            eliot.write_traceback()
            self._round_metrics.count_failed_report()
            log_event(
                "scheduler:report-failed", worker=report.worker, reason=repr(error)
            )

    def _decide(self) -> tuple[list[PlacedRun], dict[str, int]]:
        """Apply what has arrived to the cluster state, and plan.

        Returns
        -------
        placed : list of PlacedRun
            The new runs.
        last_end_by_worker : dict
            Number of the last run end in the workers' reports.
        """
        moment = Moment.read(self._clock)
        now, now_ms = moment.elapsed, moment.time_ms
        inbox, self._inbox = self._inbox, Inbox()
        for job in inbox.accepted:
            self.cluster.accept(job, moment)
        for job_id in inbox.cancelled:
            self.cluster.cancel(job_id, now_ms)
        for job_id in inbox.forgotten:
            ended = self.cluster.jobs.by_id.get(job_id)
            if ended is not None:
                self._writer.discard_job(ended)
            self.cluster.forget(job_id)
        last_end_by_worker: dict[str, int] = {}
        for report in inbox.reports:
            last_end_by_worker.setdefault(report.worker, 0)
            with self._isolate(report):
                last = self.cluster.apply_report(report, now, now_ms)
                last_end_by_worker[report.worker] = last
        self.cluster.expire_leases(now, now_ms)
        self.cluster.apply_limits(now_ms)
        self._fleet.mark_evacuated(self._evacuations.data_centres)
        self._relocator.evacuate(now)
        self._relocator.rebalance(now)
        self._relocator.pack_services(now, is_wanted=self.planner.has_waiting_fillers)
        if self._timer.is_reconciling:
            return [], last_end_by_worker
        if self._least_cost is not None:
            self._least_cost.control.update(now)
        return self.planner.plan(moment), last_end_by_worker
