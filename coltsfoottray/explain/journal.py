"""The journal of the decisions of one process."""

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

# A decision takes about 400 bytes, which bounds the journal to about 8 MB of the
# memory limit of 128 MB.
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
    """An alternative that was not chosen, and why."""

    name: str
    why_not: str


class Decision(msgspec.Struct, frozen=True, kw_only=True):
    """One decision, and the version of the lists it is based on.

    Parameters
    ----------
    subject : str
        The id of the request or task, which begins with that of the customer.
    lists_version : ListVersion
        The version in force at the time of the decision.
    line : str
        The lines of the lists that the decision was checked against.
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
    """Logs each decision as one structured line and stores the newest ones."""

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
        """Log and store a decision, with the customer's lines that are in force."""
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
        """Return the decisions about `subject`, oldest first.

        `subject` is a full id, or the part of it after the customer's name.
        """
        return [
            decision
            for decision in self._decisions
            if decision.subject == subject or decision.subject.endswith(f"/{subject}")
        ]
