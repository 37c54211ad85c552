"""Counters, gauges and latency histograms of one process, as text."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from datetime import timedelta
from typing import TYPE_CHECKING

from hdrh.histogram import HdrHistogram

from coltsfoottray.http import HttpRequest, HttpResponse

if TYPE_CHECKING:
    from prometheus_client.core import Metric

__all__ = ["Metrics"]

_LOWEST_US = 1
_HIGHEST_US = 3_600_000_000
_DIGITS = 2
_PERCENTILES = (50, 90, 99, 100)
_PREFIX = "coltsfoottray_"

_Labels = tuple[tuple[str, str], ...]


class Metrics:
    """Takes measurements in and renders them.

    Names are without unit and prefix; labels are few and of few values, never ids.
    """

    def __init__(self) -> None:
        self._counts: dict[str, Counter[_Labels]] = {}
        self._gauges: dict[str, dict[_Labels, float]] = {}
        self._histograms: dict[str, dict[_Labels, HdrHistogram]] = {}

    def count(self, name: str, by: int = 1, **labels: str) -> None:
        """Add to a counter."""
        key = tuple(sorted(labels.items()))
        self._counts.setdefault(name, Counter())[key] += by

    def gauge(self, name: str, value: float, **labels: str) -> None:
        """Set a value that goes up and down."""
        key = tuple(sorted(labels.items()))
        self._gauges.setdefault(name, {})[key] = value

    def time(self, name: str, duration: timedelta, **labels: str) -> None:
        """Add a duration to a histogram."""
        key = tuple(sorted(labels.items()))
        by_labels = self._histograms.setdefault(name, {})
        if key not in by_labels:
            by_labels[key] = HdrHistogram(_LOWEST_US, _HIGHEST_US, _DIGITS)
        value_us = max(_LOWEST_US, int(duration.total_seconds() * 1_000_000))
        by_labels[key].record_value(min(value_us, _HIGHEST_US))

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Serve everything as text, at any path."""
        # Imported on the first request: a daemon's start must not wait for it.
        from prometheus_client import CollectorRegistry, generate_latest

        registry = CollectorRegistry(auto_describe=False)
        registry.register(self)
        return HttpResponse(
            status=200,
            header_by_name={"content-type": "text/plain; version=0.0.4"},
            body=generate_latest(registry),
        )

    def collect(self) -> Iterator[Metric]:
        """Yield every metric, as the client library asks for them."""
        from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily

        for name, counts in sorted(self._counts.items()):
            names = [label for label, _ in next(iter(counts))]
            counter = CounterMetricFamily(_PREFIX + name, name, labels=names)
            for labels, value in sorted(counts.items()):
                counter.add_metric([each for _, each in labels], value)
            yield counter
        for name, levels in sorted(self._gauges.items()):
            names = [label for label, _ in next(iter(levels))]
            gauge = GaugeMetricFamily(_PREFIX + name, name, labels=names)
            for labels, level in sorted(levels.items()):
                gauge.add_metric([each for _, each in labels], level)
            yield gauge
        for name, by_labels in sorted(self._histograms.items()):
            names = [label for label, _ in next(iter(by_labels))]
            seconds = GaugeMetricFamily(
                f"{_PREFIX}{name}_seconds", name, labels=[*names, "quantile"]
            )
            counter = CounterMetricFamily(
                f"{_PREFIX}{name}_seconds_count", name, labels=names
            )
            for labels, histogram in sorted(by_labels.items()):
                values = [each for _, each in labels]
                counter.add_metric(values, histogram.get_total_count())
                for percentile in _PERCENTILES:
                    at_us = histogram.get_value_at_percentile(percentile)
                    seconds.add_metric([*values, str(percentile / 100)], at_us / 1e6)
            yield seconds
            yield counter
