"""How long the runs of one worker can last, as far as the scheduler knows.

Failure guarded against: what is known of a lease is lost with the process that knows
it, its successor has issued nothing, and the scheduler starts tasks again beside runs
that the worker still has. What a process cannot know counts as the longest lease that
could be out, until the store or the worker itself shows otherwise.
"""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta

from coltsfoottray.agent.lease import MAX_ORPHAN_TIME, MAX_WORKER_LEASE

__all__ = ["PriorLeases", "WorkerLeases"]

_NEVER = timedelta(days=-1)


@dataclass(frozen=True, kw_only=True)
class PriorLeases:
    """What earlier schedulers may have left to a worker.

    Parameters
    ----------
    end : timedelta
        When the leases that they granted are certain to have expired.
    foreign_end : timedelta
        When leases are certain to have expired that an incarnation of the worker took
        from calls meant for an earlier one.
    settled_life : str, optional
        The incarnation that they knew to hold no such lease, empty for none; None if
        they did not know the worker.
    """

    end: timedelta
    foreign_end: timedelta
    settled_life: str | None = None


@dataclass(kw_only=True)
class WorkerLeases:
    """Upper bounds of the leases that one worker holds, by the scheduler's clock.

    Parameters
    ----------
    end : timedelta
        When the lease expires that its attendant issues. No settled run outlives it
        unless it is renewed.
    foreign_end : timedelta
        When a foreign lease has expired, as far as the attendant can know: one that an
        incarnation took from a call meant for an earlier one, whose clock was ahead.
    adopted_end : timedelta
        The same for an incarnation that has listed runs meant for an earlier one.
    replaced_since : timedelta, optional
        Since when the worker is known to run in another incarnation than the one that
        its held runs were meant for.
    settled_life : str, optional
        Its incarnation, once that certainly holds no foreign lease, empty until then;
        None while no incarnation is known that could have been called before.
    """

    end: timedelta
    foreign_end: timedelta = _NEVER
    adopted_end: timedelta = _NEVER
    replaced_since: timedelta | None = None
    settled_life: str | None = None

    @classmethod
    def after(cls, prior: PriorLeases) -> WorkerLeases:
        """Return what earlier schedulers may have left."""
        return cls(
            end=prior.end,
            foreign_end=prior.foreign_end,
            settled_life=prior.settled_life,
        )

    @property
    def settled_runs_end_by(self) -> timedelta:
        """When no settled run can exist any more."""
        return max(self.end, self._replacement_end)

    @property
    def runs_end_by(self) -> timedelta:
        """When no run can exist any more, whichever incarnation may have it."""
        return max(self.settled_runs_end_by, self.foreign_end, self.adopted_end)

    @property
    def _replacement_end(self) -> timedelta:
        """When runs have ended that only an incarnation has which nobody hears.

        It may have accepted starts meant for the previous one. It has a clock of its
        own, so these runs can outlive the previous lease.
        """
        if self.replaced_since is None:
            return _NEVER
        return self.replaced_since + MAX_ORPHAN_TIME

    def begin_incarnation(self) -> None:
        """Begin another incarnation, which has listed nothing yet."""
        self.adopted_end = _NEVER

    def record_adoption(self, now: timedelta) -> None:
        """Record that the incarnation has listed runs meant for an earlier one."""
        self.adopted_end = now + MAX_WORKER_LEASE

    def set_foreign_left(self, left: timedelta, now: timedelta) -> None:
        """Set how long a foreign lease may last, zero if there is none."""
        self.foreign_end = now + left if left else _NEVER

    def extend_foreign(self, left: timedelta, now: timedelta) -> None:
        """Allow for a foreign lease that an attendant without a session reports."""
        if left:
            self.foreign_end = max(self.foreign_end, now + left)

    def settle(self, life: str, now: timedelta) -> bool:
        """Return whether an incarnation holds no foreign lease; record it if so."""
        if max(self.foreign_end, self.adopted_end) > now:
            return False
        self.settled_life = life
        return True
