"""Packets per second of a balancer's packet path, compared with a bare socket loop.

``python -m benchmarks.forwarding [--flows N] [--packets N]``
"""

import argparse
import random
import socket
import time
from collections.abc import Sequence

import psutil

from benchmarks.reporting import report
from benchmarks.standins.deployments import VANDERMEULEN
from benchmarks.standins.packets import ACK, SYN, FlowPayload, build_packet
from chicorypost.base import (
    DataCentreId,
    Endpoint,
    Epoch,
    Incarnation,
    InstanceId,
    Instant,
    LeaseChanged,
    Member,
    ServiceId,
    Tick,
    Upstream,
    UpstreamId,
    UpstreamsChanged,
    UpstreamState,
    Version,
    View,
    ViewChanged,
)
from chicorypost.configuration import ConfigurationApplied, ConfigurationDocument
from chicorypost.daemons import Engine, PacketForwarder, Registration
from chicorypost.flows import FlowRouter, FlowSettings
from chicorypost.transport import open_packet_socket

BATCH_SIZE = 64
PACKET_BYTES = 200
DATA_CENTRE = DataCentreId("gent-1")
FOREVER = Instant(1e12)
MAX_SETTLE_STEPS = 2000


def bind_loopback_socket() -> socket.socket:
    """Return a UDP socket on a free loopback port chosen by the kernel."""
    return open_packet_socket(Endpoint("127.0.0.1", 0))


def drain_socket(sink: socket.socket) -> None:
    """Discard all datagrams that a socket has received."""
    while True:
        try:
            sink.recv(65_535)
        except BlockingIOError:
            return


def make_document() -> ConfigurationDocument:
    """Return the configuration of the benchmark deployment."""
    services = {
        shape.service: {
            "addresses": [shape.address],
            "hosts": [shape.host],
            "selector": {"service": shape.service},
        }
        for shape in VANDERMEULEN.services
    }
    return ConfigurationDocument.model_validate({"services": services})


def make_upstreams(sink_port: int) -> tuple[Upstream, ...]:
    """Return the upstreams of the deployment, all at loopback addresses of one sink socket."""
    upstreams: list[Upstream] = []
    for shape in VANDERMEULEN.services:
        for number in range(shape.upstreams):
            endpoint = Endpoint(f"127.0.0.{len(upstreams) + 2}", sink_port)
            upstreams.append(
                Upstream(
                    UpstreamId(f"{shape.service}-{number}"),
                    Incarnation(1),
                    ServiceId(shape.service),
                    DATA_CENTRE,
                    endpoint,
                    endpoint,
                    shape.slots,
                    shape.connections,
                    UpstreamState.READY,
                )
            )
    return tuple(upstreams)


