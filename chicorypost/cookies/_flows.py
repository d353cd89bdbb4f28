"""Flows through this balancer: their upstreams, and the load of each upstream."""

import msgspec

from chicorypost.base import FlowKey, Instant, UpstreamId
from chicorypost.cookies._packet import CookiePacket
from chicorypost.cookies._response_times import ResponseTimes
from chicorypost.cookies._settings import CookieSettings
from chicorypost.metrics import PlainHistogram

NEVER = Instant(0.0)


class FlowState(msgspec.Struct):
    """State of one flow, derived from the client's packets.

    `is_busy` is true while a request is running: the client has sent data and hasn't acknowledged
    new data since.
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
    """Flow counts of one upstream, for the flows through this balancer.

    `opening_flows` are not yet open; `busy_flows` have a running request.
    """

    flows: int = 0
    opening_flows: int = 0
    busy_flows: int = 0


NO_LOAD = UpstreamLoad()
"""Load of an upstream without flows; must not be changed."""


class FlowTracker:
    """Tracks flows, counts flows and requests per upstream, and measures response times.

    Parameters
    ----------
    settings : CookieSettings
        Weights and limits of the response times.
    """

    def __init__(self, settings: CookieSettings) -> None:
        self.flows: dict[FlowKey, FlowState] = {}
        self.loads: dict[UpstreamId, UpstreamLoad] = {}
        self.closed_at: dict[FlowKey, Instant] = {}
        """When clients closed their flows; further packets of these flows may still arrive."""
        self.response_times = ResponseTimes(settings)
        self.opening_seconds = PlainHistogram()
        """Time from the first opening packet to the first packet that proves an answer."""
        self.request_seconds = PlainHistogram()
        """Time from the first data of a request to the first acknowledgement of response data."""

    def get_load(self, upstream: UpstreamId) -> UpstreamLoad:
        """Return the load of an upstream, creating it if necessary."""
        load = self.loads.get(upstream)
        if load is None:
            load = self.loads[upstream] = UpstreamLoad()
        return load

    def read_load(self, upstream: UpstreamId) -> UpstreamLoad:
        """Return the load of an upstream for reading only."""
        return self.loads.get(upstream, NO_LOAD)

    def record_opening(self, flow: FlowKey, upstream: UpstreamId, now: Instant) -> None:
        """Record that a flow is being opened at an upstream."""
        self.remove_flow(flow)
        self.closed_at.pop(flow, None)
        self.flows[flow] = FlowState(upstream, now, is_opening=True, opening_started_at=now)
        load = self.get_load(upstream)
        load.flows += 1
        load.opening_flows += 1

    def record_packet(self, packet: CookiePacket, upstream: UpstreamId, now: Instant) -> bool:
        """Record a packet of an open flow; return whether it proves an answer of the upstream."""
        if packet.flow in self.closed_at:
            # The client retransmits its close, or acknowledges the close of the upstream.
            return False
        state = self.flows.get(packet.flow)
        is_new = state is None or state.upstream != upstream
        if state is None or is_new:
            # The flow was opened through another balancer, or at another upstream.
            self.record_opening(packet.flow, upstream, now)
            state = self.flows[packet.flow]
        load = self.get_load(upstream)
        state.last_packet_at = now
        has_answered = state.is_opening or packet.ack_number != state.ack_number
        if is_new and packet.ends_flow:
            # A client that gives up without an answer closes its flow too.
            has_answered = False
        if state.is_opening:
            state.is_opening = False
            self.opening_seconds.observe(now - state.opening_started_at)
            load.opening_flows -= 1
        if state.is_busy and packet.ack_number != state.ack_number:
            state.is_busy = False
            load.busy_flows -= 1
            self.request_seconds.observe(now - state.request_started_at)
            self.response_times.finish_request(packet.flow, upstream, now)
        if packet.data_bytes and not state.is_busy:
            state.is_busy = True
            state.request_started_at = now
            load.busy_flows += 1
            self.response_times.start_request(packet.flow, upstream, now)
        state.ack_number = packet.ack_number
        if packet.ends_flow:
            self.remove_flow(packet.flow)
            self.closed_at[packet.flow] = now
        return has_answered

    def remove_flow(self, flow: FlowKey) -> None:
        """Remove a flow and its load."""
        state = self.flows.pop(flow, None)
        if state is None:
            return
        load = self.get_load(state.upstream)
        load.flows -= 1
        load.opening_flows -= state.is_opening
        load.busy_flows -= state.is_busy
        if state.is_busy:
            self.response_times.abandon_request(flow, state.upstream)

    def remove_expired(self, now: Instant, opening_seconds: float, idle_seconds: float) -> None:
        """Remove flows that failed to open in time, idle flows, and old records of closed flows."""
        expired = [
            flow
            for flow, state in self.flows.items()
            if now - state.last_packet_at >= (opening_seconds if state.is_opening else idle_seconds)
        ]
        for flow in expired:
            self.remove_flow(flow)
        for flow in [key for key, at in self.closed_at.items() if now - at >= idle_seconds]:
            del self.closed_at[flow]

    def remove_upstream(self, upstream: UpstreamId) -> None:
        """Remove an upstream and all of its flows."""
        for flow in [flow for flow, state in self.flows.items() if state.upstream == upstream]:
            self.remove_flow(flow)
        self.loads.pop(upstream, None)
        self.response_times.remove_upstream(upstream)
