"""Polling of the table for newer lists."""

from __future__ import annotations

from datetime import timedelta

import trio

from coltsfoottray.clock import Clock
from coltsfoottray.kernel import Service
from coltsfoottray.lists.editor import read_head
from coltsfoottray.lists.holder import ListHolder
from coltsfoottray.logs import log_event
from coltsfoottray.platform import TableError, TableService

__all__ = ["ListFollower"]


class ListFollower(Service):
    """Polls the table for newer lists.

    Pushes between peers are faster. The poll bounds the delay if a push is lost,
    and finds an edit whose accepting entry died before it could push.
    """

    def __init__(
        self,
        *,
        table: TableService,
        clock: Clock,
        holder: ListHolder,
        interval: timedelta,
    ) -> None:
        self._table = table
        self._clock = clock
        self._holder = holder
        self._interval = interval

    async def run(  # noqa: D102
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        await self.poll()
        task_status.started()
        while True:
            await self._clock.sleep(self._interval)
            await self.poll()

    async def poll(self) -> None:
        """Read the head once; in an outage of the table the lists stay as they are."""
        try:
            lists = await read_head(self._table)
        except TableError as error:
            log_event("lists:poll-failed", error=str(error))
            return
        if self._holder.replace_if_newer(lists):
            log_event("lists:in-force", version=lists.version)
