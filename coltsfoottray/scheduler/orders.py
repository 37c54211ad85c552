"""Orders to attendants about the runs of their workers."""

from __future__ import annotations

from collections.abc import Sequence

from coltsfoottray.jobs.model import RunRef
from coltsfoottray.scheduler.deadlines import Deadlines
from coltsfoottray.scheduler.fleet import Worker
from coltsfoottray.scheduler.messages import Orders, Report, StartOrder
from coltsfoottray.scheduler.placed_run import PlacedRun

__all__ = ["make_orders", "make_start_order", "missing_orders", "split_starts"]

# A message with orders has 0.7 s to arrive. What does not fit is sent in another one.
_MAX_STARTS_BYTES = 200_000
# All of an order but its texts.
_START_BYTES = 200


def missing_orders(
    worker: Worker, report: Report, *, deadlines: Deadlines | None = None
) -> Orders:
    """Return the orders that the worker lacks according to a report.

    A worker that reports another incarnation than the known one gets no orders yet.
    """
    if report.life != worker.life:
        return Orders(session=worker.session, life=report.life)
    known = {status.ref for status in report.running}
    # The first orders of a session are empty if the scheduler has not yet applied a
    # report of the worker's incarnation.
    known.difference_update(report.without_order)
    known.update(report.starting)
    known.update(end.ref for end in report.ends)
    known.update(rejected.ref for rejected in report.rejected)
    is_new = report.session != worker.session
    # A rejection that the next round will apply needs no order in the meantime.
    held = [
        each
        for each in worker.held_by_ref.values()
        if each.is_released and (is_new or not each.is_rejected)
    ]
    orphans = [ref for ref in worker.demand_by_orphan if ref not in worker.held_by_ref]
    starts = [
        each
        for each in held
        if not each.is_stopping and (is_new or each.ref not in known)
    ]
    return make_orders(
        worker,
        deadlines=deadlines,
        # The reply to the next report contains what the attendant still lacks.
        starts=split_starts(starts)[0],
        stops=[each for each in held if each.is_stopping],
        orphans=orphans,
    )


def split_starts(starts: Sequence[PlacedRun]) -> list[list[PlacedRun]]:
    """Split starts, in order, into parts that each fit into one message.

    Returns
    -------
    list of list of PlacedRun
        At least one part.
    """
    parts: list[list[PlacedRun]] = [[]]
    size_bytes = 0
    for each in starts:
        start_bytes = _size_of(each)
        if parts[-1] and size_bytes + start_bytes > _MAX_STARTS_BYTES:
            parts.append([])
            size_bytes = 0
        parts[-1].append(each)
        size_bytes += start_bytes
    return parts


def _size_of(placed: PlacedRun) -> int:
    """Return about how many bytes the order to start a run takes."""
    checkpoint = placed.step.checkpoint_record(placed.ref.task.index).checkpoint
    payload = placed.step.job.accepted.spec.payload
    return _START_BYTES + len(payload.encode()) + len(checkpoint)


def make_orders(
    worker: Worker,
    *,
    starts: Sequence[PlacedRun],
    stops: Sequence[PlacedRun],
    orphans: Sequence[RunRef] = (),
    deadlines: Deadlines | None = None,
) -> Orders:
    """Return orders in the worker's session, and record that they are given in it.

    Parameters
    ----------
    orphans : sequence of RunRef
        Runs to stop that the scheduler does not expect on the worker.
    deadlines : Deadlines, optional
        Set if attendants slow fillers by the urgency of their jobs.
    """
    for each in (*starts, *stops):
        each.mark_ordered(worker.session)
    return Orders(
        session=worker.session,
        life=worker.life,
        starts=[make_start_order(each, deadlines) for each in starts],
        stops=[*(each.ref for each in stops), *orphans],
        acknowledged=worker.acknowledged,
        deferred=worker.deferred_fillers(),
    )


def make_start_order(
    placed: PlacedRun, deadlines: Deadlines | None = None
) -> StartOrder:
    """Return the order that starts a run."""
    spec = placed.step.spec
    checkpoint_record = placed.step.checkpoint_record(placed.ref.task.index)
    return StartOrder(
        ref=placed.ref,
        payload=placed.step.job.accepted.spec.payload,
        checkpoint=checkpoint_record.checkpoint if spec.has_checkpoints else "",
        ticket=_ticket_of(placed),
        image=spec.image,
        processors=spec.demand.processors,
        estimate_ms=spec.estimate_ms,
        is_service=spec.is_service,
        is_filler=spec.is_filler,
        target_latency_ms=spec.target_latency_ms,
        length_ms=0 if deadlines is None else deadlines.length_ms(placed.step),
        time_left_ms=0 if deadlines is None else deadlines.time_left_ms(placed.step),
    )


def _ticket_of(placed: PlacedRun) -> str:
    ticket = placed.step.tickets.get(placed.life)
    return "" if ticket is None else ticket.value
