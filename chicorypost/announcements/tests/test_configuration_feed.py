"""How a balancer gets the configuration from control instances."""

from itertools import pairwise

import pytest

from chicorypost.announcements import PeerConnected, PeerDisconnected, VersionApplied
from chicorypost.announcements._messages import DocumentChanged, DocumentReply, DocumentRequest
from chicorypost.announcements._view import MAX_DOCUMENT_TIMEOUT_SECONDS
from chicorypost.announcements.tests.network import Network
from chicorypost.base import InstanceId, Received, Send, Tick, Version, encode
from chicorypost.events import Emit
from chicorypost.routing.tests.test_change import SERVICES, content, make_document

ROUTES = 500
CHANGE_BYTES = 1_000
"""Generous size of the change of one route; all routes have over 25,000 bytes."""


def document(version, timeout=5, routes=ROUTES):
    timeouts = dict.fromkeys(range(1, routes + 1), 5)
    return make_document(version, timeouts | {7: timeout}, {SERVICES[0]: 1})


class RecordingNetwork(Network):
    """Records the messages and log events about configurations."""

    def __init__(self, controls):
        self.replies = []
        self.requests = []
        self.log = []
        super().__init__(controls)

    def carry_out(self, name, effect):
        match effect:
            case Send(_, DocumentReply() | DocumentChanged()):
                self.replies.append(effect.message)
            case Send(to, DocumentRequest()):
                self.requests.append((self.now, to))
            case Emit():
                self.log.append(effect.spec.name)
        super().carry_out(name, effect)

    def apply(self, *documents, names=None):
        for item in documents:
            for name in names or self.names:
                self.deliver(name, VersionApplied(item))


@pytest.fixture
def network():
    network = RecordingNetwork(["c1", "c2"])
    network.apply(document(1))
    network.replies.clear()
    return network


def test_a_change_of_one_route_costs_its_bytes_and_not_those_of_all_routes(network):
    """Pattern: many routes and a series of changes; each balancer fetched the whole each time."""
    for version in range(2, 12):
        network.apply(document(version, timeout=version))
    assert content(network.view.document) == content(document(11, timeout=11))
    sent_bytes = sum(len(encode(reply)) for reply in network.replies)
    assert 0 < sent_bytes <= 10 * CHANGE_BYTES


def test_a_balancer_that_was_cut_off_gets_several_changes_as_one(network):
    for name in network.names:
        network.deliver(network.balancer, PeerDisconnected(name))
    network.cut_links |= {(name, network.balancer) for name in network.names}
    network.apply(*(document(version, timeout=version) for version in range(2, 9)))
    network.cut_links.clear()
    for name in network.names:
        network.deliver(network.balancer, PeerConnected(name))
    assert content(network.view.document) == content(document(8, timeout=8))
    assert sum(len(encode(reply)) for reply in network.replies) <= CHANGE_BYTES


def test_a_balancer_that_starts_gets_the_whole_configuration(network):
    network.apply(document(2))
    network.start_balancer()
    assert content(network.view.document) == content(document(2))


def test_a_balancer_of_an_earlier_build_gets_the_whole_configuration(network):
    network.apply(document(2))
    effects = network.registries["c1"].handle(
        Received(InstanceId("old"), DocumentRequest()), network.now
    )
    assert [type(effect.message) for effect in effects] == [DocumentReply]


def test_a_change_that_does_not_fit_brings_the_whole_configuration_and_a_log_line(network):
    """Another build has read the version in force otherwise; a wrong route must not stay."""
    network.view.document = document(1, timeout=99)
    network.apply(document(2, routes=ROUTES - 1))
    assert content(network.view.document) == content(document(2, routes=ROUTES - 1))
    assert network.log == ["routing-change-unusable"]
    network.replies.clear()
    network.apply(document(3, timeout=3, routes=ROUTES - 1))
    assert [type(reply) for reply in network.replies] == [DocumentChanged]


def test_an_old_or_repeated_change_leaves_the_configuration_as_it_is(network):
    network.apply(document(2, timeout=2))
    (changed,) = network.replies
    network.apply(document(3, timeout=3))
    network.deliver(network.balancer, Received(network.names[0], changed))
    assert content(network.view.document) == content(document(3, timeout=3))
    assert network.log == []


def test_a_reply_that_takes_long_on_a_thin_link_is_not_requested_again_and_again(network):
    """Pattern: a configuration that takes seconds on the link of a balancer.

    Each further request brought another copy, which took its share of the same link.
    """
    network.cut_links |= {(name, network.balancer) for name in network.names}
    for name in network.names:
        feed = network.view.feeds[name]
        feed.version = Version(2)
    network.requests.clear()
    network.deliver(network.balancer, Tick())
    seconds = 4.0
    end = network.now + seconds
    while network.now < end:
        network.now += 0.05
        network.deliver(network.balancer, Tick())
    pauses = [later[0] - earlier[0] for earlier, later in pairwise(network.requests)]
    assert len(network.requests) <= 4
    assert all(later > 1.5 * earlier for earlier, later in pairwise(pauses))
    assert max(pauses) <= MAX_DOCUMENT_TIMEOUT_SECONDS + 0.1
    assert {to for _, to in network.requests} == set(network.names)
