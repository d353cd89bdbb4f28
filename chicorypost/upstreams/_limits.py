"""Limits and services of an upstream under the applied configuration."""

from chicorypost.base import ServiceId, Upstream
from chicorypost.configuration import ConfigurationDocument, UpstreamLimits


def matching_limits(document: ConfigurationDocument, upstream: Upstream) -> list[UpstreamLimits]:
    """Return the limits of every configured service that selects the upstream."""
    return [
        spec.limits
        for spec in document.services.values()
        if spec.selector.service == upstream.service
    ]


def effective_slots(document: ConfigurationDocument, upstream: Upstream) -> int:
    """Return the maximum number of concurrent exchanges at an upstream."""
    return min([upstream.slots, *(limits.slots for limits in matching_limits(document, upstream))])


def effective_queue_length(
    document: ConfigurationDocument, upstream: Upstream, default: int
) -> int:
    """Return the maximum number of queued attempts of an upstream."""
    lengths = [limits.queue_length for limits in matching_limits(document, upstream)]
    return min(lengths, default=default)


def serves(document: ConfigurationDocument, upstream: Upstream, service: ServiceId) -> bool:
    """Return whether an upstream serves a service, by its announced or configured name."""
    if upstream.service == service:
        return True
    spec = document.services.get(service)
    return spec is not None and spec.selector.service == upstream.service
