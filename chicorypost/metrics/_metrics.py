"""Counters, gauges and histograms of one process, kept by the Prometheus client library."""

from collections.abc import Callable

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest
from prometheus_client.exposition import CONTENT_TYPE_LATEST

from chicorypost.events import Emit

REQUEST_SECONDS_BUCKETS = (0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10)


class ProcessMetrics:
    """The metrics of one process in their own registry.

    Attributes
    ----------
    registry : CollectorRegistry
        Registry of all metrics of the process.
    events : Counter
        Logged events by number and name.
    packets : Counter
        Packets by decision.
    requests : Counter
        Requests by service and HTTP status.
    request_seconds : Histogram
        Seconds from the arrival of a request to its response, by service.
    """

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.events = Counter(
            "chicorypost_events",
            "Logged events by number and name.",
            ["number", "name"],
            registry=self.registry,
        )
        self.packets = Counter(
            "chicorypost_packets", "Packets by decision.", ["decision"], registry=self.registry
        )
        self.requests = Counter(
            "chicorypost_requests",
            "Requests by service and HTTP status.",
            ["service", "status"],
            registry=self.registry,
        )
        self.request_seconds = Histogram(
            "chicorypost_request_seconds",
            "Seconds from the arrival of a request to its response.",
            ["service"],
            buckets=REQUEST_SECONDS_BUCKETS,
            registry=self.registry,
        )

    def count_event(self, emit: Emit) -> None:
        """Count one logged event."""
        self.events.labels(str(emit.spec.number), emit.spec.name).inc()

    def add_gauge(self, name: str, meaning: str, read: Callable[[], float]) -> None:
        """Add a gauge whose value is read at each scrape."""
        Gauge(f"chicorypost_{name}", meaning, registry=self.registry).set_function(read)

    def exposition(self) -> tuple[bytes, str]:
        """Return the metrics in the text format and their content type."""
        return generate_latest(self.registry), CONTENT_TYPE_LATEST
