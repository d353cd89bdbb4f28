"""Packets of the platform as its clients and upstreams write them."""

import struct
from typing import NamedTuple

from chicorypost.platform._packets import ABORT_FLAG, ACK_FLAG, CLOSE_FLAG, HEADER_BYTES, OPEN_FLAG

__all__ = ["ABORTS", "ACKNOWLEDGES", "CLOSES", "OPENS", "Packet", "read", "write"]

_HEADER = struct.Struct(">IHIIBBHHIII")
ENDPOINT_CHECKSUM = 1
"""Sum of packets written by an end of a flow; a reset of the system's own carries 0."""


class Packet(NamedTuple):
    """One packet; hosts are IPv4 addresses as text."""

    source: tuple[str, int]
    target: tuple[str, int]
    flags: int
    sequence: int = 0
    acknowledged: int = 0
    cookie: int = 0
    data: bytes = b""
    checksum: int = ENDPOINT_CHECKSUM


def encode_packet(packet: Packet) -> bytes:
    """Return the bytes of a packet."""
    head = _HEADER.pack(
        packet.checksum,
        len(packet.data),
        packet.sequence,
        packet.acknowledged,
        packet.flags,
        0,
        packet.source[1],
        packet.target[1],
        _host_to_int(packet.target[0]),
        _host_to_int(packet.source[0]),
        packet.cookie,
    )
    return head + packet.data


def decode_packet(data: bytes) -> Packet:
    """Return the packet that the bytes hold."""
    head = _HEADER.unpack_from(data)
    return Packet(
        (_int_to_host(head[9]), head[6]),
        (_int_to_host(head[8]), head[7]),
        head[4],
        head[2],
        head[3],
        head[10],
        data[HEADER_BYTES:],
        head[0],
    )


def _host_to_int(host: str) -> int:
    return int.from_bytes(bytes(int(part) for part in host.split(".")), "big")


def _int_to_host(number: int) -> str:
    return ".".join(str(octet) for octet in number.to_bytes(4, "big"))
