"""The balancer role: runs the core on trio, with readiness probes and control feeds."""

import math
from collections.abc import Mapping
from functools import partial
from typing import TYPE_CHECKING, Any

import trio

from chicorypost import __version__
from chicorypost.announcements import (
    ControlsChanged,
    EvacuationsApplied,
    RoutingApplied,
    SeedsChanged,
)
from chicorypost.base import Effect, Event, InstanceId, Message
from chicorypost.cookies import ResetStalledFlow
from chicorypost.daemons import Engine
from chicorypost.daemons._events import STARTED
from chicorypost.daemons._stop import StopControl
from chicorypost.metrics import PlainMetrics
from chicorypost.platform import NodeSettings
from chicorypost.roles._admin import serve_admin
from chicorypost.roles._balancer_core import BalancerCore
from chicorypost.roles._event_log import EventLog
from chicorypost.roles._events import NOT_READY, READY
from chicorypost.roles._process import make_peer_network
from chicorypost.roles._settings_file import watch_settings

if TYPE_CHECKING:
    from chicorypost.transport import HttpServerRequest, HttpServerResponse

READINESS_POLL_SECONDS = 0.02
"""Interval at which a balancer checks whether it has become ready."""
MAX_HOLD_SECONDS = 1.4
"""How long packets wait in the socket for the configuration and the upstreams; clients give up the
opening of a flow after this time."""
DRAIN_SECONDS = 2.5
"""How long packets are still forwarded after a stop has begun: the network fabric probes twice a
second and takes an instance out of rotation after two failed probes."""


