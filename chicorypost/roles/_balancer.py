"""The balancer role: packets in and out, readiness, and the feeds of the control instances."""

from functools import partial
from random import Random
from typing import TYPE_CHECKING, Any

import trio

from chicorypost import __version__
from chicorypost.announcements import (
    AnnouncementSettings,
    ControlsChanged,
    DirectoryView,
    PeerGone,
    PeerReached,
    RoutingApplied,
    SeedsChanged,
    UpstreamsSeen,
)
from chicorypost.base import Effect, Event, InstanceId, Message
from chicorypost.cookies import CookieRouter, CookieSettings, ForwardTo, ResetFlow
from chicorypost.daemons import Engine, Part
from chicorypost.daemons._engine import messages_in
from chicorypost.daemons._events import STARTED
from chicorypost.daemons._stop import StopControl
from chicorypost.metrics import PlainMetrics
from chicorypost.platform import (
    BadPacket,
    NodeSettings,
    make_reset,
    read_packet,
    wrap_packet,
)
from chicorypost.roles._admin import serve_admin
from chicorypost.roles._events import PACKET_SOCKET_FAILED, READY, ROUTING_APPLIED
from chicorypost.roles._flow_log import FlowLog
from chicorypost.roles._process import Journal, make_network
from chicorypost.roles._settings_file import watch_settings
from chicorypost.transport import NOT_LISTENING, open_packet_socket

if TYPE_CHECKING:
    from chicorypost.transport import HttpServerRequest, HttpServerResponse

FEED_TAGS = range(811, 900)
DATAGRAM_BYTES = 2048
"""Room for a packet with the largest data, and for one that is too long to be one."""
BATCH_PACKETS = 32
SOCKET_BUFFER_BYTES = 512 * 1024
READY_LOOK_SECONDS = 0.02
"""How often a balancer that isn't ready yet looks whether it is."""
LEAVE_SECONDS = 2.5
"""How long packets are still forwarded once a stop has begun: the fabric asks twice a second and
leaves this instance out after two refusals."""


