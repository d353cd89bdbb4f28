"""Decoding of the configuration that operators send."""

from typing import Annotated

import msgspec

from chicorypost.base import ServiceId, Version
from chicorypost.platform._json import decode_json
from chicorypost.platform._packets import make_address
from chicorypost.platform._settings import MAX_INTEGER, MAX_NAME_CHARACTERS, read_endpoint
from chicorypost.routing import (
    InvalidRouting,
    Retryability,
    Route,
    RoutingDocument,
    ServiceSpec,
    WeightedService,
    validate_routing,
)

_RETRYABILITY_BY_ROUTE_TYPE = {
    "safe": Retryability.IDEMPOTENT,
    "download": Retryability.IDEMPOTENT,
    "unsafe": Retryability.NON_IDEMPOTENT,
    "upload": Retryability.UPLOAD,
}
"""Requests of any other type may run once at most."""


Number = Annotated[int, msgspec.Meta(ge=-MAX_INTEGER, le=MAX_INTEGER)]
Name = Annotated[str, msgspec.Meta(max_length=MAX_NAME_CHARACTERS)]
Amount = Annotated[float, msgspec.Meta(ge=0, le=MAX_INTEGER)]


class _SplitTarget(msgspec.Struct):
    service: Name
    weight: Number


class _Route(msgspec.Struct):
    name: Name
    host: str  # virtual IPv4 address that clients connect to
    path_prefix: str  # port that clients connect to, between slashes; not a path
    route_type: str  # kind of the requests that the flows carry
    timeout_ms: Number
    service: Name | None = None
    split: list[_SplitTarget] | None = None
    target_latency_ms: Number = 0
    priority: Number = 0


class _Service(msgspec.Struct):
    name: Name
    health_path: str = ""
    max_conns: Number = 0
    warmup_s: Amount = 0.0  # how long an upstream is cold after its start
    warmup_per_s: Amount = 0.0  # new flows a second that a cold upstream bears


class _Limits(msgspec.Struct):
    idle_timeout_ms: Number = 15_000


class _Document(msgspec.Struct):
    version: Number
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = msgspec.field(default_factory=_Limits)


def read_configuration(body: bytes) -> RoutingDocument | InvalidRouting:
    """Decode and validate a whole configuration.

    Parameters
    ----------
    body : bytes
        JSON document from the operator.

    Returns
    -------
    RoutingDocument or InvalidRouting
        The configuration, or why it is rejected.
    """
    try:
        document = decode_json(body, _Document)
        routes = tuple(_read_route(route) for route in document.routes)
    except ValueError as error:
        return InvalidRouting(str(error))
    services = tuple(
        ServiceSpec(
            ServiceId(spec.name),
            spec.health_path,
            spec.max_conns,
            spec.warmup_s,
            spec.warmup_per_s,
        )
        for spec in document.services
    )
    idle_seconds = document.limits.idle_timeout_ms / 1000
    routing = RoutingDocument(Version(document.version), routes, services, idle_seconds)
    invalid = validate_routing(routing)
    return routing if invalid is None else invalid


def _read_route(route: _Route) -> Route:
    try:
        endpoint = read_endpoint(f"{route.host}:{route.path_prefix.strip('/')}")
    except ValueError as error:
        raise ValueError(f"route {route.name!r:.60}, `host` and `path_prefix`: {error}") from error
    return Route(
        name=route.name,
        address=make_address(endpoint.host, endpoint.port),
        targets=_read_targets(route),
        retryability=_RETRYABILITY_BY_ROUTE_TYPE.get(route.route_type, Retryability.NON_IDEMPOTENT),
        timeout_ms=route.timeout_ms,
        target_ms=route.target_latency_ms,
        priority=route.priority,
    )


def _read_targets(route: _Route) -> tuple[WeightedService, ...]:
    if route.split is not None:
        return tuple(WeightedService(ServiceId(item.service), item.weight) for item in route.split)
    if route.service is None:
        return ()
    return (WeightedService(ServiceId(route.service), 1),)
