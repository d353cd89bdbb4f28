"""Counters and histograms that are converted to Prometheus metrics at each scrape.

Processes on small hosts count with plain numbers and import the Prometheus client library only at
the first scrape.
"""

from bisect import bisect_left
from collections.abc import Callable, Iterator, Mapping
from typing import Any, Protocol

SECONDS_BUCKETS = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0)
"""Upper bounds in seconds, from a round trip within a data centre to the longest deadlines."""


class MetricsSource(Protocol):
    """Source of the metrics that the metrics listener serves."""

    def exposition(self) -> tuple[bytes, str]:
        """Return the metrics in the text format and their content type."""


class PlainHistogram:
    """Histogram of durations in seconds."""

    def __init__(self, buckets: tuple[float, ...] = SECONDS_BUCKETS) -> None:
        self.buckets = buckets
        self.counts = [0] * (len(buckets) + 1)
        self.total_seconds = 0.0

    def observe(self, seconds: float) -> None:
        """Add one duration in seconds."""
        self.counts[bisect_left(self.buckets, seconds)] += 1
        self.total_seconds += seconds

    def cumulative_counts(self) -> list[tuple[str, float]]:
        """Return each bucket bound with the number of durations up to it."""
        pairs, count = [], 0
        for bound, number in zip((*self.buckets, float("inf")), self.counts, strict=True):
            count += number
            pairs.append(("+Inf" if bound == float("inf") else str(bound), float(count)))
        return pairs


class PlainMetrics:
    """The metrics of one process, read from their sources at each scrape.

    Parameters
    ----------
    counters : callable
        Returns the counters by name; each maps the values of the label `kind` to counts.
    gauges : callable
        Returns the values of the gauges by name.
    histograms : mapping of str to PlainHistogram
        Histograms by name.
    """

    def __init__(
        self,
        counters: Callable[[], Mapping[str, Mapping[str, int]]],
        gauges: Callable[[], Mapping[str, float]],
        histograms: Mapping[str, PlainHistogram],
    ) -> None:
        self.counters = counters
        self.gauges = gauges
        self.histograms = histograms

    def exposition(self) -> tuple[bytes, str]:
        """Return the metrics in the text format and their content type."""
        from prometheus_client import CollectorRegistry, generate_latest
        from prometheus_client.exposition import CONTENT_TYPE_LATEST

        registry = CollectorRegistry()
        registry.register(self)
        return generate_latest(registry), CONTENT_TYPE_LATEST

    def collect(self) -> Iterator[Any]:
        """Yield the metric families; the Prometheus client library calls this at each scrape."""
        from prometheus_client.core import (
            CounterMetricFamily,
            GaugeMetricFamily,
            HistogramMetricFamily,
        )

        for name, by_label in self.counters().items():
            counter = CounterMetricFamily(
                f"chicorypost_{name}", f"{name}, by kind", labels=["kind"]
            )
            for label, count in by_label.items():
                counter.add_metric([label], count)
            yield counter
        for name, value in self.gauges().items():
            yield GaugeMetricFamily(f"chicorypost_{name}", name.replace("_", " "), value=value)
        for name, histogram in self.histograms.items():
            family = HistogramMetricFamily(f"chicorypost_{name}", name.replace("_", " "))
            family.add_metric([], histogram.cumulative_counts(), histogram.total_seconds)
            yield family
