"""The balancer process: listeners, state machines and graceful stop."""

import random
import socket
import time
from typing import Any

import trio

from chicorypost import __version__
from chicorypost.base import (
    DataCentreId,
    Effect,
    Endpoint,
    Event,
    Incarnation,
    Member,
    UpstreamsChanged,
    ViewChanged,
    WallTime,
)
from chicorypost.configuration import ConfigurationApplied, ConfigurationDocument
from chicorypost.daemons._admin import AdminEndpoints
from chicorypost.daemons._announcements import AnnouncementEndpoint
from chicorypost.daemons._balancer_parts import BalancerMachines
from chicorypost.daemons._callers import CallerEndpoint
from chicorypost.daemons._engine import Engine
from chicorypost.daemons._events import STARTED, STOPPED
from chicorypost.daemons._exchanges import UpstreamExchangeRunner
from chicorypost.daemons._listeners import get_bound_endpoint, open_listener
from chicorypost.daemons._packets import PacketForwarder
from chicorypost.daemons._settings import BalancerSettings, parse_endpoint
from chicorypost.daemons._stop import StopControl
from chicorypost.events import Emit, log_event
from chicorypost.flows import ReachableChanged, ReleaseHeld
from chicorypost.membership import Leave
from chicorypost.metrics import ProcessMetrics
from chicorypost.requests import Respond, WallClockRead
from chicorypost.transport import (
    ConnectionHello,
    HttpServer,
    PeerNetwork,
    TlsContexts,
    open_packet_socket,
)
from chicorypost.upstreams import CancelExchange, Drain, StartExchange

ENVIRONMENT_POLL_SECONDS = 0.5
"""Interval at which the wall clock and the reachable data centres are posted to the machines."""

LINGER_SECONDS = 0.5
"""How long a balancer that has left its view still serves other instances."""

DRAIN_POLL_SECONDS = 0.05
"""Interval at which a graceful stop checks whether all work has ended."""


