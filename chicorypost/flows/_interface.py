"""Decisions, events and effects of the flow router."""

from dataclasses import dataclass
from enum import Enum

from chicorypost.base import DataCentreId, Effect, Event, FlowKey, Member, Upstream


class DropReason(Enum):
    """Why a packet is dropped."""

    NO_LEASE = "no-lease"
    UNKNOWN_ADDRESS = "unknown-address"
    NO_TABLE = "no-table"
    NO_UPSTREAM = "no-upstream"
    UPSTREAM_GONE = "upstream-gone"
    WRONG_SERVICE = "wrong-service"
    UNREACHABLE = "unreachable"
    TOO_MANY_HOPS = "too-many-hops"
    HELD_LIMIT = "held-limit"
    HELD_TIMEOUT = "held-timeout"


@dataclass(frozen=True, slots=True)
class ForwardTo:
    """Send the packet to an upstream of this data centre.

    Parameters
    ----------
    upstream : Upstream
        Destination of the packet.
    address : tuple of str and int
        Host and port of the upstream's packet endpoint in socket form, built once per upstream
        rather than per packet.
    """

    upstream: Upstream
    address: tuple[str, int]


@dataclass(frozen=True, slots=True)
class PassTo:
    """Send the packet to another balancer.

    This is the slot's owner or a balancer in the upstream's data centre. A balancer that is not in
    the view of its own data centre may choose any other.
    """

    member: Member


@dataclass(frozen=True, slots=True)
class Held:
    """The router holds the packet, for example until the slot's owner replies.

    A later `ReleaseHeld` effect has the decision on it, also when the hold times out.
    """


@dataclass(frozen=True, slots=True)
class Dropped:
    """Drop the packet."""

    reason: DropReason


Decision = ForwardTo | PassTo | Held | Dropped

HELD = Held()
DROPPED = {reason: Dropped(reason) for reason in DropReason}


@dataclass(frozen=True, slots=True)
class ReleaseHeld(Effect):
    """Apply a decision to the held packets of a flow, oldest first."""

    flow: FlowKey
    decision: Decision
    packets: tuple[bytes, ...]
    hops: int = 0


@dataclass(frozen=True, slots=True)
class ReachableChanged(Event):
    """The set of data centres that this instance can exchange packets with, including its own."""

    data_centres: frozenset[DataCentreId]
