"""Snapshots of the replicated log with both states that it carries."""

from typing import Annotated, Any

import msgpack
import msgspec

from chicorypost.base import DataCentreId, Record, pack_record, unpack_record
from chicorypost.evacuation._records import (
    MAX_DATA_CENTRES,
    MAX_REVISION,
    NO_REVISION,
    Revision,
    is_possible_name,
)

_Revision = Annotated[Revision, msgspec.Meta(ge=0, le=MAX_REVISION)]


class EvacuationEntry(Record, frozen=True, array_like=True):
    """State of one data centre, and the revision of the command that set it."""

    data_centre: DataCentreId
    revision: _Revision
    is_evacuated: bool


class EvacuationSnapshot(Record, frozen=True, array_like=True):
    """The state of evacuations as stored in a snapshot; see `EvacuationState`."""

    revision: _Revision
    forgotten_revision: _Revision
    entries: tuple[EvacuationEntry, ...]


class _ControlSnapshot(Record, frozen=True, array_like=True):
    """A stored configuration, followed by the state of evacuations.

    Earlier builds write the first two fields only, and ignore the third.
    """

    version: Any
    original: Any
    evacuations: Any = None


def make_control_snapshot(configuration: Record, evacuations: EvacuationSnapshot) -> bytes:
    """Return a snapshot of the log that holds the stored configuration and the evacuations.

    Parameters
    ----------
    configuration : Record
        The stored configuration: a record with two fields.
    evacuations : EvacuationSnapshot
        The state of evacuations; left out before the first order.
    """
    if evacuations.revision == NO_REVISION:
        return pack_record(configuration)
    fields = msgspec.to_builtins(configuration, builtin_types=(bytes,))
    packed: bytes = msgpack.packb([*fields, msgspec.to_builtins(evacuations)])
    return packed


def read_evacuation_snapshot(data: bytes) -> EvacuationSnapshot | None:
    """Return the state of evacuations of a snapshot, or None if it has none.

    Raises
    ------
    ValueError
        If the snapshot, or the state of evacuations in it, can't be read.
    """
    try:
        evacuations = unpack_record(data, _ControlSnapshot).evacuations
        if evacuations is None:
            return None
        snapshot = msgspec.convert(evacuations, EvacuationSnapshot)
    except msgspec.ValidationError as error:
        raise ValueError(str(error)) from error
    names = {entry.data_centre for entry in snapshot.entries}
    if not all(map(is_possible_name, names)):
        raise ValueError("a data centre's name has an impossible length")
    if not len(names) == len(snapshot.entries) <= MAX_DATA_CENTRES:
        raise ValueError("data centres are repeated or too many")
    return snapshot
