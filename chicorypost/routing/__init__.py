"""Whole routing configurations of which the highest version is in force."""

from chicorypost.routing._document import (
    Retryability,
    Route,
    RoutingDocument,
    RoutingMistake,
    ServiceSpec,
    WeightedService,
    check_routing,
)
from chicorypost.routing._state import (
    NO_VERSION,
    Reader,
    RoutingState,
    StoredConfiguration,
    make_command,
)

__all__ = [
    "NO_VERSION",
    "Reader",
    "Retryability",
    "Route",
    "RoutingDocument",
    "RoutingMistake",
    "RoutingState",
    "ServiceSpec",
    "StoredConfiguration",
    "WeightedService",
    "check_routing",
    "make_command",
]
