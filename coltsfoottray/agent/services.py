"""The services whose workers an attendant may use."""

from __future__ import annotations

from collections.abc import Sequence

from coltsfoottray.agent.worker import Heartbeat

__all__ = ["KnownServices"]


class KnownServices:
    """The services that the config names, as far as a scheduler has told them.

    A heartbeat can come from another writer. One of a service that no config names
    reports no worker that may be used.
    """

    def __init__(self) -> None:
        self._names: frozenset[str] = frozenset()

    def update(self, names: Sequence[str]) -> None:
        """Set the names; a scheduler without a config tells none."""
        if names:
            self._names = frozenset(names)

    def may_use(self, heartbeat: Heartbeat) -> bool:
        """Return whether a worker may be used; any may be until names are known."""
        return not self._names or heartbeat.service in self._names
