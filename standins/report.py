"""What a played trace came to."""

from __future__ import annotations

import msgspec

__all__ = ["LatencySummary", "Report"]


class LatencySummary(msgspec.Struct, frozen=True, kw_only=True):
    """Latencies of the answered requests of one kind, in milliseconds."""

    count: int
    p50: float
    p99: float


class Report(msgspec.Struct, frozen=True, kw_only=True):
    """The summary; the last line of a demo is this in JSON.

    Parameters
    ----------
    false_refusals : int
        Requests refused as not run that an upstream did run.
    lost, doubled, overcommitted : int
        As counted by the stand-ins, never by the daemons.
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
