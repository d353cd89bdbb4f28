"""Configuration document, its patches, and its distribution to the balancers.

Names are imported on first use, so that a process or command loads only what it uses.
"""

from typing import TYPE_CHECKING

from chicorypost.base._lazy import import_lazily

if TYPE_CHECKING:
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
        PatchRefusalReason,
        apply_patch,
    )
    from chicorypost.configuration._patch_format import PatchFormat
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

__getattr__ = import_lazily(
    __name__,
    {
        "AdmissionCommitted": "_publisher",
        "AdmitDataCentre": "_commands",
        "AssignmentKind": "_commands",
        "ClearReleases": "_commands",
        "CommandOutcome": "_commands",
        "ConfigurationApplied": "_document",
        "ConfigurationDocument": "_document",
        "ConfigurationFollower": "_follower",
        "ConfigurationPublisher": "_publisher",
        "ConfigurationState": "_state",
        "DataCentreAdmitted": "_commands",
        "DataCentreForgotten": "_commands",
        "DataCentreVersionStatus": "_version_status",
        "DistributionSettings": "_settings",
        "ForgetDataCentre": "_commands",
        "GatedMembership": "_gated_membership",
        "HistoryEntry": "_commands",
        "IdempotentRule": "_document",
        "InvalidPatch": "_patch",
        "InvalidValue": "_validation",
        "LeadershipChanged": "_publisher",
        "Patch": "_patch",
        "PatchAccepted": "_commands",
        "PatchFormat": "_patch_format",
        "PatchOutcome": "_commands",
        "PatchRefusalReason": "_patch",
        "PatchRefused": "_commands",
        "Priority": "_document",
        "ProposeCommand": "_publisher",
        "ReleasesCleared": "_commands",
        "ServiceSpec": "_document",
        "StateApplied": "_publisher",
        "SubmitPatch": "_commands",
        "UpstreamLimits": "_document",
        "UpstreamSelector": "_document",
        "VersionStatus": "_version_status",
        "WithheldAssignment": "_commands",
        "apply_patch": "_patch",
        "check_document": "_validation",
        "version_status": "_version_status",
    },
)
