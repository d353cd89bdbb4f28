"""Packet path of a balancer: receive, route and send; independent of an event loop."""

import socket

from chicorypost.base import Instant
from chicorypost.cookies import (
    CookiePacket,
    CookieRouter,
    ForwardPacket,
    ResetFlow,
    ResetStalledFlow,
)
from chicorypost.pacing import LinkPacer
from chicorypost.platform import (
    InvalidPacket,
    make_flow_reset,
    make_reset_packet,
    read_packet,
    wrap_packet,
)
from chicorypost.roles._event_log import EventLog
from chicorypost.roles._events import LINK_FULL, PACKET_SOCKET_FAILED
from chicorypost.roles._flow_log import FlowLog

RECEIVE_BUFFER_BYTES = 2048
"""Larger than the longest valid packet, so that a packet that is too long is detected."""
MAX_BATCH_PACKETS = 32
MAX_UNNOTICED_WAIT_SECONDS = 0.05
"""Wait in the queue for the link that is too short to make an upstream look unresponsive."""


class Forwarder:
    """Forwards the packets of one socket by the decisions of a router.

    Parameters
    ----------
    router : CookieRouter
        Chooses the destination of each packet.
    packet_socket : socket.socket
        Socket to which the network fabric sends packets; also used for sending.
    client_port : int
        Port at which clients receive packets.
    pacer : LinkPacer
        Determines when datagrams may be sent.
    event_log : EventLog
        Receives log events.
    """

    def __init__(
        self,
        router: CookieRouter,
        packet_socket: socket.socket,
        client_port: int,
        pacer: LinkPacer,
        event_log: EventLog,
    ) -> None:
        self.router = router
        self.packet_socket = packet_socket
        self.client_port = client_port
        self.pacer = pacer
        self.event_log = event_log
        self.flow_log = FlowLog(router, event_log.emit)

    def forward_batch(self, now: Instant) -> None:
        """Send queued datagrams that are due, then forward up to `MAX_BATCH_PACKETS` packets."""
        if self.pacer.flow_order:
            for item in self.pacer.dequeue(now):
                self._send_datagram(item.content, item.address)
        for _ in range(MAX_BATCH_PACKETS):
            try:
                data = self.packet_socket.recv(RECEIVE_BUFFER_BYTES)
            except BlockingIOError:
                return
            except OSError as error:
                self.router.record_local_fault()
                self.event_log.emit(PACKET_SOCKET_FAILED.emit(reason=str(error)))
                return
            packet = read_packet(data)
            if isinstance(packet, InvalidPacket):
                self.router.counters[f"refused-{packet.value}"] += 1
                continue
            decision = self.router.route(packet, now)
            # Tested first because nearly all packets are forwarded.
            if type(decision) is ForwardPacket:
                datagram = wrap_packet(data, decision.token, decision.cookie)
                if self.pacer.admit(datagram, now):
                    self._send_datagram(datagram, decision.address)
                else:
                    self._enqueue_datagram(packet, datagram, decision.address)
            elif type(decision) is ResetFlow:
                host, reset = make_reset_packet(data)
                self._send_datagram(reset, (host, self.client_port))
            if packet.data_bytes or packet.opens_flow or type(decision) is not ForwardPacket:
                self.flow_log.log_decision(packet, data, decision)

    def reset_stalled_flow(self, effect: ResetStalledFlow) -> None:
        """Reset a flow at its client without a packet of the client."""
        host, reset = make_flow_reset(effect.flow, effect.ack_number)
        self._send_datagram(reset, (host, self.client_port))
        self.flow_log.log_stalled_reset(effect)

    def _enqueue_datagram(
        self, packet: CookiePacket, datagram: bytes, address: tuple[str, int]
    ) -> None:
        dropped_before = self.pacer.counters["dropped"]
        sequence = packet.sequence if packet.data_bytes else None
        self.pacer.enqueue(packet.flow, sequence, datagram, address)
        if self.pacer.waiting_seconds > MAX_UNNOTICED_WAIT_SECONDS:
            self.router.record_local_fault()
        if self.pacer.counters["dropped"] > dropped_before:
            self.router.record_local_fault()
            waiting = round(self.pacer.waiting_seconds, 3)
            self.event_log.emit(
                LINK_FULL.emit(waiting_seconds=waiting, flows=len(self.pacer.queues))
            )

    def _send_datagram(self, data: bytes, address: tuple[str, int]) -> None:
        """Send a datagram; it is lost if the socket buffer is full, as it may be in the network."""
        try:
            self.packet_socket.sendto(data, address)
        except BlockingIOError:
            self.router.counters["lost-socket-full"] += 1
            self.router.record_local_fault()
        except OSError as error:
            self.router.record_local_fault()
            self.event_log.emit(PACKET_SOCKET_FAILED.emit(reason=str(error)))
