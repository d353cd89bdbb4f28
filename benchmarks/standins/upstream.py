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

from benchmarks.standins.packets import ACK, FIN, SYN, FlowReply, encode_reply, read_packet
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

ANNOUNCE_SECONDS = 0.5
VALID_SECONDS = 3.0
DATAGRAM_BYTES = 65_535
WORK_SECONDS = 0.02
UNBOUND = Endpoint("127.0.0.1", 0)


@dataclass
class UpstreamTruth:
    """What really reached one upstream."""

    opened: set[tuple[str, int]] = field(default_factory=set)
    closed: set[tuple[str, int]] = field(default_factory=set)
    packets: int = 0
    opened_after_drain: int = 0
    unknown_flow_packets: int = 0
    misdirected: int = 0
    runs: Counter[str] = field(default_factory=Counter)
    running: int = 0
    most_running: int = 0
    over_slots: int = 0
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
    truth: UpstreamTruth = field(default_factory=UpstreamTruth)
    packets: Endpoint = UNBOUND
    requests: Endpoint = UNBOUND

    def announcement(self) -> dict[str, object]:
        """Return what the upstream tells a balancer."""
        return {
            "upstream": self.name,
            "incarnation": self.incarnation,
            "service": self.service,
            "data_centre": self.data_centre,
            "packets": [self.packets.host, self.packets.port],
            "requests": [self.requests.host, self.requests.port],
            "slots": self.slots,
            "connections": self.connections,
            "state": self.state,
            "valid_for_seconds": VALID_SECONDS,
        }

    async def answer_packets(self, udp: trio.socket.SocketType) -> None:
        """Answer each packet directly to its caller."""
        while True:
            data = await udp.recv(DATAGRAM_BYTES)
            source, flags, payload = read_packet(data)
            known = self.count_packet(source, flags, payload.service)
            reply = FlowReply(self.name, self.incarnation, source[1], payload.sequence, known)
            await udp.sendto(encode_reply(reply), ("127.0.0.1", payload.reply_port))

    def count_packet(self, source: tuple[str, int], flags: int, service: str) -> bool:
        """Count one packet and tell whether it belongs to a flow that was opened here."""
        truth = self.truth
        truth.packets += 1
        if service != self.service:
            truth.misdirected += 1
            return False
        if flags & SYN and not flags & ACK:
            self.note_new_work(source not in truth.opened)
            truth.opened.add(source)
        if source not in truth.opened:
            truth.unknown_flow_packets += 1
            return False
        if flags & FIN:
            truth.closed.add(source)
        return True

    def note_new_work(self, is_new: bool) -> None:
        """Remember how long after the drain new work still arrived."""
        if self.truth.drained_at is None or not is_new:
            return
        self.truth.opened_after_drain += 1
        self.truth.last_work_after_drain = trio.current_time() - self.truth.drained_at

    async def run_request(self, request: HttpServerRequest) -> HttpServerResponse:
        """Run one request and return an answer that names what it belongs to."""
        truth = self.truth
        if request.header("x-stand-in-service") not in (None, self.service):
            truth.misdirected += 1
        key = request.header("idempotency-key")
        if key is not None and request.method == "POST":
            truth.runs[key] += 1
        self.note_new_work(True)
        truth.running += 1
        truth.most_running = max(truth.most_running, truth.running)
        truth.over_slots += truth.running > self.slots
        try:
            await trio.sleep(WORK_SECONDS)
        finally:
            truth.running -= 1
        digest = xxhash.xxh3_64_hexdigest(request.body)
        body = json.dumps({"upstream": self.name, "path": request.target, "digest": digest})
        correlation = request.header("chicorypost-attempt") or ""
        headers = (("content-type", "application/json"), ("chicorypost-attempt", correlation))
        return HttpServerResponse(200, body.encode(), headers)

    def drain(self) -> None:
        """Ask for no new work from now on."""
        self.state = "draining"
        self.truth.drained_at = trio.current_time()


@dataclass
class UpstreamGroup:
    """The upstreams of one service in one process."""

    upstreams: list[UpstreamStandin]
    announcements: list[Endpoint]
    random: random.Random

    async def announce(self, upstream: UpstreamStandin) -> None:
        """Announce to any balancer that takes it, at a fixed interval."""
        while True:
            body = json.dumps(upstream.announcement()).encode()
            request = ExchangeRequest("POST", "/v1/announcements", (), body)
            for endpoint in self.random.sample(self.announcements, len(self.announcements)):
                answer: object = None
                with trio.move_on_after(ANNOUNCE_SECONDS):
                    answer = await exchange_once(endpoint, request, 10_000)
                if isinstance(answer, ExchangeResponse) and answer.status < 300:
                    break
            await trio.sleep(ANNOUNCE_SECONDS)

    async def control(self, request: HttpServerRequest) -> HttpServerResponse:
        """Serve the ground truth and commands."""
        if request.path == "/truth":
            return HttpServerResponse(200, json.dumps(self.truth()).encode())
        name = request.path.rsplit("/", 1)[-1]
        for upstream in self.upstreams:
            if upstream.name == name:
                upstream.drain()
        return HttpServerResponse(200)

    def truth(self) -> list[dict[str, object]]:
        """Return the counts of every upstream."""
        return [
            {
                "upstream": upstream.name,
                "service": upstream.service,
                "flows_opened": len(upstream.truth.opened),
                "flows_open": len(upstream.truth.opened - upstream.truth.closed),
                "packets": upstream.truth.packets,
                "opened_after_drain": upstream.truth.opened_after_drain,
                "unknown_flow_packets": upstream.truth.unknown_flow_packets,
                "misdirected": upstream.truth.misdirected,
                "runs": dict(upstream.truth.runs),
                "most_running": upstream.truth.most_running,
                "over_slots": upstream.truth.over_slots,
                "last_work_after_drain": upstream.truth.last_work_after_drain,
            }
            for upstream in self.upstreams
        ]


async def _start(upstream: UpstreamStandin, nursery: trio.Nursery) -> None:
    udp = trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_DGRAM)
    await udp.bind(("127.0.0.1", 0))
    (tcp,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
    upstream.packets = Endpoint(*udp.getsockname())
    upstream.requests = Endpoint(*tcp.socket.getsockname()[:2])
    server = HttpServer(upstream.name, HttpSettings(), upstream.run_request, lambda emit: None)
    nursery.start_soon(upstream.answer_packets, udp)
    nursery.start_soon(functools.partial(trio.serve_listeners, server.serve_connection, [tcp]))


async def run_upstreams(settings: dict) -> None:
    """Run until cancelled."""
    upstreams = [UpstreamStandin(**upstream) for upstream in settings["upstreams"]]
    announcements = [Endpoint(*endpoint) for endpoint in settings["announcements"]]
    group = UpstreamGroup(upstreams, announcements, random.Random(settings.get("seed", 2)))
    (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
    server = HttpServer("control", HttpSettings(), group.control, lambda emit: None)
    async with trio.open_nursery() as nursery:
        for upstream in upstreams:
            await _start(upstream, nursery)
            nursery.start_soon(group.announce, upstream)
        print(json.dumps({"control": listener.socket.getsockname()[:2]}), flush=True)
        await trio.serve_listeners(server.serve_connection, [listener])


if __name__ == "__main__":
    trio.run(run_upstreams, json.loads(sys.argv[1]))
