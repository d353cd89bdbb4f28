"""Whole routing configurations: which service serves which address, and with what weights."""

from enum import Enum

from chicorypost.base import Address, Record, ServiceId, Version


class Retryability(Enum):
    """Which requests of a route callers may send again."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    UPLOAD = "upload"
    """Non-idempotent, with a large body."""


class WeightedService(Record, frozen=True, array_like=True):
    """A service and its share of a route's new flows, relative to the other shares."""

    service: ServiceId
    weight: int


class Route(Record, frozen=True, array_like=True):
    """New flows to one virtual address.

    `target_ms` is the latency that callers aim at, `timeout_ms` when they give up; `priority` 0
    is served first when slots are short.
    """

    name: str
    address: Address
    targets: tuple[WeightedService, ...]
    retryability: Retryability
    timeout_ms: int
    target_ms: int
    priority: int


class ServiceSpec(Record, frozen=True, array_like=True):
    """A service that routes may name."""

    service: ServiceId
    health_path: str
    connections: int
    """How many flows one upstream of the service holds at most."""


class RoutingDocument(Record, frozen=True, array_like=True):
    """One whole configuration.

    `idle_seconds` is how long a flow may be idle before it may be discarded.
    """

    version: Version
    routes: tuple[Route, ...]
    services: tuple[ServiceSpec, ...]
    idle_seconds: float


class InvalidRouting(Record, frozen=True, array_like=True):
    """Why a configuration is not accepted."""

    detail: str


def validate_routing(document: RoutingDocument) -> InvalidRouting | None:
    """Check what the types alone don't: references, places, weights and times.

    Parameters
    ----------
    document : RoutingDocument
        A configuration as it was sent.

    Returns
    -------
    InvalidRouting or None
        The first mistake found, or None.
    """
    if document.version < 1:
        return InvalidRouting(f"version is {document.version}, allowed is 1 or more")
    names = {spec.service for spec in document.services}
    if len(names) < len(document.services):
        return InvalidRouting("two services have the same name")
    places: dict[Address, str] = {}
    for route in document.routes:
        mistake = _check_route(route, names)
        if mistake is not None:
            return mistake
        if route.address in places:
            earlier = places[route.address]
            detail = f"routes {earlier!r} and {route.name!r} have the same address {route.address}"
            return InvalidRouting(detail)
        places[route.address] = route.name
    return None


def _check_route(route: Route, services: set[ServiceId]) -> InvalidRouting | None:
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
