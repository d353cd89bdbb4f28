"""Forwards packets from the network fabric to upstreams and to other balancers."""

import socket
from collections.abc import Callable
from typing import cast

import trio

from chicorypost.base import Endpoint, Instant
from chicorypost.daemons._engine import Engine
from chicorypost.daemons._events import PACKET_SOCKET_ERROR
from chicorypost.flows import (
    BadPacket,
    Decision,
    Dropped,
    FlowRouter,
    ForwardTo,
    Held,
    PassTo,
    ReleaseHeld,
    parse_packet,
)

RECEIVE_BUFFER_BYTES = 65_535
MAX_BATCH_PACKETS = 64
FLOWS_MACHINE_NAME = "flows"
"""Name under which the flow router is registered with the engine."""

HOP_PREFIX = b"\x00chicorypost-hop"
"""Prefix of a packet from another balancer; no IPv4 packet begins with a zero byte."""


class PacketForwarder:
    """Receives packets and forwards them as the flow router decides.

    Parameters
    ----------
    packet_socket : socket.socket
        Non-blocking UDP socket from `open_packet_socket`.
    router : FlowRouter
        Decides what happens to each packet.
    engine : Engine
        Runs the timer of the router; its deadline is refreshed after each batch.
    count_packets : callable
        Called with the name of a decision and the number of its packets.

    Notes
    -----
    Each wait for the socket is followed by a bounded batch of reads without further waits: a trio
    call for each packet would take most of the processing time.
    """

    def __init__(
        self,
        packet_socket: socket.socket,
        router: FlowRouter,
        engine: Engine,
        count_packets: Callable[[str, int], None],
    ) -> None:
        self.router = router
        self.engine = engine
        self.count_packets = count_packets
        self.socket = packet_socket
        self.route = router.route
        self.clock = cast(Callable[[], Instant], engine.clock)

    @property
    def endpoint(self) -> Endpoint:
        """The endpoint to which the socket is bound."""
        host, port = self.socket.getsockname()
        return Endpoint(host, port)

    async def run(self) -> None:
        """Forward packets; run until cancelled."""
        while True:
            await trio.lowlevel.wait_readable(self.socket)
            self.forward_batch()
            await trio.lowlevel.checkpoint()

    def forward_batch(self) -> None:
        """Read and forward the queued packets, at most `MAX_BATCH_PACKETS`."""
        receive = self.socket.recv
        forward = self.forward_datagram
        try:
            for _ in range(MAX_BATCH_PACKETS):
                forward(receive(RECEIVE_BUFFER_BYTES))
        except BlockingIOError:
            pass
        except OSError as error:
            self.engine.emit(PACKET_SOCKET_ERROR.emit(reason=str(error)))
        self.engine.refresh_deadline(FLOWS_MACHINE_NAME)

    def forward_datagram(self, data: bytes) -> None:
        """Route and forward one datagram from the fabric or from another balancer."""
        hops = 0
        if data.startswith(HOP_PREFIX):
            hops = data[len(HOP_PREFIX)]
            data = data[len(HOP_PREFIX) + 1 :]
        packet = parse_packet(data)
        if isinstance(packet, BadPacket):
            self.router.count_refused(packet)
            self.count_packets("refused", 1)
            return
        decision = self.route(packet, self.clock(), hops)
        # Nearly all packets take this branch, so it is tested before the general match.
        if type(decision) is ForwardTo:
            self.send_datagram(data, decision.address)
        else:
            self.execute_decision(decision, data, hops)

    def execute_decision(self, decision: Decision, data: bytes, hops: int) -> None:
        """Apply a decision of the router to a packet."""
        match decision:
            case ForwardTo(address=address):
                self.send_datagram(data, address)
            case PassTo(member=member):
                hop_prefix = HOP_PREFIX + bytes([hops + 1])
                self.send_datagram(hop_prefix + data, (member.packets.host, member.packets.port))
                self.count_packets("passed", 1)
            case Held():
                self.count_packets("held", 1)
            case Dropped(reason=reason):
                self.count_packets(f"dropped-{reason.value}", 1)

    def release_packets(self, effect: ReleaseHeld) -> None:
        """Apply the decision of the router to packets that were held."""
        for data in effect.packets:
            self.execute_decision(effect.decision, data, effect.hops)

    def send_datagram(self, data: bytes, address: tuple[str, int]) -> None:
        """Send a datagram; it is dropped and counted if the socket buffer is full."""
        try:
            self.socket.sendto(data, address)
        except BlockingIOError:
            self.count_packets("dropped-socket-full", 1)
        except OSError as error:
            self.engine.emit(PACKET_SOCKET_ERROR.emit(reason=str(error)))
