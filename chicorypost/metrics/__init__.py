"""Metrics of one process in the Prometheus format."""

from chicorypost.metrics._metrics import ProcessMetrics

__all__ = ["ProcessMetrics"]
