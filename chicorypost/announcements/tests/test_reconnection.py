"""What a balancer gets from a control instance to which it connects again."""

from itertools import count

import msgpack
import msgspec
from hypothesis import given
from hypothesis import strategies as st

from chicorypost.announcements import (
    AnnouncedStatus,
    FeedPage,
    PeerConnected,
    PeerDisconnected,
    Subscribe,
)
from chicorypost.announcements._messages import DocumentRequest
from chicorypost.announcements.tests.network import SETTINGS, Network
from chicorypost.announcements.tests.test_table import announce
from chicorypost.base import (
    InstanceId,
    Received,
    Record,
    Send,
    ServiceId,
    UpstreamId,
    Version,
    decode,
    encode,
    pack_record,
    unpack_record,
)
from chicorypost.base._message import WIRE_VERSION
from chicorypost.routing import ServiceSpec

C1 = InstanceId("c1")
UPSTREAMS = 150
LATER = 1_000_000
"""Sequence number above those of all other calls."""
PAGE_BYTES = 1_000
"""Generous size of a page with one change; the table of all upstreams has over 10,000 bytes."""


def call(number, sequence, status=AnnouncedStatus.READY):
    return announce(
        UpstreamId(f"i-{number}"), sequence=sequence, status=status, host=f"10.1.0.{number}"
    )


class RecordingNetwork(Network):
    """Records the pages of the feed."""

    def __init__(self, controls):
        self.pages = []
        super().__init__(controls)

    def carry_out(self, name, effect):
        if isinstance(effect, Send) and isinstance(effect.message, FeedPage):
            self.pages.append(effect.message)
        super().carry_out(name, effect)

    def connect(self, name):
        self.deliver(self.balancer, PeerConnected(name))

    def disconnect(self, name):
        self.deliver(self.balancer, PeerDisconnected(name))


def make_caller(network, numbers):
    """Return a function that calls for each of the upstreams, as they do all the time."""
    sequences = count(10)

    def call_all():
        for number in numbers:
            network.announce("c1", call(number, next(sequences)))

    return call_all


def make_network():
    """Return a network of one control instance with a complete table."""
    network = RecordingNetwork(["c1"])
    network.run(SETTINGS.silent_seconds + 1.0, make_caller(network, range(UPSTREAMS)))
    network.pages.clear()
    return network


def count_page_bytes(network):
    return sum(len(encode(page)) for page in network.pages)


def test_a_balancer_that_connects_again_receives_the_changes_and_not_the_table():
    """Pattern: a cut ends, and hundreds of balancers connect again at the same time.

    The whole table for each of them fills the links and keeps control instances busy.
    """
    network = make_network()
    network.disconnect(C1)
    network.cut_links.add((C1, network.balancer))
    network.announce("c1", call(7, LATER, AnnouncedStatus.DRAINING))
    network.cut_links.clear()
    network.pages.clear()
    network.connect(C1)
    status = network.visible_upstreams[UpstreamId("i-7")].announcement.status
    assert status is AnnouncedStatus.DRAINING
    assert 0 < count_page_bytes(network) <= PAGE_BYTES


def test_a_page_in_flight_when_the_connection_broke_is_sent_again_at_once():
    """A drain on that page must reach the balancer within its bound, not with the next renewal."""
    network = make_network()
    network.cut_links.add((C1, network.balancer))
    network.announce("c1", call(7, LATER, AnnouncedStatus.DRAINING))
    network.cut_links.clear()
    network.disconnect(C1)
    network.connect(C1)
    status = network.visible_upstreams[UpstreamId("i-7")].announcement.status
    assert status is AnnouncedStatus.DRAINING


def test_a_balancer_that_missed_a_forgotten_change_receives_the_table():
    """A balancer may be cut off for longer than the instance remembers an upstream that left."""
    network = make_network()
    network.disconnect(C1)
    network.cut_links |= {(C1, network.balancer), (network.balancer, C1)}
    caller = make_caller(network, range(1, UPSTREAMS))
    network.run(SETTINGS.forget_seconds + SETTINGS.silent_seconds, caller)
    assert UpstreamId("i-0") not in network.registries[C1].table.entries
    network.cut_links.clear()
    network.pages.clear()
    network.connect(C1)
    assert [page.is_full for page in network.pages] == [True]


def test_a_restarted_instance_sends_its_table():
    network = make_network()
    network.stop(C1)
    network.pages.clear()
    network.start(C1, 9)
    assert network.pages[0].is_full


