"""Configuration document, patches and their distribution to balancers."""

from chicorypost.configuration._document import (
    ConfigurationApplied,
    ConfigurationDocument,
    IdempotentRule,
    Limits,
    Priority,
    ServiceSpec,
    UpstreamSelector,
)

__all__ = [
    "ConfigurationApplied",
    "ConfigurationDocument",
    "IdempotentRule",
    "Limits",
    "Priority",
    "ServiceSpec",
    "UpstreamSelector",
]
