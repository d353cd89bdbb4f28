"""Outcomes by patch id: a resent patch gets its first outcome and is never applied twice."""

import uuid
from collections.abc import Iterable
from enum import Enum

from chicorypost.base import PatchId
from chicorypost.configuration._commands import PatchAccepted, RecordedOutcome

RESEND_WINDOW_MS = 24 * 3600 * 1000
MAX_RECORDED_OUTCOMES = 8_192
MAX_CLOCK_SKEW_MS = 60_000
UUID_VERSION = 7


class PatchIdStatus(Enum):
    """Status of a patch id without a recorded outcome."""

    NEW = "new"
    EXPIRED = "expired"
    INVALID = "invalid"


def id_creation_ms(patch_id: PatchId) -> int | None:
    """Return the creation time held in a UUIDv7, or None for any other text."""
    try:
        parsed = uuid.UUID(patch_id)
    except ValueError:
        return None
    if parsed.version != UUID_VERSION or str(parsed) != patch_id:
        return None
    return parsed.int >> 80


class PatchOutcomeRegistry:
    """Outcomes of accepted patches by patch id, bounded by age and count.

    Removing outcomes advances `expired_until_ms`. An id created by then that has no outcome is
    expired, so no patch is applied again after its outcome was removed.

    Parameters
    ----------
    capacity : int, default=8192
        Maximum number of outcomes kept.
    window_ms : int, default=86400000
        How long after its creation a patch id may be used, in milliseconds.
    """

    def __init__(
        self, capacity: int = MAX_RECORDED_OUTCOMES, window_ms: int = RESEND_WINDOW_MS
    ) -> None:
        self.capacity = capacity
        self.resend_window_ms = window_ms
        self.recorded_outcomes: dict[PatchId, RecordedOutcome] = {}
        self.expired_until_ms = 0

    def find_outcome(self, patch_id: PatchId) -> RecordedOutcome | None:
        """Return the outcome recorded for a patch id, or None."""
        return self.recorded_outcomes.get(patch_id)

    def classify_id(self, patch_id: PatchId, at_ms: int) -> PatchIdStatus:
        """Return the status of an id without an outcome at the given wall time."""
        created = id_creation_ms(patch_id)
        if created is None or created > at_ms + MAX_CLOCK_SKEW_MS:
            return PatchIdStatus.INVALID
        if created <= max(self.expired_until_ms, at_ms - self.resend_window_ms):
            return PatchIdStatus.EXPIRED
        return PatchIdStatus.NEW

    def record_outcome(self, patch_id: PatchId, body_digest: int, outcome: PatchAccepted) -> None:
        """Record the outcome of an accepted patch; remove the oldest above `capacity`."""
        created = id_creation_ms(patch_id)
        assert created is not None, f"patch id was not checked: got {patch_id!r}"
        record = RecordedOutcome(patch_id, created, body_digest, outcome)
        self.recorded_outcomes[patch_id] = record
        while len(self.recorded_outcomes) > self.capacity:
            self.expire_ids(min(record.id_created_ms for record in self.recorded_outcomes.values()))

    def expire_ids(self, until_ms: int) -> None:
        """Remove every outcome whose id was created at or before the given time."""
        if until_ms <= self.expired_until_ms:
            return
        self.expired_until_ms = until_ms
        expired = [
            key
            for key, record in self.recorded_outcomes.items()
            if record.id_created_ms <= until_ms
        ]
        for key in expired:
            del self.recorded_outcomes[key]

    def restore_outcomes(self, outcomes: Iterable[RecordedOutcome], expired_until_ms: int) -> None:
        """Replace all outcomes by those of a snapshot."""
        self.recorded_outcomes = {record.patch_id: record for record in outcomes}
        self.expired_until_ms = expired_until_ms
