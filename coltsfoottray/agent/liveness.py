"""Whether a worker answers its attendant, and what its silence proves."""

from __future__ import annotations

from datetime import timedelta

from coltsfoottray.agent.worker import WorkerReplaced
from coltsfoottray.errors import CommunicationError

__all__ = ["WorkerLiveness"]

# A worker that still answers so long after it said that it leaves has not meant it:
# the word was a late one of an earlier life.
_LEAVE_TIME = timedelta(seconds=2)


class WorkerLiveness:
    """What calls to one life of a worker have shown.

    Attributes
    ----------
    is_answering : bool
        Whether the last call that tells was answered.
    is_over : bool
        Whether this life is known to have ended, and its runs with it.
    is_replaced : bool
        Whether another life under its id has answered.
    """

    def __init__(self) -> None:
        self.is_answering = False
        self.has_ended = False
        self.is_replaced = False
        # When it said that it leaves.
        self._left: timedelta | None = None

    def reset(self) -> None:
        """Note that a life has reported itself."""
        self.is_answering = True
        self.has_ended = False
        self.is_replaced = False
        self._left = None

    def record_deregistration(self, now: timedelta) -> None:
        """Note the worker's word that it is about to end.

        Its runs end with it; that nobody listens there any more confirms it. The word
        alone may be a late one of an earlier life under the same id, and a worker that
        runs on may be silent for a moment.
        """
        self._left = now

    def record_answer(self, asked: timedelta) -> bool:
        """Note that a call made at `asked` was answered; return whether it is news."""
        was_answering = self.is_answering
        self.is_answering = True
        self.is_replaced = False
        if self._left is not None and asked - self._left > _LEAVE_TIME:
            self._left = None
        return not was_answering

    def record_failure(
        self, error: CommunicationError | WorkerReplaced, asked: timedelta
    ) -> bool:
        """Note that a call made at `asked` failed; return whether that is news."""
        was_answering = self.is_answering
        self.is_answering = False
        if isinstance(error, WorkerReplaced):
            # A new life under the same id may have taken orders meant for this one:
            # what became of them is settled once it has reported itself.
            self.has_ended = not error.takes_orders
        else:
            has_left = self._left is not None and asked >= self._left
            self.has_ended = has_left and error.is_refused
        return was_answering

    def record_replacement(self, error: WorkerReplaced) -> bool:
        """Note that another life has answered; return whether that is news."""
        is_news = error.takes_orders and not self.is_replaced
        self.is_replaced |= error.takes_orders
        return is_news
