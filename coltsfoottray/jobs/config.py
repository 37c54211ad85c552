"""The configuration of queues and services, as last set by the operator."""

from __future__ import annotations

import msgspec

from coltsfoottray.jobs.limits import MAX_DURATION_MS, limit_attributes
from coltsfoottray.jobs.model import QueueTerms

__all__ = ["NO_CONFIG", "ConfigHolder", "Queue", "ServiceTerms", "SiteConfig"]


class Queue(msgspec.Struct, frozen=True, kw_only=True):
    """Where callers submit jobs, and the terms under which the jobs run.

    Parameters
    ----------
    host, path_prefix : str
        Select the queue of a request; the longest matching prefix wins.
    timeout_ms : float
        Upper bound on the time to answer a request to the queue, in milliseconds.
    """

    name: str
    host: str
    path_prefix: str
    terms: QueueTerms
    timeout_ms: float = 30_000.0

    def __post_init__(self) -> None:
        limit_attributes(self, 0.0, MAX_DURATION_MS, "timeout_ms")


class ServiceTerms(msgspec.Struct, frozen=True, kw_only=True):
    """A pool of workers.

    Parameters
    ----------
    rejects_overload : bool
        Whether its workers themselves refuse tasks that do not fit.
    is_standby : bool
        Whether its VMs are switched off.
    """

    name: str
    rejects_overload: bool = False
    is_standby: bool = False


class SiteConfig(msgspec.Struct, frozen=True, kw_only=True):
    """One version of the complete config."""

    version: int
    queues: list[Queue]
    services: list[ServiceTerms] = msgspec.field(default_factory=list)

    def find_queue(self, host: str, path: str) -> Queue | None:
        """Return the queue at `host` whose prefix of `path` is longest, or None."""
        longest: Queue | None = None
        for queue in self.queues:
            if queue.host != host or not path.startswith(queue.path_prefix):
                continue
            if longest is None or len(queue.path_prefix) > len(longest.path_prefix):
                longest = queue
        return longest


NO_CONFIG = SiteConfig(version=0, queues=[])
"""The config in force until the first version has been read."""


class ConfigHolder:
    """Holds the newest config received."""

    def __init__(self) -> None:
        self.current = NO_CONFIG
        self.terms_by_queue: dict[str, QueueTerms] = {}

    def replace_if_newer(self, config: SiteConfig) -> bool:
        """Replace the current config if `config` is newer; return whether it was."""
        if config.version <= self.current.version:
            return False
        self.current = config
        self.terms_by_queue = {queue.name: queue.terms for queue in config.queues}
        return True

    def terms_of(self, queue: str, *, default: QueueTerms) -> QueueTerms:
        """Return a queue's current terms, or `default` if the queue was removed."""
        return self.terms_by_queue.get(queue, default)
