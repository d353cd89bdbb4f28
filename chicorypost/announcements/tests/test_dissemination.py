"""Dissemination of announcements between control instances and to balancers, under faults."""

import msgspec
import pytest

from chicorypost.announcements import (
    AnnouncedStatus,
    AnnouncementOutcome,
    LeaveNotice,
    PeerConnected,
)
from chicorypost.announcements.tests.network import SETTINGS, Network
from chicorypost.announcements.tests.test_table import ARCHIVE, ORDERS, announce
from chicorypost.base import UpstreamId


@pytest.fixture
def network():
    return Network(["c1", "c2", "c3"])


def ready(sequence, upstream=ORDERS, host="10.0.0.1"):
    return announce(upstream, sequence=sequence, host=host)


def draining(sequence):
    return announce(sequence=sequence, status=AnnouncedStatus.DRAINING)


def make_caller(network, name, upstream=ORDERS, host="10.0.0.1"):
    sequences = iter(range(10, 10_000))
    return lambda: network.announce(name, ready(next(sequences), upstream, host))


def test_a_call_at_one_instance_reaches_the_others_and_the_balancer(network):
    network.announce("c1", ready(1))
    assert all(ORDERS in registry.table.entries for registry in network.registries.values())
    assert network.visible_upstreams[ORDERS].announcement.status is AnnouncedStatus.READY


def test_a_drain_call_completes_when_the_peers_have_replicated_it(network):
    network.announce("c1", ready(1))
    network.completed_calls.clear()
    network.cut_links |= {("c2", "c1"), ("c3", "c1")}
    network.announce("c1", draining(2), "drain")
    assert network.completed_calls == []
    network.run(SETTINGS.hold_seconds + 0.2)
    assert [call for call, _ in network.completed_calls] == ["drain"]


@pytest.mark.parametrize("is_leave", [False, True])
def test_a_call_waits_for_peers_whose_connection_was_opened_before_they_were_peers(is_leave):
    """After the formation of the cluster no call waited for its replication.

    Connections between control instances are open before the members of the cluster are known. An
    upstream that had left was in use again once the instance that had acknowledged it was lost.
    """
    network = Network(["c1", "c2", "c3"], knows_peers_first=False)
    network.announce("c3", ready(1))
    network.completed_calls.clear()
    network.cut_links |= {("c2", "c3")}
    call = LeaveNotice(ORDERS, 1000, 2) if is_leave else draining(2)
    network.announce("c3", call, "call")
    assert network.completed_calls == []
    network.run(SETTINGS.hold_seconds + 0.2)
    assert [name for name, _ in network.completed_calls] == ["call"]


def test_a_call_waits_for_no_instance_that_is_not_a_peer(network):
    network.deliver("c1", PeerConnected(network.balancer))
    network.announce("c1", ready(1))
    network.completed_calls.clear()
    network.announce("c1", draining(2), "drain")
    assert [call for call, _ in network.completed_calls] == ["drain"]


def test_a_drain_survives_a_restart_of_the_instance_that_received_it(network):
    network.announce("c1", ready(1))
    network.announce("c1", draining(2))
    network.stop("c1")
    network.start("c1", 9)
    assert (
        network.registries["c1"].table.entries[ORDERS].announcement.status
        is AnnouncedStatus.DRAINING
    )
    assert network.visible_upstreams[ORDERS].announcement.status is AnnouncedStatus.DRAINING


def test_an_instance_that_just_started_refuses_a_leave_notice_of_an_unknown_upstream(network):
    """Report: after a restart of one process, a server that had left was in use again.

    The instance acknowledged the notice and forgot it, and a peer still listed the upstream.
    """
    network.announce("c2", ready(1))
    network.stop("c1")
    network.cut_links |= {("c1", "c2"), ("c2", "c1"), ("c1", "c3"), ("c3", "c1")}
    network.start("c1", 9)
    network.announce("c1", LeaveNotice(ORDERS, 1000, 2), "leave")
    assert network.completed_calls[-1] == ("leave", AnnouncementOutcome.NOT_YET_KNOWN)
    network.announce("c2", LeaveNotice(ORDERS, 1000, 2), "leave again")
    assert network.visible_upstreams[ORDERS].announcement.status is AnnouncedStatus.GONE


def test_a_complete_instance_acknowledges_a_leave_notice_of_an_unknown_upstream(network):
    network.run(SETTINGS.silent_seconds + 0.5)
    network.announce("c1", LeaveNotice(ORDERS, 1000, 2), "leave")
    assert network.completed_calls[-1] == ("leave", AnnouncementOutcome.UNKNOWN)


def test_a_peer_fetches_a_drain_that_was_lost_in_transit(network):
    network.announce("c1", ready(1))
    network.cut_links |= {("c1", "c2"), ("c1", "balancer")}
    network.announce("c1", draining(2))
    network.cut_links.clear()
    network.announce("c1", draining(3))
    network.run(1.0)
    assert (
        network.registries["c2"].table.entries[ORDERS].announcement.status
        is AnnouncedStatus.DRAINING
    )


def test_the_balancer_fetches_a_page_that_was_lost_in_transit(network):
    network.cut_links |= {(name, "balancer") for name in network.names}
    network.announce("c1", ready(1))
    assert ORDERS not in network.visible_upstreams
    network.cut_links.clear()
    network.run(2.5, make_caller(network, "c1"))
    assert ORDERS in network.visible_upstreams


def test_an_upstream_is_silent_only_if_all_connected_instances_lack_contact(network):
    call = make_caller(network, "c1")
    network.run(4.0, call)
    assert not network.visible_upstreams[ORDERS].is_silent
    network.run(SETTINGS.silent_seconds + 1.0)
    assert network.visible_upstreams[ORDERS].is_silent
    call()
    assert not network.visible_upstreams[ORDERS].is_silent


