"""Stand-in client of the platform: opens flows and sends sequential requests over them."""

import random
import socket
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

OPENING_TIMEOUTS_SECONDS = (0.2, 0.4, 0.8)
"""Timeouts of the opening packet and of each copy; after the last one the client gives up."""
REQUEST_TIMEOUTS_SECONDS = (0.2, 0.4, 0.8, 1.6)
INBOX_PACKETS = 512
REFUSED = "reset while opening"
NOT_OPENED = "not opened"


class FlowFailed(Exception):  # noqa: N818 an outcome of a flow, not a programming error
    """The flow was reset or got no response."""


@dataclass(slots=True)
class ClientFlow:
    """State of one open flow of a client."""

    port: int
    sequence: int
    acknowledged: int
    cookie: int
    upstream_reset: bool = False


@dataclass(slots=True)
class StandInClient:
    """A client with its own address.

    Parameters
    ----------
    host : str
        Address of the client; it receives packets at `port`.
    send : callable
        Sends a packet to the fabric, with the client's port, which selects the balancer.
    record : callable
        Receives each observation for the checks: its kind and values.
    """

    host: str
    port: int
    send: Callable[[bytes, int], None]
    record: Callable[..., None]
    rng: random.Random
    inboxes: dict[int, trio.MemorySendChannel[Packet]] = field(default_factory=dict)
    next_port: int = 20_000

    async def receive(self) -> None:
        """Receive packets and put them into the inboxes of their flows."""
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as packets:
            packets.setblocking(False)
            packets.bind((self.host, self.port))
            while True:
                await trio.lowlevel.wait_readable(packets)
                packet = decode_packet(packets.recv(4096))
                inbox = self.inboxes.get(packet.target[1])
                if inbox is not None:
                    try:
                        inbox.send_nowait(packet)
                    except trio.WouldBlock:
                        self.record("client-overrun", host=self.host)

    async def run_flow(self, target: tuple[str, int], requests: int, pause: float) -> None:
        """Open a flow, send requests over it and close it; a failure of the flow is recorded."""
        port = self.next_port = self.next_port + 1
        inbox, packets = trio.open_memory_channel[Packet](INBOX_PACKETS)
        self.inboxes[port] = inbox
        try:
            flow = await self._open_flow(target, port, packets)
            for _ in range(requests):
                await self._send_request(target, flow, packets)
                await trio.sleep(pause)
            self._send_segment(target, flow, ACK_FLAG | CLOSE_FLAG)
        except FlowFailed as failure:
            self.record("flow-failed", target=target, reason=str(failure), port=port)
        finally:
            del self.inboxes[port]

    async def _open_flow(
        self, target: tuple[str, int], port: int, packets: trio.MemoryReceiveChannel[Packet]
    ) -> ClientFlow:
        start = self.rng.randrange(1, 2**30)
        for copies, pause in enumerate(OPENING_TIMEOUTS_SECONDS):
            self._write_packet(Packet((self.host, port), target, OPEN_FLAG, start, copies))
            with trio.move_on_after(pause):
                while True:
                    packet = await packets.receive()
                    if packet.flags & ABORT_FLAG:
                        raise FlowFailed(REFUSED)
                    if packet.flags & OPEN_FLAG:
                        flow = ClientFlow(port, start + 1, packet.sequence + 1, packet.cookie)
                        self._send_segment(target, flow, ACK_FLAG)
                        return flow
        raise FlowFailed(NOT_OPENED)

    async def _send_request(
        self,
        target: tuple[str, int],
        flow: ClientFlow,
        packets: trio.MemoryReceiveChannel[Packet],
    ) -> None:
        name = f"{self.rng.getrandbits(64):016x}"
        data = f"POST / HTTP/1.1\r\nhost: x\r\nX-Request-Id: {name}\r\n\r\n".encode()
        self.record("asked", request=name, target=target)
        for pause in REQUEST_TIMEOUTS_SECONDS:
            self._send_segment(target, flow, ACK_FLAG, data)
            with trio.move_on_after(pause):
                while True:
                    packet = await packets.receive()
                    if packet.flags & OPEN_FLAG:
                        # A late reply to a copy of the opening; another upstream may have sent it.
                        continue
                    flow.cookie = packet.cookie or flow.cookie
                    if packet.flags & ABORT_FLAG:
                        self.record("reset", request=name, target=target, checksum=packet.checksum)
                        raise FlowFailed("reset")
                    # A retransmitted or late response has a lower sequence number and is ignored.
                    if packet.data and packet.sequence == flow.acknowledged:
                        self._record_response(name, target, packet)
                        flow.sequence += len(data)
                        flow.acknowledged = packet.sequence + len(packet.data)
                        return
        raise FlowFailed("no response")

    def _record_response(self, name: str, target: tuple[str, int], packet: Packet) -> None:
        body = packet.data.partition(b"\r\n\r\n")[2].decode()
        request, _, service = body.partition(" ")
        self.record("answered", request=name, target=target, body=request, service=service)

    def _send_segment(
        self, target: tuple[str, int], flow: ClientFlow, flags: int, data: bytes = b""
    ) -> None:
        self._write_packet(
            Packet(
                (self.host, flow.port),
                target,
                flags,
                flow.sequence,
                flow.acknowledged,
                flow.cookie,
                data,
            )
        )

    def _write_packet(self, packet: Packet) -> None:
        self.send(encode_packet(packet), packet.source[1])
