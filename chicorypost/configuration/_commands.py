"""Commands of the replicated state, as stored in the log, and their outcomes."""

from dataclasses import dataclass
from enum import Enum

import msgspec

from chicorypost.base import DataCentreId, Epoch, Message, PatchId, Record, Version
from chicorypost.configuration._patch import PatchFormat, PatchRefusalReason
from chicorypost.configuration._validation import InvalidValue


class SubmitPatch(Message, frozen=True, array_like=True, tag=200):
    """Apply a patch if the version is still the expected one.

    The wall time is decided by the leader, so that every replica applies the command alike.
    """

    patch_id: PatchId
    expected_version: Version
    format: PatchFormat
    body: bytes
    author: str
    at_ms: int


class ClearReleases(Message, frozen=True, array_like=True, tag=201):
    """Every live balancer has confirmed the given version: what it released may be assigned."""

    confirmed_version: Version
    at_ms: int


class AdmitDataCentre(Message, frozen=True, array_like=True, tag=202):
    """Balancers of a data centre start in the given epoch and will be waited for."""

    data_centre: DataCentreId
    epoch: Epoch
    token: str


class ForgetDataCentre(Message, frozen=True, array_like=True, tag=203):
    """An operator states that a data centre is gone for good: nothing waits for it."""

    data_centre: DataCentreId
    author: str
    at_ms: int


class AssignmentKind(Enum):
    """Kind of thing that belongs to one service at a time."""

    ADDRESS = "address"
    HOST = "host"


class WithheldAssignment(Record, frozen=True, array_like=True):
    """An address or host that its former service has released, not yet confirmed by all."""

    kind: AssignmentKind
    value: str
    former_service: str
    released_in: Version


class HistoryEntry(Record, frozen=True, array_like=True):
    """One accepted version: who, when, what, and from which version."""

    version: Version
    from_version: Version
    at_ms: int
    author: str
    patch_id: PatchId | None
    paths: tuple[str, ...]


class PatchAccepted(Record, frozen=True, array_like=True, tag=1):
    """The patch is version `version`; what it moves between services may still be withheld."""

    version: Version
    withheld: tuple[WithheldAssignment, ...]


class PatchRefused(Record, frozen=True, array_like=True, tag=2):
    """The patch was not applied and used no version number."""

    reason: PatchRefusalReason
    current: Version
    mistakes: tuple[InvalidValue, ...] = ()


PatchOutcome = PatchAccepted | PatchRefused


@dataclass(frozen=True, slots=True)
class ReleasesCleared:
    """Outcome of `ClearReleases`: the version that assigns what was withheld, if there is one."""

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
    """The whole replicated state, as stored in a snapshot."""

    version: Version
    document: bytes
    withheld: tuple[WithheldAssignment, ...]
    history: tuple[HistoryEntry, ...]
    recorded_outcomes: tuple["RememberedAnswer", ...]
    expired_until_ms: int
    latest_command_ms: int
    data_centres: dict[DataCentreId, Epoch]


class RecordedOutcome(Record, frozen=True, array_like=True):
    """The answer given to a patch id."""

    patch_id: PatchId
    id_created_ms: int
    body_digest: int
    outcome: PatchAccepted


def snapshot_from_builtins(value: object) -> StateSnapshot:
    """Return the state image held in msgpack values.

    Raises
    ------
    msgspec.ValidationError
        If the values are not a state image.
    """
    return msgspec.convert(value, StateSnapshot)
