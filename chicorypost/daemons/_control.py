"""The control process: replicated log, configuration and operators' listener."""

import dataclasses
import functools
import random
import time
from typing import Any

import trio

from chicorypost import __version__
from chicorypost.base import Effect, Endpoint, Event, Incarnation
from chicorypost.configuration import (
    AdmissionCommitted,
    ConfigurationPublisher,
    LeadershipChanged,
    StateApplied,
)
from chicorypost.consensus import (
    ChangeMembership,
    Persisted,
    Propose,
    Read,
    RecoveredState,
    Replica,
    ReplicaStorage,
    SnapshotTaken,
    StorageDamage,
)
from chicorypost.daemons._admin import AdminEndpoints
from chicorypost.daemons._control_api import OperatorEndpoint
from chicorypost.daemons._control_log import ControlLog, LeadershipTracker
from chicorypost.daemons._control_settings import ControlSettings
from chicorypost.daemons._dispatch import Registration, message_types_in
from chicorypost.daemons._engine import Engine
from chicorypost.daemons._events import STARTED, STOPPED
from chicorypost.daemons._listeners import get_bound_endpoint, open_listener
from chicorypost.daemons._settings import parse_endpoint
from chicorypost.daemons._stop import StopControl
from chicorypost.events import Emit, log_event
from chicorypost.metrics import ProcessMetrics
from chicorypost.transport import ConnectionHello, HttpServer, PeerNetwork, TlsContexts

CONSENSUS_MESSAGE_TAGS = range(100, 200)
DISTRIBUTION_MESSAGE_TAGS = range(210, 300)
LISTENER_NAMES = ("control", "operators", "admin")