def test_instances_that_have_just_started_mark_no_upstream_silent(network):
    network.run(4.0, make_caller(network, "c1"))
    for name in list(network.names):
        network.stop(name)
    for number, name in enumerate(network.names):
        network.start(name, 20 + number)
    network.run(1.0)
    assert not network.visible_upstreams[ORDERS].is_silent
    network.run(SETTINGS.silent_seconds + 1.0)
    assert network.visible_upstreams[ORDERS].is_silent


def test_the_view_does_not_change_while_no_instance_is_connected(network):
    network.run(4.0, make_caller(network, "c1"))
    for name in list(network.names):
        network.stop(name)
    network.run(30.0)
    assert not network.visible_upstreams[ORDERS].is_silent


def test_a_balancer_is_isolated_when_connected_to_less_than_half_of_the_instances(network):
    assert not network.view.is_isolated
    network.stop("c1")
    assert not network.view.is_isolated
    network.stop("c2")
    assert network.view.is_isolated
    network.start("c1", 9)
    assert not network.view.is_isolated


def test_a_partition_between_instances_marks_no_upstream_in_contact_as_silent(network):
    call_first, call_third = make_caller(network, "c1"), make_caller(
        network, "c3", ARCHIVE, "10.0.0.2"
    )

    def call_both():
        call_first()
        call_third()

    network.run(4.0, call_both)
    network.cut_links |= {("c1", "c3"), ("c3", "c1"), ("c2", "c3"), ("c3", "c2")}
    network.run(8.0, call_both)
    assert not network.visible_upstreams[ORDERS].is_silent
    assert not network.visible_upstreams[ARCHIVE].is_silent


def test_a_restart_under_the_same_name_is_accepted_with_lower_sequence_numbers(network):
    network.announce("c1", draining(50))
    network.announce("c2", announce(started_at_ms=2000, sequence=1))
    assert network.visible_upstreams[ORDERS].announcement.status is AnnouncedStatus.READY


def test_a_delayed_call_does_not_revive_an_upstream_that_has_left(network):
    network.announce("c1", ready(1))
    network.announce("c2", LeaveNotice(ORDERS, 1000, None))
    network.announce("c3", ready(2))
    assert network.visible_upstreams[ORDERS].announcement.status is AnnouncedStatus.GONE


def test_a_reconnected_balancer_receives_the_full_table(network):
    network.announce("c1", ready(1))
    other = UpstreamId("i-9")
    network.cut_links |= {(name, "balancer") for name in network.names}
    network.announce("c1", ready(1, other, "10.0.0.9"))
    network.cut_links.clear()
    network.deliver(network.balancer, PeerConnected(network.names[1]))
    assert other in network.visible_upstreams


def test_a_dead_upstream_is_removed_after_forget_seconds(network):
    network.run(2.0, make_caller(network, "c1"))
    network.run(SETTINGS.forget_seconds + SETTINGS.silent_seconds + 2.0)
    assert ORDERS not in network.view.upstreams
    network.announce("c1", ready(90))
    assert ORDERS in network.view.upstreams


def test_the_end_of_the_warmup_reaches_the_balancer(network):
    network.run(1.0)
    network.announce("c1", msgspec.structs.replace(ready(1), warmup_ms=2000))
    assert network.visible_upstreams[ORDERS].warmup_ends_at == pytest.approx(network.now + 2.0)


def test_a_renewed_subscription_lists_no_upstreams(network):
    """Every balancer renews each second; listing all upstreams each time grows with both."""
    network.announce("c1", ready(1))
    network.run(2.0)
    registry = network.registries["c1"]
    listings = []
    list_upstreams = registry.table.list_upstreams

    def record_listing(now, names):
        listings.append(list(names))
        return list_upstreams(now, names)

    registry.table.list_upstreams = record_listing
    network.run(2.0 * SETTINGS.subscribe_seconds, make_caller(network, "c2"))
    assert network.balancer in registry.feed.subscribers
    assert not any(listings)


def make_release(network, count=200):
    """Let many upstreams of a data centre announce themselves within a tenth of a second."""
    network.run(3.0)
    feed = network.registries["c1"].feed
    before = feed.position
    for number in range(count):
        network.announce("c1", ready(1, UpstreamId(f"i-{number}"), f"10.1.0.{number}"))
    return lambda: feed.position - before


def test_many_changes_at_once_cost_few_pages(network):
    """Pattern: release of many upstreams; a page for each would be a message a balancer each."""
    count_pages = make_release(network)
    network.run(SETTINGS.page_seconds + 0.05)
    assert count_pages() <= SETTINGS.page_burst + 3
    assert all(UpstreamId(f"i-{number}") in network.visible_upstreams for number in range(200))


def test_a_drain_among_many_changes_reaches_the_balancer_with_the_next_page(network):
    make_release(network)
    network.announce("c1", draining(9), "drain")
    network.run(SETTINGS.page_seconds + 0.05)
    assert network.visible_upstreams[ORDERS].announcement.status is AnnouncedStatus.DRAINING


def test_pages_of_lasting_changes_keep_their_rate(network):
    count_pages = make_release(network, count=0)
    numbers = iter(range(10_000))

    def change_twenty():
        for _ in range(20):
            number = next(numbers)
            network.announce("c1", ready(1, UpstreamId(f"i-{number}"), f"10.1.0.{number}"))

    network.run(4.0, change_twenty)
    assert next(numbers) > 150
    assert count_pages() <= SETTINGS.page_burst + 4.0 / SETTINGS.page_seconds + 2
