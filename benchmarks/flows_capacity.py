"""Processor time, memory and control bytes of flow routing, with slopes by size.

Run with ``python -m benchmarks.flows_capacity [--small]``; prints one JSON line per measurement.
"""

import argparse
import gc
import json
import random
import time
import tracemalloc

from benchmarks.flow_policies import HandoffPolicy
from chicorypost.base import (
    Address,
    DataCentreId,
    Endpoint,
    FlowKey,
    Incarnation,
    Instant,
    ServiceId,
    Upstream,
    UpstreamId,
    UpstreamState,
)
from chicorypost.configuration import ConfigurationDocument, ServiceSpec, UpstreamSelector
from chicorypost.flows import ParsedPacket, parse_packet

DATA_CENTRE = DataCentreId("gent")
STEP_SECONDS = 0.01
SETTLE_SECONDS = 4.0


class RoutingBench:
    """Balancers of one data centre that route flows of some services."""

    def __init__(self, balancers: int, services: int = 2, upstreams: int = 10) -> None:
        self.now = Instant(0.0)
        document = ConfigurationDocument(
            services={
                ServiceId(f"s{number}"): ServiceSpec(
                    addresses=(Address(f"10.1.{number >> 8}.{number & 255}:443/tcp"),),
                    selector=UpstreamSelector(service=ServiceId(f"s{number}")),
                )
                for number in range(services)
            }
        )
        self.policy = HandoffPolicy(document, lambda flow, upstream: None, random.Random(1))
        self.upstreams = [
            make_upstream(f"s{service}-{number}", f"s{service}")
            for service in range(services)
            for number in range(upstreams)
        ]
        self.balancer_data_centres = {f"b{number:03}": DATA_CENTRE for number in range(balancers)}
        for name in self.balancer_data_centres:
            self.start_balancer(name)
        self.policy.set_members(self.balancer_data_centres, self.now)
        self.settle()

    def start_balancer(self, name: str) -> None:
        """Start one balancer and give it all upstreams."""
        self.policy.start_balancer(name, DATA_CENTRE, self.now)
        self.policy.update_upstreams(name, self.upstreams, (), self.now)

    def settle(self) -> None:
        """Advance simulated time by `SETTLE_SECONDS`, so that handoffs complete."""
        end = self.now + SETTLE_SECONDS
        while self.now < end:
            self.now = Instant(self.now + STEP_SECONDS)
            self.policy.advance_to(self.now)

    def measure_action(self, action) -> tuple[float, float]:
        """Return control bytes and processor seconds per balancer for an action."""
        gc.collect()
        sent = sum(self.policy.sent_bytes.values())
        started = time.process_time()
        action()
        self.settle()
        count = len(self.balancer_data_centres)
        cpu_seconds = time.process_time() - started
        return (sum(self.policy.sent_bytes.values()) - sent) / count, cpu_seconds / count


def make_upstream(
    name: str, service: str, state: UpstreamState = UpstreamState.READY, packets: int = 80
) -> Upstream:
    """Return an upstream of a service."""
    endpoint = Endpoint(name, packets)
    return Upstream(
        UpstreamId(name),
        Incarnation(1),
        ServiceId(service),
        DATA_CENTRE,
        endpoint,
        endpoint,
        3,
        5000,
        state,
    )


def make_packet(number: int, opens: bool = False) -> ParsedPacket:
    """Return a packet of the flow with a given number."""
    source = (0x0A000000 + number).to_bytes(4, "big")
    key = FlowKey(b"\x06" + source + bytes((10, 1, 0, 0)) + b"\x30\x39\x01\xbb")
    return ParsedPacket(key, Address("10.1.0.0:443/tcp"), opens, False, b"")


def report(**figures: object) -> None:
    """Print one JSON line."""
    print(json.dumps({"benchmark": "flows_capacity", **figures}), flush=True)


def measure_packets(count: int) -> None:
    """Measure the processor time of parsing and routing a packet."""
    bench = RoutingBench(3)
    router = bench.policy.routers["b000"]
    packets = [make_packet(number) for number in range(count)]
    for name in ("first-packet", "cached-packet"):
        started = time.process_time()
        for packet in packets:
            router.route(packet, bench.now)
        cpu_seconds = time.process_time() - started
        report(
            figure="route",
            kind=name,
            packets=count,
            microseconds=round(cpu_seconds / count * 1e6, 2),
        )
    data = b"\x45\0\0\x28\0\0\0\0\x40\x06\0\0\x0a\0\0\x01\x0a\x01\0\0\x30\x39\x01\xbb"
    data += bytes(8) + b"\x50\x10" + bytes(6)
    started = time.process_time()
    for _ in range(count):
        parse_packet(data)
    cpu_seconds = time.process_time() - started
    report(figure="parse", packets=count, microseconds=round(cpu_seconds / count * 1e6, 2))


def measure_memory(flows: int) -> None:
    """Measure the memory of the flow cache."""
    bench = RoutingBench(1)
    router = bench.policy.routers["b000"]
    gc.collect()
    tracemalloc.start()
    for number in range(flows):
        router.route(make_packet(number), bench.now)
    gc.collect()
    traced_bytes, peak_bytes = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    report(
        figure="flow-cache",
        flows=flows,
        cached=len(router.state.cache),
        bytes_per_flow=round(traced_bytes / flows, 1),
        megabytes=round(traced_bytes / 2**20, 1),
        peak_megabytes=round(peak_bytes / 2**20, 1),
    )


def measure_changes(balancers: int, services: int) -> None:
    """Measure idle cost, a view change and a drain for a number of balancers."""
    bench = RoutingBench(balancers, services)
    bytes_sent, cpu_seconds = bench.measure_action(bench.settle)
    report(
        figure="idle",
        balancers=balancers,
        services=services,
        bytes_per_second_per_balancer=round(bytes_sent / (2 * SETTLE_SECONDS), 1),
        cpu_share=round(cpu_seconds / (2 * SETTLE_SECONDS), 5),
    )

    def join() -> None:
        bench.balancer_data_centres["joiner"] = DATA_CENTRE
        bench.start_balancer("joiner")
        bench.policy.set_members(bench.balancer_data_centres, bench.now)

    draining = make_upstream("s0-0", "s0", UpstreamState.DRAINING)

    def drain() -> None:
        for name in bench.balancer_data_centres:
            bench.policy.update_upstreams(name, (draining,), (), bench.now)

    for name, action in (("view-change", join), ("upstream-drains", drain)):
        bytes_sent, cpu_seconds = bench.measure_action(action)
        report(
            figure=name,
            balancers=balancers,
            services=services,
            bytes_per_balancer=round(bytes_sent),
            cpu_milliseconds_per_balancer=round(cpu_seconds * 1000, 2),
        )


def main() -> None:
    """Run all measurements."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--small", action="store_true", help="use fewer balancers and flows")
    small = parser.parse_args().small
    measure_packets(20_000 if small else 200_000)
    measure_memory(30_000 if small else 300_000)
    sizes = ((5, 2), (10, 2)) if small else ((10, 2), (20, 2), (40, 2), (80, 2), (20, 20))
    for balancers, services in sizes:
        measure_changes(balancers, services)


if __name__ == "__main__":
    main()
