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
shared_objects: dict[int, Any] = {}


def fetch_shared(key):
    return shared_objects[key]


class Snapshot(pickle.Pickler):
    """Pickler that shares immutable objects between the copies of a cluster."""

    def reducer_override(self, item):
        if isinstance(item, IMMUTABLE):
            shared_objects[id(item)] = item
            return fetch_shared, (id(item),)
        return NotImplemented


class Explorer:
    """Visits every state that a cluster can reach through the given upstream updates and opens.

    Each balancer in `stepwise`, by default every one, applies each update once, in order; the
    others have all updates from the start. The open of each flow is sent as often as `opens`
    says, each time at any balancer. In every state, the decision of every balancer and the reply
    of every owner are checked for a packet of each established flow.
    """

    def __init__(self, cluster, updates, opens, stepwise=None):
        stop_timers(cluster)
        for name in set(cluster.routers) - set(stepwise or cluster.routers):
            for changed, removed in updates:
                cluster.handle_event(name, UpstreamsChanged(changed, removed))
        self.updates = updates
        self.opens = opens
        self.start = (
            cluster,
            dict.fromkeys(stepwise or cluster.routers, 0),
            dict.fromkeys(opens, 0),
        )
        self.seen = set()
        self.misdirected = 0
        self.final_states = 0

    def run(self):
        stack = [self.save(self.start)]
        while stack:
            saved = stack.pop()
            actions = self.actions(*self.load(saved))
            self.final_states += not actions
            for action in actions:
                state = self.apply_action(self.load(saved), action)
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

    def actions(self, cluster, applied, opened):
        found: list[tuple] = [
            ("learn", name) for name in applied if applied[name] < len(self.updates)
        ]
        unique = {repr(item): index for index, item in enumerate(cluster.in_flight)}
        found += [("deliver", index) for index in unique.values()]
        for flow, limit in self.opens.items():
            found += [("open", name, flow) for name in cluster.routers if opened[flow] < limit]
        return found

    def apply_action(self, state, action):
        cluster, applied, opened = state
        match action:
            case ("learn", name):
                changed, removed = self.updates[applied[name]]
                applied[name] += 1
                cluster.handle_event(name, UpstreamsChanged(changed, removed))
            case ("deliver", index):
                cluster.deliver_message(index)
            case ("open", name, flow):
                opened[flow] += 1
                cluster.send_packet(name, flow, opens=True)
        cluster.advance(STEP_SECONDS)
        return state

    def is_misdirected(self, cluster):
        return any(len(self.upstreams_of(cluster, flow)) > 1 for flow in self.opens)

    def upstreams_of(self, cluster, port):
        """Return the upstreams that have received or would now receive packets of a flow."""
        found = set(cluster.targets(port))
        if not found:
            return found
        flow = hash64(packet(port).flow)
        for router in cluster.routers.values():
            service = router.state.services[ORDERS]
            decision = router.path_selector.decide(service, flow, False, cluster.now, 0)
            if isinstance(decision, ForwardTo):
                found.add(decision.upstream.upstream)
            request = FlowLookupRequest(
                router.state.domain.fingerprint, 1, ORDERS, b"", flow.to_bytes(8, "big")
            )
            for effect in router.owner.handle_lookup(router.state.instance, request, cluster.now):
                found.update(effect.message.placements.upstreams)
        return found

    def key(self, state):
        cluster, applied, opened = state
        parts = [sorted(applied.items()), sorted(opened.items())]
        parts.append(sorted(map(repr, cluster.in_flight)))
        parts.append([sorted(cluster.targets(flow)) for flow in self.opens])
        for _, router in sorted(cluster.routers.items()):
            service = router.state.services[ORDERS]
            held_flows = [
                (flow, held.opens, len(held.packets))
                for flow, held in router.lookups.held_flows.items()
            ]
            cached = {**router.state.cache.old, **router.state.cache.young}
            parts.append(
                [
                    service.table.entries,
                    sorted(service.confirmed.items()),
                    sorted(router.state.register.slots.items()),
                    sorted(held_flows),
                    sorted(cached.items()),
                    sorted(router.owner.requesters.items()),
                    sorted(
                        {(opened.flow, opened.upstream) for opened in router.state.recent_opens}
                    ),
                    router.sync.round,
                    router.state.synced,
                ]
            )
        return hash64(repr(parts).encode())


def stop_timers(cluster):
    """Disable retries, reports and cache expiry, so that only the explored actions take place."""
    names = ("retry_seconds", "activity_report_seconds", "cache_idle_seconds")
    never = dict.fromkeys(names, NEVER)
    settings = cluster.settings.model_copy(update=never)
    for router in cluster.routers.values():
        router.settings = router.state.settings = settings
        router.sync.retry_at = router.coordinator.retry_at = router.activity_report_at = NEVER
        router.state.cache.rotate_at = NEVER


def flows_in_slot(cluster, upstream, count):
    """Return client ports of flows whose slots have the given current upstream."""
    table = next(iter(cluster.routers.values())).state.services[ORDERS].table
    found = []
    for port in range(1, 1000):
        slot = hash64(packet(port).flow) % len(table.entries)
        if table.entries[slot].current == upstream:
            found.append(port)
    return found[:count]
