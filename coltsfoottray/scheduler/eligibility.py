"""Whether a worker may get tasks at all, whatever room it has."""

from __future__ import annotations

from datetime import timedelta

from coltsfoottray.scheduler.fleet import Worker

__all__ = ["has_label", "is_present", "is_schedulable", "is_usable"]

# A worker whose last report is older gets no new tasks: two report intervals of one
# second each, and half of one.
_MAX_REPORT_AGE = timedelta(seconds=2.5)


def is_schedulable(
    worker: Worker, service: str, now: timedelta, *, may_probe: bool = False
) -> bool:
    """Return whether a worker is in a service's pool, alive and open to new tasks.

    Parameters
    ----------
    may_probe : bool
        Whether the task may probe a blocked worker.
    """
    return not worker.is_evacuated and is_usable(
        worker, service, now, may_probe=may_probe
    )


def is_usable(
    worker: Worker, service: str, now: timedelta, *, may_probe: bool = False
) -> bool:
    """Return whether a worker is open to new tasks, evacuations left aside."""
    return (
        is_present(worker, service, now)
        and (worker.blocked_until <= now or (may_probe and worker.may_be_probed(now)))
        and not worker.has_probe_running(now)
    )


def is_present(worker: Worker, service: str, now: timedelta) -> bool:
    """Return whether a worker is in a service's pool and alive, whatever its health.

    While the runs of an earlier incarnation are not reconciled, the worker's
    description is that incarnation's, and starts meant for it would be void.
    """
    return (
        worker.service == service
        and worker.is_reachable
        and worker.leases.replaced_since is None
        and not worker.is_draining
        and bool(worker.life)
        and worker.session > 0
        and now - worker.last_heard < _MAX_REPORT_AGE
    )


def has_label(worker: Worker, label: str) -> bool:
    """Return whether a worker has a label, which is empty if any will do."""
    return not label or label in worker.labels
