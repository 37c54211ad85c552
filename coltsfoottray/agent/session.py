"""The session in which an attendant executes orders."""

from __future__ import annotations

from datetime import timedelta

import trio

from coltsfoottray.logs import log_event
from coltsfoottray.scheduler.messages import Orders

__all__ = ["AttendantSession"]


class AttendantSession:
    """The last session that a scheduler granted.

    Attributes
    ----------
    number : int
        The session, 0 for none.
    polled : int
        The session in which the worker was last polled, 0 for none.
    loss_reported_in : int
        The session of the last report that told that the worker does not answer, 0 for
        none.
    """

    def __init__(self) -> None:
        self.number = 0
        self.polled = 0
        self.loss_reported_in = 0
        # The worker's incarnation that the session was granted for.
        self._life = ""
        self._started = trio.Event()
        self._is_next_due = False

    @property
    def reported_number(self) -> int:
        """The session to report; 0 makes the scheduler grant another one."""
        return 0 if self._is_next_due else self.number

    @property
    def is_polled(self) -> bool:
        """Whether the worker has been polled in this session."""
        return self.polled == self.number

    @property
    def is_loss_reported(self) -> bool:
        """Whether a scheduler was told in this session that the worker is silent."""
        return 0 < self.number == self.loss_reported_in

    def begin(self, orders: Orders) -> None:
        """Begin the session that `orders` belong to."""
        log_event("scheduler:session", session=orders.session, before=self.number)
        self.number = orders.session
        self._is_next_due = False
        self._life = orders.life
        started, self._started = self._started, trio.Event()
        started.set()

    def request_next(self) -> None:
        """Request another session with the next report."""
        self._is_next_due = True

    async def wait_for_next(self, timeout: timedelta) -> None:
        """Wait until another session begins, or for `timeout`."""
        with trio.move_on_after(timeout.total_seconds()):
            await self._started.wait()

    async def wait_for_life(self, life: str, timeout: timedelta) -> None:
        """Wait for up to `timeout` if the session is that of another incarnation.

        The scheduler grants a new one as soon as it is told of the incarnation. It
        needs a poll in that session, which must not wait for one held in the previous.
        """
        if self._life != life:
            await self.wait_for_next(timeout)
