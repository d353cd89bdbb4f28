"""Encoding of platform packets as clients and upstreams use it."""

import struct
from typing import NamedTuple

from chicorypost.platform._packets import ABORT_FLAG, ACK_FLAG, CLOSE_FLAG, HEADER_BYTES, OPEN_FLAG

__all__ = [
    "ABORT_FLAG",
    "ACK_FLAG",
    "CLOSE_FLAG",
    "OPEN_FLAG",
    "Packet",
    "decode_packet",
    "encode_packet",
]

_HEADER = struct.Struct(">IHIIBBHHIII")
ENDPOINT_CHECKSUM = 1
"""Checksum field of packets from a client or upstream. A reset by a balancer carries 0, so that the
checks can distinguish it from a reset by an upstream."""


class Packet(NamedTuple):
    """A packet; hosts are IPv4 addresses in dotted notation."""

    source: tuple[str, int]
    target: tuple[str, int]
    flags: int
    sequence: int = 0
    acknowledged: int = 0
    cookie: int = 0
    data: bytes = b""
    checksum: int = ENDPOINT_CHECKSUM


def encode_packet(packet: Packet) -> bytes:
    """Return the packet as bytes."""
    header = _HEADER.pack(
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
    return header + packet.data


def decode_packet(data: bytes) -> Packet:
    """Return the packet encoded in `data`."""
    header = _HEADER.unpack_from(data)
    return Packet(
        (_int_to_host(header[9]), header[6]),
        (_int_to_host(header[8]), header[7]),
        header[4],
        header[2],
        header[3],
        header[10],
        data[HEADER_BYTES:],
        header[0],
    )


def _host_to_int(host: str) -> int:
    return int.from_bytes(bytes(int(part) for part in host.split(".")), "big")


def _int_to_host(number: int) -> str:
    return ".".join(str(octet) for octet in number.to_bytes(4, "big"))
