"""What a balancer decides with and forwards by; knows no loop, so that it can serve early."""

import time
from random import Random

from chicorypost.announcements import (
    AnnouncementSettings,
    DirectoryView,
    PeerConnected,
    PeerDisconnected,
    RoutingApplied,
    SeedsChanged,
    VisibleUpstreamsChanged,
)
from chicorypost.base import Endpoint, Incarnation, InstanceId, Instant
from chicorypost.cookies import CookieRouter, CookieSettings
from chicorypost.daemons import EventDispatcher, Registration, message_types_in
from chicorypost.pacing import LinkPacer, PacingSettings
from chicorypost.platform import NodeSettings
from chicorypost.roles._event_log import EventLog
from chicorypost.roles._forwarding import Forwarder
from chicorypost.transport import NOT_LISTENING_PORT, ConnectionHello, open_packet_socket

FEED_MESSAGE_TAGS = range(811, 900)
SOCKET_BUFFER_BYTES = 512 * 1024


class BalancerCore:
    """The state machines of one balancer and its packet socket.

    Parameters
    ----------
    settings : NodeSettings
        Settings of this process.
    journal : Journal
        Takes log events.
    """

    def __init__(self, settings: NodeSettings, journal: EventLog) -> None:
        assert settings.packets is not None
        self.settings = settings
        self.event_log = journal
        now = Instant(time.monotonic())
        announcements = AnnouncementSettings(interval_seconds=settings.announcement_seconds)
        self.view = DirectoryView(announcements, settings.seeds, now)
        self.router = CookieRouter(CookieSettings(), settings.data_centre, Random(), now)
        self.packet_socket = open_packet_socket(settings.packets, SOCKET_BUFFER_BYTES)
        self.pacer = LinkPacer(PacingSettings(settings.link_bytes_per_second))
        self.forwarder = Forwarder(
            self.router, self.packet_socket, settings.packets.port, self.pacer, journal
        )
        self.hello = ConnectionHello(
            InstanceId(settings.host),
            Incarnation(time.time_ns() // 1_000_000),
            settings.data_centre,
            Endpoint(settings.host, NOT_LISTENING_PORT),
        )

    def register_state_machines(self, dispatcher: EventDispatcher) -> None:
        """Let a dispatcher run the machines."""
        told = (PeerConnected, PeerDisconnected, SeedsChanged)
        dispatcher.register(
            Registration("view", self.view, message_types_in(FEED_MESSAGE_TAGS), told)
        )
        dispatcher.register(
            Registration("flows", self.router, (), (RoutingApplied, VisibleUpstreamsChanged))
        )

    def forward_batch(self, dispatcher: EventDispatcher) -> None:
        """Forward the packets that wait, and log what the router has learned from them."""
        self.forwarder.forward_batch(dispatcher.now())
        if self.router.effects:
            dispatcher.execute_effects(self.router.pop_effects())

    def missing_prerequisite(self) -> str:
        """Return what is missing to serve, or an empty string."""
        if self.view.document is None:
            return "no configuration yet"
        return "" if self.view.has_directory else "no upstreams known yet"

    def isolation_reason(self) -> str:
        """Return why another data centre serves better, or an empty string.

        A data centre that is cut off may have no upstream of some service. Clients reach the others
        all the same, so the fabric is asked to send them there. What is unreachable from everywhere
        is no reason: control instances would be in reach then.
        """
        service = self.router.find_unreachable_service() if self.view.is_isolated else None
        return f"cut off from all upstreams of {service}" if service is not None else ""
