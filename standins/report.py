"""Summary of a played trace."""

from __future__ import annotations

import msgspec

__all__ = ["LatencySummary", "Report"]


class LatencySummary(msgspec.Struct, frozen=True, kw_only=True):
    """Latencies of the answered requests of one kind, in milliseconds."""

    count: int
    p50: float
    p99: float


class Report(msgspec.Struct, frozen=True, kw_only=True):
    """Summary of a played trace; the demo prints it in JSON as its last line.

    Parameters
    ----------
    false_refusals : int
        Requests that were refused as not run although an upstream ran them.
    lost, doubled, overcommitted : int
        Accepted tasks without a proper end, requests and tasks that ran twice, and
        starts beyond a worker's capacity. The stand-ins count them, not the daemons.
    """

    trace: str
    requests: int
    answered: int
    refused: int
    unknown: int
    tasks: int
    finished: int
    evictions: int
    lost: int
    doubled: int
    overcommitted: int
    false_refusals: int
    latency_ms: dict[str, LatencySummary]

    @property
    def is_clean(self) -> bool:
        """Whether nothing was lost, doubled, overcommitted or falsely refused."""
        return not (self.lost + self.doubled + self.overcommitted + self.false_refusals)
