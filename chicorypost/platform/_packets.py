"""Header of the platform's packets: decoding, encapsulation and resets."""

import struct
from enum import Enum

from chicorypost.base import Address, FlowKey
from chicorypost.cookies import CookiePacket, FlowEnds

HEADER_BYTES = 32
MAX_DATA_BYTES = 1200

OPEN_FLAG = 32
ABORT_FLAG = 16
ACK_FLAG = 8
CLOSE_FLAG = 4
BOUNCED_FLAG = 2
KNOWN_FLAGS = OPEN_FLAG | ABORT_FLAG | ACK_FLAG | CLOSE_FLAG | BOUNCED_FLAG

# Checksum, data length, sequence number, acknowledgement number, flags, padding, source port,
# destination port, destination address, source address, cookie.
_HEADER_FORMAT = struct.Struct(">IHIIBBHHIII")
# Source port, destination port, destination address, source address.
_FLOW_FORMAT = struct.Struct(">HHII")
_COOKIE_FORMAT = struct.Struct(">I")
_COOKIE_OFFSET = 28
_TOKEN_FORMAT = struct.Struct(">Q")
MAX_REQUEST_ID_CHARACTERS = 64
NO_ADDRESS = Address("")
ANY_UPSTREAM_TOKEN = bytes(8)
"""Token of a datagram that any upstream at the destination address accepts."""
_METHOD_PREFIXES = frozenset((b"GET ", b"POST", b"PUT ", b"HEAD", b"DELE", b"PATC", b"OPTI"))
_REQUEST_ID_HEADER = b"\r\nX-Request-Id:"
_FLOW_KEY_BYTES = slice(16, 28)
"""Ports and addresses of both ends, which identify a flow."""


class InvalidPacket(Enum):
    """Why a datagram isn't a valid client packet."""

    TOO_SHORT = "too-short"
    WRONG_LENGTH = "wrong-length"
    WRONG_FLAGS = "wrong-flags"


def read_packet(data: bytes) -> CookiePacket | InvalidPacket:
    """Decode and validate the header of a client's packet."""
    if len(data) < HEADER_BYTES:
        return InvalidPacket.TOO_SHORT
    header = _HEADER_FORMAT.unpack_from(data)
    _, data_bytes, sequence, acknowledged, flags, _, _, port, host, _, cookie = header
    if data_bytes != len(data) - HEADER_BYTES or data_bytes > MAX_DATA_BYTES:
        return InvalidPacket.WRONG_LENGTH
    opens = bool(flags & OPEN_FLAG)
    if flags & ~KNOWN_FLAGS or (opens and flags != OPEN_FLAG):
        return InvalidPacket.WRONG_FLAGS
    return CookiePacket(
        FlowKey(data[_FLOW_KEY_BYTES]),
        # Only an opening packet is routed by its address; others are routed by their cookie.
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
    """Return the X-Request-Id of the HTTP request that starts in a packet, or an empty string."""
    if data[HEADER_BYTES : HEADER_BYTES + 4] not in _METHOD_PREFIXES:
        return ""
    header = data.find(_REQUEST_ID_HEADER, HEADER_BYTES)
    start = header + len(_REQUEST_ID_HEADER)
    end = data.find(b"\r\n", start)
    if header < 0 or end < 0:
        return ""
    return data[start:end].strip().decode("latin-1")[:MAX_REQUEST_ID_CHARACTERS]


def format_flow(data: bytes) -> str:
    """Return the client's address and port, by which log lines identify the flow."""
    header = _HEADER_FORMAT.unpack_from(data)
    return f"{_format_ipv4(header[9])}:{header[6]}"


def format_virtual_address(data: bytes) -> str:
    """Return the virtual address and port that a packet is sent to, for log lines."""
    header = _HEADER_FORMAT.unpack_from(data)
    return f"{_format_ipv4(header[8])}:{header[7]}"


def _format_ipv4(number: int) -> str:
    return ".".join(str(octet) for octet in number.to_bytes(4, "big"))


def make_address(host: str, port: int) -> Address:
    """Return a virtual address in the form of `read_packet`: ``<IPv4 as number>:<port>``."""
    number = int.from_bytes(bytes(int(part) for part in host.split(".")), "big")
    return Address(f"{number}:{port}")


def wrap_packet(data: bytes, token: int, cookie: int | None) -> bytes:
    """Return the datagram for an upstream: its token and the packet, with the cookie if given."""
    if cookie is None:
        return (_TOKEN_FORMAT.pack(token) if token else ANY_UPSTREAM_TOKEN) + data
    header, rest = data[:_COOKIE_OFFSET], data[HEADER_BYTES:]
    return _TOKEN_FORMAT.pack(token) + header + _COOKIE_FORMAT.pack(cookie) + rest


def read_flow_ends(flow: FlowKey) -> FlowEnds:
    """Return the route's address, as in `read_packet`, and the client's host of a flow."""
    _, route_port, route_host, client_host = _FLOW_FORMAT.unpack(flow)
    return FlowEnds(Address(f"{route_host}:{route_port}"), _format_ipv4(client_host))


def format_flow_key(flow: FlowKey) -> str:
    """Return the client's address and port of a flow, as `format_flow` does for a packet."""
    client_port, _, _, client_host = _FLOW_FORMAT.unpack(flow)
    return f"{_format_ipv4(client_host)}:{client_port}"


def make_reset_packet(data: bytes) -> tuple[str, bytes]:
    """Return the client's IP address and the packet that resets the flow of its packet."""
    acknowledged = _HEADER_FORMAT.unpack_from(data)[3]
    return make_flow_reset(FlowKey(data[_FLOW_KEY_BYTES]), acknowledged)


def make_flow_reset(flow: FlowKey, acknowledged: int) -> tuple[str, bytes]:
    """Return the client's IP address and the packet that resets its flow.

    Parameters
    ----------
    flow : FlowKey
        The flow.
    acknowledged : int
        The client's last acknowledgement; the client ignores a reset with a distant number.
    """
    client_port, route_port, route_host, client_host = _FLOW_FORMAT.unpack(flow)
    reset = _HEADER_FORMAT.pack(
        0, 0, acknowledged, 0, ABORT_FLAG, 0, route_port, client_port, client_host, route_host, 0
    )
    return _format_ipv4(client_host), reset
