"""Log lines of the decisions that touch a request."""

from collections.abc import Callable

from chicorypost.base import UpstreamId
from chicorypost.cookies import (
    CookiePacket,
    CookieRouter,
    Decision,
    DropPacket,
    ForwardPacket,
    ResetFlow,
)
from chicorypost.cookies._events import (
    FLOW_OPENED,
    FLOW_RESET,
    PACKET_DROPPED,
    REQUEST_FORWARDED,
)
from chicorypost.events import Emit
from chicorypost.platform import format_flow, format_virtual_address, read_request_id


class FlowLog:
    """Writes one line for each opening, request, reset and drop, with what decided it.

    Parameters
    ----------
    router : CookieRouter
        Decides; asked for the version and the upstreams that it decided by.
    emit : callable
        Takes log events.
    """

    def __init__(self, router: CookieRouter, emit: Callable[[Emit], None]) -> None:
        self.router = router
        self.emit = emit

    def log_decision(self, packet: CookiePacket, data: bytes, decision: Decision) -> None:
        """Log a decision, unless it only passes on a packet within a request."""
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
        known = self.router.upstreams.get(decision.upstream)
        event = REQUEST_FORWARDED.emit(
            request=request,
            flow=format_flow(data),
            upstream=decision.upstream,
            silent=known.is_silent if known is not None else False,
            version=self.router.version,
        )
        self.emit(event)
