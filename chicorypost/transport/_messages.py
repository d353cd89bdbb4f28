"""Handshake and heartbeat messages of connections between instances."""

from chicorypost.base import DataCentreId, Endpoint, Incarnation, InstanceId, Message

NOT_LISTENING_PORT = 0
"""Port in the hello of a process that accepts no connections from peers."""


class ConnectionHello(Message, frozen=True, array_like=True, tag=700):
    """First message on a connection: identity and listening address of the dialling process."""

    instance: InstanceId
    incarnation: Incarnation
    data_centre: DataCentreId
    control: Endpoint


class Heartbeat(Message, frozen=True, array_like=True, tag=701):
    """Sent by the dialling side at a fixed interval; the accepting side echoes the number."""

    number: int


class HeartbeatReply(Message, frozen=True, array_like=True, tag=702):
    """Reply to a heartbeat; its absence shows the dialling side that the connection is dead."""

    number: int
