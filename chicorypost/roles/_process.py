"""Connections between the processes of the system, and their settings."""

from functools import partial

from chicorypost.announcements import PeerConnected, PeerDisconnected
from chicorypost.base import Endpoint, InstanceId
from chicorypost.daemons import Engine
from chicorypost.platform import NodeSettings, read_endpoint
from chicorypost.roles._event_log import EventLog
from chicorypost.transport import (
    ConnectionHello,
    PeerNetwork,
    TlsContexts,
    TlsSettings,
    TransportSettings,
)

PEER_HEARTBEAT_SECONDS = 0.5
"""Heartbeat interval of a connection, which is closed after three missed heartbeats."""
PEER_TIMEOUT_SECONDS = 1.6
"""A connection that receives nothing for this long is closed; half of the time in which a change
must reach every balancer."""
CONNECT_TIMEOUT_SECONDS = 0.7
FIRST_CONNECT_TIMEOUT_SECONDS = 0.1
RECONNECT_DELAY_SECONDS = 0.2


def make_peer_network(
    settings: NodeSettings, hello: ConnectionHello, engine: Engine, event_log: EventLog
) -> PeerNetwork:
    """Return the connections of a role, which notify its state machines on connect and disconnect.

    Parameters
    ----------
    settings : NodeSettings
        Settings of this process.
    hello : ConnectionHello
        Identity of this process, sent first on each connection.
    engine : Engine
        Runs the state machines of this process.
    event_log : EventLog
        Receives log events.
    """
    return PeerNetwork(
        TransportSettings(
            heartbeat_seconds=PEER_HEARTBEAT_SECONDS,
            silence_seconds=PEER_TIMEOUT_SECONDS,
            dial_seconds=CONNECT_TIMEOUT_SECONDS,
            first_dial_seconds=FIRST_CONNECT_TIMEOUT_SECONDS,
            redial_seconds=RECONNECT_DELAY_SECONDS,
        ),
        hello,
        TlsContexts(TlsSettings(off=True), event_log.emit),
        engine.receive,
        event_log.emit,
        resolve=partial(resolve_control_endpoint, port=settings.peer_port),
        on_connected=lambda peer: engine.post(PeerConnected(peer)),
        on_lost=lambda peer: engine.post(PeerDisconnected(peer)),
    )


def resolve_control_endpoint(instance: InstanceId, port: int) -> Endpoint | None:
    """Return the endpoint at which a control instance takes connections, or None for an invalid id.

    The id of a control instance is the endpoint at which operators call it.
    """
    try:
        return Endpoint(read_endpoint(instance).host, port)
    except ValueError:
        return None
