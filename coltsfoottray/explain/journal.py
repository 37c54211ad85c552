"""The journal of decisions of one process."""

from __future__ import annotations

import enum
from collections import deque
from collections.abc import Sequence

import msgspec

from coltsfoottray.clock import Clock
from coltsfoottray.lists import ListHolder
from coltsfoottray.logs import log_event
from coltsfoottray.types import CustomerId, ListVersion

__all__ = ["Decision", "Journal", "RunnerUp", "Verb"]

# At 400 bytes a decision this bounds the journal to some 8 MB of the 128 MB.
MAX_DECISIONS = 20_000


class Verb(enum.Enum):
    """What was decided."""

    ROUTE = "route"
    REFUSE = "refuse"
    ACCEPT = "accept"
    PLACE = "place"
    WAIT = "wait"
    EVICT = "evict"
    FINISH = "finish"
    CANCEL = "cancel"


class RunnerUp(msgspec.Struct, frozen=True, kw_only=True):
    """A choice that was not taken, and why."""

    name: str
    why_not: str


class Decision(msgspec.Struct, frozen=True, kw_only=True):
    """One decision against the lists.

    Parameters
    ----------
    subject : str
        The request's or task's id, beginning with the customer's.
    lists_version : ListVersion
        The version that was in force for the decision.
    line : str
        The lists' lines it was checked against.
    """

    subject: str
    verb: Verb
    choice: str
    reason: str
    lists_version: ListVersion
    line: str = ""
    runners_up: list[RunnerUp] = msgspec.field(default_factory=list)
    at: str = ""


class Journal:
    """Logs each decision as one structured line and keeps the newest."""

    def __init__(self, *, clock: Clock, daemon: str, holder: ListHolder) -> None:
        self._clock = clock
        self._daemon = daemon
        self._holder = holder
        self._decisions: deque[Decision] = deque(maxlen=MAX_DECISIONS)

    def record(
        self,
        subject: str,
        customer: CustomerId,
        verb: Verb,
        *,
        choice: str,
        reason: str,
        runners_up: Sequence[RunnerUp] = (),
    ) -> None:
        """Log and keep a decision, against the customer's lines now in force."""
        lists = self._holder.current
        decision = Decision(
            subject=subject,
            verb=verb,
            choice=choice,
            reason=reason,
            lists_version=lists.version,
            line=lists.line_of(customer),
            runners_up=list(runners_up),
            at=self._clock.now().isoformat(),
        )
        self._decisions.append(decision)
        log_event(
            f"decision:{verb.value}",
            daemon=self._daemon,
            **msgspec.to_builtins(decision),
        )

    def explain(self, subject: str) -> list[Decision]:
        """Return what was decided about `subject`, oldest first.

        `subject` is a whole id, or only the part behind the customer's name.
        """
        return [
            decision
            for decision in self._decisions
            if decision.subject == subject or decision.subject.endswith(f"/{subject}")
        ]
