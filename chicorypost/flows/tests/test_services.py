"""Tests that packets of one service never reach an upstream of another."""

import itertools

import pytest

from chicorypost.base import ServiceId, Version
from chicorypost.configuration import ConfigurationApplied
from chicorypost.flows import Dropped, DropReason, ForwardTo
from chicorypost.flows.tests.fakes import ORDERS, Cluster, document, packet, upstream

ARCHIVE = ServiceId("archive")


def test_an_endpoint_taken_over_by_another_service_gets_no_packet_of_the_first():
    cluster = Cluster("ab", [upstream("u1"), upstream("u2")], slots=4)
    for port in range(20):
        cluster.send_packet("a", port, opens=True)
    on_first = [port for port in range(20) if cluster.targets(port) == {"u1"}]
    cluster.change_upstreams(upstream("x1", service=ARCHIVE, host="u1", incarnation=5))
    logged = len(cluster.outcomes)
    for port in on_first:
        cluster.send_packet("a", port)
        cluster.send_packet("b", port)
    assert {to for _, _, _, to in cluster.outcomes[logged:]} == {DropReason.UPSTREAM_GONE}
    cluster.settle(rounds=40)
    for port in range(100, 140):
        cluster.send_packet("b", port, opens=True)
    cluster.settle()
    assert all(cluster.targets(port) == {"u2"} for port in range(100, 140))


def test_an_upstream_id_that_returns_with_another_service_gets_no_packet_of_the_first():
    cluster = Cluster("a", [upstream("u1"), upstream("u2")], slots=4)
    for port in range(20):
        cluster.send_packet("a", port, opens=True)
    on_first = [port for port in range(20) if cluster.targets(port) == {"u1"}]
    cluster.change_upstreams(upstream("u1", service=ARCHIVE, incarnation=2))
    logged = len(cluster.outcomes)
    for port in on_first:
        cluster.send_packet("a", port)
    assert {to for _, _, _, to in cluster.outcomes[logged:]} == {DropReason.WRONG_SERVICE}


OWNED = document((ORDERS,))
RELEASED = document(())
GIVEN_AWAY = document((ARCHIVE,))


@pytest.mark.parametrize("order", set(itertools.permutations("aabb")))
def test_an_address_that_changes_service_by_a_release_never_misdirects(order):
    """Every balancer confirms the release before the address is given away."""
    cluster = Cluster("ab", [upstream("u1"), upstream("x1", service=ARCHIVE)], slots=2)
    cluster.document = OWNED
    steps = {"a": 0, "b": 0}
    for name in "ab":
        cluster.send_packet(name, 1, opens=True)
    for name in order:
        if steps[name] == 1 and min(steps.values()) < 1:
            continue
        steps[name] += 1
        applied = ConfigurationApplied(
            Version(1 + steps[name]), [RELEASED, GIVEN_AWAY][steps[name] - 1]
        )
        cluster.handle_event(name, applied)
        seen = {reached(cluster, at, 1) for at in "ab"}
        assert not {"u1", "x1"} <= seen
    cluster.settle()


def reached(cluster, name, port):
    """Return the upstream that a balancer sends a packet to, or why it drops it."""
    decision = cluster.routers[name].route(packet(port), cluster.now)
    match decision:
        case ForwardTo(to):
            return to.upstream
        case Dropped(reason):
            return reason
    return None
