"""Stand-in upstream of the platform: announces itself, accepts flows, responds to requests."""

import json
import math
import random
import socket
import struct
import time
from collections.abc import Callable
from dataclasses import dataclass, field

import trio

from benchmarks.standins.platform_packets import (
    ABORT_FLAG,
    ACK_FLAG,
    CLOSE_FLAG,
    OPEN_FLAG,
    Packet,
    decode_packet,
    encode_packet,
)
from chicorypost.base import Endpoint
from chicorypost.transport import ExchangeRequest, ExchangeResponse, exchange_once

TOKEN_BYTES = 8
CALL_TIMEOUT_SECONDS = 1.0
SO_TIMESTAMPNS = 35
"""Option of Linux that adds the time of receipt to a datagram; missing in the module `socket`."""
TIMESTAMP_FORMAT = "qq"
WORK_SECONDS = 0.02


@dataclass(slots=True)
class UpstreamFlow:
    """State of one flow at the upstream.

    `first_sequence` is the initial sequence number of the upstream and `next_sequence` that of the
    next byte to send. `responses` maps each request to the sequence number of its response and the
    response, which is empty while the request is running.
    """

    first_sequence: int
    next_sequence: int = 0
    responses: dict[str, tuple[int, bytes]] = field(default_factory=dict)

    def is_own_acknowledgement(self, number: int) -> bool:
        """Return whether a number acknowledges bytes of this upstream, not those of another one.

        Several upstreams may have answered copies of one opening; the flow is open at the upstream
        whose number the client acknowledges.
        """
        return self.first_sequence < number <= self.next_sequence


