"""Differences between two configurations, which cost less to send than the configurations."""

from collections.abc import Sequence

import msgspec

from chicorypost.base import Address, Record, ServiceId, Version, hash64, pack_record
from chicorypost.routing._document import Route, RoutingDocument, ServiceSpec


class RoutingChange(Record, frozen=True, array_like=True):
    """The difference between the configurations of `base_version` and `version`.

    `routes` and `services` are the new and the changed ones. `digest` is the one that
    `compute_digest` returns for the configuration of `version`.
    """

    base_version: Version
    version: Version
    routes: tuple[Route, ...]
    removed_routes: tuple[Address, ...]
    services: tuple[ServiceSpec, ...]
    removed_services: tuple[ServiceId, ...]
    idle_seconds: float
    digest: int


class _EarlierServiceSpec(Record, frozen=True, array_like=True):
    """A `ServiceSpec` without the fields that earlier builds don't have."""

    service: ServiceId
    health_path: str
    connections: int


class _DigestedDocument(Record, frozen=True, array_like=True):
    """A `RoutingDocument` as encoded for its digest."""

    version: Version
    routes: tuple[Route, ...]
    services: tuple[Record, ...]
    idle_seconds: float


def compute_digest(document: RoutingDocument) -> int:
    """Return a 64-bit hash of a configuration that doesn't depend on the order of its parts.

    A service without a warm-up is encoded as earlier builds encode it, so that they compute the
    same digest and still take changes.
    """
    ordered = _DigestedDocument(
        document.version,
        tuple(sorted(document.routes, key=lambda route: route.address)),
        tuple(
            _omit_default_warmup(spec)
            for spec in sorted(document.services, key=lambda spec: spec.service)
        ),
        document.idle_seconds,
    )
    return hash64(pack_record(ordered))


def _omit_default_warmup(spec: ServiceSpec) -> Record:
    earlier = _EarlierServiceSpec(spec.service, spec.health_path, spec.connections)
    return earlier if ServiceSpec(*msgspec.structs.astuple(earlier)) == spec else spec


def compute_change(base: RoutingDocument, document: RoutingDocument) -> RoutingChange:
    """Return the difference between two configurations."""
    base_routes = {route.address: route for route in base.routes}
    base_services = {spec.service: spec for spec in base.services}
    addresses = {route.address for route in document.routes}
    services = {spec.service for spec in document.services}
    return RoutingChange(
        base.version,
        document.version,
        tuple(r for r in document.routes if base_routes.get(r.address) != r),
        tuple(address for address in base_routes if address not in addresses),
        tuple(s for s in document.services if base_services.get(s.service) != s),
        tuple(service for service in base_services if service not in services),
        document.idle_seconds,
        compute_digest(document),
    )


def merge_changes(changes: Sequence[RoutingChange]) -> RoutingChange:
    """Return consecutive changes, of which there must be at least one, as a single change."""
    routes: dict[Address, Route | None] = {}
    services: dict[ServiceId, ServiceSpec | None] = {}
    for change in changes:
        routes |= {route.address: route for route in change.routes}
        routes |= dict.fromkeys(change.removed_routes)
        services |= {spec.service: spec for spec in change.services}
        services |= dict.fromkeys(change.removed_services)
    return RoutingChange(
        changes[0].base_version,
        changes[-1].version,
        tuple(route for route in routes.values() if route is not None),
        tuple(address for address, route in routes.items() if route is None),
        tuple(spec for spec in services.values() if spec is not None),
        tuple(service for service, spec in services.items() if spec is None),
        changes[-1].idle_seconds,
        changes[-1].digest,
    )


def apply_change(base: RoutingDocument, change: RoutingChange) -> RoutingDocument | None:
    """Return the configuration after a change.

    Returns
    -------
    RoutingDocument or None
        The configuration; None if the change is one from another version, or if its digest shows
        that the sender's configuration of the base version has another content.
    """
    if change.base_version != base.version:
        return None
    routes = {route.address: route for route in base.routes}
    routes |= {route.address: route for route in change.routes}
    services = {spec.service: spec for spec in base.services}
    services |= {spec.service: spec for spec in change.services}
    for address in change.removed_routes:
        routes.pop(address, None)
    for service in change.removed_services:
        services.pop(service, None)
    document = RoutingDocument(
        change.version, tuple(routes.values()), tuple(services.values()), change.idle_seconds
    )
    return document if compute_digest(document) == change.digest else None
