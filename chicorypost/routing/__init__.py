"""Whole routing configurations of which the highest version is in force."""

from chicorypost.routing._document import (
    InvalidRouting,
    Retryability,
    Route,
    RoutingDocument,
    ServiceSpec,
    WeightedService,
    validate_routing,
)
from chicorypost.routing._state import (
    NO_VERSION,
    ConfigurationReader,
    RoutingState,
    StoredConfiguration,
    make_store_command,
)

__all__ = [
    "NO_VERSION",
    "ConfigurationReader",
    "InvalidRouting",
    "Retryability",
    "Route",
    "RoutingDocument",
    "RoutingState",
    "ServiceSpec",
    "StoredConfiguration",
    "WeightedService",
    "make_store_command",
    "validate_routing",
]
