"""What an attendant knows of the runs on its worker."""

from __future__ import annotations

from dataclasses import dataclass, field
from datetime import timedelta

from coltsfoottray.agent.worker import Look, Refusal, RunEnd, RunStatus
from coltsfoottray.jobs.model import RunRef
from coltsfoottray.scheduler.messages import RejectedStart, StartOrder

__all__ = ["Runs"]


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
    """

    order_by_ref: dict[RunRef, StartOrder] = field(default_factory=dict)
    starting: set[RunRef] = field(default_factory=set)
    started_by_ref: dict[RunRef, timedelta] = field(default_factory=dict)
    stopped_by_ref: dict[RunRef, timedelta | None] = field(default_factory=dict)
    running: list[RunStatus] = field(default_factory=list)
    ends: list[RunEnd] = field(default_factory=list)
    rejected_by_ref: dict[RunRef, RejectedStart] = field(default_factory=dict)

    def is_there(self, ref: RunRef) -> bool:
        """Whether a start of the run would be a repeat."""
        return (
            ref in self.starting
            or ref in self.started_by_ref
            or any(status.ref == ref for status in self.running)
            or any(end.ref == ref for end in self.ends)
        )

    def reject(self, ref: RunRef, reason: Refusal) -> None:
        """Note that a run does not and will not exist here."""
        self.starting.discard(ref)
        self.order_by_ref.pop(ref, None)
        self.rejected_by_ref[ref] = RejectedStart(ref=ref, reason=reason)

    def take(self, look: Look, *, asked: timedelta) -> bool:
        """Take in what a look showed; return whether there is news to report."""
        known = {end.number for end in self.ends}
        news = any(end.number not in known for end in look.ends)
        self.running = look.running
        self.ends = look.ends
        seen = {status.ref for status in look.running}
        seen.update(end.ref for end in look.ends)
        for ref, confirmed in list(self.started_by_ref.items()):
            if ref in seen or confirmed < asked:
                del self.started_by_ref[ref]
        news = self._settle_stops(look, asked) or news
        there = {status.ref for status in look.running}
        there.update(self.starting, self.started_by_ref)
        for ref in [ref for ref in self.order_by_ref if ref not in there]:
            del self.order_by_ref[ref]
        return news

    def _settle_stops(self, look: Look, asked: timedelta) -> bool:
        """Note the stops that are through; return whether one had no run."""
        running = {status.ref for status in look.running}
        ended = {end.ref for end in look.ends}
        news = False
        for ref, confirmed in list(self.stopped_by_ref.items()):
            if confirmed is None or confirmed >= asked or ref in running:
                continue
            del self.stopped_by_ref[ref]
            if ref not in ended:
                # The run was never there, so no end will ever be listed.
                self.reject(ref, Refusal.OLD)
                news = True
        return news
