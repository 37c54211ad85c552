"""What an attendant knows of the runs on its worker."""

from __future__ import annotations

from dataclasses import dataclass, field
from datetime import timedelta

from coltsfoottray.agent.worker import PollReply, Refusal, RunEnd, RunStatus
from coltsfoottray.jobs.model import RunRef
from coltsfoottray.scheduler.messages import RejectedStart, StartOrder

__all__ = ["RefusedStart", "Runs"]


@dataclass(frozen=True, kw_only=True)
class RefusedStart:
    """A start that was not carried out, and when that was known."""

    reason: Refusal
    refused: timedelta


@dataclass(kw_only=True)
class Runs:
    """Runs of one life of the worker.

    Parameters
    ----------
    order_by_ref : dict
        What was ordered, for as long as the run may be there.
    starting : set of RunRef
        Starts under way.
    started_by_ref : dict
        When the worker confirmed a start that no look has shown yet.
    stopped_by_ref : dict
        When the worker confirmed a stop whose end no look has shown yet; none
        while it has not.
    reason_by_ref : dict
        Why starts were refused that are stopped first.
    refused_by_ref : dict
        Starts refused of runs that may have been there before: a later look shows
        what became of them.
    """

    order_by_ref: dict[RunRef, StartOrder] = field(default_factory=dict)
    starting: set[RunRef] = field(default_factory=set)
    started_by_ref: dict[RunRef, timedelta] = field(default_factory=dict)
    stopped_by_ref: dict[RunRef, timedelta | None] = field(default_factory=dict)
    reason_by_ref: dict[RunRef, Refusal] = field(default_factory=dict)
    refused_by_ref: dict[RunRef, RefusedStart] = field(default_factory=dict)
    running: list[RunStatus] = field(default_factory=list)
    ends: list[RunEnd] = field(default_factory=list)
    rejected_by_ref: dict[RunRef, RejectedStart] = field(default_factory=dict)

    def is_known(self, ref: RunRef) -> bool:
        """Whether a start of the run would be a repeat."""
        return (
            ref in self.starting
            or ref in self.started_by_ref
            or ref in self.refused_by_ref
            or self.is_running(ref)
            or any(end.ref == ref for end in self.ends)
        )

    def is_running(self, ref: RunRef) -> bool:
        """Whether the last look showed the run at work."""
        return any(status.ref == ref for status in self.running)

    def unconfirmed_starts(self) -> list[RunRef]:
        """Return the starts of which no look has shown yet what became of them."""
        return [*self.starting, *self.started_by_ref, *self.refused_by_ref]

    def record_refusal(self, ref: RunRef, reason: Refusal, now: timedelta) -> None:
        """Note that a start was refused, which leaves open what became of the run."""
        self.starting.discard(ref)
        self.refused_by_ref[ref] = RefusedStart(reason=reason, refused=now)

    def record_rejection(self, ref: RunRef, reason: Refusal) -> None:
        """Note that a run does not and will not exist here."""
        self.starting.discard(ref)
        self.order_by_ref.pop(ref, None)
        self.rejected_by_ref[ref] = RejectedStart(ref=ref, reason=reason)

    def apply_poll(self, look: PollReply, *, asked: timedelta) -> bool:
        """Take in what a look showed; return whether there is news to report."""
        known = {end.number for end in self.ends}
        news = any(end.number not in known for end in look.ends)
        self.running = look.running
        self.ends = look.ends
        seen = {status.ref for status in look.running}
        seen.update(end.ref for end in look.ends)
        # What is seen has been started. Asked for again after its end, it would begin
        # once more in a new life of the worker, which knows nothing of it.
        self.starting -= seen
        for ref, confirmed in list(self.started_by_ref.items()):
            if ref in seen or confirmed < asked:
                del self.started_by_ref[ref]
        news = self._settle_stops(look, asked) or news
        news = self._settle_refusals(look, asked) or news
        there = {status.ref for status in look.running}
        there.update(self.starting, self.started_by_ref)
        for ref in [ref for ref in self.order_by_ref if ref not in there]:
            del self.order_by_ref[ref]
        return news

    def _settle_stops(self, look: PollReply, asked: timedelta) -> bool:
        """Note the stops that are through; return whether one had no run."""
        running = {status.ref for status in look.running}
        ended = {end.ref for end in look.ends}
        news = False
        for ref, confirmed in list(self.stopped_by_ref.items()):
            if confirmed is None or confirmed >= asked or ref in running:
                continue
            if ref not in ended and not look.is_complete:
                continue
            del self.stopped_by_ref[ref]
            reason = self.reason_by_ref.pop(ref, Refusal.OLD)
            if ref not in ended:
                # The run was never there, so no end will ever be listed.
                self.record_rejection(ref, reason)
                news = True
        return news

    def _settle_refusals(self, look: PollReply, asked: timedelta) -> bool:
        """Reject the starts whose runs are not there; return whether there are any."""
        there = {status.ref for status in look.running}
        there.update(end.ref for end in look.ends)
        news = False
        for ref, start in list(self.refused_by_ref.items()):
            is_shown = start.refused < asked and (look.is_complete or ref in there)
            if not is_shown:
                continue
            del self.refused_by_ref[ref]
            if ref not in there:
                self.record_rejection(ref, start.reason)
                news = True
        return news
