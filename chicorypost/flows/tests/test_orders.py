"""Exploration of every order in which balancers apply upstream updates and receive messages."""

import pytest

from chicorypost.base import UpstreamState
from chicorypost.flows._state import RouterState
from chicorypost.flows.tests.explorer import Explorer, flows_in_slot
from chicorypost.flows.tests.fakes import ORDERS, Cluster, upstream

DRAIN = ((upstream("u1", state=UpstreamState.DRAINING),), ())
READY = ((upstream("u1"),), ())
JOIN = ((upstream("u3"),), ())


def explore(updates, opens, names="ab", all_learn=False):
    """Explore a cluster of the named balancers.

    Unless `all_learn`, the others have the updates from the start and only the coordinator applies
    them at any time, because the upstream directories of the others move no slots.
    """
    cluster = Cluster(names, [upstream("u1"), upstream("u2")], slots=2)
    flows = flows_in_slot(cluster, "u1", len(opens))
    coordinator = cluster.routers["a"].state.domain.coordinator(ORDERS)
    stepwise = None if all_learn else [coordinator]
    explorer = Explorer(cluster, updates, dict(zip(flows, opens, strict=True)), stepwise)
    states = explorer.run()
    print(f"{states} states, {explorer.final_states} without a further action")
    return explorer


@pytest.mark.parametrize(
    ("updates", "opens", "names", "all_learn", "states"),
    [
        pytest.param([DRAIN], [2], "ab", True, 1087, id="one-move-everyone-learns"),
        pytest.param([DRAIN], [1, 1], "ab", False, 2194, id="one-move-two-flows"),
        pytest.param([DRAIN, JOIN], [1], "ab", False, 1151, id="second-move-during-the-first"),
        pytest.param([DRAIN, READY], [1], "ab", False, 978, id="move-back-during-the-first"),
        pytest.param([DRAIN], [1], "abc", False, 1773, id="one-move-three-balancers"),
    ],
)
def test_no_order_of_delivery_misdirects_a_packet(updates, opens, names, all_learn, states):
    explorer = explore(updates, opens, names, all_learn)
    assert explorer.misdirected == 0
    assert len(explorer.seen) == states
    assert explorer.final_states > 0


def test_the_exploration_finds_an_owner_that_does_not_wait_for_confirmations(monkeypatch):
    monkeypatch.setattr(RouterState, "min_confirmed_version", lambda *_: 1_000_000)
    assert explore([DRAIN], [2]).misdirected > 0


def test_the_exploration_finds_confirmations_without_recent_opens(monkeypatch):
    monkeypatch.setattr(RouterState, "recent_opens_in", lambda *_: [])
    assert explore([DRAIN], [2]).misdirected > 0