def test_all_subscribers_get_the_same_page():
    """One page object is encoded once, however many balancers there are."""
    network = make_network()
    registry = network.registries[C1]
    names = [InstanceId(f"10.0.0.{number}") for number in range(200)]
    for name in names:
        registry.handle(Received(name, Subscribe(0, 0, True)), network.now)
    network.pages.clear()
    network.announce("c1", call(7, LATER, AnnouncedStatus.DRAINING))
    assert len(network.pages) == len(names) + 1
    assert len({id(page) for page in network.pages}) == 1


def test_a_balancer_of_an_earlier_build_gets_full_tables_and_single_steps():
    """Earlier builds take a page only if it continues from the position before."""
    network = make_network()
    registry = network.registries[C1]
    old = InstanceId("old")
    (first,) = registry.handle(Received(old, Subscribe(0, 0)), network.now)
    assert first.message.is_full
    network.announce("c1", call(7, LATER, AnnouncedStatus.DRAINING))
    assert network.pages[-1].position == first.message.position + 1
    registry.feed.subscribers[old].sent_at = network.now - SETTINGS.subscribe_seconds
    late = Subscribe(first.message.feed_id, first.message.position)
    (again,) = registry.handle(Received(old, late), network.now)
    assert again.message.is_full


def test_an_instance_of_an_earlier_build_that_sends_nothing_is_asked_for_its_table():
    """Earlier builds answer a known position with no page."""
    network = make_network()
    network.disconnect(C1)
    network.cut_links.add((network.balancer, C1))
    network.connect(C1)
    network.cut_links.clear()
    network.pages.clear()
    network.run(2 * SETTINGS.subscribe_seconds, make_caller(network, range(UPSTREAMS)))
    assert network.pages[0].is_full
    assert network.view.feeds[C1].is_current


def test_messages_of_earlier_builds_are_read():
    """Earlier builds send shorter arrays; a rolling upgrade has both for a while."""
    frames = {
        Subscribe(5, 7): [810, 5, 7],
        FeedPage(5, 7, False, True, (), (), Version(3)): [811, 5, 7, False, True, [], [], 3],
        DocumentRequest(): [812],
    }
    for message, body in frames.items():
        assert decode(msgpack.packb([WIRE_VERSION, body])) == message


def test_earlier_builds_can_read_the_new_messages():
    """They ignore what follows the fields that they know."""

    class EarlierSubscribe(Record, frozen=True, array_like=True, tag=810):
        feed_id: int
        position: int

    class EarlierServiceSpec(Record, frozen=True, array_like=True):
        service: ServiceId
        health_path: str
        connections: int

    _, body = msgpack.unpackb(encode(Subscribe(5, 7, True)))
    assert msgspec.convert(body, EarlierSubscribe) == EarlierSubscribe(5, 7)
    body = msgpack.unpackb(pack_record(ServiceSpec(ServiceId("orders"), "/", 9, 2.0, 1.0)))
    spec = EarlierServiceSpec(ServiceId("orders"), "/", 9)
    assert msgspec.convert(body, EarlierServiceSpec) == spec
    assert unpack_record(pack_record(spec), ServiceSpec) == ServiceSpec(ServiceId("orders"), "/", 9)


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["call", "drain", "cut", "join", "lose", "connect", "restart", "wait"]),
        st.integers(0, 4),
    ),
    max_size=40,
)


@given(steps=STEPS)
def test_the_balancer_has_the_table_after_any_faults(steps):
    """Pages lost, connections broken and instances restarted in any order."""
    network = RecordingNetwork(["c1", "c2"])
    sequence = 1
    for step, number in steps:
        sequence += 1
        control = network.names[number % 2]
        match step:
            case "call":
                network.announce(control, call(number, sequence))
            case "drain":
                network.announce(control, call(number, sequence, AnnouncedStatus.DRAINING))
            case "cut":
                network.disconnect(control)
                network.cut_links |= {(control, network.balancer), (network.balancer, control)}
            case "lose":
                network.cut_links.add((control, network.balancer))
            case "join" | "connect":
                network.cut_links.clear()
                network.disconnect(control)
                network.connect(control)
            case "restart":
                network.stop(control)
                network.start(control, 10 + sequence)
            case "wait":
                network.run(0.1 * number)
    network.cut_links.clear()
    for name in network.names:
        network.disconnect(name)
        network.connect(name)
    network.run(2 * SETTINGS.subscribe_seconds + 0.5)
    for name in network.visible_upstreams:
        latest = max(
            (registry.table.entries[name].announcement for registry in network.registries.values()),
            key=lambda announcement: announcement.order_key,
        )
        assert network.visible_upstreams[name].announcement.status is latest.status
    tables = [registry.table.entries for registry in network.registries.values()]
    assert all(set(table) <= set(network.visible_upstreams) for table in tables)
