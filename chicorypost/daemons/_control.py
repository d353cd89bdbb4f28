"""The control process: replicated log, configuration and the operators' listener."""

import dataclasses
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
from chicorypost.daemons._control_log import ControlLog, LeadershipTracker, LogFailure
from chicorypost.daemons._control_settings import ControlSettings
from chicorypost.daemons._dispatch import Registration, message_types_in
from chicorypost.daemons._engine import Engine
from chicorypost.daemons._events import LOG_FAILED, STARTED, STOPPED
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
    """A control instance.

    Parameters
    ----------
    settings : ControlSettings
        Validated settings.
    storage : ReplicaStorage
        Storage in the data folder.
    recovered : RecoveredState
        State recovered from the storage.
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
        now, random_source = self.engine.now(), random.Random()
        replica_settings = _with_bootstrap_members(settings)
        self.replica = Replica(replica_settings, settings.id, recovered, random_source, now)
        self.publisher = ConfigurationPublisher(
            settings.distribution, settings.id, random_source, now
        )
        self.control_log = ControlLog(self.engine, storage)
        self._register_machines()
        self.network = self._make_network()
        self.servers = self._make_servers()
        self._add_gauges()

    def _register_machines(self) -> None:
        replica_events = (Propose, Read, ChangeMembership, Persisted, SnapshotTaken)
        publisher_events = (StateApplied, AdmissionCommitted, LeadershipChanged)
        replica, messages = LeadershipTracker(self.replica), message_types_in(
            CONSENSUS_MESSAGE_TAGS
        )
        self.engine.register(Registration("log", replica, messages, replica_events))
        messages = message_types_in(DISTRIBUTION_MESSAGE_TAGS)
        self.engine.register(
            Registration("distribution", self.publisher, messages, publisher_events)
        )

    def _make_network(self) -> PeerNetwork:
        settings = self.settings
        incarnation = Incarnation(time.time_ns() // 1_000_000)
        control_endpoint = get_bound_endpoint(self.listeners["control"])
        hello = ConnectionHello(settings.id, incarnation, settings.data_centre, control_endpoint)
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
        raise AssertionError(f"unknown effect: {effect!r}")

    def unready_reason(self) -> str:
        """Return why this instance can't serve operators, or an empty string if it can."""
        if self.stop_control.is_stopping:
            return "stopping"
        return "" if self.replica.leader is not None else "no leader"

    def dump(self) -> dict[str, Any]:
        """Return the state of the process and of all its state machines."""
        return {
            "id": self.settings.id,
            "data_centre": self.settings.data_centre,
            "program_version": __version__,
            "ready": self.unready_reason() or "ready",
            "configuration": self.control_log.state.dump(),
            **self.engine.dump(),
        }

    def endpoints(self) -> dict[str, Endpoint]:
        """Return the bound endpoint of each listener by name."""
        return {name: get_bound_endpoint(listener) for name, listener in self.listeners.items()}

    async def run(self) -> None:
        """Serve until a graceful stop has completed."""
        async with trio.open_nursery() as nursery:
            await nursery.start(self.stop_control.run, self.drain, nursery.cancel_scope)
            await nursery.start(self.network.run, self.listeners["control"])
            self.emit(STARTED.emit(role="control", version=__version__))
            for name, server in self.servers.items():
                nursery.start_soon(server.serve, [self.listeners[name]])
            self.engine.refresh_deadlines()
            nursery.start_soon(self.engine.run_timer)
        cut_requests = self.servers["operators"].requests_in_progress
        self.emit(STOPPED.emit(cut_requests=cut_requests, graceful=self.stop_control.is_graceful))

    async def drain(self) -> None:
        """Answer the operator requests that have been accepted, then stop accepting."""
        await self.servers["operators"].drain()


async def open_control(settings: ControlSettings) -> ControlDaemon | StorageDamage:
    """Bind the listeners, recover the data folder and return the daemon.

    Returns
    -------
    ControlDaemon or StorageDamage
        The daemon, or the damage found in the data folder.
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


async def run_control(settings: ControlSettings) -> StorageDamage | LogFailure | None:
    """Run a control instance until a signal stops it or its log fails.

    Returns
    -------
    StorageDamage, LogFailure or None
        Damage found in the data folder, why the log failed, or None after a graceful stop.
    """
    daemon = await open_control(settings)
    if isinstance(daemon, StorageDamage):
        return daemon
    failure: LogFailure | None = None
    try:
        await daemon.run()
    except* LogFailure as failures:
        failure = _find_first_failure(failures)
        daemon.emit(LOG_FAILED.emit(reason=str(failure)))
    return failure


def _find_first_failure(failures: BaseExceptionGroup[LogFailure]) -> LogFailure:
    """Return the first failure of a group, which may hold groups of nested tasks."""
    first = failures.exceptions[0]
    return _find_first_failure(first) if isinstance(first, BaseExceptionGroup) else first


def _with_bootstrap_members(settings: ControlSettings) -> Any:
    if settings.replica.founding_members:
        return settings.replica
    bootstrap_members = tuple(address.id for address in settings.controls) or (settings.id,)
    return dataclasses.replace(settings.replica, founding_members=bootstrap_members)
