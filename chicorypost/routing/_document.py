"""Routing configurations: the services of each virtual address, with their weights."""

from enum import Enum

from chicorypost.base import Address, Record, ServiceId, Version


class Retryability(Enum):
    """Whether callers may retry the requests of a route."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    UPLOAD = "upload"
    """Non-idempotent, with a large body."""


class WeightedService(Record, frozen=True, array_like=True):
    """A service and its share of a route's new flows, relative to the other shares."""

    service: ServiceId
    weight: int


class Route(Record, frozen=True, array_like=True):
    """Routing of new flows to one virtual address.

    `target_ms` is the latency target of callers, `timeout_ms` the time after which they give up.
    Routes with `priority` 0 are served first when slots are scarce.
    """

    name: str
    address: Address
    targets: tuple[WeightedService, ...]
    retryability: Retryability
    timeout_ms: int
    target_ms: int
    priority: int


class ServiceSpec(Record, frozen=True, array_like=True):
    """A service that routes may refer to."""

    service: ServiceId
    health_path: str
    connections: int
    """Maximum number of flows of one upstream of the service."""
    warmup_seconds: float = 0.0
    """How long an upstream is cold after its start; 0 for no limit of the flows to cold ones."""
    warmup_flows_per_second: float = 0.0
    """New flows a second that a cold upstream bears."""


class RoutingDocument(Record, frozen=True, array_like=True):
    """A complete routing configuration.

    `idle_seconds` is the idle time after which a flow may be discarded.
    """

    version: Version
    routes: tuple[Route, ...]
    services: tuple[ServiceSpec, ...]
    idle_seconds: float


class InvalidRouting(Record, frozen=True, array_like=True):
    """Why a configuration is rejected."""

    detail: str


def validate_routing(document: RoutingDocument) -> InvalidRouting | None:
    """Check constraints beyond the types: references, addresses, weights and times.

    Parameters
    ----------
    document : RoutingDocument
        The configuration as received.

    Returns
    -------
    InvalidRouting or None
        The first error found, or None if the configuration is valid.
    """
    if document.version < 1:
        return InvalidRouting(f"version is {document.version}, allowed is 1 or more")
    service_names = {spec.service for spec in document.services}
    if len(service_names) < len(document.services):
        return InvalidRouting("two services have the same name")
    name_by_address: dict[Address, str] = {}
    for route in document.routes:
        invalid = _validate_route(route, service_names)
        if invalid is not None:
            return invalid
        if route.address in name_by_address:
            earlier = name_by_address[route.address]
            detail = f"routes {earlier!r} and {route.name!r} have the same address {route.address}"
            return InvalidRouting(detail)
        name_by_address[route.address] = route.name
    return None


def _validate_route(route: Route, services: set[ServiceId]) -> InvalidRouting | None:
    if route.timeout_ms < 1:
        detail = f"route {route.name!r}: timeout is {route.timeout_ms} ms, allowed is 1 or more"
        return InvalidRouting(detail)
    if not route.targets:
        return InvalidRouting(f"route {route.name!r} names no service")
    for target in route.targets:
        if target.service not in services:
            detail = f"route {route.name!r} names the unknown service {target.service!r}"
            return InvalidRouting(detail)
        if target.weight < 0:
            detail = f"route {route.name!r}: weight is {target.weight}, allowed is 0 or more"
            return InvalidRouting(detail)
    if sum(target.weight for target in route.targets) < 1:
        return InvalidRouting(f"route {route.name!r}: all weights are 0")
    return None
