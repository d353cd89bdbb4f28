"""State machines and packet socket of a balancer; independent of an event loop."""

import time
from random import Random
from typing import TYPE_CHECKING

from chicorypost.announcements import (
    VIEW_MESSAGES,
    AnnouncementSettings,
    BalancersCounted,
    DirectoryView,
    EvacuationsApplied,
    PeerConnected,
    PeerDisconnected,
    RoutingApplied,
    SeedsChanged,
    VisibleUpstreamsChanged,
)
from chicorypost.base import Effect, Endpoint, Incarnation, InstanceId, Instant
from chicorypost.cookies import CookieRouter, CookieSettings
from chicorypost.daemons import EventDispatcher, Registration
from chicorypost.pacing import LinkPacer, PacingSettings
from chicorypost.platform import NodeSettings, read_flow_ends
from chicorypost.roles._event_log import EventLog
from chicorypost.roles._events import EVACUATIONS_APPLIED, ROUTING_APPLIED
from chicorypost.roles._forwarding import Forwarder
from chicorypost.transport import NOT_LISTENING_PORT, ConnectionHello, open_packet_socket
from chicorypost.transport._events import UNEXPECTED_ERROR

if TYPE_CHECKING:
    from chicorypost.cookies._observer import UpstreamObserver

SOCKET_BUFFER_BYTES = 512 * 1024


class BalancerCore:
    """The state machines of one balancer and its packet socket.

    Independent of an event loop, so that `StartupBalancer` can run it before trio is imported.

    Parameters
    ----------
    settings : NodeSettings
        Settings of this process.
    event_log : EventLog
        Receives log events.
    """

    def __init__(self, settings: NodeSettings, event_log: EventLog) -> None:
        assert settings.packets is not None
        self.settings = settings
        self.event_log = event_log
        now = Instant(time.monotonic())
        announcements = AnnouncementSettings(interval_seconds=settings.announcement_seconds)
        self.view = DirectoryView(announcements, settings.seeds, now)
        self.router = _make_router(settings, now)
        self.hello = ConnectionHello(
            InstanceId(settings.host),
            Incarnation(time.time_ns() // 1_000_000),
            settings.data_centre,
            Endpoint(settings.host, NOT_LISTENING_PORT),
        )
        self.observer = self._make_observer(now)
        self.packet_socket = open_packet_socket(settings.packets, SOCKET_BUFFER_BYTES)
        self.pacer = LinkPacer(PacingSettings(settings.link_bytes_per_second))
        self.forwarder = Forwarder(
            self.router, self.packet_socket, settings.packets.port, self.pacer, event_log
        )

    def _make_observer(self, now: Instant) -> "UpstreamObserver | None":
        if self.router.judged_upstreams is None:
            return None
        from chicorypost.cookies._observer import UpstreamObserver

        settings, run = self.router.judged_upstreams.settings, self.hello.incarnation
        return UpstreamObserver(settings, self.router, self.router.judged_upstreams, run, now)

    def register_state_machines(self, dispatcher: EventDispatcher) -> None:
        """Register the state machines with a dispatcher."""
        events = (PeerConnected, PeerDisconnected, SeedsChanged)
        dispatcher.register(Registration("view", self.view, VIEW_MESSAGES, events, True))
        flow_events = (
            RoutingApplied,
            VisibleUpstreamsChanged,
            EvacuationsApplied,
            BalancersCounted,
        )
        dispatcher.register(Registration("flows", self.router, (), flow_events, True))
        if self.observer is not None:
            links = (PeerConnected, PeerDisconnected)
            dispatcher.register(Registration("observations", self.observer, (), links, True))

    def forward_batch(self, dispatcher: EventDispatcher) -> None:
        """Forward waiting packets and execute the effects of the router.

        An unexpected error costs the packet that caused it; those behind it are in the next batch.
        """
        try:
            self.forwarder.forward_batch(dispatcher.now())
        except Exception as error:
            self.event_log.emit(UNEXPECTED_ERROR.emit(where="packet", error=f"{error!r:.200}"))
        if self.router.effects:
            dispatcher.execute_effects(self.router.pop_effects())

    def log_applied(self, effect: Effect) -> None:
        """Log an effect that says which configuration or evacuations were applied."""
        match effect:
            case RoutingApplied(document):
                self.event_log.emit(ROUTING_APPLIED.emit(version=document.version))
            case EvacuationsApplied(evacuations):
                names = ", ".join(evacuations.data_centres)
                applied = EVACUATIONS_APPLIED.emit(
                    revision=evacuations.revision, data_centres=names
                )
                self.event_log.emit(applied)

    def missing_prerequisite(self) -> str:
        """Return what is missing to serve, or an empty string if nothing is."""
        if self.view.document is None:
            return "no configuration yet"
        return "" if self.view.has_directory else "no upstreams known yet"

    def isolation_reason(self) -> str:
        """Return why clients should use another data centre, or an empty string.

        An isolated data centre may reach no upstream of some service while clients still reach the
        other data centres, so the readiness probe directs them there. A service that is unreachable
        from everywhere doesn't count: the control instances are reachable then.
        """
        service = self.router.find_unreachable_service() if self.view.is_isolated else None
        return f"cut off from all upstreams of {service}" if service is not None else ""


def _make_router(settings: NodeSettings, now: Instant) -> CookieRouter:
    """Return the router; the class that repeats stalled requests is imported only if enabled."""
    balancing, limits = settings.balancing, settings.cold_start_limits
    balancer, data_centre = InstanceId(settings.host), settings.data_centre
    if not balancing.repeat_share:
        return CookieRouter(
            CookieSettings(),
            data_centre,
            Random(),
            now,
            balancing,
            limits,
            balancer,
            settings.announcement_seconds,
        )
    from chicorypost.cookies import RepeatingRouter

    return RepeatingRouter(
        CookieSettings(),
        data_centre,
        Random(),
        now,
        balancing,
        limits,
        read_flow_ends,
        balancer,
        settings.announcement_seconds,
    )
