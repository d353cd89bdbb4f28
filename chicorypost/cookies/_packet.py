"""What the cookie router needs of a packet, and what it decides."""

from enum import Enum
from typing import NamedTuple

import msgspec

from chicorypost.base import Address, FlowKey, UpstreamId


class CookiePacket(NamedTuple):
    """A client's packet whose head has room for a cookie that both ends return.

    Parameters
    ----------
    flow : FlowKey
        The two ends of the flow.
    address : Address
        Virtual address that the client connects to; empty in a packet that doesn't open a flow.
    opens : bool
        Whether the packet asks to open the flow.
    ends : bool
        Whether the client closes or aborts the flow.
    aborts : bool
        Whether the client aborts the flow; nobody answers such a packet.
    acknowledged : int
        The number up to which the client has the upstream's bytes; in a packet that opens a flow,
        how many copies of it were sent before.
    data_bytes : int
        Length of the data behind the head.
    cookie : int
        The cookie that the client last received; 0 in a packet that opens a flow.
    sequence : int, default 0
        Where the packet stands among those of its client; the same in each copy.
    """

    flow: FlowKey
    address: Address
    opens_flow: bool
    ends_flow: bool
    aborts_flow: bool
    ack_number: int
    data_bytes: int
    cookie: int
    sequence: int = 0


class DropReason(Enum):
    """Why a packet is dropped without an answer."""

    NOT_CONFIGURED = "not-configured"
    """This balancer has no configuration yet."""
    NO_COOKIE = "no-cookie"
    """Neither opens a flow nor names an upstream."""
    UNKNOWN_UPSTREAM = "unknown-upstream"
    """The cookie names an address at which no upstream is known."""


class ResetReason(Enum):
    """Why a client is told that its flow can't go on."""

    NO_ROUTE = "no-route"
    NO_UPSTREAM = "no-upstream"
    """No upstream of the service takes new flows."""
    UPSTREAM_GONE = "upstream-gone"


class ForwardPacket(msgspec.Struct, frozen=True):
    """Send the packet to an upstream.

    Parameters
    ----------
    upstream : UpstreamId
        Whom it goes to.
    address : tuple of str and int
        Its endpoint as sockets take it.
    token : int
        Number of the upstream that the packet is meant for; 0 for whoever is at the address.
    cookie : int or None
        The cookie to write into the packet; None leaves it as it is.
    """

    upstream: UpstreamId
    address: tuple[str, int]
    token: int
    cookie: int | None = None


class ResetFlow(msgspec.Struct, frozen=True):
    """Tell the client at once that its flow can't go on."""

    reason: ResetReason


class DropPacket(msgspec.Struct, frozen=True):
    """Drop the packet."""

    reason: DropReason


Decision = ForwardPacket | ResetFlow | DropPacket

DROP_DECISIONS = {reason: DropPacket(reason) for reason in DropReason}
RESET_DECISIONS = {reason: ResetFlow(reason) for reason in ResetReason}
