"""How a balancer learns which data centres are evacuated."""

import pytest

from chicorypost.announcements import (
    DirectoryView,
    EvacuationsApplied,
    EvacuationsChanged,
    FeedPage,
    PeerConnected,
    PeerDisconnected,
)
from chicorypost.announcements.tests.network import SETTINGS, Network
from chicorypost.base import DataCentreId, InstanceId, Instant, Received, Version
from chicorypost.evacuation import Evacuations, Revision
from chicorypost.evacuation._records import MAX_DATA_CENTRES, MAX_REVISION
from chicorypost.events import Emit

PEER = InstanceId("c1")


def evacuated(revision, *names):
    return Evacuations(Revision(revision), tuple(DataCentreId(name) for name in names))


class RecordingNetwork(Network):
    """Records the evacuations that the balancer applies."""

    def __init__(self, controls):
        self.applied = []
        super().__init__(controls)

    def carry_out(self, name, effect):
        match effect:
            case EvacuationsApplied(evacuations):
                self.applied.append(evacuations)
        super().carry_out(name, effect)

    def apply(self, evacuations, *names):
        for name in names or self.names:
            self.deliver(InstanceId(name), EvacuationsChanged(evacuations))


@pytest.fixture
def network():
    return RecordingNetwork(["c1", "c2", "c3"])


def test_an_order_reaches_the_balancer_at_once_and_counts_once(network):
    network.apply(evacuated(1, "a"))
    network.apply(evacuated(2))
    assert network.applied == [evacuated(1, "a"), evacuated(2)]


def test_a_repeated_order_only_raises_the_revision(network):
    network.apply(evacuated(1, "a"))
    network.apply(evacuated(2, "a"))
    assert network.view.evacuations == evacuated(2, "a")
    assert network.applied == [evacuated(1, "a")]


def test_the_older_state_of_another_control_instance_is_ignored(network):
    """Pattern: one instance has applied the log further than the others.

    It sent no page when only the revision had changed, so the older state of the others counted.
    """
    network.apply(evacuated(2), "c1")
    network.apply(evacuated(1, "a"), "c2", "c3")
    network.run(3.0)
    assert network.view.evacuations == evacuated(2)
    assert network.applied == []


def test_a_control_instance_that_restarts_does_not_end_an_evacuation(network):
    """Until it has applied the log, its pages hold no evacuations."""
    network.apply(evacuated(1, "a"))
    for number, name in enumerate(network.names, start=10):
        network.stop(name)
        network.start(name, number)
        network.run(2.0)
    assert network.view.evacuations == evacuated(1, "a")
    network.apply(evacuated(1, "a"))
    network.apply(evacuated(2))
    assert network.applied == [evacuated(1, "a"), evacuated(2)]


def test_a_balancer_that_was_cut_off_keeps_the_last_state_and_learns_the_new_one(network):
    network.apply(evacuated(1, "a"))
    for name in network.names:
        network.deliver(network.balancer, PeerDisconnected(name))
    network.cut_links |= {(name, network.balancer) for name in network.names}
    network.apply(evacuated(2, "a", "b"))
    network.run(2.0)
    assert network.view.evacuations == evacuated(1, "a")
    network.cut_links.clear()
    network.deliver(network.balancer, PeerConnected(network.names[0]))
    assert network.applied == [evacuated(1, "a"), evacuated(2, "a", "b")]


def test_a_balancer_that_starts_learns_the_state_from_its_first_page(network):
    network.apply(evacuated(1, "a"))
    network.start_balancer()
    assert network.view.dump()["evacuations"] == {"revision": 1, "data_centres": ["a"]}


def make_view():
    view = DirectoryView(SETTINGS, (PEER,), Instant(0.0))
    return view, lambda position, evacuations: view.handle(
        Received(PEER, FeedPage(1, position, False, True, (), (PEER,), Version(0), 0, evacuations)),
        Instant(1.0),
    )


def test_a_page_after_a_missed_one_still_brings_the_evacuations():
    """Each page holds all of them; the table that is requested may take long on a thin link."""
    view, receive = make_view()
    receive(7, evacuated(1, "a"))
    assert view.evacuations == evacuated(1, "a")
    receive(8, None)
    assert view.evacuations == evacuated(1, "a")


@pytest.mark.parametrize(
    "odd",
    [
        evacuated(MAX_REVISION + 1, "a"),
        evacuated(2, ""),
        evacuated(2, "x" * 256),
        evacuated(2, *map(str, range(MAX_DATA_CENTRES + 1))),
    ],
)
def test_evacuations_with_an_impossible_field_are_ignored(odd):
    """A revision that no order can reach would hide all later orders."""
    view, receive = make_view()
    receive(0, evacuated(1, "a"))
    events = [effect.spec.name for effect in receive(0, odd) if isinstance(effect, Emit)]
    assert (view.evacuations, events) == (evacuated(1, "a"), ["evacuations-ignored"])
