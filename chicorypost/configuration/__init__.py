"""Configuration document, patches and their distribution to balancers."""

from chicorypost.configuration._commands import (
    AdmitDataCentre,
    Assignment,
    ClearReleases,
    CommandOutcome,
    DataCentreAdmitted,
    DataCentreForgotten,
    ForgetDataCentre,
    HistoryEntry,
    PatchAccepted,
    PatchOutcome,
    PatchRefused,
    ReleasesCleared,
    SubmitPatch,
    Withheld,
)
from chicorypost.configuration._document import (
    ConfigurationApplied,
    ConfigurationDocument,
    IdempotentRule,
    Limits,
    Priority,
    ServiceSpec,
    UpstreamSelector,
)
from chicorypost.configuration._patch import (
    Patch,
    PatchFormat,
    PatchRefusal,
    RefusalReason,
    apply_patch,
)
from chicorypost.configuration._state import ConfigurationState
from chicorypost.configuration._validation import PatchMistake, check_document

__all__ = [
    "AdmitDataCentre",
    "Assignment",
    "ClearReleases",
    "CommandOutcome",
    "ConfigurationApplied",
    "ConfigurationDocument",
    "ConfigurationState",
    "DataCentreAdmitted",
    "DataCentreForgotten",
    "ForgetDataCentre",
    "HistoryEntry",
    "IdempotentRule",
    "Limits",
    "Patch",
    "PatchAccepted",
    "PatchFormat",
    "PatchMistake",
    "PatchOutcome",
    "PatchRefusal",
    "PatchRefused",
    "Priority",
    "RefusalReason",
    "ReleasesCleared",
    "ServiceSpec",
    "SubmitPatch",
    "UpstreamSelector",
    "Withheld",
    "apply_patch",
    "check_document",
]
