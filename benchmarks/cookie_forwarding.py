"""Packets per second with flow cookies and with slot tables, compared with a bare socket loop.

``python -m benchmarks.cookie_forwarding [--flows N] [--packets N]``
"""

import argparse
import random
import socket
import struct
import time

import trio

from benchmarks.forwarding import (
    BATCH_SIZE,
    PACKET_BYTES,
    BareLoop,
    bind_loopback_socket,
    drain_socket,
    make_forwarder,
    make_packets,
    open_flows,
)
from benchmarks.reporting import report
from chicorypost.announcements import (
    AnnouncedStatus,
    Announcement,
    RoutingApplied,
    VisibleUpstream,
    VisibleUpstreamsChanged,
)
from chicorypost.base import (
    DataCentreId,
    Endpoint,
    Instant,
    ServiceId,
    UpstreamId,
    Version,
)
from chicorypost.cookies import make_cookie
from chicorypost.platform import NodeSettings
from chicorypost.platform._packets import ACK_FLAG, HEADER_BYTES, make_address
from chicorypost.roles._balancer import BalancerRole
from chicorypost.roles._balancer_core import BalancerCore
from chicorypost.roles._event_log import EventLog
from chicorypost.roles._forwarding import MAX_BATCH_PACKETS
from chicorypost.routing import (
    Retryability,
    Route,
    RoutingDocument,
    ServiceSpec,
    WeightedService,
)
from chicorypost.transport import open_packet_socket

UPSTREAM_COUNT = 7
SERVICE = ServiceId("orders")
DATA_CENTRE = DataCentreId("gent-1")
VIRTUAL_HOST, VIRTUAL_PORT = "198.18.0.1", 443
_HEADER = struct.Struct(">IHIIBBHHIII")


def make_role(sink_port: int) -> BalancerRole:
    """Return a balancer role with one route and its upstreams; its event log is discarded."""
    own = bind_loopback_socket()
    packets = Endpoint(*own.getsockname())
    own.close()
    settings = NodeSettings(
        name="balancer-1",
        host="127.0.0.1",
        data_centre=DATA_CENTRE,
        packets=packets,
        readiness=packets,
        control=None,
        peer_port=1,
        seeds=(),
        founds=False,
        data_folder=None,
        announcement_seconds=1.0,
        lost_disks=1,
        stop_seconds=1.0,
    )
    event_log = EventLog(lambda _, __: None)
    role = BalancerRole(BalancerCore(settings, event_log), event_log)
    address = make_address(VIRTUAL_HOST, VIRTUAL_PORT)
    shares = (WeightedService(SERVICE, 1),)
    route = Route("r", address, shares, Retryability.IDEMPOTENT, 1000, 100, 1)
    document = RoutingDocument(Version(1), (route,), (ServiceSpec(SERVICE, "/", 10),), 15.0)
    visible_upstreams = tuple(make_upstream(number, sink_port) for number in range(UPSTREAM_COUNT))
    role.engine.post(RoutingApplied(document))
    role.engine.post(VisibleUpstreamsChanged(visible_upstreams))
    return role


def make_upstream(number: int, sink_port: int) -> VisibleUpstream:
    """Return a visible upstream at a loopback address of the sink."""
    endpoint = Endpoint(f"127.0.0.{number + 2}", sink_port)
    announcement = Announcement(
        UpstreamId(f"i-{number + 1}"),
        1,
        1,
        SERVICE,
        DATA_CENTRE,
        endpoint,
        number + 1,
        3,
        AnnouncedStatus.READY,
        0,
    )
    return VisibleUpstream(announcement, False, Instant(0.0))


def make_cookie_packets(flows: int, sink_port: int) -> list[bytes]:
    """Return one packet of an open flow for each flow."""
    host = int.from_bytes(socket.inet_aton(VIRTUAL_HOST), "big")
    data_bytes = PACKET_BYTES - HEADER_BYTES
    packets = []
    for number in range(flows):
        cookie = make_cookie(Endpoint(f"127.0.0.{number % UPSTREAM_COUNT + 2}", sink_port))
        client, port = 0x0A00_0000 + number // 50_000, 1024 + number % 50_000
        header = _HEADER.pack(
            0, data_bytes, 1, 1, ACK_FLAG, 0, port, VIRTUAL_PORT, host, client, cookie
        )
        packets.append(header + bytes(data_bytes))
    return packets


class CookieForwarder:
    """Packet path of the balancer role, with the interface of the other two forwarders."""

    def __init__(self, role: BalancerRole) -> None:
        self.role = role
        self.socket = role.core.packet_socket

    def forward_batch(self) -> None:
        """Forward one batch of datagrams."""
        for _ in range(BATCH_SIZE // MAX_BATCH_PACKETS):
            self.role.core.forward_batch(self.role.engine)


async def run(options: argparse.Namespace) -> None:
    """Measure the three forwarders and report one line per round."""
    sink = open_packet_socket(Endpoint("0.0.0.0", 0))
    sink_port = sink.getsockname()[1]
    table_forwarder, _ = make_forwarder(sink_port)
    table_packets = make_packets(options.flows)
    open_flows(table_forwarder, table_packets, sink)
    role = make_role(sink_port)
    cookie_packets = make_cookie_packets(options.flows, sink_port)
    for packets in (table_packets, cookie_packets):
        random.Random(1).shuffle(packets)
    forwarders = {
        "bare": (BareLoop(sink), table_packets),
        "table": (table_forwarder, table_packets),
        "cookie": (CookieForwarder(role), cookie_packets),
    }
    for _ in range(options.rounds):
        rates = measure(forwarders, options.packets, sink)
        report(
            "cookie-forwarding",
            flows=options.flows,
            packets=options.packets,
            bare_packets_per_second=round(rates["bare"]),
            table_ratio=round(rates["table"] / rates["bare"], 3),
            cookie_ratio=round(rates["cookie"] / rates["bare"], 3),
            ratio_target=0.5,
            cookie_forwarded=role.router.forwarded_packets,
        )


def measure(forwarders: dict, total: int, sink: socket.socket) -> dict[str, float]:
    """Return packets per second by forwarder.

    The batches alternate between forwarders, so that all run under the same machine load.
    """
    source = bind_loopback_socket()
    seconds_spent = dict.fromkeys(forwarders, 0.0)
    for start in range(0, total, BATCH_SIZE):
        for name, (forwarder, packets) in forwarders.items():
            address = forwarder.socket.getsockname()
            for offset in range(BATCH_SIZE):
                source.sendto(packets[(start + offset) % len(packets)], address)
            started = time.perf_counter()
            forwarder.forward_batch()
            seconds_spent[name] += time.perf_counter() - started
        drain_socket(sink)
    return {name: total / seconds for name, seconds in seconds_spent.items()}


def main() -> None:
    """Run the benchmark with the given options."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--flows", type=int, default=100_000)
    parser.add_argument("--packets", type=int, default=50_000)
    parser.add_argument("--rounds", type=int, default=3)
    trio.run(run, parser.parse_args())


if __name__ == "__main__":
    main()
