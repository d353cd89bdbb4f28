"""Stand-in callers: flows over packets and requests over HTTP, with the ground truth they see."""

import json
import random
import time
from collections import Counter
from dataclasses import dataclass, field

import trio
import uuid6
import xxhash

from benchmarks.standins.deployments import ServiceShape
from benchmarks.standins.packets import ACK, FIN, SYN, FlowPayload, build_packet, decode_reply
from chicorypost.base import Endpoint
from chicorypost.transport import ExchangeFailed, ExchangeRequest, ExchangeResponse, exchange_once

RETRY_INTERVAL_SECONDS = 0.25
MAX_ATTEMPTS = 24
PACKET_INTERVAL_SECONDS = 0.1
REQUEST_TIMEOUT_SECONDS = 6.0
MAX_DATAGRAM_BYTES = 65_535
SOURCE_HOST = "192.0.2.10"


@dataclass
class CallerStatistics:
    """What the callers saw."""

    flows_opened: int = 0
    flows_refused: int = 0
    flows_broken: int = 0
    break_reasons: Counter[str] = field(default_factory=Counter)
    packets_sent: int = 0
    packets_resent: int = 0
    wrong_responses: int = 0
    outcomes: Counter[str] = field(default_factory=Counter)
    not_run_keys: set[str] = field(default_factory=set)
    completed_keys: set[str] = field(default_factory=set)
    flow_upstreams: Counter[str] = field(default_factory=Counter)
    request_seconds: list[float] = field(default_factory=list)


@dataclass
class FlowCaller:
    """One caller with many flows on one UDP socket.

    Parameters
    ----------
    fabric : Endpoint
        Where packets go.
    truth : CallerStatistics
        Filled with what is seen.
    """

    fabric: Endpoint
    statistics: CallerStatistics
    reply_channels: dict[tuple[int, int], trio.MemorySendChannel] = field(default_factory=dict)
    next_port: int = 10_000

    async def start(self, nursery: trio.Nursery) -> None:
        """Bind the socket and listen for answers."""
        self.udp_socket = trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_DGRAM)
        await self.udp_socket.bind(("127.0.0.1", 0))
        self.reply_port = self.udp_socket.getsockname()[1]
        nursery.start_soon(self._receive)

    async def _receive(self) -> None:
        while True:
            reply = decode_reply(await self.udp_socket.recv(MAX_DATAGRAM_BYTES))
            channel = self.reply_channels.get((reply.source_port, reply.sequence))
            if channel is not None:
                channel.send_nowait(reply)

    async def run_flow(
        self, service: ServiceShape, stop: trio.Event, padding_bytes: int = 0
    ) -> None:
        """Open a flow, send packets until told to stop, and close it."""
        source = (SOURCE_HOST, self.next_port)
        self.next_port += 1
        first = await self._exchange_packet(service, source, SYN, 0, padding_bytes)
        if first is None:
            self.statistics.flows_refused += 1
            return
        self.statistics.flows_opened += 1
        self.statistics.flow_upstreams[first.upstream] += 1
        sequence = 0
        while not stop.is_set():
            sequence += 1
            reply = await self._exchange_packet(service, source, ACK, sequence, padding_bytes)
            problem = _describe_break(first, reply)
            if problem:
                self.statistics.flows_broken += 1
                self.statistics.break_reasons[problem] += 1
                return
            with trio.move_on_after(PACKET_INTERVAL_SECONDS):
                await stop.wait()
        await self._exchange_packet(service, source, FIN | ACK, sequence + 1, padding_bytes)

    async def _exchange_packet(self, service, source, flags, sequence, fill):
        payload = FlowPayload(service.service, self.reply_port, sequence)
        data = build_packet(source, service.address, flags, payload, fill)
        sender, receiver = trio.open_memory_channel(MAX_ATTEMPTS + 1)
        self.reply_channels[source[1], sequence] = sender
        try:
            for attempt in range(MAX_ATTEMPTS):
                self.statistics.packets_sent += 1
                self.statistics.packets_resent += attempt > 0
                await self.udp_socket.sendto(data, (self.fabric.host, self.fabric.port))
                with trio.move_on_after(RETRY_INTERVAL_SECONDS):
                    return await receiver.receive()
            return None
        finally:
            del self.reply_channels[source[1], sequence]


def _describe_break(first, reply) -> str:
    if reply is None:
        return "no answer"
    if (reply.upstream, reply.incarnation) != (first.upstream, first.incarnation):
        return "answered by another upstream"
    return "" if reply.known else "unknown to its upstream"


@dataclass
class RequestCaller:
    """Sends requests through the fabric and checks each answer.

    Parameters
    ----------
    fabric : Endpoint
        Where connections go.
    truth : CallerStatistics
        Filled with what is seen.
    random : random.Random
        Source of bodies.
    """

    fabric: Endpoint
    statistics: CallerStatistics
    random: random.Random

    async def send_read(self, service: ServiceShape) -> None:
        """Send one idempotent request."""
        await self._send_request(service, "GET", "/status", b"", None)

    async def send_order(self, service: ServiceShape, data_centre: str) -> None:
        """Send one non-idempotent request, and again with the same key until it is decided."""
        key = f"{data_centre}.{uuid6.uuid7()}"
        body = self.random.randbytes(200)
        limit = time.time() + REQUEST_TIMEOUT_SECONDS
        outcome = "try-again"
        while outcome in ("try-again", "outcome-unknown", "no-answer") and time.time() < limit:
            outcome = await self._send_request(service, "POST", "/orders", body, key)
            if outcome == "not-run":
                self.statistics.not_run_keys.add(key)
            if outcome == "done":
                self.statistics.completed_keys.add(key)
            if outcome not in ("done", "not-run"):
                await trio.sleep(RETRY_INTERVAL_SECONDS)

    async def send_upload(self, service: ServiceShape) -> None:
        """Upload a body by an idempotent request."""
        await self._send_request(
            service, "PUT", "/uploads/one", self.random.randbytes(60_000), None
        )

    async def _send_request(
        self, service: ServiceShape, method: str, target: str, body: bytes, key: str | None
    ) -> str:
        headers = [
            ("host", service.host),
            ("x-stand-in-service", service.service),
            ("request-deadline", f"{time.time() + REQUEST_TIMEOUT_SECONDS:.3f}"),
        ]
        if key is not None:
            headers.append(("idempotency-key", key))
        request = ExchangeRequest(method, target, tuple(headers), body)
        answer: ExchangeResponse | ExchangeFailed | None = None
        started = trio.current_time()
        with trio.move_on_after(REQUEST_TIMEOUT_SECONDS + 2):
            answer = await exchange_once(self.fabric, request, 1_000_000)
        self.statistics.request_seconds.append(trio.current_time() - started)
        outcome = self._classify_response(answer, target, body)
        self.statistics.outcomes[f"{method} {outcome}"] += 1
        return outcome

    def _classify_response(self, answer: object, target: str, body: bytes) -> str:
        if not isinstance(answer, ExchangeResponse):
            return "no-answer"
        content_type = answer.header("content-type") or ""
        if content_type.startswith("application/problem+json"):
            problem = json.loads(answer.body)
            return str(problem.get("type", "")).rsplit(":", 1)[-1]
        if answer.status != 200:
            return f"status-{answer.status}"
        value = json.loads(answer.body)
        expected = (target, xxhash.xxh3_64_hexdigest(body))
        if (value["path"], value["digest"]) != expected:
            self.statistics.wrong_responses += 1
        return "done"
