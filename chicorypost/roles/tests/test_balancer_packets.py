"""Packets at the start and the stop of a balancer role.

At a planned stop packets are forwarded until the fabric has stopped sending them.
"""

import os
import signal
import socket

import pytest
import trio

from chicorypost.announcements import (
    AnnouncedStatus,
    Announcement,
    RoutingApplied,
    VisibleUpstream,
    VisibleUpstreamsChanged,
)
from chicorypost.base import DataCentreId, Endpoint, Instant, ServiceId, UpstreamId, Version
from chicorypost.platform import NodeSettings
from chicorypost.platform._packets import make_address
from chicorypost.platform.tests.test_readers import SYN
from chicorypost.roles import _balancer as module
from chicorypost.roles._balancer import BalancerRole
from chicorypost.roles._balancer_core import BalancerCore
from chicorypost.roles._event_log import EventLog
from chicorypost.routing import (
    Retryability,
    Route,
    RoutingDocument,
    ServiceSpec,
    WeightedService,
)

SERVICE = ServiceId("orders")
TOKEN_BYTES = 8
COOKIE_OFFSET = 28
RECEIVE_TIMEOUT_SECONDS = 2.0
SHORT_DRAIN_SECONDS = 0.6


def bind_socket(host="127.0.0.1"):
    bound = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    bound.bind((host, 0))
    bound.settimeout(RECEIVE_TIMEOUT_SECONDS)
    return bound


def find_free_endpoint():
    with bind_socket() as unused:
        return Endpoint(*unused.getsockname())


def make_unconfigured_role():
    packets = find_free_endpoint()
    settings = NodeSettings(
        name="balancer-1",
        host="127.0.0.1",
        data_centre=DataCentreId("a"),
        packets=packets,
        readiness=find_free_endpoint(),
        control=None,
        peer_port=1,
        seeds=(),
        founds=False,
        data_folder=None,
        announcement_seconds=1.0,
        lost_disks=1,
        stop_seconds=6.0,
    )
    event_log = EventLog(lambda _, __: None)
    return BalancerRole(BalancerCore(settings, event_log), event_log)


def configure(role, upstream_socket):
    """Give a role a route and one upstream."""
    address = make_address("198.18.0.1", 443)
    shares = (WeightedService(SERVICE, 1),)
    route = Route("r", address, shares, Retryability.NON_IDEMPOTENT, 1000, 100, 1)
    role.engine.post(
        RoutingApplied(
            RoutingDocument(Version(1), (route,), (ServiceSpec(SERVICE, "/", 10),), 15.0)
        )
    )
    endpoint = Endpoint(*upstream_socket.getsockname())
    announcement = Announcement(
        UpstreamId("i-1"),
        1,
        1,
        SERVICE,
        DataCentreId("a"),
        endpoint,
        1,
        2,
        AnnouncedStatus.READY,
        0,
    )
    role.engine.post(VisibleUpstreamsChanged((VisibleUpstream(announcement, False, Instant(0.0)),)))


@pytest.fixture
def upstream_socket():
    with bind_socket() as bound:
        yield bound


def test_packets_are_forwarded_while_a_stop_is_in_progress(upstream_socket, monkeypatch):
    """The fabric notices the stop only after two probes and sends new flows until then."""
    monkeypatch.setattr(module, "DRAIN_SECONDS", SHORT_DRAIN_SECONDS)
    received = []

    async def stop_and_send():
        role = make_unconfigured_role()
        configure(role, upstream_socket)
        target = role.settings.packets
        async with trio.open_nursery() as nursery:
            nursery.start_soon(role.run)
            await trio.sleep(0.1)
            os.kill(os.getpid(), signal.SIGTERM)
            stopped_at = trio.current_time()
            with bind_socket() as client:
                for _ in range(3):
                    await trio.sleep(SHORT_DRAIN_SECONDS / 4)
                    assert role.unready_reason() == "stopping"
                    client.sendto(SYN, (target.host, target.port))
                    received.append(await trio.to_thread.run_sync(upstream_socket.recv, 2048))
        role.core.packet_socket.close()
        return trio.current_time() - stopped_at

    assert trio.run(stop_and_send) >= SHORT_DRAIN_SECONDS
    assert [data[TOKEN_BYTES:][:COOKIE_OFFSET] for data in received] == [SYN[:COOKIE_OFFSET]] * 3


def test_packets_that_come_before_the_configuration_are_forwarded_after_it(upstream_socket):
    """Pattern: power lost everywhere; clients' packets come before control instances answer.

    An opening that was dropped cost its client 0.2 s until the next copy.
    """

    async def send_and_configure():
        role = make_unconfigured_role()
        target = role.settings.packets
        async with trio.open_nursery() as nursery:
            nursery.start_soon(role.run)
            await trio.sleep(0.1)
            with bind_socket() as client:
                client.sendto(SYN, (target.host, target.port))
                await trio.sleep(0.1)
                configure(role, upstream_socket)
                data = await trio.to_thread.run_sync(upstream_socket.recv, 2048)
            nursery.cancel_scope.cancel()
        role.core.packet_socket.close()
        return data

    data = trio.run(send_and_configure)
    assert data[TOKEN_BYTES:][:COOKIE_OFFSET] == SYN[:COOKIE_OFFSET]
