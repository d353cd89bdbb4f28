"""Versioned routing configurations; the one with the highest version is in force."""

from chicorypost.routing._change import (
    RoutingChange,
    apply_change,
    compute_change,
    merge_changes,
)
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
    "RoutingChange",
    "RoutingDocument",
    "RoutingState",
    "ServiceSpec",
    "StoredConfiguration",
    "WeightedService",
    "apply_change",
    "compute_change",
    "make_store_command",
    "merge_changes",
    "validate_routing",
]
