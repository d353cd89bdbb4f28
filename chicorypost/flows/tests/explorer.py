"""Exhaustive exploration of delivery orders over real flow routers."""

import io
import pickle
from random import Random
from typing import Any

from pydantic import BaseModel

from chicorypost.base import Record, UpstreamsChanged, View, hash64
from chicorypost.events import EventSpec
from chicorypost.flows import ForwardTo, PassTo
from chicorypost.flows._domain import Domain
from chicorypost.flows._messages import FlowLookupRequest
from chicorypost.flows.tests.fakes import ORDERS, packet

STEP_SECONDS = 0.01
NEVER = 1e9


IMMUTABLE = (BaseModel, Domain, EventSpec, PassTo, Random, Record, View)
shared: dict[int, Any] = {}


def fetch(key):
    return shared[key]


class Snapshot(pickle.Pickler):
    """Copies a cluster but not the objects that never change and that all copies can share."""

    def reducer_override(self, item):
        if isinstance(item, IMMUTABLE):
            shared[id(item)] = item
            return fetch, (id(item),)
        return NotImplemented


class Explorer:
    """Visits every state that a cluster can reach by the given news and opens.

    Each balancer learns each item of news once, in order; each flow is opened once and its open is
    repeated, at any balancers. In every state, every balancer is asked where it would send a packet
    of each flow that is under way, and every owner what it would answer.
    """

    def __init__(self, cluster, news, opens, learners=None):
        stop_timers(cluster)
        for name in set(cluster.routers) - set(learners or cluster.routers):
            for changed, removed in news:
                cluster.tell(name, UpstreamsChanged(changed, removed))
        self.news = news
        self.opens = opens
        self.start = (
            cluster,
            dict.fromkeys(learners or cluster.routers, 0),
            dict.fromkeys(opens, 0),
        )
        self.seen = set()
        self.misdirected = 0
        self.ends = 0

    def run(self):
        stack = [self.save(self.start)]
        while stack:
            saved = stack.pop()
            actions = self.actions(*self.load(saved))
            self.ends += not actions
            for action in actions:
                state = self.act(self.load(saved), action)
                key = self.key(state)
                if key in self.seen:
                    continue
                self.seen.add(key)
                stack.append(self.save(state))
                self.misdirected += self.is_misdirected(state[0])
        return len(self.seen)

    def save(self, state):
        buffer = io.BytesIO()
        Snapshot(buffer, protocol=5).dump(state)
        return buffer.getvalue()

    def load(self, saved):
        return pickle.loads(saved)

    def actions(self, cluster, learned, opened):
        found: list[tuple] = [("learn", name) for name in learned if learned[name] < len(self.news)]
        unique = {repr(item): index for index, item in enumerate(cluster.flying)}
        found += [("deliver", index) for index in unique.values()]
        for flow, most in self.opens.items():
            found += [("open", name, flow) for name in cluster.routers if opened[flow] < most]
        return found

    def act(self, state, action):
        cluster, learned, opened = state
        match action:
            case ("learn", name):
                changed, removed = self.news[learned[name]]
                learned[name] += 1
                cluster.tell(name, UpstreamsChanged(changed, removed))
            case ("deliver", index):
                cluster.deliver(index)
            case ("open", name, flow):
                opened[flow] += 1
                cluster.send(name, flow, opens=True)
        cluster.advance(STEP_SECONDS)
        return state

    def is_misdirected(self, cluster):
        return any(len(self.answers(cluster, flow)) > 1 for flow in self.opens)

    def answers(self, cluster, port):
        """Return the upstreams that have had or would now get packets of a flow."""
        found = set(cluster.targets(port))
        if not found:
            return found
        flow = hash64(packet(port).flow)
        for router in cluster.routers.values():
            service = router.state.services[ORDERS]
            decision = router.paths.decide(service, flow, False, cluster.now, 0)
            if isinstance(decision, ForwardTo):
                found.add(decision.upstream.upstream)
            question = FlowLookupRequest(
                router.state.domain.number, 1, ORDERS, b"", flow.to_bytes(8, "big")
            )
            for effect in router.owner.ask(router.state.instance, question, cluster.now):
                found.update(effect.message.placed.upstreams)
        return found

    def key(self, state):
        cluster, learned, opened = state
        parts = [sorted(learned.items()), sorted(opened.items())]
        parts.append(sorted(map(repr, cluster.flying)))
        parts.append([sorted(cluster.targets(flow)) for flow in self.opens])
        for _, router in sorted(cluster.routers.items()):
            service = router.state.services[ORDERS]
            waiting = [(f, w.opens, len(w.packets)) for f, w in router.asks.waiting.items()]
            cached = {**router.state.cache.old, **router.state.cache.young}
            parts.append(
                [
                    service.table.entries,
                    sorted(service.confirmed.items()),
                    sorted(router.state.register.slots.items()),
                    sorted(waiting),
                    sorted(cached.items()),
                    sorted(router.owner.askers.items()),
                    sorted({(opened.flow, opened.upstream) for opened in router.state.recent}),
                    router.sync.round,
                    router.state.synced,
                ]
            )
        return hash64(repr(parts).encode())


def stop_timers(cluster):
    """Keep retries and reports from happening, so that only the chosen actions do."""
    names = ("retry_seconds", "activity_report_seconds", "cache_idle_seconds")
    never = dict.fromkeys(names, NEVER)
    settings = cluster.settings.model_copy(update=never)
    for router in cluster.routers.values():
        router.settings = router.state.settings = settings
        router.sync.retry_at = router.coordinator.retry_at = router.report_at = NEVER
        router.state.cache.rotate_at = NEVER


def flows_in_slot(cluster, upstream, count):
    """Return ports of flows whose slot has the given upstream."""
    table = next(iter(cluster.routers.values())).state.services[ORDERS].table
    found = []
    for port in range(1, 1000):
        slot = hash64(packet(port).flow) % len(table.entries)
        if table.entries[slot].current == upstream:
            found.append(port)
    return found[:count]
