"""Log lines of the routing decisions that affect a request."""

from collections.abc import Callable

from chicorypost.base import UpstreamId
from chicorypost.cookies import (
    CookiePacket,
    CookieRouter,
    Decision,
    DropPacket,
    ForwardPacket,
    ResetFlow,
    ResetStalledFlow,
)
from chicorypost.cookies._events import (
    FLOW_OPENED,
    FLOW_RESET,
    PACKET_DROPPED,
    REQUEST_FORWARDED,
    STALLED_FLOW_RESET,
)
from chicorypost.events import Emit
from chicorypost.platform import (
    format_flow,
    format_flow_key,
    format_virtual_address,
    read_request_id,
)


class FlowLog:
    """Logs each opening, request, reset and drop with the state that the decision is based on.

    Parameters
    ----------
    router : CookieRouter
        Makes the decisions; its configuration version and upstreams are logged.
    emit : callable
        Receives log events.
    """

    def __init__(self, router: CookieRouter, emit: Callable[[Emit], None]) -> None:
        self.router = router
        self.emit = emit

    def log_decision(self, packet: CookiePacket, data: bytes, decision: Decision) -> None:
        """Log a decision unless it only forwards a packet without the start of a request."""
        match decision:
            case ForwardPacket(upstream=upstream) if packet.opens_flow:
                self._log_opening(packet, data, upstream)
            case ForwardPacket():
                if packet.data_bytes:
                    self._log_request(packet, data, decision)
            case ResetFlow(reason=reason):
                event = FLOW_RESET.emit(
                    flow=format_flow(data),
                    route=self._find_route_name(packet, data),
                    request=read_request_id(data),
                    reason=reason.value,
                    candidates=self.router.count_candidates(packet.address),
                    version=self.router.version,
                )
                self.emit(event)
            case DropPacket(reason=reason):
                event = PACKET_DROPPED.emit(
                    flow=format_flow(data),
                    request=read_request_id(data),
                    reason=reason.value,
                    version=self.router.version,
                )
                self.emit(event)

    def log_stalled_reset(self, effect: ResetStalledFlow) -> None:
        """Log the reset of a flow with a stalled request."""
        event = STALLED_FLOW_RESET.emit(
            flow=format_flow_key(effect.flow),
            route=effect.route,
            upstream=effect.upstream,
            reason=effect.reason.value,
            copies=effect.copies,
            waiting_seconds=round(effect.waiting_seconds, 3),
            version=self.router.version,
        )
        self.emit(event)

    def _find_route_name(self, packet: CookiePacket, data: bytes) -> str:
        route = self.router.routes.get(packet.address)
        return route.name if route is not None else format_virtual_address(data)

    def _log_opening(self, packet: CookiePacket, data: bytes, upstream: UpstreamId) -> None:
        load = self.router.tracker.loads.get(upstream)
        event = FLOW_OPENED.emit(
            flow=format_flow(data),
            route=self._find_route_name(packet, data),
            upstream=upstream,
            copies=packet.ack_number,
            candidates=self.router.count_candidates(packet.address),
            load=load.busy_flows + load.opening_flows if load is not None else 0,
            version=self.router.version,
        )
        self.emit(event)

    def _log_request(self, packet: CookiePacket, data: bytes, decision: ForwardPacket) -> None:
        request = read_request_id(data)
        if not request:
            return
        upstream = self.router.upstreams.get(decision.upstream)
        event = REQUEST_FORWARDED.emit(
            request=request,
            flow=format_flow(data),
            upstream=decision.upstream,
            silent=upstream.is_silent if upstream is not None else False,
            version=self.router.version,
        )
        self.emit(event)
