"""The remaining warm-up that balancers learn, by whichever way a call reaches them.

With limits for cold upstreams, a warm-up that is stated too long takes a warm upstream out of use,
and one that is stated too short overloads a cold one.
"""

from itertools import count

import msgspec
import pytest

from chicorypost.announcements import (
    AnnouncementRegistry,
    AnnouncementTable,
    FeedPage,
    ListedUpstream,
    PeerConnected,
    PeerDisconnected,
    Subscribe,
    TableChanged,
    TableRestored,
    UpstreamCallReceived,
    VersionApplied,
)
from chicorypost.announcements.tests.network import SETTINGS, Network
from chicorypost.announcements.tests.test_dissemination import ORDERS, ready
from chicorypost.announcements.tests.test_table import announce
from chicorypost.base import InstanceId, Instant, Received, Tick, Version
from chicorypost.routing import RoutingDocument, ServiceSpec

WARMUP_MS = 2000


@pytest.fixture
def network():
    network = Network(["c1", "c2", "c3"])
    network.run(SETTINGS.silent_seconds + 1.0)
    return network


def call(network, to, sequence, warmup_ms=0, started_at_ms=1000):
    changed = {"warmup_ms": warmup_ms, "started_at_ms": started_at_ms}
    network.announce(to, msgspec.structs.replace(ready(sequence), **changed))


def remaining(network):
    """Return for how long the balancer counts the upstream as cold, in seconds."""
    ends_at = network.visible_upstreams[ORDERS].warmup_ends_at
    return pytest.approx(max(0.0, ends_at - network.now), abs=0.01)


def keep_calling(network, *controls):
    """Make the first call of a cold upstream; return a function that makes the further ones."""
    ends_at = network.now + WARMUP_MS / 1000
    numbers = count(1)

    def make_next_call():
        number = next(numbers)
        left_ms = max(0, round(1000 * (ends_at - network.now)))
        call(network, controls[number % len(controls)], number, left_ms)

    make_next_call()
    return make_next_call


def count_table_changes(network):
    return {name: item.dissemination.change_number for name, item in network.registries.items()}


def test_a_late_balancer_does_not_count_the_whole_warmup_again(network):
    """The instance that got the first call knows only contacts since, so its age was small."""
    end = network.now + 2.0
    call_next = keep_calling(network, "c2")
    assert remaining(network) == 2.0
    network.run(1.4, call_next)
    network.cut_links |= {(name, "balancer") for name in ("c2", "c3")}
    network.start_balancer()
    assert network.registries["c1"].table.entries[ORDERS].announcement.sequence == 1
    assert remaining(network) == end - network.now > 0.3
    network.run(1.0, call_next)
    network.start_balancer()
    assert remaining(network) == 0.0


def test_an_instance_learns_the_remaining_warmup_from_the_table_of_a_peer(network):
    end = network.now + 2.0
    call_next = keep_calling(network, "c1")
    network.run(1.0, call_next)
    network.stop("c3")
    network.start("c3", 9)
    table = network.registries["c3"].table
    assert table.entries[ORDERS].warmup_ends_at == pytest.approx(end, abs=0.01)
    network.run(1.5, call_next)
    network.stop("c3")
    network.start("c3", 10)
    (listed,) = network.registries["c3"].list_all_upstreams(network.now)
    assert listed.announcement.warmup_ms == 0


def test_the_table_on_disk_does_not_keep_an_upstream_cold(network):
    """It was saved at the first call only, so that all upstreams were cold after a restart."""
    call_next = keep_calling(network, "c1")
    for seconds, is_cold in ((1.0, True), (2.0, False)):
        network.run(seconds, call_next)
        restored = AnnouncementRegistry(SETTINGS, 9, network.now)
        restored.handle(TableRestored(network.disks["c1"]), network.now)
        (listed,) = restored.list_all_upstreams(network.now)
        assert (listed.announcement.warmup_ms > listed.age_ms) == is_cold
        assert listed.announcement.warmup_ms <= WARMUP_MS


def test_a_call_ends_the_warmup_of_a_restored_upstream(network):
    call(network, "c1", 1, WARMUP_MS)
    for name in list(network.registries):
        network.stop(name)
    for number, name in enumerate(network.names, start=11):
        network.start(name, number, is_restored=True)
    network.start_balancer()
    call(network, "c1", 9)
    assert remaining(network) == 0.0


@pytest.mark.parametrize("seconds", [0.5, 30.0])
def test_an_upstream_that_is_cold_again_in_the_same_run_is_announced(network, seconds):
    call(network, "c1", 1)
    numbers = count(2)
    network.run(seconds, lambda: call(network, "c2", next(numbers)))
    before = count_table_changes(network)["c2"]
    call(network, "c2", next(numbers), 1500)
    assert count_table_changes(network)["c2"] == before + 1
    assert remaining(network) == 1.5
    for registry in network.registries.values():
        ends_at = registry.table.entries[ORDERS].warmup_ends_at
        assert ends_at == pytest.approx(network.now + 1.5)
    network.run(1.5)
    assert remaining(network) == 0.0


def test_calls_during_a_warmup_change_nothing(network):
    """Each would cost a page for each balancer."""
    call_next = keep_calling(network, "c1", "c2", "c3")
    before = count_table_changes(network)
    position = network.registries["c1"].feed.position
    network.run(4.0, call_next)
    assert count_table_changes(network) == before
    assert network.registries["c1"].feed.position == position


