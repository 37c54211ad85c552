"""The lists in force in one process."""

from __future__ import annotations

import trio

from coltsfoottray.lists.models import Lists
from coltsfoottray.types import ListVersion

__all__ = ["ListHolder"]


class ListHolder:
    """Holds the newest lists that this process has received."""

    def __init__(self) -> None:
        self.current = Lists()
        self._changed = trio.Event()

    def replace_if_newer(self, lists: Lists) -> bool:
        """Put `lists` in force if they are newer; return whether they were.

        Late and repeated pushes arrive in any order. Only this method writes
        `current`, and it ignores older versions, so an accepted edit is never
        reverted.
        """
        if lists.version <= self.current.version:
            return False
        self.current = lists
        self._changed.set()
        self._changed = trio.Event()
        return True

    async def wait_newer(self, version: ListVersion) -> Lists:
        """Wait until the lists in force are newer than `version` and return them."""
        while self.current.version <= version:
            await self._changed.wait()
        return self.current