@dataclass(slots=True)
class StandInUpstream:
    """One incarnation of an upstream.

    Parameters
    ----------
    name : str
        Name of the upstream; its last part is the token of its packets in hexadecimal.
    service : str
        Name of its service.
    data_centre : str
        Data centre of the upstream.
    address : Endpoint
        Endpoint that receives packets.
    control_endpoints : callable
        Returns the endpoints of control instances in the order of attempts.
    record : callable
        Receives each observation for the checks: its kind and values.
    """

    name: str
    service: str
    data_centre: str
    address: Endpoint
    client_port: int
    control_endpoints: Callable[[], list[Endpoint]]
    record: Callable[..., None]
    heartbeat_seconds: float = 0.5
    warmup_seconds: float = 0.0
    started_at_ms: int = field(default_factory=lambda: time.time_ns() // 1_000_000)
    sequence: int = 0
    state: str = "ready"
    has_left: bool = False
    """Whether it has sent its leave call; it then only records what it still receives."""
    flows: dict[tuple[str, int], UpstreamFlow] = field(default_factory=dict)
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)
    is_held_cold: bool = False
    """Whether its warm-up starts again and hasn't begun to run down yet."""
    warm_at: float = field(init=False)
    """End of its warm-up by the clock of trio."""
    cold_from: float = field(init=False)
    hangs_until: float = 0.0
    """Until then it accepts requests and executes none."""

    def __post_init__(self) -> None:
        self.cold_from = trio.current_time()
        self.warm_at = self.cold_from + self.warmup_seconds

    @property
    def token(self) -> int:
        """Number in the packets that are forwarded to this upstream."""
        return int(self.name.rpartition("-")[2], 16)

    @property
    def warmup_left_seconds(self) -> float:
        """Remaining warm-up, 0 for a warm upstream."""
        if self.is_held_cold:
            return self.warmup_seconds
        return max(0.0, self.warm_at - trio.current_time())

    def hold_cold(self) -> None:
        """Become cold again; the warm-up runs down after `release_cold`."""
        if not self.is_held_cold:
            self.cold_from = trio.current_time()
            self.is_held_cold = self.warmup_seconds > 0.0

    def release_cold(self) -> None:
        """Let the warm-up run down if it was held."""
        if self.is_held_cold:
            self.warm_at = trio.current_time() + self.warmup_seconds
            self.is_held_cold = False

    async def run(self) -> None:
        """Serve until the scope is cancelled, which looks like a crash to other processes."""
        with self.scope, socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as packets:
            packets.setblocking(False)
            packets.bind((self.address.host, self.address.port))
            packets.setsockopt(socket.SOL_SOCKET, SO_TIMESTAMPNS, 1)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._announce_periodically)
                while True:
                    await trio.lowlevel.wait_readable(packets)
                    try:
                        data, ancillary, _, _ = packets.recvmsg(4096, 64)
                    except BlockingIOError:
                        continue
                    nursery.start_soon(self._handle_datagram, packets, data, _get_age(ancillary))

    async def _announce_periodically(self) -> None:
        while self.state == "ready":
            await self.announce()
            await trio.sleep(self.heartbeat_seconds)

    async def announce(self) -> bool:
        """Announce to the control instances in turn; return whether one has acknowledged."""
        self.sequence += 1
        body = {
            "service": self.service,
            "address": f"{self.address.host}:{self.address.port}",
            "zone": self.data_centre,
            "version": "v1",
            "max_concurrency": 4,
            "state": self.state,
            "warmup_left_ms": math.ceil(self.warmup_left_seconds * 1000),
            "seq": self.sequence,
            "born": self.started_at_ms,
        }
        path = f"/-/Backends.Heartbeat/{self.name}"
        return await self._call_control(path, json.dumps(body).encode())

    async def drain(self, seconds: float) -> None:
        """Announce a drain, serve for some more seconds, send the leave call and stop."""
        self.state = "draining"
        if await self.announce():
            self.record("drain-acknowledged", upstream=self.name)
        await trio.sleep(seconds)
        await self._call_control(f"/-/Backends.Leave/{self.name}", b"")
        self.record("left", upstream=self.name)
        self.has_left = True
        self.flows.clear()

    async def _call_control(self, path: str, body: bytes) -> bool:
        for endpoint in self.control_endpoints():
            request = ExchangeRequest("POST", path, (("host", "x"),), body)
            with trio.move_on_after(CALL_TIMEOUT_SECONDS):
                response = await exchange_once(endpoint, request, 64 * 1024)
                if isinstance(response, ExchangeResponse) and response.status // 100 == 2:
                    return True
        return False

    async def _handle_datagram(
        self, packets: socket.socket, data: bytes, age_seconds: float
    ) -> None:
        token = int.from_bytes(data[:TOKEN_BYTES], "big")
        if token not in (0, self.token):
            return
        packet = decode_packet(data[TOKEN_BYTES:])
        if self.has_left:
            if packet.flags & OPEN_FLAG:
                self.record("opening-after-leave", upstream=self.name)
            return
        flow = self.flows.get(packet.source)
        if packet.flags & OPEN_FLAG:
            self._handle_opening(packets, packet, flow, trio.current_time() - age_seconds)
        elif flow is None:
            if not packet.flags & ABORT_FLAG:
                self._send_segment(packets, packet, ABORT_FLAG, packet.acknowledged, 0)
        elif packet.flags & (CLOSE_FLAG | ABORT_FLAG):
            del self.flows[packet.source]
        elif packet.data and flow.is_own_acknowledgement(packet.acknowledged):
            await self._process_request(packets, packet, flow)

    def _handle_opening(
        self, packets: socket.socket, packet: Packet, flow: UpstreamFlow | None, received_at: float
    ) -> None:
        if flow is None:
            self.record(
                "opened",
                upstream=self.name,
                service=self.service,
                target=packet.target,
                data_centre=self.data_centre,
                is_cold=self.cold_from <= received_at
                and (self.is_held_cold or received_at < self.warm_at),
                received_at=received_at,
            )
            first_sequence = random.randrange(1, 2**30)
            flow = self.flows[packet.source] = UpstreamFlow(first_sequence, first_sequence + 1)
        self._send_segment(
            packets, packet, OPEN_FLAG | ACK_FLAG, flow.first_sequence, packet.sequence + 1
        )

    async def _process_request(
        self, packets: socket.socket, packet: Packet, flow: UpstreamFlow
    ) -> None:
        request = packet.data.partition(b"X-Request-Id: ")[2].partition(b"\r\n")[0].decode()
        sequence, response = flow.responses.get(request, (0, b""))
        if not sequence:
            flow.responses[request] = (flow.next_sequence, b"")
            while trio.current_time() < self.hangs_until:
                await trio.sleep_until(self.hangs_until)
            self.record("run", upstream=self.name, request=request, service=self.service)
            await trio.sleep(WORK_SECONDS)
            body = f"{request} {self.service}".encode()
            response = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%s" % (len(body), body)
            sequence = flow.next_sequence
            flow.next_sequence += len(response)
            flow.responses[request] = (sequence, response)
        if response:
            end = packet.sequence + len(packet.data)
            self._send_segment(packets, packet, ACK_FLAG, sequence, end, response)

    def _send_segment(
        self,
        packets: socket.socket,
        received: Packet,
        flags: int,
        sequence: int,
        acknowledged: int,
        data: bytes = b"",
    ) -> None:
        response = Packet(
            received.target, received.source, flags, sequence, acknowledged, received.cookie, data
        )
        try:
            packets.sendto(encode_packet(response), (received.source[0], self.client_port))
        except OSError:
            # The client has closed its socket; a running one would retransmit its request.
            return


def _get_age(ancillary: list[tuple[int, int, bytes]]) -> float:
    """Return the seconds since the receipt of a datagram, which this process may read late."""
    for _, kind, data in ancillary:
        if kind == SO_TIMESTAMPNS:
            seconds, nanoseconds = struct.unpack(TIMESTAMP_FORMAT, data)
            return time.time() - seconds - nanoseconds / 1e9
    return 0.0
