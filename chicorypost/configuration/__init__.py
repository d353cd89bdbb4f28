"""Configuration document, patches and their distribution to balancers."""

from chicorypost.configuration._commands import (
    AdmitDataCentre,
    AssignmentKind,
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
    WithheldAssignment,
)
from chicorypost.configuration._document import (
    ConfigurationApplied,
    ConfigurationDocument,
    IdempotentRule,
    Priority,
    ServiceSpec,
    UpstreamLimits,
    UpstreamSelector,
)
from chicorypost.configuration._follower import ConfigurationFollower
from chicorypost.configuration._gated_membership import GatedMembership
from chicorypost.configuration._patch import (
    InvalidPatch,
    Patch,
    PatchFormat,
    PatchRefusalReason,
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
from chicorypost.configuration._validation import InvalidValue, check_document
from chicorypost.configuration._version_status import (
    DataCentreVersionStatus,
    VersionStatus,
    version_status,
)

__all__ = [
    "AdmissionCommitted",
    "AdmitDataCentre",
    "AssignmentKind",
    "ClearReleases",
    "CommandOutcome",
    "ConfigurationApplied",
    "ConfigurationDocument",
    "ConfigurationFollower",
    "ConfigurationPublisher",
    "ConfigurationState",
    "DataCentreAdmitted",
    "DataCentreForgotten",
    "DataCentreVersionStatus",
    "DistributionSettings",
    "ForgetDataCentre",
    "GatedMembership",
    "HistoryEntry",
    "IdempotentRule",
    "InvalidPatch",
    "InvalidValue",
    "LeadershipChanged",
    "Patch",
    "PatchAccepted",
    "PatchFormat",
    "PatchOutcome",
    "PatchRefusalReason",
    "PatchRefused",
    "Priority",
    "ProposeCommand",
    "ReleasesCleared",
    "ServiceSpec",
    "StateApplied",
    "SubmitPatch",
    "UpstreamLimits",
    "UpstreamSelector",
    "VersionStatus",
    "WithheldAssignment",
    "apply_patch",
    "check_document",
    "version_status",
]
