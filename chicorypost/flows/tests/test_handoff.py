"""Tests of slot handoffs: members that join, leave, freeze or fail while slots move."""

import pytest

from chicorypost.base import (
    Instant,
    LeaseChanged,
    UpstreamId,
    UpstreamState,
    hash64,
)
from chicorypost.flows import DropReason
from chicorypost.flows._owner import SlotOwner
from chicorypost.flows.tests.explorer import flows_in_slot
from chicorypost.flows.tests.fakes import LEASE, ORDERS, Cluster, packet, upstream

NAMES = "abcde"


def moving_cluster(names=NAMES, **settings):
    """Return a cluster that drains u1, with flows opened before and during the drain."""
    cluster = Cluster(names, [upstream("u1"), upstream("u2"), upstream("u3")], slots=8, **settings)
    ports = flows_in_slot(cluster, "u1", 40)
    older, newer = ports[:20], ports[20:]
    for port in older:
        cluster.send_packet("a", port, opens=True)
    cluster.change_upstreams(upstream("u1", state=UpstreamState.DRAINING))
    cluster.settle()
    for port in newer:
        cluster.send_packet("b", port, opens=True)
    cluster.settle()
    assert all(cluster.targets(port) == {"u1"} for port in older)
    assert all(cluster.targets(port) and "u1" not in cluster.targets(port) for port in newer)
    return cluster, older, newer


def send_from_everywhere(cluster, ports):
    for name in cluster.routers:
        for port in ports:
            cluster.send_packet(name, port)
    cluster.settle()


def broken_flows(cluster, ports):
    return [port for port in ports if len(cluster.targets(port)) != 1]


def owners_of(cluster, port):
    state = next(iter(cluster.routers.values())).state
    slots = len(state.services[ORDERS].table.entries)
    return state.owners(ORDERS, hash64(packet(port).flow) % slots)


def test_flows_keep_their_upstream_and_a_draining_upstream_gets_no_new_ones():
    cluster, older, newer = moving_cluster()
    send_from_everywhere(cluster, older + newer)
    assert broken_flows(cluster, older + newer) == []


def test_a_balancer_that_joins_with_no_state_syncs_before_it_forwards():
    cluster, older, newer = moving_cluster()
    cluster.start_router("f")
    cluster.send_packet("f", older[0])
    assert cluster.targets(older[0]) == {"u1"} and cluster.outcomes[-1][0] != "f"
    cluster.set_views([*NAMES, "f"])
    send_from_everywhere(cluster, older + newer)
    assert broken_flows(cluster, older + newer) == []
    assert {to for name, _, _, to in cluster.outcomes if name == "f"} >= {"u1", "u2"}


@pytest.mark.parametrize("lost", [0, 1])
def test_losing_the_owner_or_the_backup_of_a_moving_slot_breaks_nothing(lost):
    for port_index in range(0, 20, 5):
        cluster, older, newer = moving_cluster()
        cluster.kill(owners_of(cluster, newer[port_index])[lost])
        send_from_everywhere(cluster, older + newer)
        assert broken_flows(cluster, older + newer) == []


def open_while_the_owner_dies(delivered):
    """Open flows in a moving slot and kill their owner after some messages are delivered."""
    cluster, _older, newer = moving_cluster()
    owner = owners_of(cluster, newer[0])[0]
    owned = [port for port in range(2000, 2200) if owners_of(cluster, port)[0] == owner]
    entry = next(name for name in NAMES if name not in owners_of(cluster, newer[0]))
    for port in owned:
        cluster.send_packet(entry, port, opens=True)
    for _ in range(delivered):
        cluster.advance(0.01)
        if cluster.in_flight:
            cluster.deliver_message()
    cluster.in_flight = [item for item in cluster.in_flight if owner not in item[:2]]
    cluster.kill(owner)
    cluster.settle()
    placed = [port for port in owned if cluster.targets(port)]
    send_from_everywhere(cluster, placed)
    return broken_flows(cluster, placed)


@pytest.mark.parametrize("delivered", range(10))
def test_the_owner_may_die_at_every_step_of_placing_an_open(delivered):
    assert open_while_the_owner_dies(delivered) == []


def test_an_owner_that_replies_before_the_backup_has_stored_breaks_flows(monkeypatch):
    def reply_at_once(owner, service, slot, flow, upstream, requester, replies, now):
        replies.setdefault((requester, service), []).append((flow, upstream))

    monkeypatch.setattr(SlotOwner, "_store_at_backup", reply_at_once)
    assert any(open_while_the_owner_dies(delivered) for delivered in range(10))


def test_losing_owner_and_backup_breaks_only_the_flows_registered_there():
    cluster, older, newer = moving_cluster()
    pair = set(owners_of(cluster, newer[0]))
    expected = {port for port in newer if set(owners_of(cluster, port)) <= pair}
    survivor = next(name for name in NAMES if name not in pair)
    cluster.kill(*pair)
    for router in cluster.routers.values():
        router.state.cache.clear()
    send_from_everywhere(cluster, older + newer)
    assert set(broken_flows(cluster, older + newer)) == expected
    lost = sum(r.state.counters["slots-with-lost-register"] for r in cluster.routers.values())
    assert lost > 0 and survivor in cluster.routers


