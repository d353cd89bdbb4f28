"""The head of the platform's packets."""

import struct
from enum import Enum

from chicorypost.base import Address, FlowKey
from chicorypost.cookies import CookiePacket

HEADER_BYTES = 32
MAX_DATA_BYTES = 1200

OPEN_FLAG = 32
ABORT_FLAG = 16
ACK_FLAG = 8
CLOSE_FLAG = 4
BOUNCED_FLAG = 2
KNOWN_FLAGS = OPEN_FLAG | ABORT_FLAG | ACK_FLAG | CLOSE_FLAG | BOUNCED_FLAG

# sum, length of the data, seq, ack, flags, padding, source port, destination port, destination,
# source, cookie.
_HEADER_FORMAT = struct.Struct(">IHIIBBHHIII")
_COOKIE_FORMAT = struct.Struct(">I")
_COOKIE_OFFSET = 28
_TOKEN_FORMAT = struct.Struct(">Q")
MAX_REQUEST_ID_CHARACTERS = 64
NO_ADDRESS = Address("")
ANY_UPSTREAM_TOKEN = bytes(8)
"""The token of a datagram for whoever is at the address."""
_METHOD_PREFIXES = frozenset((b"GET ", b"POST", b"PUT ", b"HEAD", b"DELE", b"PATC", b"OPTI"))
_REQUEST_ID_HEADER = b"\r\nX-Request-Id:"
_FLOW_KEY_BYTES = slice(16, 28)
"""Ports and addresses of both ends."""


class InvalidPacket(Enum):
    """Why a datagram is no packet of a client."""

    TOO_SHORT = "too-short"
    WRONG_LENGTH = "wrong-length"
    WRONG_FLAGS = "wrong-flags"


def read_packet(data: bytes) -> CookiePacket | InvalidPacket:
    """Read the head of a client's packet."""
    if len(data) < HEADER_BYTES:
        return InvalidPacket.TOO_SHORT
    head = _HEADER_FORMAT.unpack_from(data)
    _, data_bytes, sequence, acknowledged, flags, _, _, port, host, _, cookie = head
    if data_bytes != len(data) - HEADER_BYTES or data_bytes > MAX_DATA_BYTES:
        return InvalidPacket.WRONG_LENGTH
    opens = bool(flags & OPEN_FLAG)
    if flags & ~KNOWN_FLAGS or (opens and flags != OPEN_FLAG):
        return InvalidPacket.WRONG_FLAGS
    return CookiePacket(
        FlowKey(data[_FLOW_KEY_BYTES]),
        # Only an opening packet is routed by its address.
        Address(f"{host}:{port}") if opens else NO_ADDRESS,
        opens,
        bool(flags & (CLOSE_FLAG | ABORT_FLAG)),
        bool(flags & ABORT_FLAG),
        acknowledged,
        data_bytes,
        cookie,
        sequence,
    )


def read_request_id(data: bytes) -> str:
    """Return the id of the request that begins in a packet, or an empty string."""
    if data[HEADER_BYTES : HEADER_BYTES + 4] not in _METHOD_PREFIXES:
        return ""
    header = data.find(_REQUEST_ID_HEADER, HEADER_BYTES)
    start = header + len(_REQUEST_ID_HEADER)
    end = data.find(b"\r\n", start)
    if header < 0 or end < 0:
        return ""
    return data[start:end].strip().decode("latin-1")[:MAX_REQUEST_ID_CHARACTERS]


def format_flow(data: bytes) -> str:
    """Return the client's end of the flow of a packet, as logs name the flow."""
    head = _HEADER_FORMAT.unpack_from(data)
    return f"{_format_ipv4(head[9])}:{head[6]}"


def format_virtual_address(data: bytes) -> str:
    """Return the virtual address that a packet is sent to."""
    head = _HEADER_FORMAT.unpack_from(data)
    return f"{_format_ipv4(head[8])}:{head[7]}"


def _format_ipv4(number: int) -> str:
    return ".".join(str(octet) for octet in number.to_bytes(4, "big"))


def make_address(host: str, port: int) -> Address:
    """Return the virtual address of a route as packets name it: the IPv4 address as a number."""
    number = int.from_bytes(bytes(int(part) for part in host.split(".")), "big")
    return Address(f"{number}:{port}")


def wrap_packet(data: bytes, token: int, cookie: int | None) -> bytes:
    """Return the datagram for an upstream: its token and the packet, with a cookie if given."""
    if cookie is None:
        return (_TOKEN_FORMAT.pack(token) if token else ANY_UPSTREAM_TOKEN) + data
    head, rest = data[:_COOKIE_OFFSET], data[HEADER_BYTES:]
    return _TOKEN_FORMAT.pack(token) + head + _COOKIE_FORMAT.pack(cookie) + rest


def make_reset_packet(data: bytes) -> tuple[str, bytes]:
    """Return the client's address and the packet that resets its flow."""
    head = _HEADER_FORMAT.unpack_from(data)
    _, _, _, acknowledged, _, _, client_port, route_port, route_host, client_host, _ = head
    reset = _HEADER_FORMAT.pack(
        0, 0, acknowledged, 0, ABORT_FLAG, 0, route_port, client_port, client_host, route_host, 0
    )
    return _format_ipv4(client_host), reset
