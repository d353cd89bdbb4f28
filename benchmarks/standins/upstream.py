"""Stand-in upstreams of one service, which keep the ground truth of what reached them.

Run as ``python -m benchmarks.standins.upstream '<json settings>'``; prints the endpoint of its
control server as one JSON line. ``GET /truth`` returns the counts, ``POST /drain/<upstream>``
drains one.
"""

import functools
import json
import random
import sys
from collections import Counter
from dataclasses import dataclass, field

import trio
import xxhash

from benchmarks.standins.packets import ACK, FIN, SYN, FlowReply, encode_reply, parse_packet
from chicorypost.base import Endpoint
from chicorypost.transport import (
    ExchangeRequest,
    ExchangeResponse,
    HttpServer,
    HttpServerRequest,
    HttpServerResponse,
    HttpSettings,
    exchange_once,
)

ANNOUNCE_INTERVAL_SECONDS = 0.5
ANNOUNCEMENT_VALID_SECONDS = 3.0
MAX_DATAGRAM_BYTES = 65_535
WORK_SECONDS = 0.02
UNBOUND_ENDPOINT = Endpoint("127.0.0.1", 0)


@dataclass
class UpstreamStatistics:
    """What really reached one upstream."""

    opened_flows: set[tuple[str, int]] = field(default_factory=set)
    closed_flows: set[tuple[str, int]] = field(default_factory=set)
    packets: int = 0
    opened_after_drain: int = 0
    unknown_flow_packets: int = 0
    misdirected: int = 0
    runs: Counter[str] = field(default_factory=Counter)
    running_requests: int = 0
    max_running_requests: int = 0
    requests_over_slots: int = 0
    drained_at: float | None = None
    last_work_after_drain: float = 0.0


@dataclass
class UpstreamStandin:
    """One upstream: a UDP socket for packets and an HTTP server for requests."""

    name: str
    service: str
    data_centre: str
    slots: int
    connections: int
    incarnation: int = 1
    state: str = "ready"
    statistics: UpstreamStatistics = field(default_factory=UpstreamStatistics)
    packet_endpoint: Endpoint = UNBOUND_ENDPOINT
    request_endpoint: Endpoint = UNBOUND_ENDPOINT

    def build_announcement(self) -> dict[str, object]:
        """Return what the upstream tells a balancer."""
        return {
            "upstream": self.name,
            "incarnation": self.incarnation,
            "service": self.service,
            "data_centre": self.data_centre,
            "packets": [self.packet_endpoint.host, self.packet_endpoint.port],
            "requests": [self.request_endpoint.host, self.request_endpoint.port],
            "slots": self.slots,
            "connections": self.connections,
            "state": self.state,
            "valid_for_seconds": ANNOUNCEMENT_VALID_SECONDS,
        }

    async def reply_to_packets(self, udp: trio.socket.SocketType) -> None:
        """Answer each packet directly to its caller."""
        while True:
            data = await udp.recv(MAX_DATAGRAM_BYTES)
            source, flags, payload = parse_packet(data)
            known = self.count_packet(source, flags, payload.service)
            reply = FlowReply(self.name, self.incarnation, source[1], payload.sequence, known)
            await udp.sendto(encode_reply(reply), ("127.0.0.1", payload.reply_port))

    def count_packet(self, source: tuple[str, int], flags: int, service: str) -> bool:
        """Count one packet and tell whether it belongs to a flow that was opened here."""
        truth = self.statistics
        truth.packets += 1
        if service != self.service:
            truth.misdirected += 1
            return False
        if flags & SYN and not flags & ACK:
            self.record_work_after_drain(source not in truth.opened_flows)
            truth.opened_flows.add(source)
        if source not in truth.opened_flows:
            truth.unknown_flow_packets += 1
            return False
        if flags & FIN:
            truth.closed_flows.add(source)
        return True

    def record_work_after_drain(self, is_new: bool) -> None:
        """Remember how long after the drain new work still arrived."""
        if self.statistics.drained_at is None or not is_new:
            return
        self.statistics.opened_after_drain += 1
        self.statistics.last_work_after_drain = trio.current_time() - self.statistics.drained_at

    async def run_request(self, request: HttpServerRequest) -> HttpServerResponse:
        """Run one request and return an answer that names what it belongs to."""
        truth = self.statistics
        if request.header("x-stand-in-service") not in (None, self.service):
            truth.misdirected += 1
        key = request.header("idempotency-key")
        if key is not None and request.method == "POST":
            truth.runs[key] += 1
        self.record_work_after_drain(True)
        truth.running_requests += 1
        truth.max_running_requests = max(truth.max_running_requests, truth.running_requests)
        truth.requests_over_slots += truth.running_requests > self.slots
        try:
            await trio.sleep(WORK_SECONDS)
        finally:
            truth.running_requests -= 1
        digest = xxhash.xxh3_64_hexdigest(request.body)
        body = json.dumps({"upstream": self.name, "path": request.target, "digest": digest})
        correlation = request.header("chicorypost-attempt") or ""
        headers = (("content-type", "application/json"), ("chicorypost-attempt", correlation))
        return HttpServerResponse(200, body.encode(), headers)

    def start_drain(self) -> None:
        """Ask for no new work from now on."""
        self.state = "draining"
        self.statistics.drained_at = trio.current_time()


