"""Processor time that upstreams cost a balancer and a control instance, by size of the deployment.

``python -m benchmarks.upstream_costs`` measures a change of one upstream and an opening at a
balancer, and at a control instance one renewed subscription of a balancer.
"""

import time
from random import Random

from benchmarks.reporting import report
from chicorypost.announcements import (
    AnnouncedStatus,
    Announcement,
    AnnouncementRegistry,
    AnnouncementSettings,
    RoutingApplied,
    Subscribe,
    UpstreamCallReceived,
    VisibleUpstream,
    VisibleUpstreamsChanged,
)
from chicorypost.base import (
    Address,
    DataCentreId,
    Endpoint,
    FlowKey,
    InstanceId,
    Instant,
    Received,
    ServiceId,
    UpstreamId,
    Version,
)
from chicorypost.cookies import CookiePacket, CookieRouter, CookieSettings
from chicorypost.routing import Retryability, Route, RoutingDocument, ServiceSpec, WeightedService

SIZES = ((10, 1), (150, 2), (7800, 480))
"""Numbers of upstreams and of services: today's sites and the size to design for."""
DATA_CENTRES = 4
REPETITIONS = 2000
RENEWALS = 200
START = Instant(0.0)


def make_upstream(number: int, services: int, sequence: int = 1) -> VisibleUpstream:
    """Return an upstream of one of the services in one of the data centres."""
    host = f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}"
    announcement = Announcement(
        UpstreamId(f"i-{number}"),
        1,
        sequence,
        ServiceId(f"s-{number % services}"),
        DataCentreId(f"d-{number // services % DATA_CENTRES}"),
        Endpoint(host, 80),
        number + 1,
        2,
        AnnouncedStatus.READY,
        0,
    )
    return VisibleUpstream(announcement, False, START)


def make_router(upstreams: int, services: int) -> CookieRouter:
    """Return a router with one route a service."""
    router = CookieRouter(CookieSettings(), DataCentreId("d-0"), Random(1), START)
    routes = tuple(
        Route(
            f"r-{number}",
            Address(f"{number}:80"),
            (WeightedService(ServiceId(f"s-{number}"), 1),),
            Retryability.IDEMPOTENT,
            1000,
            100,
            1,
        )
        for number in range(services)
    )
    specs = tuple(ServiceSpec(ServiceId(f"s-{number}"), "/", 10) for number in range(services))
    router.handle(RoutingApplied(RoutingDocument(Version(1), routes, specs, 15.0)), START)
    known = tuple(make_upstream(number, services) for number in range(upstreams))
    router.handle(VisibleUpstreamsChanged(known), START)
    return router


def measure_change(router: CookieRouter, services: int) -> float:
    """Return the processor seconds of one change of one upstream."""
    started_at = time.process_time()
    for number in range(REPETITIONS):
        changed = (make_upstream(number % 10, services, sequence=number + 2),)
        router.handle(VisibleUpstreamsChanged(changed), START)
    return (time.process_time() - started_at) / REPETITIONS


def measure_opening(router: CookieRouter) -> float:
    """Return the processor seconds of one opening of a flow."""
    packets = [
        CookiePacket(FlowKey(b"%d" % number), Address("0:80"), True, False, False, 0, 0, 0)
        for number in range(REPETITIONS)
    ]
    started_at = time.process_time()
    for packet in packets:
        router.route(packet, START)
    return (time.process_time() - started_at) / REPETITIONS


def measure_renewal(upstreams: int, services: int) -> float:
    """Return the processor seconds of one renewed subscription at a control instance."""
    registry = AnnouncementRegistry(AnnouncementSettings(), 1, START)
    for number in range(upstreams):
        announcement = make_upstream(number, services).announcement
        registry.handle(UpstreamCallReceived("call", announcement), START)
    balancer = InstanceId("balancer")
    registry.handle(Received(balancer, Subscribe(0, 0)), START)
    renewal = Received(balancer, Subscribe(1, registry.feed.position))
    started_at = time.process_time()
    for _ in range(RENEWALS):
        registry.handle(renewal, START)
    return (time.process_time() - started_at) / RENEWALS


def main() -> None:
    """Print a line for each size."""
    for upstreams, services in SIZES:
        router = make_router(upstreams, services)
        report(
            "upstream-costs",
            upstreams=upstreams,
            services=services,
            change_us=round(measure_change(router, services) * 1e6, 1),
            opening_us=round(measure_opening(router) * 1e6, 1),
            renewal_us=round(measure_renewal(upstreams, services) * 1e6, 1),
        )


if __name__ == "__main__":
    main()
