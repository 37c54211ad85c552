"""The attendant's record of the runs on its worker."""

from __future__ import annotations

from dataclasses import dataclass, field
from datetime import timedelta

from coltsfoottray.agent.worker import PollReply, Refusal, RunEnd, RunStatus
from coltsfoottray.jobs.model import RunRef
from coltsfoottray.remembered import drop_oldest
from coltsfoottray.scheduler.messages import RejectedStart, StartOrder

__all__ = ["RefusedStart", "Runs"]

# An order is repeated within seconds; a worker rejects or ends some hundreds a second
# at most.
_MAX_REMEMBERED = 5000


@dataclass(frozen=True, kw_only=True)
class RefusedStart:
    """Start that the worker refused, with the time of the refusal."""

    reason: Refusal
    refused_at: timedelta


@dataclass(kw_only=True)
class Runs:
    """Runs of one incarnation of the worker.

    Parameters
    ----------
    order_by_ref : dict
        Start orders, kept while the run may exist on the worker.
    starting : set of RunRef
        Starts in progress.
    started_by_ref : dict
        Time at which the worker confirmed a start, until a poll shows the run.
    stopped_by_ref : dict
        Time at which the worker confirmed a stop, until a poll shows the end; None
        while the stop is not confirmed.
    reason_by_ref : dict
        Reasons of refused starts whose runs are stopped before they are rejected.
    open_starts : set of RunRef
        Starts sent in the current session without an answer. The worker may still
        execute them unless it has confirmed a stop.
    session_began_at : timedelta
        When the current session began. From its first poll in a session on, the worker
        executes no starts of earlier ones.
    refused_by_ref : dict
        Refused starts whose runs may exist already; a later poll shows whether they
        run or have ended.
    end_by_ref : dict
        When a run must end for its job to be on time, as far as that was ordered.
    deferred : set of RunRef
        Fillers that give way to others, as last ordered.
    running, ends : list
        Runs and ends that the last poll returned.
    is_complete : bool
        Whether the last poll returned all ends; a worker limits their number.
    rejected_by_ref : dict
        Rejected starts that are not reported to the scheduler yet.
    reason_by_barred_ref : dict
        Runs that were rejected, oldest first. Orders for them may arrive once more and
        must not be executed, since their tasks may have other runs by then.
    ended : dict
        Runs whose end was listed, oldest first. The worker refuses to start them again,
        but its next incarnation, which may be unknown here, would not.
    """

    order_by_ref: dict[RunRef, StartOrder] = field(default_factory=dict)
    starting: set[RunRef] = field(default_factory=set)
    started_by_ref: dict[RunRef, timedelta] = field(default_factory=dict)
    stopped_by_ref: dict[RunRef, timedelta | None] = field(default_factory=dict)
    reason_by_ref: dict[RunRef, Refusal] = field(default_factory=dict)
    open_starts: set[RunRef] = field(default_factory=set)
    session_began_at: timedelta = timedelta(0)
    refused_by_ref: dict[RunRef, RefusedStart] = field(default_factory=dict)
    end_by_ref: dict[RunRef, timedelta] = field(default_factory=dict)
    deferred: set[RunRef] = field(default_factory=set)
    running: list[RunStatus] = field(default_factory=list)
    ends: list[RunEnd] = field(default_factory=list)
    is_complete: bool = True
    rejected_by_ref: dict[RunRef, RejectedStart] = field(default_factory=dict)
    reason_by_barred_ref: dict[RunRef, Refusal] = field(default_factory=dict)
    ended: dict[RunRef, None] = field(default_factory=dict)

    def is_known(self, ref: RunRef) -> bool:
        """Whether the run was started here before, so that an order repeats it."""
        return (
            ref in self.starting
            or ref in self.started_by_ref
            or ref in self.refused_by_ref
            or self.is_running(ref)
            or ref in self.ended
        )

    def is_running(self, ref: RunRef) -> bool:
        """Whether the last poll showed the run as running."""
        return any(status.ref == ref for status in self.running)

    def without_order(self) -> list[RunRef]:
        """Return the running runs whose order is missing, unless they are stopped.

        An attendant that restarts, or whose session changes while a start is in
        progress, finds such runs on its worker.
        """
        return [
            status.ref
            for status in self.running
            if status.ref not in self.order_by_ref
            and status.ref not in self.stopped_by_ref
        ]

    def unconfirmed_starts(self) -> list[RunRef]:
        """Return the starts whose result no poll has shown yet."""
        return [*self.starting, *self.started_by_ref, *self.refused_by_ref]

    def begin_session(self, now: timedelta) -> None:
        """Begin a session, in which the scheduler repeats its orders.

        The runs of refused starts, which were to be stopped, are settled by the first
        poll in the session.
        """
        self.session_began_at = now
        self.starting.clear()
        self.open_starts.clear()
        self.stopped_by_ref.clear()
        for ref, reason in self.reason_by_ref.items():
            self.record_refusal(ref, reason, now)
        self.reason_by_ref.clear()

    def record_refusal(self, ref: RunRef, reason: Refusal, now: timedelta) -> None:
        """Record that a start was refused while the state of the run is unknown."""
        self.starting.discard(ref)
        self.refused_by_ref[ref] = RefusedStart(reason=reason, refused_at=now)

    def record_rejection(self, ref: RunRef, reason: Refusal) -> None:
        """Record that a run does not and will not exist here."""
        self.starting.discard(ref)
        self.open_starts.discard(ref)
        self.order_by_ref.pop(ref, None)
        self.end_by_ref.pop(ref, None)
        self.rejected_by_ref[ref] = RejectedStart(ref=ref, reason=reason)
        self.reason_by_barred_ref[ref] = reason
        drop_oldest(self.reason_by_barred_ref, _MAX_REMEMBERED)

    def reject_again(self, ref: RunRef) -> bool:
        """Reject a run once more if it was rejected before; return whether it was.

        The scheduler that received the rejection may have died before it stored it.
        """
        reason = self.reason_by_barred_ref.get(ref)
        if reason is None:
            return False
        self.rejected_by_ref[ref] = RejectedStart(ref=ref, reason=reason)
        return True

    def after_lapse(self) -> Runs:
        """Return the runs once the lease has expired, which ends all of them.

        The worker is the same, and late orders may arrive after the lease.
        """
        return Runs(
            is_complete=False,
            open_starts=self.open_starts,
            session_began_at=self.session_began_at,
            reason_by_barred_ref=self.reason_by_barred_ref,
            ended=self.ended,
        )

    def apply_poll(self, reply: PollReply, *, sent_at: timedelta) -> bool:
        """Apply the reply to a poll; return whether a report is due.

        Parameters
        ----------
        sent_at : timedelta
            When the poll was sent. The reply proves nothing about orders that were
            confirmed later.
        """
        known = {end.number for end in self.ends}
        is_report_due = any(end.number not in known for end in reply.ends)
        self.running = reply.running
        self.ends = reply.ends
        self.is_complete = reply.is_complete
        self.ended.update(dict.fromkeys(end.ref for end in reply.ends))
        drop_oldest(self.ended, _MAX_REMEMBERED)
        seen = {status.ref for status in reply.running}
        seen.update(end.ref for end in reply.ends)
        # Stop retrying starts of runs that the worker lists. If a run ended first, a
        # new incarnation of the worker, which does not know it, would start it again.
        self.starting -= seen
        self.open_starts -= seen
        for ref, confirmed_at in list(self.started_by_ref.items()):
            if ref in seen or confirmed_at < sent_at:
                del self.started_by_ref[ref]
        is_report_due = self._resolve_stops(reply, sent_at) or is_report_due
        is_report_due = self._resolve_refusals(reply, sent_at) or is_report_due
        present = {status.ref for status in reply.running}
        present.update(self.starting, self.started_by_ref)
        for ref in [ref for ref in self.order_by_ref if ref not in present]:
            del self.order_by_ref[ref]
            self.end_by_ref.pop(ref, None)
        return is_report_due

    def _resolve_stops(self, reply: PollReply, sent_at: timedelta) -> bool:
        """Remove completed stops; return whether one had no run."""
        running = {status.ref for status in reply.running}
        ended = {end.ref for end in reply.ends}
        is_report_due = False
        for ref in list(self.stopped_by_ref):
            if ref in running:
                continue
            is_absent = reply.is_complete and self._is_fenced_off(ref, sent_at)
            if ref not in ended and not is_absent:
                continue
            del self.stopped_by_ref[ref]
            reason = self.reason_by_ref.pop(ref, Refusal.OLD)
            if ref not in ended:
                # The run never existed, so the worker will not list an end for it.
                self.record_rejection(ref, reason)
                is_report_due = True
        return is_report_due

    def _is_fenced_off(self, ref: RunRef, sent_at: timedelta) -> bool:
        """Return whether a run that a poll does not show can no longer start.

        That is so once its stop is confirmed. The stop may never be answered, but the
        worker that answers a poll also executes no starts of earlier sessions.
        """
        confirmed_at = self.stopped_by_ref[ref]
        if confirmed_at is not None:
            return confirmed_at < sent_at
        may_start = ref in self.open_starts or ref in self.started_by_ref
        return self.session_began_at < sent_at and not may_start

    def _resolve_refusals(self, reply: PollReply, sent_at: timedelta) -> bool:
        """Reject the refused starts whose runs do not exist; return whether any was."""
        present = {status.ref for status in reply.running}
        present.update(end.ref for end in reply.ends)
        is_report_due = False
        for ref, start in list(self.refused_by_ref.items()):
            is_resolved = start.refused_at < sent_at and (
                reply.is_complete or ref in present
            )
            if not is_resolved:
                continue
            del self.refused_by_ref[ref]
            if ref not in present:
                self.record_rejection(ref, start.reason)
                is_report_due = True
        return is_report_due
