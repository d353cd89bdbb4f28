"""Types used by all packages: ids, messages, the state machine interface and hashing."""

from typing import TYPE_CHECKING

from chicorypost.base._bounds import Bound
from chicorypost.base._hashing import hash64, rendezvous_rank
from chicorypost.base._ids import (
    Address,
    AttemptId,
    DataCentreId,
    Epoch,
    FlowKey,
    Incarnation,
    InstanceId,
    Instant,
    LogIndex,
    PatchId,
    RequestKey,
    ServiceId,
    SlotNumber,
    Term,
    UpstreamId,
    Version,
    WallTime,
)
from chicorypost.base._lazy import import_lazily
from chicorypost.base._machine import Effect, Event, Received, Send, StateMachine, Tick
from chicorypost.base._message import (
    MAX_MESSAGE_BYTES,
    WIRE_VERSION,
    DecodeFault,
    Message,
    Record,
    Undecodable,
    decode,
    encode,
    message_types,
)
from chicorypost.base._packing import pack_record, unpack_record
from chicorypost.base._topology import (
    Endpoint,
    LeaseChanged,
    Member,
    Upstream,
    UpstreamsChanged,
    UpstreamState,
    View,
    ViewChanged,
    find_member,
    rank_members,
)

if TYPE_CHECKING:
    from chicorypost.base._settings import Settings

__all__ = [
    "MAX_MESSAGE_BYTES",
    "WIRE_VERSION",
    "Address",
    "AttemptId",
    "Bound",
    "DataCentreId",
    "DecodeFault",
    "Effect",
    "Endpoint",
    "Epoch",
    "Event",
    "FlowKey",
    "Incarnation",
    "InstanceId",
    "Instant",
    "LeaseChanged",
    "LogIndex",
    "Member",
    "Message",
    "PatchId",
    "Received",
    "Record",
    "RequestKey",
    "Send",
    "ServiceId",
    "Settings",
    "SlotNumber",
    "StateMachine",
    "Term",
    "Tick",
    "Undecodable",
    "Upstream",
    "UpstreamId",
    "UpstreamState",
    "UpstreamsChanged",
    "Version",
    "View",
    "ViewChanged",
    "WallTime",
    "decode",
    "encode",
    "find_member",
    "hash64",
    "message_types",
    "pack_record",
    "rank_members",
    "rendezvous_rank",
    "unpack_record",
]

# Lazy, so that processes without pydantic settings start without importing pydantic.
__getattr__ = import_lazily(__name__, {"Settings": "_settings"})
