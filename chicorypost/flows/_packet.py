"""Fast parser of IPv4 packets that carry TCP or UDP."""

import struct
from enum import Enum
from typing import NamedTuple

from chicorypost.base import Address, FlowKey

MAX_PACKET_BYTES = 65_535
IPV4_HEADER_BYTES = 20
UDP_HEADER_BYTES = 8
TCP_HEADER_BYTES = 20
VERSION_4_WITHOUT_OPTIONS = 0x45
FRAGMENT_MASK = 0x3FFF
TCP = 6
UDP = 17
FIN = 0x01
SYN = 0x02
RST = 0x04
ACK = 0x10
MAX_CACHED_ADDRESSES = 4096

# Version and header length, total length, fragment field, protocol, and 12 bytes of source and
# destination addresses and ports.
_HEADERS = struct.Struct("!BxHxxHxB2x12s")
_PROTOCOL_BYTES = {TCP: FlowKey(bytes([TCP])), UDP: FlowKey(bytes([UDP]))}
_addresses: dict[bytes, Address] = {}
# The constructors of named tuples are Python functions, which take twice as long as this.
_new_tuple = tuple.__new__


class PacketFault(Enum):
    """Reason why a packet is refused."""

    TRUNCATED = "truncated"
    OVERSIZED = "oversized"
    WRONG_VERSION = "wrong-version"
    OPTIONS = "options"
    FRAGMENT = "fragment"
    WRONG_LENGTH = "wrong-length"
    WRONG_PROTOCOL = "wrong-protocol"


class BadPacket(NamedTuple):
    """Reason and detail of a packet that cannot be routed."""

    fault: PacketFault
    detail: str


class ParsedPacket(NamedTuple):
    """Header values that routing needs, and the packet itself."""

    flow: FlowKey
    address: Address
    opens: bool
    closes: bool
    data: bytes


def parse_packet(data: bytes) -> ParsedPacket | BadPacket:
    """Parse one IPv4 packet.

    Parameters
    ----------
    data : bytes
        The packet, starting with its IPv4 header.

    Returns
    -------
    ParsedPacket or BadPacket
        Flow, destination address and flags, or the reason why the packet is refused.

    Notes
    -----
    Checksums are verified by the upstream, which receives the packet unchanged. A UDP packet never
    opens or closes a flow, because its header has no such flags.
    """
    size = len(data)
    if size < IPV4_HEADER_BYTES + UDP_HEADER_BYTES or size > MAX_PACKET_BYTES:
        return _refuse_size(size)
    first, total, fragment, protocol, endpoints = _HEADERS.unpack_from(data)
    if first != VERSION_4_WITHOUT_OPTIONS:
        return _refuse_first_byte(first)
    if fragment & FRAGMENT_MASK:
        return BadPacket(
            PacketFault.FRAGMENT, "packet is a fragment, allowed are unfragmented packets"
        )
    if total != size:
        return _refuse_total(total, size)
    opens = closes = False
    if protocol == TCP:
        if size < IPV4_HEADER_BYTES + TCP_HEADER_BYTES:
            return _refuse_size(size)
        flags = data[33]
        opens = flags & (SYN | ACK | RST | FIN) == SYN
        closes = flags & (FIN | RST) != 0
    elif protocol != UDP:
        detail = f"protocol is {protocol}, allowed are {TCP} and {UDP}"
        return BadPacket(PacketFault.WRONG_PROTOCOL, detail)
    flow = _PROTOCOL_BYTES[protocol] + endpoints
    target = flow[:1] + flow[5:9] + flow[11:]
    address = _addresses.get(target) or _format_address(target)
    return _new_tuple(ParsedPacket, (flow, address, opens, closes, data))


def _format_address(target: bytes) -> Address:
    protocol = "tcp" if target[0] == TCP else "udp"
    host = ".".join(str(byte) for byte in target[1:5])
    port = int.from_bytes(target[5:7], "big")
    address = Address(f"{host}:{port}/{protocol}")
    if len(_addresses) >= MAX_CACHED_ADDRESSES:
        _addresses.clear()
    _addresses[target] = address
    return address


def _refuse_size(size: int) -> BadPacket:
    if size > MAX_PACKET_BYTES:
        detail = f"packet has {size} bytes, at most {MAX_PACKET_BYTES} are allowed"
        return BadPacket(PacketFault.OVERSIZED, detail)
    detail = f"packet has {size} bytes, fewer than its headers need"
    return BadPacket(PacketFault.TRUNCATED, detail)


def _refuse_first_byte(first: int) -> BadPacket:
    version, words = first >> 4, first & 0x0F
    if version != 4:
        return BadPacket(PacketFault.WRONG_VERSION, f"IP version is {version}, allowed is 4")
    fault = PacketFault.OPTIONS if words > 5 else PacketFault.WRONG_LENGTH
    return BadPacket(fault, f"IPv4 header has {words} words, allowed are 5")


def _refuse_total(total: int, size: int) -> BadPacket:
    fault = PacketFault.TRUNCATED if total > size else PacketFault.WRONG_LENGTH
    return BadPacket(fault, f"total length is {total}, the packet has {size} bytes")
