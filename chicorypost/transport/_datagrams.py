"""UDP sockets."""

import socket

from chicorypost.base import Endpoint

RECEIVE_BUFFER_BYTES = 4 * 1024 * 1024


def open_packet_socket(
    endpoint: Endpoint, buffer_bytes: int = RECEIVE_BUFFER_BYTES
) -> socket.socket:
    """Open the non-blocking UDP socket on which packets from the network fabric arrive.

    Parameters
    ----------
    endpoint : Endpoint
        Address to bind.
    buffer_bytes : int, default 4 MiB
        Requested size of the receive buffer (SO_RCVBUF); the kernel may limit it.

    Raises
    ------
    OSError
        If the address can't be bound.
    """
    packet_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    packet_socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer_bytes)
    packet_socket.setblocking(False)
    packet_socket.bind((endpoint.host, endpoint.port))
    return packet_socket