class BalancerDaemon:
    """A balancer instance.

    Parameters
    ----------
    settings : BalancerSettings
        Validated settings.
    control, requests, announcements, admin : trio.SocketListener
        Bound listeners.
    """

    def __init__(
        self,
        settings: BalancerSettings,
        control: trio.SocketListener,
        requests: trio.SocketListener,
        announcements: trio.SocketListener,
        admin: trio.SocketListener,
    ) -> None:
        self.settings = settings
        self.metrics = ProcessMetrics()
        self.document = ConfigurationDocument()
        self.listeners = {
            "control": control,
            "requests": requests,
            "announcements": announcements,
            "admin": admin,
        }
        self.engine = Engine(self._send_message, self.emit, self.execute_effect)
        self.stop_control = StopControl(settings.stop_seconds, self.emit)
        incarnation = Incarnation(time.time_ns() // 1_000_000)
        packet_socket = open_packet_socket(parse_endpoint(settings.listen.packets))
        self.member = self._make_member(incarnation, packet_socket)
        self.machines = BalancerMachines(settings, self.member, random.Random(), self.engine.now())
        self.packet_forwarder = PacketForwarder(
            packet_socket, self.machines.router, self.engine, self.count_packets
        )
        self.network = self._make_network()
        self.exchanges = UpstreamExchangeRunner(
            self.engine, self.machines.may_act, settings.requests_http.body_bytes
        )
        self.caller_endpoint = CallerEndpoint(self.engine, self.metrics, lambda: self.document)
        self.announcement_endpoint = AnnouncementEndpoint(self.engine, self.machines.directory)
        self.machines.register_with(self.engine)
        self.servers = self._make_servers()
        self._add_gauges()

    def _make_member(self, incarnation: Incarnation, packet_socket: socket.socket) -> Member:
        settings = self.settings
        control = get_bound_endpoint(self.listeners["control"])
        packets = Endpoint(*packet_socket.getsockname()[:2])
        return Member(settings.id, incarnation, settings.data_centre, control, packets)

    def _make_network(self) -> PeerNetwork:
        settings, member = self.settings, self.member
        hello = ConnectionHello(
            settings.id, member.incarnation, settings.data_centre, member.control
        )
        tls = TlsContexts(settings.tls, self.emit)
        network = PeerNetwork(settings.transport, hello, tls, self.engine.receive, self.emit)
        for address in (*settings.balancers, *settings.controls):
            network.learn_address(address.id, parse_endpoint(address.control))
        return network

    def _make_servers(self) -> dict[str, HttpServer]:
        settings = self.settings
        admin = AdminEndpoints(self.metrics, self.dump, self.unready_reason)
        return {
            "requests": HttpServer(
                "requests", settings.requests_http, self.caller_endpoint.handle, self.emit
            ),
            "announcements": HttpServer(
                "announcements",
                settings.announcements_http,
                self.announcement_endpoint.handle,
                self.emit,
            ),
            "admin": HttpServer("admin", settings.admin, admin.handle, self.emit),
        }

    def _add_gauges(self) -> None:
        servers = self.servers
        add = self.metrics.add_gauge
        add("lease", "1 while this instance may act.", lambda: float(self._may_act()))
        add(
            "requests_running",
            "Requests whose caller waits.",
            lambda: float(servers["requests"].requests_in_progress),
        )
        add(
            "peer_messages_received",
            "Messages received.",
            lambda: float(self.network.received_messages),
        )
        add(
            "peer_bytes_sent",
            "Bytes sent to other instances.",
            lambda: float(sum(link.sent_bytes for link in self.network.links.values())),
        )

    def _send_message(self, to: Any, message: Any) -> None:
        self.network.send(to, message)

    def emit(self, event: Emit) -> None:
        """Log and count an event."""
        log_event(event)
        self.metrics.count_event(event)

    def count_packets(self, decision: str, number: int) -> None:
        """Count packets by decision."""
        self.metrics.packets.labels(decision).inc(number)

    def execute_effect(self, effect: Effect) -> None:
        """Execute an effect that is neither a message nor a log event."""
        match effect:
            case ReleaseHeld():
                self.packet_forwarder.release_packets(effect)
            case Respond():
                self.caller_endpoint.respond(effect)
            case StartExchange():
                self.exchanges.start_exchange(effect)
            case CancelExchange():
                self.exchanges.cancel_exchange(effect)
            case ViewChanged(view=view):
                for member in view.members:
                    self.network.learn_address(member.instance, member.control)
            case ConfigurationApplied(document=document):
                self.document = document
            case UpstreamsChanged():
                self.engine.execute_effects(self.machines.chooser.handle(effect, self.engine.now()))
            case Event():
                pass
            case _:
                raise AssertionError(f"unknown effect: {effect!r}")

    def _may_act(self) -> bool:
        return self.machines.may_act(self.engine.now())

    def unready_reason(self) -> str:
        """Return why this balancer should get no traffic, or an empty string if it is ready."""
        if self.stop_control.is_stopping:
            return "stopping"
        if not self._may_act():
            return "no lease"
        if not self.document.services:
            return "no configuration"
        return ""

    def dump(self) -> dict[str, Any]:
        """Return the state of the process and of all its state machines."""
        return {
            "id": self.settings.id,
            "data_centre": self.settings.data_centre,
            "incarnation": self.member.incarnation,
            "program_version": __version__,
            "ready": self.unready_reason() or "ready",
            "connections": {
                link.peer: {"connected": link.is_connected, "dropped": link.dropped_messages}
                for link in self.network.links.values()
            },
            **self.engine.dump(),
        }

    def endpoints(self) -> dict[str, Endpoint]:
        """Return the bound endpoint of each listener by name."""
        bound = {name: get_bound_endpoint(listener) for name, listener in self.listeners.items()}
        return {**bound, "packets": self.packet_forwarder.endpoint}

    async def run(self) -> None:
        """Serve until a graceful stop has completed."""
        async with trio.open_nursery() as nursery:
            await nursery.start(self.stop_control.run, self.drain, nursery.cancel_scope)
            await nursery.start(self.network.run, self.listeners["control"])
            self.emit(STARTED.emit(role="balancer", version=__version__))
            self.exchanges.nursery = nursery
            for name, server in self.servers.items():
                nursery.start_soon(server.serve, [self.listeners[name]])
            nursery.start_soon(self.packet_forwarder.run)
            nursery.start_soon(self.engine.run_timer)
            nursery.start_soon(self._poll_environment)
        cut_requests = self.servers["requests"].requests_in_progress
        self.emit(STOPPED.emit(cut_requests=cut_requests, graceful=self.stop_control.is_graceful))

    async def _poll_environment(self) -> None:
        """Post the wall-clock time and changes of the reachable data centres to the machines."""
        reachable: frozenset[DataCentreId] = frozenset()
        while True:
            self.engine.post(WallClockRead(WallTime(time.time())))
            if self._reachable_data_centres() != reachable:
                reachable = self._reachable_data_centres()
                self.engine.post(ReachableChanged(reachable))
            await trio.sleep(ENVIRONMENT_POLL_SECONDS)

    def _reachable_data_centres(self) -> frozenset[DataCentreId]:
        connected = {link.peer for link in self.network.links.values() if link.is_connected}
        reachable_data_centres = {self.settings.data_centre}
        for address in self.settings.balancers:
            if address.id in connected:
                reachable_data_centres.add(address.data_centre)
        return frozenset(reachable_data_centres)

    async def drain(self) -> None:
        """Refuse new work, complete running work, hand over and leave the view."""
        # The network fabric needs time to notice that this instance is not ready any more.
        await trio.sleep(self.settings.stop_notice_seconds)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.servers["requests"].drain)
            self.engine.post(Drain())
        while not self.machines.may_leave:
            await trio.sleep(DRAIN_POLL_SECONDS)
        self.engine.post(Leave())
        # Without a majority that agrees on a new view, the lease still expires.
        with trio.move_on_after(self.settings.membership.lease_seconds):
            while not self.machines.has_left:
                await trio.sleep(DRAIN_POLL_SECONDS)
        # Other balancers may pass packets of moving slots here until they have the new view.
        await trio.sleep(LINGER_SECONDS)


async def run_balancer(settings: BalancerSettings) -> None:
    """Run a balancer until a signal stops it.

    Parameters
    ----------
    settings : BalancerSettings
        Validated settings.
    """
    listen = settings.listen
    daemon = BalancerDaemon(
        settings,
        await open_listener(listen.control),
        await open_listener(listen.requests),
        await open_listener(listen.announcements),
        await open_listener(listen.admin),
    )
    await daemon.run()
