"""The head of the platform's packets."""

import struct
from enum import Enum

from chicorypost.base import Address, FlowKey
from chicorypost.cookies import CookiePacket

HEAD_BYTES = 32
MAX_DATA_BYTES = 1200

OPENS = 32
ABORTS = 16
ACKNOWLEDGES = 8
CLOSES = 4
BOUNCED = 2
KNOWN_FLAGS = OPENS | ABORTS | ACKNOWLEDGES | CLOSES | BOUNCED

# sum, length of the data, seq, ack, flags, padding, source port, destination port, destination,
# source, cookie.
_HEAD = struct.Struct(">IHIIBBHHIII")
_COOKIE = struct.Struct(">I")
_COOKIE_OFFSET = 28
_TOKEN = struct.Struct(">Q")
MAX_ID_CHARACTERS = 64
NO_ADDRESS = Address("")
ANYBODY = bytes(8)
"""The token of a datagram for whoever is at the address."""
_METHODS = frozenset((b"GET ", b"POST", b"PUT ", b"HEAD", b"DELE", b"PATC", b"OPTI"))
_REQUEST_ID = b"\r\nX-Request-Id:"
_ENDS = slice(16, 28)
"""Ports and addresses of both ends."""


class BadPacket(Enum):
    """Why a datagram is no packet of a client."""

    TOO_SHORT = "too-short"
    WRONG_LENGTH = "wrong-length"
    WRONG_FLAGS = "wrong-flags"


def read_packet(data: bytes) -> CookiePacket | BadPacket:
    """Read the head of a client's packet."""
    if len(data) < HEAD_BYTES:
        return BadPacket.TOO_SHORT
    head = _HEAD.unpack_from(data)
    _, data_bytes, sequence, acknowledged, flags, _, _, port, host, _, cookie = head
    if data_bytes != len(data) - HEAD_BYTES or data_bytes > MAX_DATA_BYTES:
        return BadPacket.WRONG_LENGTH
    opens = bool(flags & OPENS)
    if flags & ~KNOWN_FLAGS or (opens and flags != OPENS):
        return BadPacket.WRONG_FLAGS
    return CookiePacket(
        FlowKey(data[_ENDS]),
        # Only an opening packet is routed by its address.
        Address(f"{host}:{port}") if opens else NO_ADDRESS,
        opens,
        bool(flags & (CLOSES | ABORTS)),
        bool(flags & ABORTS),
        acknowledged,
        data_bytes,
        cookie,
        sequence,
    )


def read_request_id(data: bytes) -> str:
    """Return the id of the request that begins in a packet, or an empty string."""
    if data[HEAD_BYTES : HEAD_BYTES + 4] not in _METHODS:
        return ""
    header = data.find(_REQUEST_ID, HEAD_BYTES)
    start = header + len(_REQUEST_ID)
    end = data.find(b"\r\n", start)
    if header < 0 or end < 0:
        return ""
    return data[start:end].strip().decode("latin-1")[:MAX_ID_CHARACTERS]


def name_flow(data: bytes) -> str:
    """Return the client's end of the flow of a packet, as logs name the flow."""
    head = _HEAD.unpack_from(data)
    return f"{_name_host(head[9])}:{head[6]}"


def name_address(data: bytes) -> str:
    """Return the virtual address that a packet is sent to."""
    head = _HEAD.unpack_from(data)
    return f"{_name_host(head[8])}:{head[7]}"


def _name_host(number: int) -> str:
    return ".".join(str(octet) for octet in number.to_bytes(4, "big"))


def make_address(host: str, port: int) -> Address:
    """Return the virtual address of a route as packets name it: the IPv4 address as a number."""
    number = int.from_bytes(bytes(int(part) for part in host.split(".")), "big")
    return Address(f"{number}:{port}")


def wrap_packet(data: bytes, token: int, cookie: int | None) -> bytes:
    """Return the datagram for an upstream: its token and the packet, with a cookie if given."""
    if cookie is None:
        return (_TOKEN.pack(token) if token else ANYBODY) + data
    head, rest = data[:_COOKIE_OFFSET], data[HEAD_BYTES:]
    return _TOKEN.pack(token) + head + _COOKIE.pack(cookie) + rest


def make_reset(data: bytes) -> tuple[str, bytes]:
    """Return the client's address and the packet that resets its flow."""
    head = _HEAD.unpack_from(data)
    _, _, _, acknowledged, _, _, client_port, route_port, route_host, client_host, _ = head
    reset = _HEAD.pack(
        0, 0, acknowledged, 0, ABORTS, 0, route_port, client_port, client_host, route_host, 0
    )
    return _name_host(client_host), reset
