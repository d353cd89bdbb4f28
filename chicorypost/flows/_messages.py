"""Messages between the flow routers of the balancers."""

import struct
from collections.abc import Iterable, Iterator

from chicorypost.base import Message, Record, ServiceId, UpstreamId

_FLOW = struct.Struct(">Q")
_PLACEMENT = struct.Struct(">QH")
_SLOT_AGE = struct.Struct(">HH")
NO_TABLE = -1
WHOLE_TABLE = -1


class PackedFlows(Record, frozen=True, array_like=True):
    """Flows of one service and their upstreams: 10 bytes a flow."""

    service: ServiceId
    upstreams: tuple[UpstreamId, ...]
    flows: bytes


class SlotTableVersion(Record, frozen=True, array_like=True):
    """Version and digest of an instance's slot table, and whether it may be used."""

    service: ServiceId
    version: int
    digest: int
    usable: bool


class SlotChange(Record, frozen=True, array_like=True):
    """State of one slot; upstreams are indexes into the update's list, -1 for none."""

    slot: int
    default: int
    default_version: int
    current: int
    version: int
    phase: int


class SlotTableUpdate(Message, frozen=True, array_like=True, tag=401):
    """Slots changed after version `base`, or the whole table when `base` is `WHOLE_TABLE`.

    A whole table answers the request that was sent in the receiver's round `round`.
    """

    domain: int
    round: int
    service: ServiceId
    base: int
    version: int
    slots: int
    upstreams: tuple[UpstreamId, ...]
    changes: tuple[SlotChange, ...]


class SlotTableRequest(Message, frozen=True, array_like=True, tag=402):
    """Ask the coordinator of some services for their whole tables."""

    domain: int
    round: int
    services: tuple[ServiceId, ...]


class SlotTableConfirmation(Message, frozen=True, array_like=True, tag=403):
    """Tell that a table version is applied, with the opens placed by earlier versions."""

    domain: int
    service: ServiceId
    version: int
    recent: PackedFlows


class StateRequest(Message, frozen=True, array_like=True, tag=404):
    """Ask a member of a new domain for its tables and the registers of ownership buckets.

    Each wanted bucket is one byte.
    """

    domain: int
    round: int
    wanted: bytes
    digests: tuple[SlotTableVersion, ...]


class StateReply(Message, frozen=True, array_like=True, tag=405):
    """Answer a pull: from now on the sender acts in this domain only."""

    domain: int
    round: int
    versions: tuple[SlotTableVersion, ...]
    recent: tuple[PackedFlows, ...]
    registered: tuple[PackedFlows, ...]
    tables: tuple[SlotTableUpdate, ...]


class FlowLookupRequest(Message, frozen=True, array_like=True, tag=406):
    """Ask the owner where flows of moving slots belong."""

    domain: int
    token: int
    service: ServiceId
    opens: bytes
    established: bytes


class FlowLookupReply(Message, frozen=True, array_like=True, tag=407):
    """Tell where flows belong."""

    token: int
    placements: PackedFlows


class StoreFlows(Message, frozen=True, array_like=True, tag=408):
    """Store placements at the backup before anyone learns them."""

    domain: int
    sequence: int
    placements: tuple[PackedFlows, ...]


class FlowsStored(Message, frozen=True, array_like=True, tag=409):
    """Tell that placements are stored."""

    domain: int
    sequence: int


class SlotActivity(Message, frozen=True, array_like=True, tag=410):
    """Seconds since moving slots last had packets for another upstream than the current one."""

    domain: int
    service: ServiceId
    ages: bytes


def pack_flows(service: ServiceId, placed: Iterable[tuple[int, UpstreamId]]) -> PackedFlows:
    """Pack flow hashes with their upstreams."""
    indexes: dict[UpstreamId, int] = {}
    packed = [
        _PLACEMENT.pack(flow, indexes.setdefault(upstream, len(indexes)))
        for flow, upstream in placed
    ]
    return PackedFlows(service, tuple(indexes), b"".join(packed))


def unpack_flows(packed: PackedFlows) -> Iterator[tuple[int, UpstreamId]]:
    """Return the flow hashes and upstreams; damaged entries are left out."""
    whole = len(packed.flows) // _PLACEMENT.size * _PLACEMENT.size
    for flow, index in _PLACEMENT.iter_unpack(packed.flows[:whole]):
        if index < len(packed.upstreams):
            yield flow, packed.upstreams[index]


def pack_hashes(hashes: Iterable[int]) -> bytes:
    """Pack flow hashes: 8 bytes each."""
    return b"".join(_FLOW.pack(flow) for flow in hashes)


def unpack_hashes(packed: bytes) -> list[int]:
    """Return the flow hashes; a damaged tail is left out."""
    whole = len(packed) // _FLOW.size * _FLOW.size
    return [flow for (flow,) in _FLOW.iter_unpack(packed[:whole])]


def pack_ages(ages: Iterable[tuple[int, float]]) -> bytes:
    """Pack slots with ages in whole seconds, rounded down."""
    return b"".join(_SLOT_AGE.pack(slot, min(int(age), 65_535)) for slot, age in ages)


def unpack_ages(packed: bytes) -> list[tuple[int, int]]:
    """Return slots with ages in seconds; a damaged tail is left out."""
    whole = len(packed) // _SLOT_AGE.size * _SLOT_AGE.size
    return [(slot, age) for slot, age in _SLOT_AGE.iter_unpack(packed[:whole])]
