"""Packets that stand-in callers send and stand-in upstreams answer."""

import socket
import struct
from dataclasses import dataclass

import dpkt
import msgpack

SYN = dpkt.tcp.TH_SYN
ACK = dpkt.tcp.TH_ACK
FIN = dpkt.tcp.TH_FIN


@dataclass(frozen=True, slots=True)
class FlowPayload:
    """What a stand-in caller puts into each packet; upstreams count by it."""

    service: str
    reply_port: int
    sequence: int


@dataclass(frozen=True, slots=True)
class FlowReply:
    """What a stand-in upstream answers directly to the caller."""

    upstream: str
    incarnation: int
    source_port: int
    sequence: int
    is_known_flow: bool


def build_packet(
    source: tuple[str, int], address: str, flags: int, payload: FlowPayload, padding_bytes: int = 0
) -> bytes:
    """Build an IPv4 packet with TCP inside, addressed to a virtual address."""
    host, port = address.split("/")[0].rsplit(":", 1)
    data = msgpack.packb(
        [payload.service, payload.reply_port, payload.sequence, b"\0" * padding_bytes]
    )
    tcp = dpkt.tcp.TCP(
        sport=source[1], dport=int(port), seq=payload.sequence, flags=flags, data=data
    )
    ip = dpkt.ip.IP(
        src=socket.inet_aton(source[0]),
        dst=socket.inet_aton(host),
        p=dpkt.ip.IP_PROTO_TCP,
        data=tcp,
    )
    ip.len = len(ip)
    return bytes(ip)


def parse_packet(data: bytes) -> tuple[tuple[str, int], int, FlowPayload]:
    """Return source, TCP flags and payload of a packet made by `build_packet`."""
    source_port = struct.unpack_from("!H", data, 20)[0]
    flags = data[33]
    service, reply_port, sequence, _ = msgpack.unpackb(data[40:])
    source = (socket.inet_ntoa(data[12:16]), source_port)
    return source, flags, FlowPayload(service, reply_port, sequence)


def encode_reply(reply: FlowReply) -> bytes:
    """Encode an upstream's answer."""
    fields = [
        reply.upstream,
        reply.incarnation,
        reply.source_port,
        reply.sequence,
        reply.is_known_flow,
    ]
    encoded: bytes = msgpack.packb(fields)
    return encoded


def decode_reply(data: bytes) -> FlowReply:
    """Decode an upstream's answer."""
    return FlowReply(*msgpack.unpackb(data))