def make_packets(flows: int) -> list[bytes]:
    """Return one packet of an open flow for each flow, valid for the whole packet path."""
    address = VANDERMEULEN.services[0].address
    payload = FlowPayload(VANDERMEULEN.services[0].service, 1, 1)
    template = bytearray(build_packet(("10.0.0.0", 1), address, ACK, payload))
    template += bytes(PACKET_BYTES - len(template))
    template[2:4] = PACKET_BYTES.to_bytes(2, "big")
    packets = []
    for number in range(flows):
        template[12:16] = (0x0A00_0000 + number // 50_000).to_bytes(4, "big")
        template[20:22] = (1024 + number % 50_000).to_bytes(2, "big")
        packets.append(bytes(template))
    return packets


def make_forwarder(sink_port: int) -> tuple[PacketForwarder, dict[str, int]]:
    """Return a packet path with settled slot tables in a view of one member, and its counters."""
    packet_socket = bind_loopback_socket()
    own = Endpoint(*packet_socket.getsockname())
    member = Member(InstanceId("balancer-1"), Incarnation(1), DATA_CENTRE, own, own)
    clock = [0.0]
    engine = Engine(
        lambda to, message: engine.receive(to, message),
        lambda emit: None,
        lambda effect: None,
        lambda: clock[0],
    )
    settings = FlowSettings()
    router = FlowRouter(settings, member.instance, DATA_CENTRE, random.Random(1), Instant(0.0))
    events = (ViewChanged, LeaseChanged, UpstreamsChanged, ConfigurationApplied)
    engine.register(Registration("flows", router, (), events))
    engine.post(LeaseChanged(FOREVER))
    engine.post(ViewChanged(View(DATA_CENTRE, Epoch(1), (member,))))
    engine.post(ConfigurationApplied(Version(1), make_document()))
    engine.post(UpstreamsChanged(make_upstreams(sink_port), ()))
    for _ in range(MAX_SETTLE_STEPS):
        deadline = router.next_deadline()
        if deadline is None or deadline > clock[0] + 5:
            break
        clock[0] = max(clock[0], deadline)
        engine.execute_effects(router.handle(Tick(), Instant(clock[0])))
    engine.clock = time.monotonic
    counts: dict[str, int] = {}

    def count(name: str, number: int) -> None:
        counts[name] = counts.get(name, 0) + number

    forwarder = PacketForwarder(packet_socket, router, engine, count)
    return forwarder, counts


def open_flows(forwarder: PacketForwarder, packets: list[bytes], sink: socket.socket) -> None:
    """Forward the opening packet of each flow, and drain the sink after each batch."""
    for number, packet in enumerate(packets):
        opening = bytearray(packet)
        opening[33] = SYN
        forwarder.forward_datagram(bytes(opening))
        if number % BATCH_SIZE == 0:
            drain_socket(sink)


class BareLoop:
    """A socket that forwards each datagram to the sink without processing it."""

    def __init__(self, sink: socket.socket) -> None:
        self.socket = bind_loopback_socket()
        self.sink_address = sink.getsockname()

    def forward_batch(self) -> None:
        """Forward one batch of datagrams."""
        for _ in range(BATCH_SIZE):
            self.socket.sendto(self.socket.recv(65_535), self.sink_address)


def measure(
    forwarders: Sequence[BareLoop | PacketForwarder], packets: list[bytes], total: int
) -> list[float]:
    """Return packets per second of each forwarder.

    The batches alternate between forwarders, so that both run under the same machine load.
    """
    source = bind_loopback_socket()
    addresses = [forwarder.socket.getsockname() for forwarder in forwarders]
    seconds_spent = [0.0, 0.0]
    for start in range(0, total, BATCH_SIZE):
        for index, forwarder in enumerate(forwarders):
            for offset in range(BATCH_SIZE):
                source.sendto(packets[(start + offset) % len(packets)], addresses[index])
            started = time.perf_counter()
            forwarder.forward_batch()
            seconds_spent[index] += time.perf_counter() - started
    return [total / seconds for seconds in seconds_spent]


def main() -> None:
    """Measure both forwarders and report one line per round."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--flows", type=int, default=100_000)
    parser.add_argument("--packets", type=int, default=100_000)
    parser.add_argument("--rounds", type=int, default=3)
    options = parser.parse_args()
    process = psutil.Process()
    rss_before_packets = process.memory_info().rss
    packets = make_packets(options.flows)
    packet_bytes = process.memory_info().rss - rss_before_packets
    sink = open_packet_socket(Endpoint("0.0.0.0", 0))
    forwarder, counts = make_forwarder(sink.getsockname()[1])
    rss_before_flows = process.memory_info().rss
    open_flows(forwarder, packets, sink)
    flow_bytes = (process.memory_info().rss - rss_before_flows) / options.flows
    random.Random(1).shuffle(packets)
    for _ in range(options.rounds):
        bare_rate, forwarder_rate = measure((BareLoop(sink), forwarder), packets, options.packets)
        report(
            "forwarding",
            flows=options.flows,
            packets=options.packets,
            bare_packets_per_second=round(bare_rate),
            packets_per_second=round(forwarder_rate),
            ratio=round(forwarder_rate / bare_rate, 3),
            ratio_target=0.5,
            bytes_per_known_flow=round(flow_bytes),
            resident_megabytes=round((process.memory_info().rss - packet_bytes) / 1e6, 1),
            not_forwarded=sum(counts.values()),
        )


if __name__ == "__main__":
    main()
