"""The queues and services in force, as last set by the operator."""

from __future__ import annotations

import msgspec

from coltsfoottray.jobs.model import QueueTerms

__all__ = ["NO_CONFIG", "ConfigHolder", "Queue", "ServiceTerms", "SiteConfig"]


class Queue(msgspec.Struct, frozen=True, kw_only=True):
    """Where callers hand jobs in, and on which terms.

    Parameters
    ----------
    host, path_prefix : str
        Select the queue; of several prefixes the longest counts.
    timeout_ms : float
        A request to the queue is answered within it.
    """

    name: str
    host: str
    path_prefix: str
    terms: QueueTerms
    timeout_ms: float = 30_000.0


class ServiceTerms(msgspec.Struct, frozen=True, kw_only=True):
    """A pool of workers.

    Parameters
    ----------
    rejects_overload : bool
        Its workers refuse what does not fit by themselves.
    is_standby : bool
        Its VMs are switched off.
    """

    name: str
    rejects_overload: bool = False
    is_standby: bool = False


class SiteConfig(msgspec.Struct, frozen=True, kw_only=True):
    """One version of the whole config."""

    version: int
    queues: list[Queue]
    services: list[ServiceTerms] = msgspec.field(default_factory=list)

    def find_queue(self, host: str, path: str) -> Queue | None:
        """Return the queue of the longest prefix of `path` at `host`."""
        found: Queue | None = None
        for queue in self.queues:
            if queue.host != host or not path.startswith(queue.path_prefix):
                continue
            if found is None or len(queue.path_prefix) > len(found.path_prefix):
                found = queue
        return found


NO_CONFIG = SiteConfig(version=0, queues=[])
"""Stands until the first version has been read."""


class ConfigHolder:
    """Holds the newest version seen; an older one never replaces it."""

    def __init__(self) -> None:
        self.current = NO_CONFIG
        self.terms_by_queue: dict[str, QueueTerms] = {}

    def replace_if_newer(self, config: SiteConfig) -> bool:
        """Take `config` if it is newer; return whether it was."""
        if config.version <= self.current.version:
            return False
        self.current = config
        self.terms_by_queue = {queue.name: queue.terms for queue in config.queues}
        return True

    def terms_of(self, queue: str, *, default: QueueTerms) -> QueueTerms:
        """Return a queue's present terms, or `default` once it is gone."""
        return self.terms_by_queue.get(queue, default)
