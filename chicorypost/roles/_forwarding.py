"""The packet path of a balancer: read, decide, send; knows no loop."""

import socket

from chicorypost.base import Instant
from chicorypost.cookies import CookiePacket, CookieRouter, ForwardPacket, ResetFlow
from chicorypost.pacing import LinkPacer
from chicorypost.platform import InvalidPacket, make_reset_packet, read_packet, wrap_packet
from chicorypost.roles._event_log import EventLog
from chicorypost.roles._events import LINK_FULL, PACKET_SOCKET_FAILED
from chicorypost.roles._flow_log import FlowLog

RECEIVE_BUFFER_BYTES = 2048
"""Room for a packet with the largest data, and for one that is too long to be one."""
MAX_BATCH_PACKETS = 32


class Forwarder:
    """Forwards the packets of one socket as a router decides.

    Parameters
    ----------
    router : CookieRouter
        Decides.
    packet_socket : socket.socket
        Where the fabric sends packets; packets leave from it too.
    client_port : int
        Port at which clients take packets.
    pacer : LinkPacer
        Says when datagrams may leave.
    journal : Journal
        Takes log events.
    """

    def __init__(
        self,
        router: CookieRouter,
        packet_socket: socket.socket,
        client_port: int,
        pacer: LinkPacer,
        journal: EventLog,
    ) -> None:
        self.router = router
        self.socket = packet_socket
        self.client_port = client_port
        self.pacer = pacer
        self.event_log = journal
        self.flow_log = FlowLog(router, journal.emit)

    def forward_batch(self, now: Instant) -> None:
        """Send what the link takes now, then read and forward packets, up to a bound."""
        if self.pacer.flow_order:
            for item in self.pacer.dequeue(now):
                self._send_datagram(item.content, item.address)
        for _ in range(MAX_BATCH_PACKETS):
            try:
                data = self.socket.recv(RECEIVE_BUFFER_BYTES)
            except BlockingIOError:
                return
            except OSError as error:
                self.event_log.emit(PACKET_SOCKET_FAILED.emit(reason=str(error)))
                return
            packet = read_packet(data)
            if isinstance(packet, InvalidPacket):
                self.router.counters[f"refused-{packet.value}"] += 1
                continue
            decision = self.router.route(packet, now)
            # Nearly all packets take this branch, so it is tested before the other.
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

    def _enqueue_datagram(
        self, packet: CookiePacket, datagram: bytes, address: tuple[str, int]
    ) -> None:
        dropped = self.pacer.counters["dropped"]
        sequence = packet.sequence if packet.data_bytes else None
        self.pacer.enqueue(packet.flow, sequence, datagram, address)
        if self.pacer.counters["dropped"] > dropped:
            waiting = round(self.pacer.waiting_seconds, 3)
            self.event_log.emit(
                LINK_FULL.emit(waiting_seconds=waiting, flows=len(self.pacer.queues))
            )

    def _send_datagram(self, data: bytes, address: tuple[str, int]) -> None:
        """Send a datagram; a full socket buffer loses it, as a network may."""
        try:
            self.socket.sendto(data, address)
        except BlockingIOError:
            self.router.counters["lost-socket-full"] += 1
        except OSError as error:
            self.event_log.emit(PACKET_SOCKET_FAILED.emit(reason=str(error)))
