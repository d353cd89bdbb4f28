"""Flows that pass this balancer: which upstream has them, and what they show of its load."""

import msgspec

from chicorypost.base import FlowKey, Instant, UpstreamId
from chicorypost.cookies._packet import CookiePacket
from chicorypost.metrics import PlainHistogram

NEVER = Instant(0.0)


class FlowState(msgspec.Struct):
    """One flow as seen from the client's packets.

    `busy` says that a request is under way: data has come from the client, and the client hasn't
    acknowledged anything since.
    """

    upstream: UpstreamId
    seen_at: Instant
    opening: bool
    opened_at: Instant = NEVER
    copies: int = 0
    busy: bool = False
    busy_at: Instant = NEVER
    acknowledged: int = 0


class UpstreamLoad(msgspec.Struct):
    """Flows and requests of one upstream through this balancer."""

    flows: int = 0
    opening: int = 0
    busy: int = 0


class FlowTracker:
    """Counts flows and requests per upstream."""

    def __init__(self) -> None:
        self.flows: dict[FlowKey, FlowState] = {}
        self.loads: dict[UpstreamId, UpstreamLoad] = {}
        self.closed: dict[FlowKey, Instant] = {}
        """Flows that their clients have ended, and when; packets of theirs may still come."""
        self.opening_seconds = PlainHistogram()
        """From the first opening packet to the first packet that shows an answer."""
        self.request_seconds = PlainHistogram()
        """From a request's first data to the first acknowledgement of an answer."""

    def load(self, upstream: UpstreamId) -> UpstreamLoad:
        """Return the load of an upstream."""
        load = self.loads.get(upstream)
        if load is None:
            load = self.loads[upstream] = UpstreamLoad()
        return load

    def open(self, flow: FlowKey, upstream: UpstreamId, now: Instant) -> None:
        """Note that a flow is being opened at an upstream."""
        self.close(flow)
        self.closed.pop(flow, None)
        self.flows[flow] = FlowState(upstream, now, opening=True, opened_at=now)
        load = self.load(upstream)
        load.flows += 1
        load.opening += 1

    def pass_packet(self, packet: CookiePacket, upstream: UpstreamId, now: Instant) -> bool:
        """Note a packet of an open flow; return whether it shows that the upstream has answered."""
        if packet.flow in self.closed:
            # The client repeats the end of a flow, or acknowledges that of the upstream.
            return False
        state = self.flows.get(packet.flow)
        is_new = state is None or state.upstream != upstream
        if state is None or is_new:
            # Opened through another balancer, or at another upstream than the one chosen here.
            self.open(packet.flow, upstream, now)
            state = self.flows[packet.flow]
        load = self.load(upstream)
        state.seen_at = now
        has_answered = state.opening or packet.acknowledged != state.acknowledged
        if is_new and packet.ends:
            # A client that gives up ends its flow too.
            has_answered = False
        if state.opening:
            state.opening = False
            self.opening_seconds.observe(now - state.opened_at)
            load.opening -= 1
        if state.busy and packet.acknowledged != state.acknowledged:
            state.busy = False
            load.busy -= 1
            self.request_seconds.observe(now - state.busy_at)
        if packet.data_bytes and not state.busy:
            state.busy = True
            state.busy_at = now
            load.busy += 1
        state.acknowledged = packet.acknowledged
        if packet.ends:
            self.close(packet.flow)
            self.closed[packet.flow] = now
        return has_answered

    def close(self, flow: FlowKey) -> None:
        """Forget a flow."""
        state = self.flows.pop(flow, None)
        if state is None:
            return
        load = self.load(state.upstream)
        load.flows -= 1
        load.opening -= state.opening
        load.busy -= state.busy

    def expire(self, now: Instant, opening_seconds: float, idle_seconds: float) -> None:
        """Forget flows that never opened, were idle for long, or ended long ago."""
        old = [
            flow
            for flow, state in self.flows.items()
            if now - state.seen_at >= (opening_seconds if state.opening else idle_seconds)
        ]
        for flow in old:
            self.close(flow)
        for flow in [name for name, at in self.closed.items() if now - at >= idle_seconds]:
            del self.closed[flow]

    def forget_upstream(self, upstream: UpstreamId) -> None:
        """Forget an upstream and all of its flows."""
        for flow in [flow for flow, state in self.flows.items() if state.upstream == upstream]:
            self.close(flow)
        self.loads.pop(upstream, None)
