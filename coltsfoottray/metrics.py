"""Counters, gauges and latency histograms of one process, in Prometheus format."""

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

_MIN_US = 1
_MAX_US = 3_600_000_000
_SIGNIFICANT_DIGITS = 2
_PERCENTILES = (50, 90, 99, 100)
_NAME_PREFIX = "coltsfoottray_"

_Labels = tuple[tuple[str, str], ...]


class Metrics:
    """Records metrics and exports them.

    Names are given without unit and prefix. Labels are few, and have few values each:
    ids are never labels.
    """

    def __init__(self) -> None:
        self._counts: dict[str, Counter[_Labels]] = {}
        self._gauges: dict[str, dict[_Labels, float]] = {}
        self._histograms: dict[str, dict[_Labels, HdrHistogram]] = {}

    def count(self, name: str, by: int = 1, **labels: str) -> None:
        """Increment the counter `name` by `by`."""
        key = tuple(sorted(labels.items()))
        self._counts.setdefault(name, Counter())[key] += by

    def gauge(self, name: str, value: float, **labels: str) -> None:
        """Set the gauge `name` to `value`."""
        key = tuple(sorted(labels.items()))
        self._gauges.setdefault(name, {})[key] = value

    def time(self, name: str, duration: timedelta, **labels: str) -> None:
        """Add `duration` to the histogram `name`."""
        key = tuple(sorted(labels.items()))
        by_labels = self._histograms.setdefault(name, {})
        if key not in by_labels:
            by_labels[key] = HdrHistogram(_MIN_US, _MAX_US, _SIGNIFICANT_DIGITS)
        value_us = max(_MIN_US, int(duration.total_seconds() * 1_000_000))
        by_labels[key].record_value(min(value_us, _MAX_US))

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Return all metrics as text; the path of the request is ignored."""
        # Imported on the first request, because the import would delay the start.
        from prometheus_client import CollectorRegistry, generate_latest

        registry = CollectorRegistry(auto_describe=False)
        registry.register(self)
        return HttpResponse(
            status=200,
            header_by_name={"content-type": "text/plain; version=0.0.4"},
            body=generate_latest(registry),
        )

    def collect(self) -> Iterator[Metric]:
        """Yield all metrics; the Prometheus client calls this as a collector."""
        from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily

        for name, counts in sorted(self._counts.items()):
            names = [label for label, _ in next(iter(counts))]
            counter = CounterMetricFamily(_NAME_PREFIX + name, name, labels=names)
            for labels, value in sorted(counts.items()):
                counter.add_metric([each for _, each in labels], value)
            yield counter
        for name, levels in sorted(self._gauges.items()):
            names = [label for label, _ in next(iter(levels))]
            gauge = GaugeMetricFamily(_NAME_PREFIX + name, name, labels=names)
            for labels, level in sorted(levels.items()):
                gauge.add_metric([each for _, each in labels], level)
            yield gauge
        for name, by_labels in sorted(self._histograms.items()):
            names = [label for label, _ in next(iter(by_labels))]
            seconds = GaugeMetricFamily(
                f"{_NAME_PREFIX}{name}_seconds", name, labels=[*names, "quantile"]
            )
            counter = CounterMetricFamily(
                f"{_NAME_PREFIX}{name}_seconds_count", name, labels=names
            )
            for labels, histogram in sorted(by_labels.items()):
                values = [each for _, each in labels]
                counter.add_metric(values, histogram.get_total_count())
                for percentile in _PERCENTILES:
                    latency_us = histogram.get_value_at_percentile(percentile)
                    seconds.add_metric(
                        [*values, str(percentile / 100)], latency_us / 1e6
                    )
            yield seconds
            yield counter
