"""Memory of answered patch ids: a resend gets the first answer and is never applied twice."""

import uuid
from collections.abc import Iterable
from enum import Enum

from chicorypost.base import PatchId
from chicorypost.configuration._commands import PatchAccepted, RememberedAnswer

RESEND_WINDOW_MS = 24 * 3600 * 1000
MAX_REMEMBERED = 8_192
MAX_SKEW_MS = 60_000
UUID_VERSION = 7


class IdStanding(Enum):
    """What a patch id that is not remembered means."""

    NEW = "new"
    EXPIRED = "expired"
    INVALID = "invalid"


def created_ms(patch_id: PatchId) -> int | None:
    """Return the creation time held in a UUIDv7, or None for any other text."""
    try:
        parsed = uuid.UUID(patch_id)
    except ValueError:
        return None
    if parsed.version != UUID_VERSION or str(parsed) != patch_id:
        return None
    return parsed.int >> 80


class PatchLedger:
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

    def __init__(self, capacity: int = MAX_REMEMBERED, window_ms: int = RESEND_WINDOW_MS) -> None:
        self.capacity = capacity
        self.window_ms = window_ms
        self.answers: dict[PatchId, RememberedAnswer] = {}
        self.forgotten_until_ms = 0

    def find(self, patch_id: PatchId) -> RememberedAnswer | None:
        """Return the answer given to a patch id, or None."""
        return self.answers.get(patch_id)

    def standing(self, patch_id: PatchId, at_ms: int) -> IdStanding:
        """Say what an id that is not remembered means at the given wall time."""
        created = created_ms(patch_id)
        if created is None or created > at_ms + MAX_SKEW_MS:
            return IdStanding.INVALID
        if created <= max(self.forgotten_until_ms, at_ms - self.window_ms):
            return IdStanding.EXPIRED
        return IdStanding.NEW

    def remember(self, patch_id: PatchId, body_digest: int, outcome: PatchAccepted) -> None:
        """Keep the answer to an accepted patch."""
        created = created_ms(patch_id)
        assert created is not None, f"patch id was not checked: got {patch_id!r}"
        answer = RememberedAnswer(patch_id, created, body_digest, outcome)
        self.answers[patch_id] = answer
        while len(self.answers) > self.capacity:
            self.forget(min(kept.created_ms for kept in self.answers.values()))

    def forget(self, until_ms: int) -> None:
        """Drop every answer whose id was created at or before the given time."""
        if until_ms <= self.forgotten_until_ms:
            return
        self.forgotten_until_ms = until_ms
        expired = [key for key, kept in self.answers.items() if kept.created_ms <= until_ms]
        for key in expired:
            del self.answers[key]

    def restore(self, answers: Iterable[RememberedAnswer], forgotten_until_ms: int) -> None:
        """Replace the memory by one from a snapshot."""
        self.answers = {answer.patch_id: answer for answer in answers}
        self.forgotten_until_ms = forgotten_until_ms
