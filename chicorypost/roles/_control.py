"""The control role: replicated configuration, calls of upstreams and operators, and the feed."""

import time
from dataclasses import replace
from functools import partial
from pathlib import Path
from random import Random
from typing import Any
from uuid import uuid4

import trio

from chicorypost import __version__
from chicorypost.announcements import (
    REGISTRY_MESSAGES,
    AnnouncementRegistry,
    AnnouncementSettings,
    EvacuationsChanged,
    JudgedState,
    JudgementsChanged,
    ListedUpstream,
    PeerConnected,
    PeerDisconnected,
    PeersChanged,
    TableChanged,
    TableRestored,
    TableSaved,
    UpstreamCallCompleted,
    UpstreamCallReceived,
    VersionApplied,
)
from chicorypost.base import Effect, Endpoint, Event, Incarnation, InstanceId, LogIndex, Message
from chicorypost.consensus import (
    Apply,
    ChangeMembership,
    ContactsChanged,
    MembershipRepairSettings,
    Persist,
    ProposalAccepted,
    ProposalRefused,
    ReadReady,
    ReadRefused,
    ReplicaRole,
    ReplicaSettings,
    RestoreSnapshot,
    SnapshotTaken,
    TakeSnapshot,
)
from chicorypost.daemons import Engine, Registration, message_types_in
from chicorypost.daemons._events import STARTED
from chicorypost.daemons._stop import StopControl
from chicorypost.evacuation import (
    NO_EVACUATIONS,
    EvacuationState,
    UnreadableOrder,
    is_evacuation_command,
    make_control_snapshot,
    read_evacuation_snapshot,
)
from chicorypost.metrics import PlainMetrics
from chicorypost.observations import ObservationJudge, ObservationSettings, ReportObservations
from chicorypost.platform import NodeSettings, read_configuration
from chicorypost.roles._admin import serve_admin
from chicorypost.roles._announcement_table_file import AnnouncementTableFile
from chicorypost.roles._control_calls import LOG_TIMEOUT_SECONDS, ControlCallHandler
from chicorypost.roles._evacuation_calls import EvacuationCallHandler
from chicorypost.roles._event_log import EventLog
from chicorypost.roles._events import (
    EVACUATIONS_APPLIED,
    EVACUATIONS_UNREADABLE,
    MEMBERSHIP_REPAIR,
    ROUTING_APPLIED,
    ROUTING_UNREADABLE,
)
from chicorypost.roles._pending_outcomes import PendingOutcomes
from chicorypost.roles._process import make_peer_network
from chicorypost.roles._replica_host import (
    REPLICA_HOST_EVENTS,
    DiskWriter,
    RecoverReplica,
    ReplicaHost,
)
from chicorypost.roles._settings_file import watch_settings
from chicorypost.routing import RoutingState
from chicorypost.transport import ConnectionHello, HttpServer, HttpSettings

CONSENSUS_MESSAGE_TAGS = range(100, 200)

LOG_FOLDER = "log"
TABLE_FILE = "announcements"
LEADER_HEARTBEAT_SECONDS = 0.25
"""Interval of the leader's heartbeats; a quarter of the election timeout."""
ELECTION_TIMEOUT_SECONDS = 1.0
"""Minimum time without a leader before an election; far above the round-trip time in a region."""
FIRST_ELECTION_TIMEOUT_SECONDS = 0.3
"""Election timeout of a process that has just started; a leader sends a heartbeat within it."""
REPAIR_INTERVAL_SECONDS = 0.25
"""Interval at which the leader checks whether the membership needs a repair."""
SNAPSHOT_INTERVAL_RECORDS = 64
TRAILING_RECORDS = 32
"""Each record holds a whole configuration, so few are kept in memory."""
MAX_DOCUMENT_BYTES = 2 * 1024 * 1024
"""Largest configuration; enough for thousands of routes."""
CALLER_DESCRIPTOR_SHARE = 0.5
"""Share of the descriptors for callers; the rest is for balancers, other instances and files."""
DRAIN_TIMEOUT_SECONDS = 1.5
"""How long calls in progress may take after a stop has begun."""