def test_a_call_of_a_warm_upstream_never_makes_it_cold(network):
    call(network, "c1", 1)
    for number in range(2, 30):
        network.run(0.5)
        call(network, "c1", number)
        assert remaining(network) == 0.0


def test_a_call_that_was_held_up_is_corrected_by_the_next_one(network):
    """A call of the start that arrives a second late states the end a second too late."""
    network.run(1.0)
    call(network, "c1", 1, WARMUP_MS)
    call(network, "c2", 2, WARMUP_MS - 1000)
    assert remaining(network) == 1.0


@pytest.mark.parametrize("warmup_seconds", [0.0, 2.0])
def test_a_warmup_without_limits_costs_no_further_page_and_no_save(warmup_seconds):
    """Deployments without limits got a page for each call that was held up at a start."""
    registry = AnnouncementRegistry(SETTINGS, 7, Instant(0.0))
    spec = ServiceSpec(announce().service, "/", 10, warmup_seconds)
    registry.handle(VersionApplied(RoutingDocument(Version(1), (), (spec,), 15.0)), Instant(0.0))
    effects = []
    for sequence, received_at, warmup_ms in ((1, 1.0, 2000), (2, 1.5, 1000), (3, 2.0, 2000)):
        sent = msgspec.structs.replace(announce(sequence=sequence), warmup_ms=warmup_ms)
        received = UpstreamCallReceived(str(sequence), sent)
        effects += registry.handle(received, Instant(received_at))
    effects += registry.handle(Tick(), Instant(4.5))
    changes = sum(isinstance(effect, TableChanged) for effect in effects)
    assert changes == (4 if warmup_seconds else 1)
    assert registry.table.entries[announce().upstream].warmup_ends_at == 4.0


def test_the_copy_of_a_call_that_arrives_first_counts():
    table = AnnouncementTable()
    first = msgspec.structs.replace(announce(), warmup_ms=WARMUP_MS)
    table.record_announcement(first, Instant(11.0))
    table.record_announcement(first, Instant(10.0))
    assert table.entries[ORDERS].warmup_ends_at == 12.0
    table.record_announcement(first, Instant(15.0))
    assert table.entries[ORDERS].warmup_ends_at == 12.0


def test_a_later_run_has_its_own_warmup(network):
    call(network, "c1", 1, WARMUP_MS)
    call(network, "c2", 1, 0, started_at_ms=2000)
    assert remaining(network) == 0.0
    call(network, "c3", 1, WARMUP_MS, started_at_ms=3000)
    assert remaining(network) == 2.0


def test_a_listed_upstream_of_an_earlier_build_is_read(network):
    """It states the call as received; what its contacts add to the age is unknown."""
    listed = ListedUpstream(msgspec.structs.replace(ready(5), warmup_ms=WARMUP_MS), False, 500)
    page = FeedPage(7, 1, True, True, (listed,), (), Version(0))
    network.deliver(network.balancer, Received(InstanceId("c1"), page))
    assert remaining(network) == 1.5


class TestNumberOfBalancers:
    """The balancers that share the limit of a cold upstream."""

    def subscribe(self, network, control, names):
        for name in names:
            network.deliver(control, Received(InstanceId(name), Subscribe(0, 0, True)))

    def test_the_highest_number_of_the_connected_instances_counts(self, network):
        assert network.view.balancers == 1
        self.subscribe(network, "c1", "xyz")
        self.subscribe(network, "c2", "x")
        call(network, "c1", 1)
        assert network.view.balancers == 4
        network.deliver(network.balancer, PeerDisconnected(InstanceId("c1")))
        assert network.view.balancers == 2
        for name in ("c2", "c3"):
            network.deliver(network.balancer, PeerDisconnected(InstanceId(name)))
        assert network.view.balancers is None

    def test_a_new_number_causes_no_page(self, network):
        position = network.registries["c1"].feed.position
        self.subscribe(network, "c1", [str(number) for number in range(100)])
        assert network.registries["c1"].feed.position == position

    def test_balancers_that_subscribe_one_after_another_learn_how_many_they_are(self, network):
        """The first ones kept the number of their own page, and took too large a share each."""
        spec = ServiceSpec(ready(1).service, "/", 10, 2.0)
        document = RoutingDocument(Version(1), (), (spec,), 15.0)
        network.deliver("c1", VersionApplied(document))
        position = network.registries["c1"].feed.position
        for number in range(2, 110):
            self.subscribe(network, "c1", [f"b{number}"])
            assert network.view.balancers >= number / 1.25
        assert network.registries["c1"].feed.position - position == 15

    def test_an_instance_that_has_just_started_reports_no_number(self):
        """After a loss of power it would count the first balancer only."""
        network = Network(["c1"])
        network.deliver(network.balancer, PeerConnected(InstanceId("c1")))
        assert network.view.feeds[InstanceId("c1")].balancers is None
        network.run(SETTINGS.silent_seconds + 1.0)
        assert network.view.balancers == 1

    def test_an_expired_subscription_does_not_count(self, network):
        self.subscribe(network, "c1", "xyz")
        network.run(SETTINGS.subscriber_seconds + 1.0)
        call(network, "c1", 1)
        assert network.view.feeds[InstanceId("c1")].balancers == 1
