"""Latency histograms by kind of request."""

from __future__ import annotations

from datetime import timedelta

import msgspec
from hdrh.histogram import HdrHistogram

from coltsfoottray.types import Kind

__all__ = ["LatencyMetrics", "LatencySummary"]

_MIN_US = 1
_MAX_US = 3_600_000_000
_SIGNIFICANT_DIGITS = 2


class LatencySummary(msgspec.Struct, frozen=True, kw_only=True):
    """Latencies of one kind of request, in milliseconds."""

    count: int
    p50: float
    p99: float


class LatencyMetrics:
    """Records the time from the arrival of a request to its final response."""

    def __init__(self) -> None:
        self._histogram_by_kind: dict[Kind, HdrHistogram] = {}

    def record(self, kind: Kind, duration: timedelta) -> None:
        """Record the latency of one request."""
        histogram = self._histogram_by_kind.get(kind)
        if histogram is None:
            histogram = HdrHistogram(_MIN_US, _MAX_US, _SIGNIFICANT_DIGITS)
            self._histogram_by_kind[kind] = histogram
        histogram.record_value(max(1, int(duration.total_seconds() * 1_000_000)))

    def summary(self) -> dict[Kind, LatencySummary]:
        """Return the summary of the latencies of each kind."""
        return {
            kind: LatencySummary(
                count=histogram.get_total_count(),
                p50=histogram.get_value_at_percentile(50) / 1000,
                p99=histogram.get_value_at_percentile(99) / 1000,
            )
            for kind, histogram in self._histogram_by_kind.items()
        }
