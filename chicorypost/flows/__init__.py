"""Flow routing: slot tables, slot moves between upstreams and the register of new flows."""

from chicorypost.flows._interface import (
    DROPPED,
    HELD,
    Decision,
    Dropped,
    DropReason,
    ForwardTo,
    Held,
    PassTo,
    ReachableChanged,
    ReleaseHeld,
)
from chicorypost.flows._packet import (
    MAX_PACKET_BYTES,
    BadPacket,
    PacketFault,
    ParsedPacket,
    parse_packet,
)
from chicorypost.flows._plan import plan_moves
from chicorypost.flows._router import FlowRouter
from chicorypost.flows._settings import FlowSettings

__all__ = [
    "DROPPED",
    "HELD",
    "MAX_PACKET_BYTES",
    "BadPacket",
    "Decision",
    "DropReason",
    "Dropped",
    "FlowRouter",
    "FlowSettings",
    "ForwardTo",
    "Held",
    "PacketFault",
    "ParsedPacket",
    "PassTo",
    "ReachableChanged",
    "ReleaseHeld",
    "parse_packet",
    "plan_moves",
]
