"""The work that live jobs still need, and the processors that do it."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from datetime import timedelta

from coltsfoottray.clock import as_duration
from coltsfoottray.jobs.model import RunRef
from coltsfoottray.jobs.records import TaskPhase
from coltsfoottray.overload.capacity import PoolUsage
from coltsfoottray.overload.demand import JobDemand, JobKey, Pool, PoolKind
from coltsfoottray.scheduler.cluster_state import ClusterState
from coltsfoottray.scheduler.eligibility import is_schedulable
from coltsfoottray.scheduler.fleet import Worker
from coltsfoottray.scheduler.live import LiveJob
from coltsfoottray.scheduler.live_step import LiveStep
from coltsfoottray.scheduler.placed_run import PlacedRun
from coltsfoottray.scheduler.urgency import (
    MIN_EXPECTED_FRACTION,
    due_time,
    useful_until,
)

__all__ = ["list_demands", "measure_pools"]

_FULL_PERCENT = 100.0
_MILLI = 1000.0


def list_demands(cluster: ClusterState) -> list[JobDemand]:
    """Return what each unfinished occurrence of the jobs needs.

    Services never end, and a queue without an objective has no job that is late.
    """
    percent_by_ref = {
        placed.ref: placed.percent for placed in cluster.fleet.placed_runs()
    }
    demands = []
    for job in list(cluster.jobs.active_by_id.values()):
        if cluster.terms_of(job).has_objective:
            with cluster.jobs.isolate(job.id):
                demands += _demands_of(cluster, job, percent_by_ref)
    return demands


def _demands_of(
    cluster: ClusterState, job: LiveJob, percent_by_ref: Mapping[RunRef, float]
) -> list[JobDemand]:
    return [
        _demand_of(cluster, job, occurrence, percent_by_ref)
        for occurrence, steps in enumerate(job.steps_by_occurrence)
        if steps and not any(step.spec.is_service for step in steps)
    ]


def _demand_of(
    cluster: ClusterState,
    job: LiveJob,
    occurrence: int,
    percent_by_ref: Mapping[RunRef, float],
) -> JobDemand:
    terms = cluster.terms_of(job)
    steps = job.steps_by_occurrence[occurrence]
    path_ms = job.critical_path_left_ms(occurrence) * MIN_EXPECTED_FRACTION
    return JobDemand(
        key=JobKey(job=job.id, occurrence=occurrence),
        queue=job.accepted.queue,
        pool=Pool(service=terms.service, kind=_kind_of(steps)),
        priority=terms.priority,
        due=due_time(job, occurrence, terms),
        useful_until=useful_until(job, occurrence, terms),
        work_left=sum(
            _task_work(step) * _tasks_left(step, percent_by_ref) for step in steps
        ),
        work_total=sum(_task_work(step) * len(step.records) for step in steps),
        path_left=as_duration(path_ms),
    )


def _kind_of(steps: Iterable[LiveStep]) -> PoolKind:
    if any(step.spec.is_filler for step in steps):
        return PoolKind.SPARE
    return PoolKind.RESERVED


def _task_work(step: LiveStep) -> float:
    """Return the expected work of one task in processor-seconds."""
    length_s = step.job.expected_length_ms(step.number) / _MILLI
    return length_s * step.spec.demand.processors


def _tasks_left(step: LiveStep, percent_by_ref: Mapping[RunRef, float]) -> float:
    """Return how many tasks are left, with the fractions of those that run."""
    left = 0.0
    for index, record in enumerate(step.records):
        if record.phase is TaskPhase.DONE:
            continue
        ref = RunRef(task=step.ref(index), run=record.run)
        left += 1.0 - percent_by_ref.get(ref, 0.0) / _FULL_PERCENT
    return left


def measure_pools(cluster: ClusterState, now: timedelta) -> dict[Pool, PoolUsage]:
    """Return the processors that the jobs of each service use, and what is idle."""
    waiting = {
        cluster.terms_of(job).service
        for job in cluster.jobs.active_by_id.values()
        for step in job.steps()
        if step.spec.is_filler and step.can_start
    }
    workers_by_service: dict[str, list[Worker]] = {}
    for worker in cluster.fleet.worker_by_id.values():
        if is_schedulable(worker, worker.service, now):
            workers_by_service.setdefault(worker.service, []).append(worker)
    usage_by_pool: dict[Pool, PoolUsage] = {}
    for service, workers in workers_by_service.items():
        spare = Pool(service=service, kind=PoolKind.SPARE)
        usage_by_pool[spare] = _usage_of_fillers(
            workers, has_waiting=service in waiting
        )
        reserved = Pool(service=service, kind=PoolKind.RESERVED)
        usage_by_pool[reserved] = _reserved_usage(workers)
    return usage_by_pool


def _reserved_usage(workers: Iterable[Worker]) -> PoolUsage:
    """Return the processors that tasks of jobs reserve and what is left beside them."""
    used = idle = 0.0
    for worker in workers:
        by_services = by_jobs = 0.0
        for placed in worker.held_by_ref.values():
            if placed.step.spec.is_service:
                by_services += placed.reserved.processors
            else:
                by_jobs += placed.reserved.processors
        used += by_jobs
        idle += max(worker.capacity.processors - by_services - by_jobs, 0.0)
    return PoolUsage(used=used, idle=idle)


def _usage_of_fillers(workers: Iterable[Worker], *, has_waiting: bool) -> PoolUsage:
    used = requested = idle = 0.0
    for worker in workers:
        idle += max(worker.idle_processors, 0.0)
        for placed in worker.held_by_ref.values():
            if placed.step.spec.is_filler:
                used += _processors_used(placed)
                requested += placed.step.spec.demand.processors
    return PoolUsage(used=used, requested=requested, idle=idle, has_waiting=has_waiting)


def _processors_used(placed: PlacedRun) -> float:
    """Return the processors that a filler uses; all that it requests until reported."""
    if placed.listed_at is None:
        return placed.step.spec.demand.processors
    return placed.figure / _MILLI
