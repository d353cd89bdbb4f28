"""Sockets for datagrams."""

import socket

from chicorypost.base import Endpoint

RECEIVE_BUFFER_BYTES = 4 * 1024 * 1024


def open_packet_socket(
    endpoint: Endpoint, buffer_bytes: int = RECEIVE_BUFFER_BYTES
) -> socket.socket:
    """Open the UDP socket to which the fabric sends packets.

    Parameters
    ----------
    endpoint : Endpoint
        Where to listen.
    buffer_bytes : int, default 4 MiB
        Size of the receive buffer that is asked for.

    Raises
    ------
    OSError
        If the address can't be used.
    """
    packet_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    packet_socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer_bytes)
    packet_socket.setblocking(False)
    packet_socket.bind((endpoint.host, endpoint.port))
    return packet_socket
