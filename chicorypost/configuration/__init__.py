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
from chicorypost.configuration._follower import ConfigurationFollower
from chicorypost.configuration._gated_membership import GatedMembership
from chicorypost.configuration._in_force import DataCentreForce, VersionForce, version_force
from chicorypost.configuration._patch import (
    Patch,
    PatchFormat,
    PatchRefusal,
    RefusalReason,
    apply_patch,
)
from chicorypost.configuration._publisher import (
    AdmissionCommitted,
    ConfigurationPublisher,
    LeadershipChanged,
    ProposeCommand,
    StateApplied,
)
from chicorypost.configuration._settings import DistributionSettings
from chicorypost.configuration._state import ConfigurationState
from chicorypost.configuration._validation import PatchMistake, check_document

__all__ = [
    "AdmissionCommitted",
    "AdmitDataCentre",
    "Assignment",
    "ClearReleases",
    "CommandOutcome",
    "ConfigurationApplied",
    "ConfigurationDocument",
    "ConfigurationFollower",
    "ConfigurationPublisher",
    "ConfigurationState",
    "DataCentreAdmitted",
    "DataCentreForce",
    "DataCentreForgotten",
    "DistributionSettings",
    "ForgetDataCentre",
    "GatedMembership",
    "HistoryEntry",
    "IdempotentRule",
    "LeadershipChanged",
    "Limits",
    "Patch",
    "PatchAccepted",
    "PatchFormat",
    "PatchMistake",
    "PatchOutcome",
    "PatchRefusal",
    "PatchRefused",
    "Priority",
    "ProposeCommand",
    "RefusalReason",
    "ReleasesCleared",
    "ServiceSpec",
    "StateApplied",
    "SubmitPatch",
    "UpstreamSelector",
    "VersionForce",
    "Withheld",
    "apply_patch",
    "check_document",
    "version_force",
]