@dataclass
class UpstreamGroup:
    """The upstreams of one service in one process."""

    upstreams: list[UpstreamStandin]
    announcements: list[Endpoint]
    random: random.Random

    async def announce_periodically(self, upstream: UpstreamStandin) -> None:
        """Announce to any balancer that takes it, at a fixed interval."""
        while True:
            body = json.dumps(upstream.build_announcement()).encode()
            request = ExchangeRequest("POST", "/v1/announcements", (), body)
            for endpoint in self.random.sample(self.announcements, len(self.announcements)):
                answer: object = None
                with trio.move_on_after(ANNOUNCE_INTERVAL_SECONDS):
                    answer = await exchange_once(endpoint, request, 10_000)
                if isinstance(answer, ExchangeResponse) and answer.status < 300:
                    break
            await trio.sleep(ANNOUNCE_INTERVAL_SECONDS)

    async def handle_control_request(self, request: HttpServerRequest) -> HttpServerResponse:
        """Serve the ground truth and commands."""
        if request.path == "/truth":
            return HttpServerResponse(200, json.dumps(self.collect_statistics()).encode())
        name = request.path.rsplit("/", 1)[-1]
        for upstream in self.upstreams:
            if upstream.name == name:
                upstream.start_drain()
        return HttpServerResponse(200)

    def collect_statistics(self) -> list[dict[str, object]]:
        """Return the counts of every upstream."""
        return [
            {
                "upstream": upstream.name,
                "service": upstream.service,
                "flows_opened": len(upstream.statistics.opened_flows),
                "flows_open": len(
                    upstream.statistics.opened_flows - upstream.statistics.closed_flows
                ),
                "packets": upstream.statistics.packets,
                "opened_after_drain": upstream.statistics.opened_after_drain,
                "unknown_flow_packets": upstream.statistics.unknown_flow_packets,
                "misdirected": upstream.statistics.misdirected,
                "runs": dict(upstream.statistics.runs),
                "most_running": upstream.statistics.max_running_requests,
                "over_slots": upstream.statistics.requests_over_slots,
                "last_work_after_drain": upstream.statistics.last_work_after_drain,
            }
            for upstream in self.upstreams
        ]


async def _start_upstream(upstream: UpstreamStandin, nursery: trio.Nursery) -> None:
    udp = trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_DGRAM)
    await udp.bind(("127.0.0.1", 0))
    (tcp,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
    upstream.packet_endpoint = Endpoint(*udp.getsockname())
    upstream.request_endpoint = Endpoint(*tcp.socket.getsockname()[:2])
    server = HttpServer(upstream.name, HttpSettings(), upstream.run_request, lambda emit: None)
    nursery.start_soon(upstream.reply_to_packets, udp)
    nursery.start_soon(functools.partial(trio.serve_listeners, server.serve_connection, [tcp]))


async def run_upstreams(settings: dict) -> None:
    """Run until cancelled."""
    upstreams = [UpstreamStandin(**upstream) for upstream in settings["upstreams"]]
    announcements = [Endpoint(*endpoint) for endpoint in settings["announcements"]]
    group = UpstreamGroup(upstreams, announcements, random.Random(settings.get("seed", 2)))
    (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
    server = HttpServer("control", HttpSettings(), group.handle_control_request, lambda emit: None)
    async with trio.open_nursery() as nursery:
        for upstream in upstreams:
            await _start_upstream(upstream, nursery)
            nursery.start_soon(group.announce_periodically, upstream)
        print(json.dumps({"control": listener.socket.getsockname()[:2]}), flush=True)
        await trio.serve_listeners(server.serve_connection, [listener])


if __name__ == "__main__":
    trio.run(run_upstreams, json.loads(sys.argv[1]))
