"""Metrics of one process in the Prometheus format."""

from typing import TYPE_CHECKING

from chicorypost.base._lazy import import_lazily

if TYPE_CHECKING:
    from chicorypost.metrics._metrics import ProcessMetrics
    from chicorypost.metrics._plain import MetricsSource, PlainHistogram, PlainMetrics

__all__ = ["MetricsSource", "PlainHistogram", "PlainMetrics", "ProcessMetrics"]

__getattr__ = import_lazily(
    __name__,
    {
        "MetricsSource": "_plain",
        "PlainHistogram": "_plain",
        "PlainMetrics": "_plain",
        "ProcessMetrics": "_metrics",
    },
)
