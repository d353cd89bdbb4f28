"""Random sequences of packets, upstream updates, balancer losses and joins, and message faults."""

import random
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from chicorypost.base import DataCentreId, UpstreamState
from chicorypost.flows._messages import pack_flows
from chicorypost.flows._state import RouterState
from chicorypost.flows._sync import DomainSync
from chicorypost.flows.tests.fakes import HOME, ORDERS, Cluster, upstream

AWAY = DataCentreId("aalst")
PORTS = range(1, 13)
RETRANSMISSION_SECONDS = 5.0
UPSTREAM_UPDATES = (
    (upstream("u1", state=UpstreamState.DRAINING),),
    (upstream("u4"),),
    (upstream("u1"), upstream("u2", state=UpstreamState.DRAINING)),
)
WEIGHTS = {
    "open": 3,
    "middle": 2,
    "deliver": 4,
    "lose": 1,
    "double": 1,
    "advance": 2,
    "learn": 2,
    "kill": 1,
    "join": 1,
    "show": 2,
}
KINDS = [kind for kind, weight in WEIGHTS.items() for _ in range(weight)]
NUMBER = st.integers(0, 1 << 16)
ACTIONS = st.lists(st.tuples(st.sampled_from(KINDS), NUMBER, NUMBER), max_size=120)


class Trial:
    """Applies random actions to a cluster; at most one balancer is lost.

    Each action is a method that uses the two random numbers `first` and `second` to choose a
    balancer, a flow or a message, or whether to act at all.
    """

    def __init__(self, **arguments):
        upstreams = [upstream("u1"), upstream("u2"), upstream("u3")]
        self.cluster = Cluster("abcd", upstreams, slots=6, **arguments)
        self.applied = dict.fromkeys("abcd", 0)
        self.opened = {}
        self.excluded = set()
        self.killed = self.joined = False

    def run(self, actions):
        for action, first, second in actions:
            getattr(self, action)(first, second)
            assert self.broken_flows() == []
        for name in self.cluster.routers:
            self.cluster.deliver_views(name)
            while self.applied[name] < len(UPSTREAM_UPDATES):
                self.apply_next_update(name)
        self.cluster.settle(rounds=20)
        for name in self.cluster.routers:
            for port in PORTS:
                if self.cluster.targets(port):
                    self.cluster.send_packet(name, port)
        self.cluster.settle()
        assert self.broken_flows() == []

    def broken_flows(self):
        checked = set(PORTS) - self.excluded
        return [port for port in checked if len(self.cluster.targets(port)) > 1]

    def pick_router(self, number):
        names = sorted(self.cluster.routers)
        return names[number % len(names)]

    def open(self, first, second):
        port = PORTS[second % len(PORTS)]
        now = self.cluster.now
        if now - self.opened.setdefault(port, now) < RETRANSMISSION_SECONDS:
            self.cluster.send_packet(self.pick_router(first), port, opens=True)

    def middle(self, first, second):
        port = PORTS[second % len(PORTS)]
        if self.cluster.targets(port):
            self.cluster.send_packet(self.pick_router(first), port)

    def deliver(self, first, second):
        if self.cluster.in_flight:
            self.cluster.deliver_message(first % len(self.cluster.in_flight))

    def lose(self, first, second):
        if self.cluster.in_flight:
            self.cluster.in_flight.pop(first % len(self.cluster.in_flight))

    def double(self, first, second):
        if self.cluster.in_flight:
            self.cluster.in_flight.append(
                self.cluster.in_flight[first % len(self.cluster.in_flight)]
            )

    def advance(self, first, second):
        self.cluster.advance(0.002 if first % 2 else 0.1)

    def learn(self, first, second):
        self.apply_next_update(self.pick_router(first))

    def apply_next_update(self, name):
        if self.applied[name] < len(UPSTREAM_UPDATES):
            changed = UPSTREAM_UPDATES[self.applied[name]]
            self.applied[name] += 1
            self.cluster.change_upstreams(*changed, to=[name])

    def kill(self, first, second):
        if self.killed or first % 3:
            return
        self.killed = True
        lost = self.pick_router(second)
        del self.cluster.routers[lost]
        self.exclude_opens_of(lost)
        self.cluster.set_views(list(self.cluster.routers), to=[])

    def exclude_opens_of(self, lost):
        """Exclude flows that only the lost balancer may know, as their next open is a new flow."""
        for name, port, opens, _ in self.cluster.outcomes:
            if name == lost and opens:
                self.excluded.add(port)

    def join(self, first, second):
        if self.joined or first % 3:
            return
        self.joined = True
        self.applied["e"] = len(UPSTREAM_UPDATES)
        self.cluster.start_router("e")
        self.cluster.change_upstreams(
            *[u for changed in UPSTREAM_UPDATES for u in changed], to=["e"]
        )
        self.cluster.set_views(list(self.cluster.routers), to=["e"])

    def show(self, first, second):
        self.cluster.deliver_views(self.pick_router(first))


@settings(max_examples=150)
@given(ACTIONS)
def test_lost_late_doubled_and_reordered_messages_break_no_flow(actions):
    Trial().run(actions)


def random_actions(seed):
    source = random.Random(seed)
    count = source.choice((60, 150, 400))
    return [
        (source.choice(KINDS), source.randrange(1 << 16), source.randrange(1 << 16))
        for _ in range(count)
    ]


DATA_CENTRES = {"a": HOME, "b": AWAY, "c": HOME, "d": AWAY, "e": HOME}
SETUPS: dict[str, dict[str, Any]] = {
    "ask-the-owner": {},
    "pass-to-the-owner": {"pass_to_owner": True},
    "two-data-centres": {"pass_to_owner": True, "data_centres": DATA_CENTRES},
}


@pytest.mark.parametrize("seed", range(40))
@pytest.mark.parametrize("setup", SETUPS)
def test_long_sequences_break_no_flow(seed, setup):
    Trial(**SETUPS[setup]).run(random_actions(seed))


@pytest.mark.parametrize(
    ("part", "name", "replacement"),
    [
        pytest.param(
            DomainSync, "_store_placements", lambda *_: None, id="registers-not-taken-over"
        ),
        pytest.param(
            DomainSync, "_recent_opens_for", lambda *_: pack_flows(ORDERS, ()), id="no-recent-opens"
        ),
        pytest.param(
            RouterState, "min_confirmed_version", lambda *_: 1_000_000, id="owner-does-not-wait"
        ),
    ],
)
def test_the_sequences_find_a_router_that_skips_a_step(monkeypatch, part, name, replacement):
    monkeypatch.setattr(part, name, replacement)
    with pytest.raises(AssertionError):
        for seed in range(400):
            Trial().run(random_actions(seed))
