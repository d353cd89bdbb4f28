"""Tests of network partitions between data centres and of their healing."""

import pytest

from chicorypost.base import DataCentreId, hash64
from chicorypost.flows import DropReason, FlowRouter, ReachableChanged
from chicorypost.flows.tests.explorer import flows_in_slot
from chicorypost.flows.tests.fakes import HOME, ORDERS, Cluster, packet, upstream

AWAY = DataCentreId("aalst")
SIDES = {HOME: ("a", "b", "c"), AWAY: ("x", "y", "z")}
DATA_CENTRES = {name: data_centre for data_centre, names in SIDES.items() for name in names}
ALL_DATA_CENTRES = frozenset(SIDES)


def two_sides(**settings):
    upstreams = [upstream("u1"), upstream("u2"), upstream("v1", data_centre=AWAY)]
    settings.setdefault("pass_to_owner", True)
    return Cluster("abcxyz", upstreams, slots=12, data_centres=DATA_CENTRES, **settings)


def cut(cluster):
    """Partition the data centres from each other without changing the upstream directories."""
    for name, data_centre in DATA_CENTRES.items():
        cluster.handle_event(name, ReachableChanged(frozenset({data_centre})))
    cluster.cut = True
    settle(cluster)


def heal(cluster, ports=()):
    """Heal the partition; packets arrive before any message is delivered across it."""
    cluster.cut = False
    cluster.in_flight.clear()
    for name in DATA_CENTRES:
        cluster.handle_event(name, ReachableChanged(ALL_DATA_CENTRES))
    for name in DATA_CENTRES:
        for port in ports:
            cluster.send_packet(name, port)
    settle(cluster)


def settle(cluster, rounds=12):
    for _ in range(rounds):
        cluster.advance(0.25)
        while cluster.in_flight:
            sender, to, _ = cluster.in_flight[0]
            if getattr(cluster, "cut", False) and DATA_CENTRES[sender] != DATA_CENTRES[to]:
                cluster.in_flight.pop(0)
            else:
                cluster.deliver_message()


def slot_default(cluster, name, port):
    table = cluster.routers[name].state.services[ORDERS].table
    return table.entries[hash64(packet(port).flow) % len(table.entries)].default


@pytest.mark.parametrize("pass_to_owner", [True, False])
def test_flows_pass_between_data_centres_and_keep_their_upstream_while_slots_move(pass_to_owner):
    cluster = two_sides(pass_to_owner=pass_to_owner)
    older, newer = range(1, 40), range(40, 80)
    for port in older:
        cluster.send_packet("ax"[port % 2], port, opens=True)
    cluster.change_upstreams(upstream("v2", data_centre=AWAY))
    settle(cluster)
    for port in newer:
        cluster.send_packet("by"[port % 2], port, opens=True)
    settle(cluster)
    for name in DATA_CENTRES:
        for port in (*older, *newer):
            cluster.send_packet(name, port)
        settle(cluster, rounds=4)
    assert [port for port in (*older, *newer) if len(cluster.targets(port)) != 1] == []
    assert any("v2" in cluster.targets(port) for port in newer)
    forwarders = {(name, to) for name, _, _, to in cluster.outcomes}
    assert all(DATA_CENTRES[name] == (AWAY if to[0] == "v" else HOME) for name, to in forwarders)


def test_both_sides_place_new_flows_locally_and_break_none_after_healing():
    cluster = two_sides()
    older = range(1, 60)
    for port in older:
        cluster.send_packet("ax"[port % 2], port, opens=True)
    cut(cluster)
    local, remote_new = range(100, 140), range(200, 240)
    for port in local:
        cluster.send_packet("abc"[port % 3], port, opens=True)
    for port in remote_new:
        cluster.send_packet("xyz"[port % 3], port, opens=True)
    settle(cluster)
    assert all(cluster.targets(port) <= {"u1", "u2"} for port in local)
    assert all(cluster.targets(port) == {"v1"} for port in remote_new)
    assert all(cluster.targets(port) for port in local)
    flows = (*older, *local, *remote_new)
    heal(cluster, flows)
    for name in DATA_CENTRES:
        for port in flows:
            cluster.send_packet(name, port)
        settle(cluster, rounds=4)
    assert [port for port in flows if len(cluster.targets(port)) != 1] == []


def test_a_side_that_forwards_by_its_own_table_after_healing_breaks_flows(monkeypatch):
    monkeypatch.setattr(FlowRouter, "_must_restart_sync", lambda *_: False)
    with pytest.raises(AssertionError):
        test_both_sides_place_new_flows_locally_and_break_none_after_healing()


def test_flows_of_the_far_side_are_dropped_and_counted_during_a_partition():
    cluster = two_sides()
    remote = [port for port in range(1, 80) if slot_default(cluster, "a", port) == "v1"]
    for port in remote:
        cluster.send_packet("a", port, opens=True)
    cut(cluster)
    logged = len(cluster.outcomes)
    for port in remote:
        cluster.send_packet("a", port)
    settle(cluster)
    assert {to for _, _, _, to in cluster.outcomes[logged:]} == {DropReason.UNREACHABLE}
    counters = [cluster.routers[name].state.counters for name in SIDES[HOME]]
    assert sum(counter["dropped-unreachable"] for counter in counters) == len(remote)


def test_the_loss_of_a_remote_upstream_from_the_directory_changes_no_default():
    cluster = two_sides()
    remote = [port for port in range(1, 80) if slot_default(cluster, "a", port) == "v1"]
    for port in remote:
        cluster.send_packet("x", port, opens=True)
    cut(cluster)
    cluster.change_upstreams(removed=["v1"], to=SIDES[HOME])
    settle(cluster, rounds=60)
    assert {slot_default(cluster, "a", port) for port in remote} == {"v1"}
    cluster.change_upstreams(upstream("v1", data_centre=AWAY), to=SIDES[HOME])
    heal(cluster)
    for name in DATA_CENTRES:
        for port in remote:
            cluster.send_packet(name, port)
        settle(cluster, rounds=4)
    assert all(cluster.targets(port) == {"v1"} for port in remote)


def test_a_move_in_progress_when_the_partition_begins_breaks_no_flow():
    cluster = two_sides()
    older = flows_in_slot(cluster, "u1", 12)
    for port in older:
        cluster.send_packet("b", port, opens=True)
    cluster.change_upstreams(upstream("v2", data_centre=AWAY))
    cluster.advance(0.25)
    for _ in range(4):
        cluster.deliver_message()
    cut(cluster)
    newer = range(100, 140)
    for port in newer:
        cluster.send_packet("abcxyz"[port % 6], port, opens=True)
    settle(cluster)
    heal(cluster)
    for name in DATA_CENTRES:
        for port in (*older, *newer):
            cluster.send_packet(name, port)
        settle(cluster, rounds=4)
    assert [port for port in older if cluster.targets(port) != {"u1"}] == []
    assert [port for port in newer if len(cluster.targets(port)) != 1] == []
