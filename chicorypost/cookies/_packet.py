"""Packets as read by the cookie router, and its decisions."""

from enum import Enum
from typing import NamedTuple

import msgspec

from chicorypost.base import Address, Effect, FlowKey, UpstreamId


class CookiePacket(NamedTuple):
    """A client's packet with a cookie in its header that both ends return.

    Parameters
    ----------
    flow : FlowKey
        Addresses of both ends of the flow.
    address : Address
        Virtual address that the client connects to; empty unless the packet opens a flow.
    opens_flow : bool
        Whether the packet requests to open the flow.
    ends_flow : bool
        Whether the client closes or aborts the flow.
    aborts_flow : bool
        Whether the client aborts the flow; the upstream doesn't respond to it.
    ack_number : int
        Offset up to which the client has received the upstream's bytes; in a packet that opens a
        flow, the number of copies sent before.
    data_bytes : int
        Length of the data after the header.
    cookie : int
        The cookie that the client last received; 0 in a packet that opens a flow.
    sequence : int, default 0
        Position of the packet in the client's stream; the same in each copy.
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


class FlowEnds(NamedTuple):
    """The ends of a flow, read from its key: the route's address and the client's host."""

    address: Address
    client: str


class DropReason(Enum):
    """Why a packet is dropped without notifying the client."""

    NOT_CONFIGURED = "not-configured"
    """This balancer has no configuration yet."""
    NO_COOKIE = "no-cookie"
    """The packet neither opens a flow nor carries a cookie."""
    UNKNOWN_UPSTREAM = "unknown-upstream"
    """The cookie matches no known upstream."""


class ResetReason(Enum):
    """Why a flow is reset."""

    NO_ROUTE = "no-route"
    NO_UPSTREAM = "no-upstream"
    """No upstream of the service accepts new flows."""
    UPSTREAM_GONE = "upstream-gone"
    EVACUATED = "evacuated"
    """The data centres of all upstreams that accept new flows of the service are evacuated."""
    UPSTREAM_UNRESPONSIVE = "upstream-unresponsive"
    """The upstream is judged unresponsive, and the client may send the request again."""
    COLD_UPSTREAMS = "cold"
    """All upstreams of the service are cold and get no more flows from this balancer now."""


class ForwardPacket(msgspec.Struct, frozen=True):
    """Forward the packet to an upstream.

    Parameters
    ----------
    upstream : UpstreamId
        The upstream.
    address : tuple of str and int
        Host and port of the upstream, as passed to sockets.
    token : int
        Token of the upstream that must receive the packet; 0 for any upstream at the address.
    cookie : int or None
        The cookie to write into the packet; None leaves it unchanged.
    """

    upstream: UpstreamId
    address: tuple[str, int]
    token: int
    cookie: int | None = None


class ResetFlow(msgspec.Struct, frozen=True):
    """Reset the flow at the client."""

    reason: ResetReason


class DropPacket(msgspec.Struct, frozen=True):
    """Drop the packet."""

    reason: DropReason


class RepeatReason(Enum):
    """Evidence by which a flow with a stalled request is reset."""

    COPIES = "copies"
    """Several clients repeat data that the upstream doesn't acknowledge."""
    JUDGED = "judged"
    """Several balancers report the upstream as unresponsive, and the client repeats its data."""


class ResetStalledFlow(Effect, msgspec.Struct, frozen=True):
    """Reset a flow at the client, so that the client sends its request again on a new flow.

    Parameters
    ----------
    flow : FlowKey
        The flow.
    ack_number : int
        The client's last acknowledgement, which is the sequence number of the reset.
    reason : RepeatReason
        The evidence.
    upstream : UpstreamId
        The unresponsive upstream.
    route : str
        Name of the route.
    copies : int
        Copies of the request's data that the client has sent.
    waiting_seconds : float
        Time since the request.
    """

    flow: FlowKey
    ack_number: int
    reason: RepeatReason
    upstream: UpstreamId
    route: str
    copies: int
    waiting_seconds: float


Decision = ForwardPacket | ResetFlow | DropPacket

DROP_DECISIONS = {reason: DropPacket(reason) for reason in DropReason}
RESET_DECISIONS = {reason: ResetFlow(reason) for reason in ResetReason}
