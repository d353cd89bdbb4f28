"""Resets of stalled requests in the packet path of a balancer, and what disturbs the evidence."""

import struct
from types import SimpleNamespace
from typing import cast

import msgspec
import pytest

from chicorypost.base import FlowKey, UpstreamId
from chicorypost.cookies import (
    BalancingSettings,
    CookiePacket,
    CookieRouter,
    RepeatingRouter,
    ResetStalledFlow,
)
from chicorypost.cookies._packet import RepeatReason
from chicorypost.platform import make_flow_reset, make_reset_packet, read_flow_ends, read_packet
from chicorypost.platform.tests.test_readers import SYN
from chicorypost.roles._balancer_core import BalancerCore
from chicorypost.roles._event_log import EventLog
from chicorypost.roles.tests.test_balancer_packets import bind_socket, make_unconfigured_role

OPENING = cast(CookiePacket, read_packet(SYN))
KEY = FlowKey(struct.pack(">HHII", 40_000, 443, 0xC6120001, 0x7F000001))
"""From 127.0.0.1:40000 to 198.18.0.1:443."""


@pytest.fixture
def core():
    role = make_unconfigured_role()
    role.core.packet_socket.close()
    settings = msgspec.structs.replace(
        role.core.settings,
        balancing=BalancingSettings(repeat_share=0.1),
        link_bytes_per_second=1000.0,
    )
    core = BalancerCore(settings, EventLog(lambda _, __: None))
    yield core
    core.packet_socket.close()


def test_only_a_deployment_with_repeats_has_the_repeating_router(core):
    role = make_unconfigured_role()
    role.core.packet_socket.close()
    assert type(role.core.router) is CookieRouter
    assert type(core.router) is RepeatingRouter


def test_a_reset_is_built_from_the_flow_alone():
    """It equals the one that is built from a packet of the client."""
    assert make_flow_reset(OPENING.flow, OPENING.ack_number) == make_reset_packet(SYN)
    assert read_flow_ends(OPENING.flow).address == OPENING.address
    host, reset = make_flow_reset(KEY, 77)
    checksum, size, sequence, ack, flags = struct.unpack_from(">IHIIB", reset)
    assert (host, checksum, size, sequence, ack, flags) == ("127.0.0.1", 0, 0, 77, 0, 16)
    assert struct.unpack_from(">HHII", reset, 16) == (443, 40_000, 0x7F000001, 0xC6120001)


def test_a_stalled_flow_is_reset_at_its_client_and_logged(core):
    with bind_socket() as client:
        core.forwarder.client_port = client.getsockname()[1]
        effect = ResetStalledFlow(KEY, 77, RepeatReason.JUDGED, UpstreamId("i-1"), "orders", 1, 0.7)
        core.forwarder.reset_stalled_flow(effect)
        assert client.recv(2048) == make_flow_reset(KEY, 77)[1]
    assert core.event_log.counts_by_name()["stalled-flow-reset"] == 1


@pytest.mark.parametrize(("packets", "is_disturbed"), [(1, False), (8, True)])
def test_a_full_link_disturbs_the_evidence(core, packets, is_disturbed):
    """Requests that wait in the own queue look like requests that an upstream doesn't answer."""
    now = core.router.repeats.seen_at
    datagram = bytes(200)
    for number in range(packets):
        if not core.pacer.admit(datagram, now):
            packet = OPENING._replace(flow=FlowKey(bytes([number]) * 12))
            core.forwarder._enqueue_datagram(packet, datagram, ("127.0.0.1", 9))
    assert core.router.repeats.has_local_fault is is_disturbed


def test_a_socket_that_refuses_datagrams_disturbs_the_evidence(core):
    def refuse(*_):
        raise BlockingIOError

    core.forwarder.packet_socket = SimpleNamespace(sendto=refuse)
    core.forwarder._send_datagram(b"x", ("127.0.0.1", 9))
    assert core.router.repeats.has_local_fault
