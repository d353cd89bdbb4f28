"""Memory of answered patch ids: a resend gets the first answer and is never applied twice."""

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
    """What a patch id that is not remembered means."""

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
    """Answers by patch id, bounded by age and count.

    Forgetting moves a limit forward: an id created at or before the limit that is not remembered
    is expired, so no id can be forgotten and then applied again.

    Parameters
    ----------
    capacity : int, default=8192
        How many answers are kept.
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
        """Return the answer given to a patch id, or None."""
        return self.recorded_outcomes.get(patch_id)

    def classify_id(self, patch_id: PatchId, at_ms: int) -> PatchIdStatus:
        """Say what an id that is not remembered means at the given wall time."""
        created = id_creation_ms(patch_id)
        if created is None or created > at_ms + MAX_CLOCK_SKEW_MS:
            return PatchIdStatus.INVALID
        if created <= max(self.expired_until_ms, at_ms - self.resend_window_ms):
            return PatchIdStatus.EXPIRED
        return PatchIdStatus.NEW

    def record_outcome(self, patch_id: PatchId, body_digest: int, outcome: PatchAccepted) -> None:
        """Keep the answer to an accepted patch."""
        created = id_creation_ms(patch_id)
        assert created is not None, f"patch id was not checked: got {patch_id!r}"
        answer = RecordedOutcome(patch_id, created, body_digest, outcome)
        self.recorded_outcomes[patch_id] = answer
        while len(self.recorded_outcomes) > self.capacity:
            self.expire_ids(min(kept.id_created_ms for kept in self.recorded_outcomes.values()))

    def expire_ids(self, until_ms: int) -> None:
        """Drop every answer whose id was created at or before the given time."""
        if until_ms <= self.expired_until_ms:
            return
        self.expired_until_ms = until_ms
        expired = [
            key for key, kept in self.recorded_outcomes.items() if kept.id_created_ms <= until_ms
        ]
        for key in expired:
            del self.recorded_outcomes[key]

    def restore_outcomes(self, answers: Iterable[RecordedOutcome], forgotten_until_ms: int) -> None:
        """Replace the memory by one from a snapshot."""
        self.recorded_outcomes = {answer.patch_id: answer for answer in answers}
        self.expired_until_ms = forgotten_until_ms
