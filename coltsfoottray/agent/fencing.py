"""Fencing tokens of the calls to one worker."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from datetime import timedelta

from coltsfoottray.agent.worker import (
    Heartbeat,
    PollReply,
    WorkerLink,
    WorkerReplaced,
)
from coltsfoottray.errors import CommunicationError
from coltsfoottray.jobs.model import RunRef
from coltsfoottray.logs import log_event

__all__ = ["FencingLink"]

# More incarnations than a worker can have in one session.
_TOKENS_PER_SESSION = 1000


class FencingLink(WorkerLink):
    """Fences off earlier calls once another incarnation of the worker answers.

    A worker that restarts under its id has no fencing token. Until the scheduler has
    heard of the new incarnation and granted a session for it, it would still execute
    calls of the current session that were meant for the previous one: starts that were
    rejected since, and acknowledgements of other ends.

    Parameters
    ----------
    link : WorkerLink
        Link that takes a fencing token in place of a session.
    """

    def __init__(self, *, link: WorkerLink) -> None:
        self._link = link
        self._session = 0
        self._incarnations: set[str] = set()

    async def poll(  # noqa: D102
        self,
        *,
        heartbeat: Heartbeat,
        fence: int,
        lease_end_ms: int,
        acknowledged: int,
        wait: timedelta,
    ) -> PollReply:
        async with self._fenced(heartbeat, fence) as token:
            return await self._link.poll(
                heartbeat=heartbeat,
                fence=token,
                lease_end_ms=lease_end_ms,
                acknowledged=acknowledged,
                wait=wait,
            )

    async def start(  # noqa: D102
        self,
        *,
        heartbeat: Heartbeat,
        ref: RunRef,
        payload: str,
        checkpoint: str,
        ticket: str,
        fence: int,
        lease_end_ms: int,
    ) -> None:
        async with self._fenced(heartbeat, fence) as token:
            await self._link.start(
                heartbeat=heartbeat,
                ref=ref,
                payload=payload,
                checkpoint=checkpoint,
                ticket=ticket,
                fence=token,
                lease_end_ms=lease_end_ms,
            )

    async def stop(  # noqa: D102
        self, *, heartbeat: Heartbeat, ref: RunRef, fence: int
    ) -> None:
        async with self._fenced(heartbeat, fence) as token:
            await self._link.stop(heartbeat=heartbeat, ref=ref, fence=token)

    async def pace(  # noqa: D102
        self, *, heartbeat: Heartbeat, ref: RunRef, percent: int, fence: int
    ) -> None:
        async with self._fenced(heartbeat, fence) as token:
            await self._link.pace(
                heartbeat=heartbeat,
                ref=ref,
                percent=percent,
                fence=token,
            )

    @asynccontextmanager
    async def _fenced(self, heartbeat: Heartbeat, session: int) -> AsyncIterator[int]:
        """Yield the fencing token for a call, and raise it if that shows the need."""
        try:
            yield self._token(session)
        except WorkerReplaced as error:
            await self._fence_off(heartbeat, session, error)
            raise

    def _token(self, session: int) -> int:
        """Return the fencing token for a call in a session."""
        if session > self._session:
            self._session = session
            self._incarnations.clear()
        if session < self._session:
            return session * _TOKENS_PER_SESSION
        replacements = min(len(self._incarnations), _TOKENS_PER_SESSION - 1)
        return session * _TOKENS_PER_SESSION + replacements

    async def _fence_off(
        self, heartbeat: Heartbeat, session: int, error: WorkerReplaced
    ) -> None:
        """Raise the token of the incarnation that has answered, once for each."""
        is_known = error.answered_by in self._incarnations
        if not error.takes_orders or is_known or session < self._session:
            return
        self._incarnations.add(error.answered_by)
        log_event("worker:fenced-off", life=error.life, answered_by=error.answered_by)
        try:
            await self._link.poll(
                heartbeat=heartbeat,
                fence=self._token(session),
                lease_end_ms=0,
                acknowledged=0,
                wait=timedelta(0),
            )
        except (CommunicationError, WorkerReplaced):
            # The next poll has the same token.
            return
