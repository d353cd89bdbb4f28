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
        Where the packet goes.
    address : tuple of str and int
        The upstream's packet endpoint as sockets take it, made once and not for each packet.
    """

    upstream: Upstream
    address: tuple[str, int]


@dataclass(frozen=True, slots=True)
class PassTo:
    """Send the packet to another balancer: the slot's owner, or one beside the upstream."""

    member: Member


@dataclass(frozen=True, slots=True)
class Held:
    """The router keeps the packet until the slot's owner has answered."""


@dataclass(frozen=True, slots=True)
class Dropped:
    """Drop the packet."""

    reason: DropReason


Decision = ForwardTo | PassTo | Held | Dropped

HELD = Held()
DROPPED = {reason: Dropped(reason) for reason in DropReason}


@dataclass(frozen=True, slots=True)
class ReleaseHeld(Effect):
    """Carry out a decision for the packets of a flow that were held, oldest first."""

    flow: FlowKey
    decision: Decision
    packets: tuple[bytes, ...]
    hops: int = 0


@dataclass(frozen=True, slots=True)
class ReachableChanged(Event):
    """The data centres that this instance can exchange packets with, its own included."""

    data_centres: frozenset[DataCentreId]
