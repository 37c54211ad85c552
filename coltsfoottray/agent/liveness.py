"""Liveness of a worker as seen by its attendant."""

from __future__ import annotations

from datetime import timedelta

from coltsfoottray.agent.worker import WorkerReplaced
from coltsfoottray.errors import CommunicationError

__all__ = ["WorkerLiveness"]

# If the worker still answers this long after a deregistration, the message was a
# delayed one of an earlier incarnation.
_LEAVE_TIMEOUT = timedelta(seconds=2)


class WorkerLiveness:
    """Liveness of one incarnation of a worker, as shown by calls to it.

    Attributes
    ----------
    is_answering : bool
        Whether the last poll was answered; True when a new incarnation has reported.
    has_ended : bool
        Whether this incarnation is known to have ended, and its runs with it.
    is_replaced : bool
        Whether another incarnation with the same id has answered.
    """

    def __init__(self) -> None:
        self.is_answering = False
        self.has_ended = False
        self.is_replaced = False
        self._leaving_since: timedelta | None = None

    @property
    def is_certain(self) -> bool:
        """Whether it answers, and no call has found another incarnation since."""
        return self.is_answering and not self.is_replaced

    def reset(self) -> None:
        """Start with a new incarnation, which has reported itself."""
        self.is_answering = True
        self.has_ended = False
        self.is_replaced = False
        self._leaving_since = None

    def record_deregistration(self, now: timedelta) -> None:
        """Record that the worker has announced its end.

        Its runs end with it. The end is confirmed when the address refuses connections:
        the announcement alone may be a delayed one of an earlier incarnation with the
        same id, and a running worker may fail to answer for a moment.
        """
        self._leaving_since = now

    def record_answer(self, sent_at: timedelta) -> bool:
        """Record the answer to a call; return whether the worker did not answer before.

        Parameters
        ----------
        sent_at : timedelta
            When the call was sent.
        """
        was_answering = self.is_answering
        self.is_answering = True
        self.is_replaced = False
        if (
            self._leaving_since is not None
            and sent_at - self._leaving_since > _LEAVE_TIMEOUT
        ):
            self._leaving_since = None
        return not was_answering

    def record_failure(
        self, error: CommunicationError | WorkerReplaced, sent_at: timedelta
    ) -> bool:
        """Record that a call failed; return whether the worker answered before.

        Parameters
        ----------
        sent_at : timedelta
            When the call was sent.
        """
        was_answering = self.is_answering
        self.is_answering = False
        if isinstance(error, WorkerReplaced):
            # A new incarnation with the same id may have accepted orders meant for this
            # one; their result is known once it has reported itself.
            self.has_ended = not error.takes_orders
        else:
            is_leaving = (
                self._leaving_since is not None and sent_at >= self._leaving_since
            )
            self.has_ended = is_leaving and error.is_refused
        return was_answering

    def record_replacement(self, error: WorkerReplaced) -> bool:
        """Record that another incarnation answered; return whether that is new."""
        is_new = error.takes_orders and not self.is_replaced
        self.is_replaced |= error.takes_orders
        return is_new
