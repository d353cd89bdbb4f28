"""The packet path of a balancer: read, decide, send; knows no loop."""

import socket

from chicorypost.base import Instant
from chicorypost.cookies import CookieRouter, ForwardTo, ResetFlow
from chicorypost.platform import BadPacket, make_reset, read_packet, wrap_packet
from chicorypost.roles._events import PACKET_SOCKET_FAILED
from chicorypost.roles._flow_log import FlowLog
from chicorypost.roles._journal import Journal

DATAGRAM_BYTES = 2048
"""Room for a packet with the largest data, and for one that is too long to be one."""
BATCH_PACKETS = 32


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
    journal : Journal
        Takes log events.
    """

    def __init__(
        self,
        router: CookieRouter,
        packet_socket: socket.socket,
        client_port: int,
        journal: Journal,
    ) -> None:
        self.router = router
        self.socket = packet_socket
        self.client_port = client_port
        self.journal = journal
        self.flow_log = FlowLog(router, journal.emit)

    def forward_batch(self, now: Instant) -> None:
        """Read and forward the packets that wait, up to a bound, without awaiting each."""
        for _ in range(BATCH_PACKETS):
            try:
                data = self.socket.recv(DATAGRAM_BYTES)
            except BlockingIOError:
                return
            except OSError as error:
                self.journal.emit(PACKET_SOCKET_FAILED.emit(reason=str(error)))
                return
            packet = read_packet(data)
            if isinstance(packet, BadPacket):
                self.router.counters[f"refused-{packet.value}"] += 1
                continue
            decision = self.router.route(packet, now)
            # Nearly all packets take this branch, so it is tested before the other.
            if type(decision) is ForwardTo:
                datagram = wrap_packet(data, decision.token, decision.cookie)
                self._send_datagram(datagram, decision.address)
            elif type(decision) is ResetFlow:
                host, reset = make_reset(data)
                self._send_datagram(reset, (host, self.client_port))
            if packet.data_bytes or packet.opens or type(decision) is not ForwardTo:
                self.flow_log.note(packet, data, decision)

    def _send_datagram(self, data: bytes, address: tuple[str, int]) -> None:
        """Send a datagram; a full socket buffer loses it, as a network may."""
        try:
            self.socket.sendto(data, address)
        except BlockingIOError:
            self.router.counters["lost-socket-full"] += 1
        except OSError as error:
            self.journal.emit(PACKET_SOCKET_FAILED.emit(reason=str(error)))