def test_one_loss_after_another_breaks_nothing_once_the_register_is_copied():
    cluster, older, newer = moving_cluster("abcdefg")
    for _ in range(4):
        cluster.kill(owners_of(cluster, newer[0])[0])
        cluster.settle()
    send_from_everywhere(cluster, older + newer)
    assert broken_flows(cluster, older + newer) == []


def test_every_balancer_is_replaced_while_slots_move():
    cluster, older, newer = moving_cluster()
    for number, name in enumerate(NAMES):
        cluster.start_router(f"n{number}")
        cluster.set_views(list(cluster.routers))
        cluster.settle()
        cluster.kill(name)
        cluster.settle()
    send_from_everywhere(cluster, older + newer)
    assert broken_flows(cluster, older + newer) == []


def test_a_drained_upstream_that_dies_settles_its_slots_and_ends_only_its_flows():
    cluster, _older, newer = moving_cluster()
    cluster.change_upstreams(removed=["u1"])
    cluster.settle(rounds=40)
    table = cluster.routers["a"].state.services[ORDERS].table
    assert not table.moving
    assert all(entry.default != UpstreamId("u1") for entry in table.entries)
    before = len(cluster.outcomes)
    for router in cluster.routers.values():
        router.state.cache.clear()
    send_from_everywhere(cluster, newer)
    assert broken_flows(cluster, newer) == []
    assert all(to != "u1" for _, _, _, to in cluster.outcomes[before:])


def test_a_second_drain_during_the_first_keeps_the_oldest_default():
    cluster, older, newer = moving_cluster()
    cluster.change_upstreams(upstream("u2", state=UpstreamState.DRAINING))
    cluster.settle()
    latest = list(range(2000, 2040))
    for port in latest:
        cluster.send_packet("c", port, opens=True)
    cluster.settle()
    send_from_everywhere(cluster, older + newer + latest)
    assert broken_flows(cluster, older + newer + latest) == []
    assert all(cluster.targets(port) == {"u3"} for port in latest)


def test_idle_time_settles_a_move_from_an_upstream_that_stays_live():
    idle = {"settle_idle_seconds": 20, "activity_report_seconds": 2, "cache_idle_seconds": 1e6}
    cluster = Cluster("abc", [upstream("u1"), upstream("u2")], slots=8, **idle)
    ports = flows_in_slot(cluster, "u1", 20)
    for port in ports:
        cluster.send_packet("a", port, opens=True)
    cluster.change_upstreams(upstream("u3"))
    cluster.settle()
    table = cluster.routers["a"].state.services[ORDERS].table
    assert table.moving
    for _ in range(40):
        cluster.settle(rounds=1, seconds=1.0)
        for port in ports:
            cluster.send_packet("b", port)
    kept = set(table.moving)
    assert kept
    cluster.settle(rounds=40, seconds=1.0)
    assert not table.moving


def test_a_frozen_balancer_forwards_nothing_until_it_has_the_new_table():
    cluster, _older, newer = moving_cluster("abc")
    frozen = cluster.routers.pop("a")
    cluster.set_views(["b", "c"])
    cluster.change_upstreams(removed=["u1"])
    cluster.settle(rounds=40)
    cluster.routers["a"] = frozen
    frozen.state.lease_end = Instant(cluster.now - 1)
    logged = len(cluster.outcomes)
    for port in newer:
        cluster.send_packet("a", port)
    assert {to for _, _, _, to in cluster.outcomes[logged:]} == {DropReason.NO_LEASE}
    cluster.handle_event("a", LeaseChanged(LEASE))
    logged = len(cluster.outcomes)
    for port in newer:
        cluster.send_packet("a", port)
    assert len(cluster.outcomes) == logged
    cluster.set_views(["a", "b", "c"])
    cluster.settle()
    send_from_everywhere(cluster, newer)
    assert broken_flows(cluster, newer) == []


@pytest.mark.parametrize("state", [UpstreamState.STARTING, UpstreamState.DRAINING, None])
def test_without_a_ready_upstream_opens_are_dropped_and_counted(state):
    cluster = Cluster("ab", [upstream("u1"), upstream("x1", service="other")], slots=4)
    cluster.send_packet("a", 1, opens=True)
    if state is None:
        cluster.change_upstreams(removed=["u1"])
    else:
        cluster.change_upstreams(upstream("u1", state=state))
    cluster.settle()
    cluster.send_packet("b", 2, opens=True)
    cluster.settle()
    assert cluster.outcomes[-1] == ("b", 2, True, DropReason.NO_UPSTREAM)
    assert cluster.targets(2) == set()
    assert cluster.routers["b"].state.counters["dropped-no-upstream"] == 1


def test_a_balancer_that_left_the_view_passes_packets_to_the_others():
    cluster, older, newer = moving_cluster()
    cluster.set_views([name for name in NAMES if name != "a"], to=NAMES)
    cluster.settle()
    cluster.routers["a"].state.cache.clear()
    logged = len(cluster.outcomes)
    latest = range(3000, 3020)
    for port in (*older, *newer):
        cluster.send_packet("a", port)
    for port in latest:
        cluster.send_packet("a", port, opens=True)
    cluster.settle()
    assert broken_flows(cluster, (*older, *newer, *latest)) == []
    assert all(name != "a" for name, _, _, _ in cluster.outcomes[logged:])
