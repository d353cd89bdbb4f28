"""Commands of the replicated state, as stored in the log, and their outcomes."""

from dataclasses import dataclass
from enum import Enum

import msgspec

from chicorypost.base import DataCentreId, Epoch, Message, PatchId, Record, Version
from chicorypost.configuration._patch import PatchFormat, RefusalReason
from chicorypost.configuration._validation import PatchMistake


class SubmitPatch(Message, frozen=True, array_like=True, tag=200):
    """Apply a patch if the version is still the expected one.

    The wall time is decided by the leader, so that every replica applies the command alike.
    """

    patch_id: PatchId
    expected: Version
    format: PatchFormat
    body: bytes
    author: str
    at_ms: int


class ClearReleases(Message, frozen=True, array_like=True, tag=201):
    """Every live balancer has confirmed the given version: what it released may be assigned."""

    confirmed: Version
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


class Assignment(Enum):
    """Kind of thing that belongs to one service at a time."""

    ADDRESS = "address"
    HOST = "host"


class Withheld(Record, frozen=True, array_like=True):
    """An address or host that its former service has released, not yet confirmed by all."""

    kind: Assignment
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
    withheld: tuple[Withheld, ...]


class PatchRefused(Record, frozen=True, array_like=True, tag=2):
    """The patch was not applied and used no version number."""

    reason: RefusalReason
    current: Version
    mistakes: tuple[PatchMistake, ...] = ()


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


class StateImage(Record, frozen=True, array_like=True):
    """The whole replicated state, as stored in a snapshot."""

    version: Version
    document: bytes
    withheld: tuple[Withheld, ...]
    history: tuple[HistoryEntry, ...]
    answers: tuple["RememberedAnswer", ...]
    forgotten_until_ms: int
    last_at_ms: int
    data_centres: dict[DataCentreId, Epoch]


class RememberedAnswer(Record, frozen=True, array_like=True):
    """The answer given to a patch id."""

    patch_id: PatchId
    created_ms: int
    body_digest: int
    outcome: PatchAccepted


def image_from_builtins(value: object) -> StateImage:
    """Return the state image held in msgpack values.

    Raises
    ------
    msgspec.ValidationError
        If the values are not a state image.
    """
    return msgspec.convert(value, StateImage)
