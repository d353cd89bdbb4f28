"""Commands of the replicated log and their outcomes."""

from dataclasses import dataclass
from enum import Enum

import msgspec

from chicorypost.base import DataCentreId, Epoch, Message, PatchId, Record, Version
from chicorypost.configuration._patch import PatchRefusalReason
from chicorypost.configuration._patch_format import PatchFormat
from chicorypost.configuration._validation import InvalidValue


class SubmitPatch(Message, frozen=True, array_like=True, tag=200):
    """Apply a patch if `expected_version` is still the current version.

    The leader sets the wall time `at_ms`, so that every replica computes the same outcome.
    """

    patch_id: PatchId
    expected_version: Version
    format: PatchFormat
    body: bytes
    author: str
    at_ms: int


class ClearReleases(Message, frozen=True, array_like=True, tag=201):
    """Assign what was released up to `confirmed_version`, which every live balancer confirmed."""

    confirmed_version: Version
    at_ms: int


class AdmitDataCentre(Message, frozen=True, array_like=True, tag=202):
    """Record that balancers of a data centre start in an epoch; later releases wait for them."""

    data_centre: DataCentreId
    epoch: Epoch
    token: str


class ForgetDataCentre(Message, frozen=True, array_like=True, tag=203):
    """Remove a data centre that an operator declares permanently gone; no release waits for it."""

    data_centre: DataCentreId
    author: str
    at_ms: int


class AssignmentKind(Enum):
    """Kind of value that is assigned to at most one service at a time."""

    ADDRESS = "address"
    HOST = "host"


class WithheldAssignment(Record, frozen=True, array_like=True):
    """An address or host whose release by its former service is not confirmed by all balancers."""

    kind: AssignmentKind
    value: str
    former_service: str
    released_in: Version


class HistoryEntry(Record, frozen=True, array_like=True):
    """One accepted version: author, time, changed paths and the version it is based on."""

    version: Version
    from_version: Version
    at_ms: int
    author: str
    patch_id: PatchId | None
    paths: tuple[str, ...]


class PatchAccepted(Record, frozen=True, array_like=True, tag=1):
    """The patch became `version`; addresses and hosts in `withheld` are not yet reassigned."""

    version: Version
    withheld: tuple[WithheldAssignment, ...]


class PatchRefused(Record, frozen=True, array_like=True, tag=2):
    """The patch was not applied; the version is unchanged."""

    reason: PatchRefusalReason
    current: Version
    mistakes: tuple[InvalidValue, ...] = ()


PatchOutcome = PatchAccepted | PatchRefused


@dataclass(frozen=True, slots=True)
class ReleasesCleared:
    """Outcome of `ClearReleases`: the version that assigns the withheld values, or None."""

    version: Version | None


@dataclass(frozen=True, slots=True)
class DataCentreAdmitted:
    """Outcome of `AdmitDataCentre`."""

    data_centre: DataCentreId
    token: str


@dataclass(frozen=True, slots=True)
class DataCentreForgotten:
    """Outcome of `ForgetDataCentre`."""

    data_centre: DataCentreId
    known: bool


CommandOutcome = PatchOutcome | ReleasesCleared | DataCentreAdmitted | DataCentreForgotten


class StateSnapshot(Record, frozen=True, array_like=True):
    """The replicated state as stored in a snapshot."""

    version: Version
    document: bytes
    withheld: tuple[WithheldAssignment, ...]
    history: tuple[HistoryEntry, ...]
    recorded_outcomes: tuple["RecordedOutcome", ...]
    expired_until_ms: int
    latest_command_ms: int
    data_centres: dict[DataCentreId, Epoch]


class RecordedOutcome(Record, frozen=True, array_like=True):
    """The outcome of an accepted patch, kept by its patch id."""

    patch_id: PatchId
    id_created_ms: int
    body_digest: int
    outcome: PatchAccepted


def snapshot_from_builtins(value: object) -> StateSnapshot:
    """Convert unpacked msgpack values to a state snapshot.

    Raises
    ------
    msgspec.ValidationError
        If the values are not a state snapshot.
    """
    return msgspec.convert(value, StateSnapshot)
