"""Spread of announcements between control instances and to balancers, under faults."""

import msgspec
import pytest

from chicorypost.announcements import AnnouncedStatus, LeaveNotice, PeerConnected
from chicorypost.announcements.tests.network import SETTINGS, Network
from chicorypost.announcements.tests.test_table import ARCHIVE, ORDERS, announce
from chicorypost.base import UpstreamId


@pytest.fixture
def network():
    return Network(["c1", "c2", "c3"])


def ready(sequence, upstream=ORDERS, host="10.0.0.1"):
    return announce(upstream, sequence=sequence, host=host)


def draining(sequence):
    return announce(sequence=sequence, standing=AnnouncedStatus.DRAINING)


def keep_calling(network, name, upstream=ORDERS, host="10.0.0.1"):
    numbers = iter(range(10, 10_000))
    return lambda: network.announce(name, ready(next(numbers), upstream, host))


def test_a_call_at_one_instance_reaches_the_others_and_the_balancer(network):
    network.announce("c1", ready(1))
    assert all(ORDERS in keeper.table.entries for keeper in network.keepers.values())
    assert network.seen[ORDERS].announcement.standing is AnnouncedStatus.READY


def test_a_drain_is_answered_when_the_peers_hold_it(network):
    network.announce("c1", ready(1))
    network.answered.clear()
    network.cut |= {("c2", "c1"), ("c3", "c1")}
    network.announce("c1", draining(2), "drain")
    assert network.answered == []
    network.run(SETTINGS.hold_seconds + 0.2)
    assert [call for call, _ in network.answered] == ["drain"]


def test_a_drain_survives_the_instance_that_took_it(network):
    network.announce("c1", ready(1))
    network.announce("c1", draining(2))
    network.stop("c1")
    network.start("c1", 9)
    assert (
        network.keepers["c1"].table.entries[ORDERS].announcement.standing
        is AnnouncedStatus.DRAINING
    )
    assert network.seen[ORDERS].announcement.standing is AnnouncedStatus.DRAINING


def test_a_drain_lost_on_its_way_to_a_peer_is_fetched(network):
    network.announce("c1", ready(1))
    network.cut |= {("c1", "c2"), ("c1", "balancer")}
    network.announce("c1", draining(2))
    network.cut.clear()
    network.announce("c1", draining(3))
    network.run(1.0)
    assert (
        network.keepers["c2"].table.entries[ORDERS].announcement.standing
        is AnnouncedStatus.DRAINING
    )


def test_a_page_lost_on_its_way_to_the_balancer_is_fetched(network):
    network.cut |= {(name, "balancer") for name in network.names}
    network.announce("c1", ready(1))
    assert ORDERS not in network.seen
    network.cut.clear()
    network.run(2.5, keep_calling(network, "c1"))
    assert ORDERS in network.seen


def test_silence_needs_all_connected_instances(network):
    call = keep_calling(network, "c1")
    network.run(4.0, call)
    assert not network.seen[ORDERS].silent
    network.run(SETTINGS.silent_seconds + 1.0)
    assert network.seen[ORDERS].silent
    call()
    assert not network.seen[ORDERS].silent


def test_instances_that_have_just_started_silence_nobody(network):
    network.run(4.0, keep_calling(network, "c1"))
    for name in list(network.names):
        network.stop(name)
    for number, name in enumerate(network.names):
        network.start(name, 20 + number)
    network.run(1.0)
    assert not network.seen[ORDERS].silent
    network.run(SETTINGS.silent_seconds + 1.0)
    assert network.seen[ORDERS].silent


def test_everything_stays_while_no_instance_is_connected(network):
    network.run(4.0, keep_calling(network, "c1"))
    for name in list(network.names):
        network.stop(name)
    network.run(30.0)
    assert not network.seen[ORDERS].silent


def test_a_balancer_is_cut_off_when_it_reaches_less_than_half_of_the_instances(network):
    assert not network.view.is_cut_off
    network.stop("c1")
    assert not network.view.is_cut_off
    network.stop("c2")
    assert network.view.is_cut_off
    network.start("c1", 9)
    assert not network.view.is_cut_off


def test_a_cut_between_instances_does_not_silence_what_either_side_hears(network):
    here, there = keep_calling(network, "c1"), keep_calling(network, "c3", ARCHIVE, "10.0.0.2")

    def both():
        here()
        there()

    network.run(4.0, both)
    network.cut |= {("c1", "c3"), ("c3", "c1"), ("c2", "c3"), ("c3", "c2")}
    network.run(8.0, both)
    assert not network.seen[ORDERS].silent
    assert not network.seen[ARCHIVE].silent


def test_a_restart_under_the_same_name_is_taken_though_its_numbers_start_anew(network):
    network.announce("c1", draining(50))
    network.announce("c2", announce(born=2000, sequence=1))
    assert network.seen[ORDERS].announcement.standing is AnnouncedStatus.READY


def test_what_has_left_does_not_come_back_by_a_late_call(network):
    network.announce("c1", ready(1))
    network.announce("c2", LeaveNotice(ORDERS, None, None))
    network.announce("c3", ready(2))
    assert network.seen[ORDERS].announcement.standing is AnnouncedStatus.GONE


def test_a_reconnected_balancer_gets_the_whole_table(network):
    network.announce("c1", ready(1))
    other = UpstreamId("i-9")
    network.cut |= {(name, "balancer") for name in network.names}
    network.announce("c1", ready(1, other, "10.0.0.9"))
    network.cut.clear()
    network.tell(network.balancer, PeerConnected(network.names[1]))
    assert other in network.seen


def test_a_dead_upstream_is_forgotten_in_the_end(network):
    network.run(2.0, keep_calling(network, "c1"))
    network.run(SETTINGS.forget_seconds + SETTINGS.silent_seconds + 2.0)
    assert ORDERS not in network.view.known
    network.announce("c1", ready(90))
    assert ORDERS in network.view.known


def test_slow_upstreams_are_known_until_when(network):
    network.run(1.0)
    network.announce("c1", msgspec.structs.replace(ready(1), warm_in_ms=2000))
    assert network.seen[ORDERS].warm_at == pytest.approx(network.now + 2.0)
