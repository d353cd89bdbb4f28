"""The settings of connections between processes."""

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
"""Heartbeat interval on connections between our processes: three are lost before one is given
up."""
PEER_TIMEOUT_SECONDS = 1.6
"""Half of the time in which a change has to reach every balancer."""
CONNECT_TIMEOUT_SECONDS = 0.7
RECONNECT_DELAY_SECONDS = 0.2


def make_peer_network(
    settings: NodeSettings, hello: ConnectionHello, engine: Engine, journal: EventLog
) -> PeerNetwork:
    """Return the connections of a role, which tell its machines when they open and end.

    Parameters
    ----------
    settings : NodeSettings
        Settings of this process.
    hello : Hello
        What this process says of itself.
    engine : Engine
        Runs its machines.
    journal : Journal
        Takes log events.
    """
    return PeerNetwork(
        TransportSettings(
            heartbeat_seconds=PEER_HEARTBEAT_SECONDS,
            silence_seconds=PEER_TIMEOUT_SECONDS,
            dial_seconds=CONNECT_TIMEOUT_SECONDS,
            redial_seconds=RECONNECT_DELAY_SECONDS,
        ),
        hello,
        TlsContexts(TlsSettings(off=True), journal.emit),
        engine.receive,
        journal.emit,
        resolve=partial(resolve_control_endpoint, port=settings.peer_port),
        on_connected=lambda peer: engine.post(PeerConnected(peer)),
        on_lost=lambda peer: engine.post(PeerDisconnected(peer)),
    )


def resolve_control_endpoint(instance: InstanceId, port: int) -> Endpoint | None:
    """Return where a control instance takes connections of our processes.

    Control instances are named by the endpoint at which operators call them.
    """
    try:
        return Endpoint(read_endpoint(instance).host, port)
    except ValueError:
        return None