class BalancerRole:
    """One balancer on the platform.

    Parameters
    ----------
    core : BalancerCore
        State machines and packet socket.
    event_log : EventLog
        Receives log events.
    """

    def __init__(self, core: BalancerCore, event_log: EventLog) -> None:
        assert core.settings.readiness is not None
        self.core = core
        self.settings = core.settings
        self.event_log = event_log
        self.engine = Engine(self._send, event_log.emit, self._execute)
        core.register_state_machines(self.engine)
        self.stop_control = StopControl(DRAIN_SECONDS + 1.0, event_log.emit)
        self.view = core.view
        self.router = core.router
        self.reported_reason: str | None = None
        """Reason in the last probe response; empty if ready, None before the first probe."""
        self.network = make_peer_network(core.settings, core.hello, self.engine, event_log)

    def _send(self, to: InstanceId, message: Message) -> None:
        self.network.send(to, message)

    def _execute(self, effect: Effect) -> None:
        match effect:
            case ControlsChanged(controls):
                self._update_control_links(controls)
            case RoutingApplied() | EvacuationsApplied():
                self.core.log_applied(effect)
            case ResetStalledFlow():
                self.core.forwarder.reset_stalled_flow(effect)
            case Event():
                pass
            case _:
                raise AssertionError(f"unexpected effect: {effect!r}")

    def _update_control_links(self, controls: frozenset[InstanceId]) -> None:
        for removed in set(self.network.links) - controls:
            self.network.close_connection(removed)
        for name in controls:
            self.network.maintain_connection(name)

    def dump(self) -> dict[str, Any]:
        """Return the state of all state machines of this process."""
        return {
            "id": self.settings.host,
            "ready": not self.unready_reason(),
            "link": self.core.pacer.dump(),
            **self.engine.dump(),
        }

    def unready_reason(self) -> str:
        """Return why the fabric shouldn't send packets to this instance, or an empty string."""
        if self.stop_control.is_stopping:
            return "stopping"
        return self.core.missing_prerequisite() or self.core.isolation_reason()

    def _respond(self, request: "HttpServerRequest") -> "HttpServerResponse":
        from chicorypost.platform import (
            SimpleCall,
            make_not_found_response,
            make_ok_response,
            make_unavailable_response,
            read_call,
        )

        if read_call(request) is not SimpleCall.READY:
            return make_not_found_response()
        reason = self.unready_reason()
        if reason != self.reported_reason:
            self.reported_reason = reason
            event = (
                NOT_READY.emit(reason=reason) if reason else READY.emit(version=self.view.version)
            )
            self.event_log.emit(event)
        return make_unavailable_response(reason) if reason else make_ok_response()

    async def run(self) -> None:
        """Serve until stopped."""
        settings = self.settings
        assert settings.readiness is not None
        async with trio.open_nursery() as nursery:
            await nursery.start(self.stop_control.run, self._drain, nursery.cancel_scope)
            await nursery.start(self.network.run, None)
            nursery.start_soon(self._forward_packets)
            nursery.start_soon(self._serve_readiness)
            watch = partial(watch_settings, settings, self._apply_settings, self.event_log.emit)
            nursery.start_soon(watch)
            self.event_log.emit(STARTED.emit(role="balancer", version=__version__))
            self._update_control_links(self.view.controls)
            self.engine.post(SeedsChanged(settings.seeds))
            self.engine.refresh_deadlines()
            nursery.start_soon(self.engine.run_timer)

    def _apply_settings(self, settings: NodeSettings) -> None:
        self.engine.post(SeedsChanged(settings.seeds))

    async def _drain(self) -> None:
        """Keep forwarding packets until the fabric has taken this instance out of rotation."""
        await trio.sleep(DRAIN_SECONDS)

    async def _serve_readiness(self) -> None:
        """Serve the readiness probes of the fabric once this instance is ready.

        Packets may arrive earlier, so forwarding doesn't wait for the import of the HTTP library.
        """
        assert self.settings.readiness is not None
        while self.unready_reason():
            await trio.sleep(READINESS_POLL_SECONDS)
        from chicorypost.transport import HttpServer, HttpSettings

        server = HttpServer("readiness", HttpSettings(), self._respond, self.event_log.emit)
        host, port = self.settings.readiness.host, self.settings.readiness.port
        listeners = await trio.open_tcp_listeners(port, host=host)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(trio.serve_listeners, server.serve_connection, listeners)
            nursery.start_soon(
                serve_admin,
                host,
                self.metrics(),
                self.dump,
                self.unready_reason,
                self.event_log.emit,
                self._explain_route,
            )

    def _explain_route(self, query: Mapping[str, str]) -> Any:
        """Return where an opening would go now; raise ValueError if the query is invalid."""
        from chicorypost.cookies._explanation import describe_opening, explain_opening
        from chicorypost.platform import read_route_query

        address, flow = read_route_query(query)
        return describe_opening(explain_opening(self.router, address, flow, self.engine.now()))

    def metrics(self) -> PlainMetrics:
        """Return the metrics of this process."""
        tracker, cold_starts = self.router.tracker, self.router.cold_starts
        judged = self.router.judged_upstreams
        return PlainMetrics(
            lambda: {
                "events": self.event_log.counts_by_name(),
                "packets": self.router.count_packets(),
                "paced": dict(self.core.pacer.counters),
            },
            lambda: {
                "configuration_version": self.router.version,
                "evacuated_data_centres": len(self.view.evacuations.data_centres),
                "flows": len(tracker.flows),
                "upstreams": len(self.router.upstreams),
                "link_waiting_seconds": self.core.pacer.waiting_seconds,
                "cold_upstreams": len(cold_starts.cold_until) if cold_starts is not None else 0,
                "silent_upstreams": sum(item.is_silent for item in self.router.upstreams.values()),
                "judged_unresponsive_upstreams": len(judged.unresponsive) if judged else 0,
                "judged_slow_upstreams": len(judged.slowness) if judged else 0,
                "observation_reports": self.core.observer.number if self.core.observer else 0,
            },
            {
                "flow_opening_seconds": tracker.opening_seconds,
                "request_seconds": tracker.request_seconds,
            },
        )

    async def _forward_packets(self) -> None:
        with trio.move_on_after(MAX_HOLD_SECONDS):
            while self.router.document is None or not self.router.upstreams:
                await trio.sleep(READINESS_POLL_SECONDS)
        while True:
            deadline = self.core.pacer.next_deadline()
            with trio.CancelScope(deadline=math.inf if deadline is None else deadline):
                await trio.lowlevel.wait_readable(self.core.packet_socket)
            self.core.forward_batch(self.engine)
            await trio.lowlevel.checkpoint()


async def run_balancer(core: BalancerCore, event_log: EventLog) -> None:
    """Run the balancer role until it is stopped."""
    await BalancerRole(core, event_log).run()
