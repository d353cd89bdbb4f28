"""Stand-in callers: open flows over UDP, send HTTP requests, and count the results."""

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
    """Results that the callers counted."""

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
        Endpoint of the fabric for packets.
    statistics : CallerStatistics
        Updated with each result.
    """

    fabric: Endpoint
    statistics: CallerStatistics
    reply_channels: dict[tuple[int, int], trio.MemorySendChannel] = field(default_factory=dict)
    next_port: int = 10_000

    async def start(self, nursery: trio.Nursery) -> None:
        """Bind the socket and start to receive replies."""
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
        """Open a flow, send packets until `stop` is set, and close the flow."""
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

    async def _exchange_packet(self, service, source, flags, sequence, padding_bytes):
        payload = FlowPayload(service.service, self.reply_port, sequence)
        data = build_packet(source, service.address, flags, payload, padding_bytes)
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
    return "" if reply.is_known_flow else "unknown to its upstream"


@dataclass
class RequestCaller:
    """Sends requests through the fabric and checks each response.

    Parameters
    ----------
    fabric : Endpoint
        Endpoint of the fabric for connections.
    statistics : CallerStatistics
        Updated with each result.
    random : random.Random
        Random source of the request bodies.
    """

    fabric: Endpoint
    statistics: CallerStatistics
    random: random.Random

    async def send_read(self, service: ServiceShape) -> None:
        """Send one idempotent request."""
        await self._send_request(service, "GET", "/status", b"", None)

    async def send_order(self, service: ServiceShape, data_centre: str) -> None:
        """Send one non-idempotent request and retry it with the same key.

        The retries end when the outcome is final or `REQUEST_TIMEOUT_SECONDS` have passed.
        """
        key = f"{data_centre}.{uuid6.uuid7()}"
        body = self.random.randbytes(200)
        deadline = time.time() + REQUEST_TIMEOUT_SECONDS
        outcome = "try-again"
        while outcome in ("try-again", "outcome-unknown", "no-answer") and time.time() < deadline:
            outcome = await self._send_request(service, "POST", "/orders", body, key)
            if outcome == "not-run":
                self.statistics.not_run_keys.add(key)
            if outcome == "done":
                self.statistics.completed_keys.add(key)
            if outcome not in ("done", "not-run"):
                await trio.sleep(RETRY_INTERVAL_SECONDS)

    async def send_upload(self, service: ServiceShape) -> None:
        """Send one idempotent request with a body of 60 kB."""
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
        response: ExchangeResponse | ExchangeFailed | None = None
        started = trio.current_time()
        with trio.move_on_after(REQUEST_TIMEOUT_SECONDS + 2):
            response = await exchange_once(self.fabric, request, 1_000_000)
        self.statistics.request_seconds.append(trio.current_time() - started)
        outcome = self._classify_response(response, target, body)
        self.statistics.outcomes[f"{method} {outcome}"] += 1
        return outcome

    def _classify_response(self, response: object, target: str, body: bytes) -> str:
        if not isinstance(response, ExchangeResponse):
            return "no-answer"
        content_type = response.header("content-type") or ""
        if content_type.startswith("application/problem+json"):
            problem = json.loads(response.body)
            return str(problem.get("type", "")).rsplit(":", 1)[-1]
        if response.status != 200:
            return f"status-{response.status}"
        result = json.loads(response.body)
        expected = (target, xxhash.xxh3_64_hexdigest(body))
        if (result["path"], result["digest"]) != expected:
            self.statistics.wrong_responses += 1
        return "done"
