"""State machine of the replicated configuration, deterministic in the committed commands."""

import json
from typing import Any

import msgpack
import msgspec

from chicorypost.base import (
    DataCentreId,
    Epoch,
    Message,
    Undecodable,
    Version,
    decode,
    hash64,
)
from chicorypost.configuration._commands import (
    AdmitDataCentre,
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
    StateSnapshot,
    SubmitPatch,
    WithheldAssignment,
    snapshot_from_builtins,
)
from chicorypost.configuration._document import ConfigurationDocument
from chicorypost.configuration._outcome_registry import PatchIdStatus, PatchOutcomeRegistry
from chicorypost.configuration._patch import (
    InvalidPatch,
    Patch,
    PatchRefusalReason,
    apply_patch,
    changed_paths,
)
from chicorypost.configuration._releases import (
    compute_withheld,
    effective_document,
    services_by_assignment,
)
from chicorypost.configuration._validation import canonical_value

MAX_HISTORY_ENTRIES = 2_000
MAX_HISTORY_PATHS = 20
SYSTEM_AUTHOR = "chicorypost"

_ID_REFUSAL_REASONS = {
    PatchIdStatus.EXPIRED: PatchRefusalReason.EXPIRED,
    PatchIdStatus.INVALID: PatchRefusalReason.PATCH_ID_INVALID,
}