class ControlDaemon:
    """One control instance.

    Parameters
    ----------
    settings : ControlSettings
        Checked settings.
    storage : ReplicaStorage
        The data folder.
    recovered : RecoveredState
        What it held.
    listeners : dict of str to trio.SocketListener
        Bound listeners, by name.
    """

    def __init__(
        self,
        settings: ControlSettings,
        storage: ReplicaStorage,
        recovered: RecoveredState,
        listeners: dict[str, trio.SocketListener],
    ) -> None:
        self.settings = settings
        self.listeners = listeners
        self.metrics = ProcessMetrics()
        self.engine = Engine(self._send_message, self.emit, self._execute_effect)
        self.stop_control = StopControl(settings.stop_seconds, self.emit)
        now, source = self.engine.now(), random.Random()
        replica_settings = _with_bootstrap_members(settings)
        self.replica = Replica(replica_settings, settings.id, recovered, source, now)
        self.publisher = ConfigurationPublisher(settings.distribution, settings.id, source, now)
        self.control_log = ControlLog(self.engine, storage)
        self._register_machines()
        self.network = self._make_network()
        self.servers = self._make_servers()
        self._add_gauges()

    def _register_machines(self) -> None:
        consensus = (Propose, Read, ChangeMembership, Persisted, SnapshotTaken)
        published = (StateApplied, AdmissionCommitted, LeadershipChanged)
        replica, messages = LeadershipTracker(self.replica), message_types_in(
            CONSENSUS_MESSAGE_TAGS
        )
        self.engine.register(Registration("log", replica, messages, consensus))
        messages = message_types_in(DISTRIBUTION_MESSAGE_TAGS)
        self.engine.register(Registration("distribution", self.publisher, messages, published))

    def _make_network(self) -> PeerNetwork:
        settings = self.settings
        incarnation = Incarnation(time.time_ns() // 1_000_000)
        own = get_bound_endpoint(self.listeners["control"])
        hello = ConnectionHello(settings.id, incarnation, settings.data_centre, own)
        tls = TlsContexts(settings.tls, self.emit)
        network = PeerNetwork(settings.transport, hello, tls, self.engine.receive, self.emit)
        for address in (*settings.balancers, *settings.controls):
            network.learn_address(address.id, parse_endpoint(address.control))
        return network

    def _make_servers(self) -> dict[str, HttpServer]:
        settings = self.settings
        operators = OperatorEndpoint(
            self.control_log, self.replica, self.publisher, self.dump, settings.answer_seconds
        )
        admin = AdminEndpoints(self.metrics, self.dump, self.unready_reason)
        return {
            "operators": HttpServer(
                "operators",
                settings.operators_http,
                operators.handle,
                self.emit,
                self.network.tls,
                frozenset(settings.operator_names),
            ),
            "admin": HttpServer("admin", settings.admin, admin.handle, self.emit),
        }

    def _add_gauges(self) -> None:
        add = self.metrics.add_gauge
        add(
            "version",
            "Version of the configuration.",
            lambda: float(self.control_log.state.version),
        )
        add("leading", "1 while this instance leads.", lambda: float(self.publisher.is_leading))
        add(
            "silent_members",
            "Members of the log that the leader does not hear.",
            lambda: float(len(self.replica.silent_members)),
        )
        add(
            "out_of_touch",
            "1 while this instance hears no leader, or as leader no quorum.",
            lambda: float(self.replica.out_of_touch_since is not None),
        )
        add(
            "silent_data_centres",
            "Data centres whose relay does not report.",
            lambda: float(
                sum(item.is_silent for item in self.publisher.data_centre_statuses.values())
            ),
        )

    def _send_message(self, to: Any, message: Any) -> None:
        self.network.send(to, message)

    def emit(self, event: Emit) -> None:
        """Log and count an event."""
        log_event(event)
        self.metrics.count_event(event)

    def _execute_effect(self, effect: Effect) -> None:
        if self.control_log.execute_effect(effect) or isinstance(effect, Event):
            return
        raise AssertionError(f"effect is not known: {effect!r}")

    def unready_reason(self) -> str:
        """Return why this instance can't answer operators, or an empty string."""
        if self.stop_control.is_stopping:
            return "stopping"
        return "" if self.replica.leader is not None else "no leader"

    def dump(self) -> dict[str, Any]:
        """Return the whole decision state of this process."""
        return {
            "id": self.settings.id,
            "data_centre": self.settings.data_centre,
            "program_version": __version__,
            "ready": self.unready_reason() or "ready",
            "configuration": self.control_log.state.dump(),
            **self.engine.dump(),
        }

    def endpoints(self) -> dict[str, Endpoint]:
        """Return where each listener is bound."""
        return {name: get_bound_endpoint(listener) for name, listener in self.listeners.items()}

    async def run(self) -> None:
        """Serve until a graceful stop has ended."""
        async with trio.open_nursery() as nursery:
            await nursery.start(self.stop_control.run, self.drain, nursery.cancel_scope)
            await nursery.start(self.network.run, self.listeners["control"])
            self.emit(STARTED.emit(role="control", version=__version__))
            for name, server in self.servers.items():
                listeners = [self.listeners[name]]
                nursery.start_soon(
                    functools.partial(trio.serve_listeners, server.serve_connection, listeners)
                )
            self.engine.refresh_deadlines()
            nursery.start_soon(self.engine.run_timer)
        cut = self.servers["operators"].requests_in_progress
        self.emit(STOPPED.emit(cut_requests=cut, graceful=self.stop_control.is_graceful))

    async def drain(self) -> None:
        """Finish the operators' requests that run."""
        server = self.servers["operators"]
        server.stop()
        while server.requests_in_progress:
            await trio.sleep(0.05)


async def open_control(settings: ControlSettings) -> ControlDaemon | StorageDamage:
    """Bind the listeners, recover the data folder and return the daemon.

    Returns
    -------
    ControlDaemon or StorageDamage
        The daemon, or why the data folder can't be trusted.
    """
    settings.data_folder.mkdir(parents=True, exist_ok=True)
    storage = ReplicaStorage(settings.data_folder)
    recovered = storage.recover()
    if isinstance(recovered, StorageDamage):
        return recovered
    listeners = {}
    for name in LISTENER_NAMES:
        listeners[name] = await open_listener(getattr(settings.listen, name))
    return ControlDaemon(settings, storage, recovered, listeners)


async def run_control(settings: ControlSettings) -> StorageDamage | None:
    """Run a control instance until SIGTERM; return damage of the data folder, if any."""
    daemon = await open_control(settings)
    if isinstance(daemon, StorageDamage):
        return daemon
    await daemon.run()
    return None


def _with_bootstrap_members(settings: ControlSettings) -> Any:
    if settings.replica.founding_members:
        return settings.replica
    founders = tuple(address.id for address in settings.controls) or (settings.id,)
    return dataclasses.replace(settings.replica, founding_members=founders)
