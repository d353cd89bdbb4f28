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
    last_packet_at: Instant
    is_opening: bool
    opening_started_at: Instant = NEVER
    copies: int = 0
    is_busy: bool = False
    request_started_at: Instant = NEVER
    ack_number: int = 0


class UpstreamLoad(msgspec.Struct):
    """Flows and requests of one upstream through this balancer."""

    flows: int = 0
    opening_flows: int = 0
    busy_flows: int = 0


class FlowTracker:
    """Counts flows and requests per upstream."""

    def __init__(self) -> None:
        self.flows: dict[FlowKey, FlowState] = {}
        self.loads: dict[UpstreamId, UpstreamLoad] = {}
        self.closed_at: dict[FlowKey, Instant] = {}
        """Flows that their clients have ended, and when; packets of theirs may still come."""
        self.opening_seconds = PlainHistogram()
        """From the first opening packet to the first packet that shows an answer."""
        self.request_seconds = PlainHistogram()
        """From a request's first data to the first acknowledgement of an answer."""

    def get_load(self, upstream: UpstreamId) -> UpstreamLoad:
        """Return the load of an upstream."""
        load = self.loads.get(upstream)
        if load is None:
            load = self.loads[upstream] = UpstreamLoad()
        return load

    def record_opening(self, flow: FlowKey, upstream: UpstreamId, now: Instant) -> None:
        """Note that a flow is being opened at an upstream."""
        self.remove_flow(flow)
        self.closed_at.pop(flow, None)
        self.flows[flow] = FlowState(upstream, now, is_opening=True, opening_started_at=now)
        load = self.get_load(upstream)
        load.flows += 1
        load.opening_flows += 1

    def record_packet(self, packet: CookiePacket, upstream: UpstreamId, now: Instant) -> bool:
        """Note a packet of an open flow; return whether it shows that the upstream has answered."""
        if packet.flow in self.closed_at:
            # The client repeats the end of a flow, or acknowledges that of the upstream.
            return False
        state = self.flows.get(packet.flow)
        is_new = state is None or state.upstream != upstream
        if state is None or is_new:
            # Opened through another balancer, or at another upstream than the one chosen here.
            self.record_opening(packet.flow, upstream, now)
            state = self.flows[packet.flow]
        load = self.get_load(upstream)
        state.last_packet_at = now
        has_answered = state.is_opening or packet.ack_number != state.ack_number
        if is_new and packet.ends_flow:
            # A client that gives up ends its flow too.
            has_answered = False
        if state.is_opening:
            state.is_opening = False
            self.opening_seconds.observe(now - state.opening_started_at)
            load.opening_flows -= 1
        if state.is_busy and packet.ack_number != state.ack_number:
            state.is_busy = False
            load.busy_flows -= 1
            self.request_seconds.observe(now - state.request_started_at)
        if packet.data_bytes and not state.is_busy:
            state.is_busy = True
            state.request_started_at = now
            load.busy_flows += 1
        state.ack_number = packet.ack_number
        if packet.ends_flow:
            self.remove_flow(packet.flow)
            self.closed_at[packet.flow] = now
        return has_answered

    def remove_flow(self, flow: FlowKey) -> None:
        """Forget a flow."""
        state = self.flows.pop(flow, None)
        if state is None:
            return
        load = self.get_load(state.upstream)
        load.flows -= 1
        load.opening_flows -= state.is_opening
        load.busy_flows -= state.is_busy

    def remove_expired(self, now: Instant, opening_seconds: float, idle_seconds: float) -> None:
        """Forget flows that never opened, were idle for long, or ended long ago."""
        old = [
            flow
            for flow, state in self.flows.items()
            if now - state.last_packet_at >= (opening_seconds if state.is_opening else idle_seconds)
        ]
        for flow in old:
            self.remove_flow(flow)
        for flow in [name for name, at in self.closed_at.items() if now - at >= idle_seconds]:
            del self.closed_at[flow]

    def remove_upstream(self, upstream: UpstreamId) -> None:
        """Forget an upstream and all of its flows."""
        for flow in [flow for flow, state in self.flows.items() if state.upstream == upstream]:
            self.remove_flow(flow)
        self.loads.pop(upstream, None)