class ConfigurationState:
    """Versions, patch outcomes, history and withheld assignments.

    Changes only through committed commands and snapshots.

    Attributes
    ----------
    version : Version
        The current version.
    desired : dict
        The document requested by operators, as JSON values.
    effective : dict
        The document that balancers apply: `desired` without the withheld assignments.
    withheld : tuple of WithheldAssignment
        Assignments whose release is not confirmed by every balancer.
    history : list of HistoryEntry
        The latest accepted versions, oldest first, at most `MAX_HISTORY_ENTRIES`.
    data_centres : dict
        The data centres that releases wait for, with the lowest epoch that a report must have.
    """

    def __init__(self) -> None:
        self.version = Version(0)
        self.desired: dict[str, Any] = {}
        self.effective: dict[str, Any] = {}
        self.withheld: tuple[WithheldAssignment, ...] = ()
        self.history: list[HistoryEntry] = []
        self.data_centres: dict[DataCentreId, Epoch] = {}
        self.outcome_registry = PatchOutcomeRegistry()
        self.latest_command_ms = 0

    def check_patch(self, command: SubmitPatch) -> PatchOutcome | None:
        """Return the outcome of a patch that needs no log entry, or None if it needs one.

        A resent patch gets its recorded outcome. A refusal is final: versions only increase, so a
        patch that is stale or invalid now is also refused when it is sent again.
        """
        if command.expected_version > self.version:
            return None
        result = self._evaluate_patch(command, max(command.at_ms, self.latest_command_ms))
        return None if isinstance(result, ConfigurationDocument) else result

    def apply_command(self, command: bytes) -> CommandOutcome:
        """Apply one committed command.

        Parameters
        ----------
        command : bytes
            An encoded command; every replica applies the same commands in the same order.

        Returns
        -------
        CommandOutcome
            The outcome, which is equal on every replica.

        Raises
        ------
        ValueError
            If the entry is not a command of the configuration.
        """
        match decode(command):
            case SubmitPatch() as submit:
                return self._submit_patch(submit)
            case ClearReleases() as clear:
                return self._clear_releases(clear)
            case AdmitDataCentre() as admit:
                return self._admit_data_centre(admit)
            case ForgetDataCentre() as forget:
                return self._forget_data_centre(forget)
            case Message() | Undecodable() as other:
                raise ValueError(f"committed entry is not a configuration command: got {other!r}")

    def take_snapshot(self) -> bytes:
        """Return the encoded state."""
        snapshot = StateSnapshot(
            version=self.version,
            document=json.dumps(self.desired).encode(),
            withheld=self.withheld,
            history=tuple(self.history),
            recorded_outcomes=tuple(self.outcome_registry.recorded_outcomes.values()),
            expired_until_ms=self.outcome_registry.expired_until_ms,
            latest_command_ms=self.latest_command_ms,
            data_centres=dict(self.data_centres),
        )
        packed: bytes = msgpack.packb(msgspec.to_builtins(snapshot, builtin_types=(bytes,)))
        return packed

    def restore_snapshot(self, data: bytes) -> None:
        """Replace the state by that of a snapshot."""
        snapshot = snapshot_from_builtins(msgpack.unpackb(data))
        self.version = snapshot.version
        self.desired = json.loads(snapshot.document)
        self.withheld = snapshot.withheld
        self.effective = effective_document(self.desired, self.withheld)
        self.history = list(snapshot.history)
        self.outcome_registry.restore_outcomes(
            snapshot.recorded_outcomes, snapshot.expired_until_ms
        )
        self.latest_command_ms = snapshot.latest_command_ms
        self.data_centres = dict(snapshot.data_centres)

    def dump(self) -> dict[str, Any]:
        """Return the state as JSON values."""
        return {
            "version": self.version,
            "desired": self.desired,
            "withheld": msgspec.to_builtins(self.withheld),
            "history": msgspec.to_builtins(self.history[-10:]),
            "answers": len(self.outcome_registry.recorded_outcomes),
            "forgotten_until_ms": self.outcome_registry.expired_until_ms,
            "data_centres": dict(self.data_centres),
        }

    def _submit_patch(self, command: SubmitPatch) -> PatchOutcome:
        at_ms = self._advance_time(command.at_ms)
        result = self._evaluate_patch(command, at_ms)
        if not isinstance(result, ConfigurationDocument):
            return result
        paths = changed_paths(Patch(command.format, command.body))[:MAX_HISTORY_PATHS]
        self._install_version(canonical_value(result), command.author, command.patch_id, paths)
        outcome = PatchAccepted(self.version, self._find_withheld_desired())
        self.outcome_registry.record_outcome(command.patch_id, _digest_patch(command), outcome)
        return outcome

    def _evaluate_patch(
        self, command: SubmitPatch, at_ms: int
    ) -> ConfigurationDocument | PatchOutcome:
        recorded = self.outcome_registry.find_outcome(command.patch_id)
        if recorded is not None:
            if recorded.body_digest == _digest_patch(command):
                return recorded.outcome
            return PatchRefused(PatchRefusalReason.PATCH_ID_REUSED, self.version)
        status = self.outcome_registry.classify_id(command.patch_id, at_ms)
        if status is not PatchIdStatus.NEW:
            return PatchRefused(_ID_REFUSAL_REASONS[status], self.version)
        if command.expected_version != self.version:
            return PatchRefused(PatchRefusalReason.STALE_VERSION, self.version)
        document = ConfigurationDocument.model_validate(self.desired)
        result = apply_patch(document, Patch(command.format, command.body))
        if isinstance(result, InvalidPatch):
            return PatchRefused(result.reason, self.version, result.errors)
        return result

    def _install_version(
        self, desired: dict[str, Any], author: str, patch_id: Any, paths: tuple[str, ...]
    ) -> None:
        version = Version(self.version + 1)
        entry = HistoryEntry(version, self.version, self.latest_command_ms, author, patch_id, paths)
        self.withheld = compute_withheld(self.effective, self.withheld, desired, version)
        self.desired = desired
        self.effective = effective_document(desired, self.withheld)
        self.version = version
        self.history.append(entry)
        del self.history[:-MAX_HISTORY_ENTRIES]

    def _clear_releases(self, command: ClearReleases) -> ReleasesCleared:
        self._advance_time(command.at_ms)
        still_withheld = tuple(
            assignment
            for assignment in self.withheld
            if assignment.released_in > command.confirmed_version
        )
        if still_withheld == self.withheld:
            return ReleasesCleared(None)
        withheld_before = self._find_withheld_desired()
        self.withheld = still_withheld
        cleared = tuple(
            assignment for assignment in withheld_before if assignment not in still_withheld
        )
        if not cleared:
            return ReleasesCleared(None)
        paths = tuple(
            f"{assignment.kind.value} {assignment.value}"
            for assignment in cleared[:MAX_HISTORY_PATHS]
        )
        self._install_version(self.desired, SYSTEM_AUTHOR, None, paths)
        return ReleasesCleared(self.version)

    def _admit_data_centre(self, command: AdmitDataCentre) -> DataCentreAdmitted:
        admitted = self.data_centres.get(command.data_centre, Epoch(0))
        self.data_centres[command.data_centre] = max(admitted, command.epoch)
        return DataCentreAdmitted(command.data_centre, command.token)

    def _forget_data_centre(self, command: ForgetDataCentre) -> DataCentreForgotten:
        self._advance_time(command.at_ms)
        known = self.data_centres.pop(command.data_centre, None) is not None
        return DataCentreForgotten(command.data_centre, known)

    def _find_withheld_desired(self) -> tuple[WithheldAssignment, ...]:
        desired = services_by_assignment(self.desired)
        return tuple(
            assignment
            for assignment in self.withheld
            if (assignment.kind, assignment.value) in desired
        )

    def _advance_time(self, at_ms: int) -> int:
        self.latest_command_ms = max(self.latest_command_ms, at_ms)
        self.outcome_registry.expire_ids(
            self.latest_command_ms - self.outcome_registry.resend_window_ms
        )
        return self.latest_command_ms


def _digest_patch(command: SubmitPatch) -> int:
    prefix = f"{command.expected_version} {command.format.value} ".encode()
    return hash64(prefix + command.body)