class BalancerRole:
    """One balancer on the platform.

    Parameters
    ----------
    settings : NodeSettings
        Settings of this process.
    journal : Journal
        Takes log events.
    """

    def __init__(self, settings: NodeSettings, journal: Journal) -> None:
        assert settings.packets is not None and settings.readiness is not None
        self.settings = settings
        self.journal = journal
        self.engine = Engine(self._send, journal.emit, self._execute)
        self.stop = StopControl(LEAVE_SECONDS + 1.0, journal.emit)
        now, random = self.engine.now(), Random()
        announcements = AnnouncementSettings(interval_seconds=settings.announcement_seconds)
        self.view = DirectoryView(announcements, settings.seeds, now)
        self.router = CookieRouter(CookieSettings(), settings.data_centre, random, now)
        self.engine.add(
            Part("view", self.view, messages_in(FEED_TAGS), (PeerReached, PeerGone, SeedsChanged))
        )
        self.engine.add(Part("flows", self.router, (), (RoutingApplied, UpstreamsSeen)))
        self.flow_log = FlowLog(self.router, journal.emit)
        self.client_port = settings.packets.port
        self.socket = open_packet_socket(settings.packets, SOCKET_BUFFER_BYTES)
        self.was_ready = False
        instance = InstanceId(settings.host)
        self.network = make_network(settings, instance, NOT_LISTENING, self.engine, journal)

    def _send(self, to: InstanceId, message: Message) -> None:
        self.network.send(to, message)

    def _execute(self, effect: Effect) -> None:
        match effect:
            case ControlsChanged(controls):
                self._follow_controls(controls)
            case RoutingApplied(document):
                self.journal.emit(ROUTING_APPLIED.emit(version=document.version))
            case Event():
                pass
            case _:
                raise AssertionError(f"effect is not known: {effect!r}")

    def _follow_controls(self, controls: frozenset[InstanceId]) -> None:
        for former in set(self.network.links) - controls:
            self.network.forget(former)
        for name in controls:
            self.network.keep(name)

    def dump(self) -> dict[str, Any]:
        """Return the whole decision state of this process."""
        return {"id": self.settings.host, "ready": not self.not_ready(), **self.engine.dump()}

    def not_ready(self) -> str:
        """Return why the fabric shouldn't send packets here, or an empty string."""
        if self.stop.is_stopping:
            return "stopping"
        if self.view.document is None:
            return "no configuration yet"
        return "" if self.view.has_directory else "no upstreams known yet"

    async def _answer(self, request: "HttpServerRequest") -> "HttpServerResponse":
        from chicorypost.platform import (
            Simple,
            answer_done,
            answer_unavailable,
            answer_unknown,
            read_call,
        )

        if read_call(request) is not Simple.READY:
            return answer_unknown()
        reason = self.not_ready()
        if reason:
            return answer_unavailable(reason)
        if not self.was_ready:
            self.was_ready = True
            self.journal.emit(READY.emit(version=self.view.version))
        return answer_done()

    async def run(self) -> None:
        """Serve until a stop."""
        settings = self.settings
        assert settings.readiness is not None
        async with trio.open_nursery() as nursery:
            await nursery.start(self.stop.run, self._leave, nursery.cancel_scope)
            await nursery.start(self.network.run, None)
            nursery.start_soon(self._forward_packets)
            nursery.start_soon(self._serve_probes)
            watch = partial(watch_settings, settings, self._change_settings, self.journal.emit)
            nursery.start_soon(watch)
            self.journal.emit(STARTED.emit(role="balancer", version=__version__))
            self.engine.post(SeedsChanged(settings.seeds))
            self.engine.reschedule()
            nursery.start_soon(self.engine.run_timer)

    def _change_settings(self, settings: NodeSettings) -> None:
        self.engine.post(SeedsChanged(settings.seeds))

    async def _leave(self) -> None:
        """Forward packets until the fabric has taken this instance out of rotation."""
        await trio.sleep(LEAVE_SECONDS)

    async def _serve_probes(self) -> None:
        """Answer the fabric's probes from the moment when there is something to serve.

        Packets may come before that, so forwarding doesn't wait for the HTTP library.
        """
        assert self.settings.readiness is not None
        while self.not_ready():
            await trio.sleep(READY_LOOK_SECONDS)
        from chicorypost.transport import HttpServer, HttpSettings

        server = HttpServer("readiness", HttpSettings(), self._answer, self.journal.emit)
        host, port = self.settings.readiness.host, self.settings.readiness.port
        listeners = await trio.open_tcp_listeners(port, host=host)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(trio.serve_listeners, server.serve, listeners)
            nursery.start_soon(
                serve_admin, host, self.metrics(), self.dump, self.not_ready, self.journal.emit
            )

    def metrics(self) -> PlainMetrics:
        """Return the metrics of this process."""
        tracker = self.router.tracker
        return PlainMetrics(
            lambda: {
                "events": self.journal.counts_by_name(),
                "packets": self.router.count_packets(),
            },
            lambda: {
                "configuration_version": self.router.version,
                "flows": len(tracker.flows),
                "upstreams": len(self.router.upstreams),
                "silent_upstreams": sum(item.silent for item in self.router.upstreams.values()),
            },
            {
                "flow_opening_seconds": tracker.opening_seconds,
                "request_seconds": tracker.request_seconds,
            },
        )

    async def _forward_packets(self) -> None:
        while True:
            await trio.lowlevel.wait_readable(self.socket)
            self._forward_batch()
            await trio.lowlevel.checkpoint()

    def _forward_batch(self) -> None:
        """Read and forward the packets that wait, up to a bound, without awaiting each."""
        now = self.engine.now()
        for _ in range(BATCH_PACKETS):
            try:
                data = self.socket.recv(DATAGRAM_BYTES)
            except BlockingIOError:
                break
            except OSError as error:
                self.journal.emit(PACKET_SOCKET_FAILED.emit(reason=str(error)))
                break
            packet = read_packet(data)
            if isinstance(packet, BadPacket):
                self.router.counters[f"refused-{packet.value}"] += 1
                continue
            decision = self.router.route(packet, now)
            # Nearly all packets take this branch, so it is tested before the other.
            if type(decision) is ForwardTo:
                datagram = wrap_packet(data, decision.token, decision.cookie)
                self._send_datagram(datagram, decision.address)
            elif type(decision) is ResetFlow:
                host, reset = make_reset(data)
                self._send_datagram(reset, (host, self.client_port))
            if packet.data_bytes or packet.opens or type(decision) is not ForwardTo:
                self.flow_log.note(packet, data, decision)
        if self.router.effects:
            self.engine.carry_out(self.router.take_effects())

    def _send_datagram(self, data: bytes, address: tuple[str, int]) -> None:
        """Send a datagram; a full socket buffer loses it, as a network may."""
        try:
            self.socket.sendto(data, address)
        except BlockingIOError:
            self.router.counters["lost-socket-full"] += 1
        except OSError as error:
            self.journal.emit(PACKET_SOCKET_FAILED.emit(reason=str(error)))


async def run_balancer(settings: NodeSettings, journal: Journal) -> None:
    """Run the balancer role until a stop."""
    await BalancerRole(settings, journal).run()
