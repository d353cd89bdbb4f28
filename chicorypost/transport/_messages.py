"""Messages that keep a connection between two processes alive."""

from chicorypost.base import DataCentreId, Endpoint, Incarnation, InstanceId, Message

NOT_LISTENING_PORT = 0
"""Port in the hello of a process that takes no connections from peers."""


class ConnectionHello(Message, frozen=True, array_like=True, tag=700):
    """First message on a connection: who dials and where it can be reached."""

    instance: InstanceId
    incarnation: Incarnation
    data_centre: DataCentreId
    control: Endpoint


class Heartbeat(Message, frozen=True, array_like=True, tag=701):
    """Sent by the dialling side at a fixed interval; the other side returns the same number."""

    number: int


class HeartbeatReply(Message, frozen=True, array_like=True, tag=702):
    """Returned for each heartbeat, so that the dialling side notices a silent connection."""

    number: int
