"""Tests of packet parsing, with dpkt as the reference."""

import dpkt
import pytest
from hypothesis import given
from hypothesis import strategies as st

from chicorypost.flows import BadPacket, PacketFault, ParsedPacket, parse_packet


def build(flags=dpkt.tcp.TH_ACK, protocol=6, payload=b"x"):
    if protocol == 6:
        inner = dpkt.tcp.TCP(sport=1234, dport=443, flags=flags, data=payload)
    else:
        inner = dpkt.udp.UDP(sport=1234, dport=443, ulen=8 + len(payload), data=payload)
    packet = dpkt.ip.IP(src=b"\x0a\0\0\1", dst=b"\x0a\0\0\2", p=protocol, data=inner)
    packet.len = len(packet)
    return bytes(packet)


@pytest.mark.parametrize(
    ("flags", "opens", "closes"),
    [
        (dpkt.tcp.TH_SYN, True, False),
        (dpkt.tcp.TH_SYN | dpkt.tcp.TH_ACK, False, False),
        (dpkt.tcp.TH_ACK, False, False),
        (dpkt.tcp.TH_FIN | dpkt.tcp.TH_ACK, False, True),
        (dpkt.tcp.TH_RST, False, True),
    ],
)
def test_tcp_flags_mark_opens_and_closes(flags, opens, closes):
    packet = parse_packet(build(flags))
    assert isinstance(packet, ParsedPacket)
    assert (packet.opens, packet.closes, packet.address) == (opens, closes, "10.0.0.2:443/tcp")
    assert len(packet.flow) == 13


def test_udp_neither_opens_nor_closes():
    packet = parse_packet(build(protocol=17))
    assert isinstance(packet, ParsedPacket)
    assert (packet.opens, packet.closes, packet.address) == (False, False, "10.0.0.2:443/udp")


def patched(offset, *values):
    data = bytearray(build())
    data[offset : offset + len(values)] = bytes(values)
    return bytes(data)


@pytest.mark.parametrize(
    ("data", "fault"),
    [
        (b"", PacketFault.TRUNCATED),
        (build()[:30], PacketFault.TRUNCATED),
        (build()[:-1], PacketFault.TRUNCATED),
        (build() + b"x", PacketFault.WRONG_LENGTH),
        (bytes(65_536), PacketFault.OVERSIZED),
        (patched(0, 0x65), PacketFault.WRONG_VERSION),
        (patched(0, 0x46), PacketFault.OPTIONS),
        (patched(0, 0x44), PacketFault.WRONG_LENGTH),
        (patched(6, 0x20, 0), PacketFault.FRAGMENT),
        (patched(6, 0, 1), PacketFault.FRAGMENT),
        (patched(9, 1), PacketFault.WRONG_PROTOCOL),
    ],
)
def test_unusable_packets_are_refused_with_their_fault(data, fault):
    packet = parse_packet(data)
    assert isinstance(packet, BadPacket)
    assert packet.fault is fault


@given(st.binary(max_size=80), st.integers(0, 60))
def test_arbitrary_bytes_never_raise(noise, at):
    parse_packet(noise)
    data = bytearray(build())
    data[at : at + len(noise)] = noise
    parse_packet(bytes(data))
