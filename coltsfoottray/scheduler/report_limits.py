"""What the scheduler keeps of the reports of workers that it has given nothing."""

from __future__ import annotations

from collections.abc import Sequence

from coltsfoottray.intake import RefusalReason, RequestRefused
from coltsfoottray.scheduler.fleet import Fleet, Worker
from coltsfoottray.scheduler.messages import Report

__all__ = ["check_report"]

# Many times as many as the largest deployment has.
_MAX_WORKERS = 10_000
# Of all such workers together. Workers list runs that are not expected there only for
# moments, as after a take-over.
_MAX_UNEXPECTED_RUNS = 50_000
_MAX_LABEL_CHARACTERS = 100 * 200


def check_report(report: Report, fleet: Fleet, waiting: Sequence[Report]) -> None:
    """Check that there is room for what will be kept of a report.

    Anybody who reaches the port can report as any worker. A worker that holds runs is
    always heard: it would lose them.

    Parameters
    ----------
    waiting : sequence of Report
        Those that have not been applied yet.

    Raises
    ------
    RequestRefused
        If there is none.
    """
    worker = fleet.worker_by_id.get(report.worker)
    if worker is None and len(fleet.worker_by_id) >= _MAX_WORKERS:
        raise _no_room(f"more than {_MAX_WORKERS} workers")
    if worker is not None and worker.held_by_ref:
        return
    if sum(map(len, report.labels)) > _MAX_LABEL_CHARACTERS:
        raise _no_room(f"labels of more than {_MAX_LABEL_CHARACTERS} characters")
    listed = _count_runs(report)
    if listed and listed + _count_kept(fleet, waiting) > _MAX_UNEXPECTED_RUNS:
        raise _no_room(f"more than {_MAX_UNEXPECTED_RUNS} runs that were not ordered")


def _count_kept(fleet: Fleet, waiting: Sequence[Report]) -> int:
    """Return the number of runs that are kept for workers that hold none."""
    workers = fleet.worker_by_id.values()
    known = sum(_count_unexpected(worker) for worker in workers)
    return known + sum(_count_runs(report) for report in waiting)


def _count_unexpected(worker: Worker) -> int:
    return 0 if worker.held_by_ref else len(worker.demand_by_orphan)


def _count_runs(report: Report) -> int:
    return (
        len(report.running)
        + len(report.starting)
        + len(report.started)
        + len(report.ends)
        + len(report.without_order)
        + len(report.stalled)
        + len(report.rejected)
    )


def _no_room(detail: str) -> RequestRefused:
    return RequestRefused(reason=RefusalReason.NO_MEMORY, detail=detail)
