"""Every order in which balancers learn of moves, explored over the real routers."""

import pytest

from chicorypost.base import UpstreamState
from chicorypost.flows._state import RouterState
from chicorypost.flows.tests.explorer import Explorer, flows_in_slot
from chicorypost.flows.tests.fakes import ORDERS, Cluster, upstream

DRAIN = ((upstream("u1", state=UpstreamState.DRAINING),), ())
READY = ((upstream("u1"),), ())
JOIN = ((upstream("u3"),), ())


def explore(news, opens, names="ab", everyone_learns=False):
    """Explore a cluster; what others than the coordinator know of upstreams moves no slot."""
    cluster = Cluster(names, [upstream("u1"), upstream("u2")], slots=2)
    flows = flows_in_slot(cluster, "u1", len(opens))
    coordinator = cluster.routers["a"].state.domain.coordinator(ORDERS)
    learners = None if everyone_learns else [coordinator]
    explorer = Explorer(cluster, news, dict(zip(flows, opens, strict=True)), learners)
    states = explorer.run()
    print(f"{states} states, {explorer.ends} without a further action")
    return explorer


@pytest.mark.parametrize(
    ("news", "opens", "names", "everyone_learns", "states"),
    [
        pytest.param([DRAIN], [2], "ab", True, 1087, id="one-move-everyone-learns"),
        pytest.param([DRAIN], [1, 1], "ab", False, 2194, id="one-move-two-flows"),
        pytest.param([DRAIN, JOIN], [1], "ab", False, 1151, id="second-move-during-the-first"),
        pytest.param([DRAIN, READY], [1], "ab", False, 978, id="move-back-during-the-first"),
        pytest.param([DRAIN], [1], "abc", False, 1773, id="one-move-three-balancers"),
    ],
)
def test_no_order_of_delivery_misdirects_a_packet(news, opens, names, everyone_learns, states):
    explorer = explore(news, opens, names, everyone_learns)
    assert explorer.misdirected == 0
    assert len(explorer.seen) == states
    assert explorer.ends > 0


def test_the_exploration_finds_an_owner_that_does_not_wait_for_confirmations(monkeypatch):
    monkeypatch.setattr(RouterState, "min_confirmed_version", lambda *_: 1_000_000)
    assert explore([DRAIN], [2]).misdirected > 0


def test_the_exploration_finds_confirmations_without_recent_opens(monkeypatch):
    monkeypatch.setattr(RouterState, "recent_opens_in", lambda *_: [])
    assert explore([DRAIN], [2]).misdirected > 0