class ControlRole:
    """One control instance on the platform.

    Parameters
    ----------
    settings : NodeSettings
        Settings of this process.
    event_log : EventLog
        Receives log events.
    """

    def __init__(self, settings: NodeSettings, event_log: EventLog) -> None:
        assert settings.control is not None and settings.data_folder is not None
        self.settings = settings
        self.event_log = event_log
        self.instance = InstanceId(f"{settings.control.host}:{settings.control.port}")
        self.engine = Engine(self._send, event_log.emit, self._execute)
        self.stop_control = StopControl(DRAIN_TIMEOUT_SECONDS, event_log.emit)
        self.routing_state = RoutingState(read_configuration)
        self.evacuation_state = EvacuationState()
        self.published_evacuations = NO_EVACUATIONS
        self.pending_outcomes = PendingOutcomes(self.engine)
        random = Random()
        self.replica_host = ReplicaHost(_replica_settings(settings), self.instance, random)
        folder = Path(settings.data_folder)
        self.disk_writer = DiskWriter(folder / LOG_FOLDER, self.engine, event_log.emit)
        self.table_file = AnnouncementTableFile(
            folder / TABLE_FILE, self._list_upstreams, self._report_save, event_log.emit
        )
        self.repair_settings = MembershipRepairSettings(voters=2 * settings.lost_disks + 1)
        announcements = AnnouncementSettings(interval_seconds=settings.announcement_seconds)
        feed = random.getrandbits(48) + 1
        self.registry = AnnouncementRegistry(announcements, feed, self.engine.now())
        self.judge = ObservationJudge(ObservationSettings(), self.registry.table, self.engine.now())
        self.known_controls: tuple[InstanceId, ...] = ()
        self._register_state_machines()
        hello = ConnectionHello(
            self.instance,
            Incarnation(time.time_ns() // 1_000_000),
            settings.data_centre,
            Endpoint(settings.host, settings.peer_port),
        )
        self.network = make_peer_network(settings, hello, self.engine, event_log)
        self.evacuation_calls = EvacuationCallHandler(
            self.evacuation_state,
            self.pending_outcomes,
            event_log,
            settings.data_centres,
            LOG_TIMEOUT_SECONDS,
        )
        self.call_handler = ControlCallHandler(
            self.instance,
            self.replica_host,
            self.routing_state,
            self.pending_outcomes,
            event_log,
            self.evacuation_calls,
        )
        self.http_server = self._make_http_server()

    def _register_state_machines(self) -> None:
        log = Registration(
            "log", self.replica_host, message_types_in(CONSENSUS_MESSAGE_TAGS), REPLICA_HOST_EVENTS
        )
        self.engine.register(log)
        events = (
            UpstreamCallReceived,
            PeersChanged,
            PeerConnected,
            PeerDisconnected,
            VersionApplied,
            EvacuationsChanged,
            TableRestored,
            TableSaved,
            JudgementsChanged,
        )
        self.engine.register(
            Registration("announcements", self.registry, REGISTRY_MESSAGES, events, True)
        )
        self.engine.register(
            Registration(
                "observations", self.judge, (ReportObservations,), (PeerDisconnected,), True
            )
        )

    def _make_http_server(self) -> HttpServer:
        http = HttpSettings(body_bytes=MAX_DOCUMENT_BYTES)
        if self.settings.max_descriptors is not None:
            connections = int(CALLER_DESCRIPTOR_SHARE * self.settings.max_descriptors)
            http = replace(http, connections=max(1, connections))
        return HttpServer("control", http, self.call_handler.handle, self.event_log.emit)

    def _send(self, to: InstanceId, message: Message) -> None:
        # Only ids of control instances contain a port. Balancers don't listen, so they are
        # reachable only over the connection that they have opened.
        if to == self.instance or ":" in to or self.network.is_connected(to):
            self.network.send(to, message)

    def _execute(self, effect: Effect) -> None:
        match effect:
            case Persist():
                self.disk_writer.queue_write(effect)
            case RecoverReplica():
                self.disk_writer.request_recovery()
            case Apply(index=index, command=command) if is_evacuation_command(command):
                self._apply_order(index, command)
            case Apply(command=command):
                self._publish_version(self.routing_state.apply(command))
            case RestoreSnapshot(data=data):
                self._restore_snapshot(data)
            case TakeSnapshot(index=index):
                self._take_snapshot(index)
            case ProposalAccepted(proposal_id=request_id) | ProposalRefused(proposal_id=request_id):
                self.pending_outcomes.deliver_outcome(request_id, effect)
            case ReadReady(read_id=request_id) | ReadRefused(read_id=request_id):
                self.pending_outcomes.deliver_outcome(request_id, effect)
            case UpstreamCallCompleted(call_id=request_id):
                self.pending_outcomes.deliver_outcome(request_id, effect)
            case TableChanged(change_number):
                self.table_file.schedule_save(change_number)
            case Event():
                pass
            case _:
                raise AssertionError(f"unexpected effect: {effect!r}")

    def _list_upstreams(self) -> tuple[ListedUpstream, ...]:
        return self.registry.list_all_upstreams(self.engine.now())

    def _report_save(self, change_number: int) -> None:
        self.engine.post(TableSaved(change_number))

    def _apply_order(self, index: LogIndex, command: bytes) -> None:
        applied = self.evacuation_state.apply(command)
        if isinstance(applied, UnreadableOrder):
            self.event_log.emit(EVACUATIONS_UNREADABLE.emit(reason=applied.detail))
            return
        self.pending_outcomes.deliver_outcome(applied.order_id, applied)
        if self._publish_evacuations():
            # After a restart of all instances the log is applied only up to the last entry that the
            # disk shows as committed, until there is a leader. The snapshot shows this one.
            self._take_snapshot(index)

    def _take_snapshot(self, index: LogIndex) -> None:
        stored, evacuations = self.routing_state.stored, self.evacuation_state.snapshot()
        self.engine.post(SnapshotTaken(index, make_control_snapshot(stored, evacuations)))

    def _restore_snapshot(self, data: bytes) -> None:
        """Restore both states; evacuations first, since balancers serve with a configuration."""
        try:
            evacuations = read_evacuation_snapshot(data)
        except ValueError as error:
            self.event_log.emit(EVACUATIONS_UNREADABLE.emit(reason=str(error)))
            evacuations = None
        if evacuations is not None:
            self.evacuation_state.restore(evacuations)
            self._publish_evacuations()
        self._publish_version(self.routing_state.restore(data))

    def _publish_evacuations(self) -> bool:
        """Send the evacuated data centres to the balancers; return whether they have changed."""
        previous, evacuations = self.published_evacuations, self.evacuation_state.evacuations
        if evacuations.revision == previous.revision:
            return False
        self.published_evacuations = evacuations
        self.engine.post(EvacuationsChanged(evacuations))
        if evacuations.data_centres == previous.data_centres:
            return False
        names = ", ".join(evacuations.data_centres)
        applied = EVACUATIONS_APPLIED.emit(revision=evacuations.revision, data_centres=names)
        self.event_log.emit(applied)
        return True

    def _publish_version(self, has_changed: bool) -> None:
        state = self.routing_state
        if state.unreadable is not None:
            detail = state.unreadable.detail
            self.event_log.emit(ROUTING_UNREADABLE.emit(version=state.version, reason=detail))
        elif has_changed and state.document is not None:
            self.event_log.emit(ROUTING_APPLIED.emit(version=state.version))
            self.engine.post(VersionApplied(state.document))

    def dump(self) -> dict[str, Any]:
        """Return the state of all state machines of this process."""
        evacuations = self.evacuation_state.evacuations
        return {
            "id": self.instance,
            "version": self.routing_state.version,
            "evacuations": {
                "revision": evacuations.revision,
                "data_centres": list(evacuations.data_centres),
            },
            **self.engine.dump(),
        }

    def unready_reason(self) -> str:
        """Return why this instance can't serve operators, or an empty string."""
        replica = self.replica_host.replica
        if replica is None:
            return "the disk refuses"
        return "" if replica.leader is not None else "no leader"

    def metrics(self) -> PlainMetrics:
        """Return the metrics of this process."""
        return PlainMetrics(
            lambda: {
                "events": self.event_log.counts_by_name(),
                "observation_reports": dict(self.judge.counters),
            },
            lambda: {
                "configuration_version": self.routing_state.version,
                "evacuated_data_centres": len(self.published_evacuations.data_centres),
                "leading": float(self.is_leading()),
                "disk_refuses": float(self.replica_host.replica is None),
                "upstreams": len(self.registry.table.entries),
                "judged_unresponsive_upstreams": self.judge.count_judged(JudgedState.UNRESPONSIVE),
                "judged_slow_upstreams": self.judge.count_judged(JudgedState.SLOW),
                "subscribers": len(self.registry.feed.subscribers),
                "caller_connections": self.http_server.open_connections,
                "evicted_caller_connections": self.http_server.evicted_connections,
            },
            {"call_seconds": self.call_handler.call_seconds},
        )

    def is_leading(self) -> bool:
        """Return whether this instance is the leader of the replicated log."""
        return (
            self.replica_host.replica is not None
            and self.replica_host.replica.role is ReplicaRole.LEADER
        )

    async def run(self) -> None:
        """Serve until stopped."""
        settings = self.settings
        assert settings.control is not None
        async with trio.open_nursery() as nursery:
            await nursery.start(self.stop_control.run, self._drain, nursery.cancel_scope)
            peer_listeners = await trio.open_tcp_listeners(settings.peer_port, host=settings.host)
            await nursery.start(self.network.run, peer_listeners[0])
            call_listeners = await trio.open_tcp_listeners(
                settings.control.port, host=settings.host
            )
            nursery.start_soon(self.http_server.serve, call_listeners)
            nursery.start_soon(self.disk_writer.run)
            nursery.start_soon(self.table_file.run)
            nursery.start_soon(self._repair_membership)
            watch = partial(watch_settings, settings, self._apply_settings, self.event_log.emit)
            nursery.start_soon(watch)
            self.engine.post(TableRestored(self.table_file.load_table()))
            self.event_log.emit(STARTED.emit(role="control", version=__version__))
            nursery.start_soon(
                serve_admin,
                settings.host,
                self.metrics(),
                self.dump,
                self.unready_reason,
                self.event_log.emit,
            )
            self.engine.refresh_deadlines()
            nursery.start_soon(self.engine.run_timer)

    def _apply_settings(self, settings: NodeSettings) -> None:
        self.settings = settings
        self.evacuation_calls.data_centres = settings.data_centres
        self.engine.post(ContactsChanged(settings.seeds))

    async def _repair_membership(self) -> None:
        """Connect to the current members and, as leader, propose repairs of the membership."""
        while True:
            await trio.sleep(REPAIR_INTERVAL_SECONDS)
            replica = self.replica_host.replica
            if replica is None:
                continue
            members = {member.instance for member in replica.membership.members}
            controls = tuple(sorted(members | {self.instance}))
            if controls != self.known_controls:
                self._update_member_links(controls)
            if replica.role is ReplicaRole.LEADER:
                change = replica.plan_repair(self.repair_settings)
                if change is not None:
                    self.event_log.emit(MEMBERSHIP_REPAIR.emit(change=repr(change)))
                    self.engine.post(ChangeMembership(uuid4().hex, change))

    def _update_member_links(self, controls: tuple[InstanceId, ...]) -> None:
        for removed in set(self.known_controls) - set(controls):
            self.network.close_connection(removed)
        self.known_controls = controls
        others = tuple(name for name in controls if name != self.instance)
        for name in others:
            self.network.maintain_connection(name)
        self.engine.post(PeersChanged(others, controls))

    async def _drain(self) -> None:
        """Answer the calls that have been accepted, then stop accepting."""
        await self.http_server.drain()


def _replica_settings(settings: NodeSettings) -> ReplicaSettings:
    return ReplicaSettings(
        founding_members=settings.seeds if settings.founds else (),
        contacts=settings.seeds,
        heartbeat_seconds=LEADER_HEARTBEAT_SECONDS,
        election_seconds=ELECTION_TIMEOUT_SECONDS,
        first_election_seconds=FIRST_ELECTION_TIMEOUT_SECONDS,
        max_command_bytes=MAX_DOCUMENT_BYTES,
        snapshot_interval_records=SNAPSHOT_INTERVAL_RECORDS,
        trailing_records=TRAILING_RECORDS,
    )


async def run_control(settings: NodeSettings, event_log: EventLog) -> None:
    """Run the control role until it is stopped."""
    await ControlRole(settings, event_log).run()
