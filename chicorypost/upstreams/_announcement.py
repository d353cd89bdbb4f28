"""Rules for announcements: what may follow what, and which record comes of it."""

from dataclasses import dataclass
from enum import Enum

import msgspec

from chicorypost.base import Effect, Upstream, UpstreamState
from chicorypost.upstreams._directory_messages import DirectoryRecord
from chicorypost.upstreams._events import ANNOUNCEMENT_REFUSED


class RefusalReason(Enum):
    """Why an announcement was not taken."""

    OLDER_INCARNATION = "older-incarnation"
    STATE_WENT_BACK = "state-went-back"
    CHANGED_WITHIN_INCARNATION = "changed-within-incarnation"
    ENDPOINT_TAKEN = "endpoint-taken"
    WRONG_DATA_CENTRE = "wrong-data-centre"


@dataclass(frozen=True, slots=True)
class AnnouncementRefusal:
    """An announcement that must not lead to work, with what was got and what is allowed."""

    reason: RefusalReason
    detail: str


def announced_record(known: DirectoryRecord | None, upstream: Upstream) -> DirectoryRecord:
    """Return the record that an announcement makes of what is known."""
    if known is None or known.upstream.incarnation != upstream.incarnation:
        return DirectoryRecord(upstream, 0, 0, gone=False)
    if known.gone:
        return DirectoryRecord(upstream, known.revision + 1, known.warmth, gone=False)
    return DirectoryRecord(upstream, known.revision, known.warmth, gone=False)


def find_contradiction(known: Upstream, upstream: Upstream) -> AnnouncementRefusal | None:
    """Return why an announcement can't follow the known one, or None."""
    if upstream.incarnation > known.incarnation:
        return None
    got = f"got incarnation {upstream.incarnation}, allowed at least {known.incarnation}"
    if upstream.incarnation < known.incarnation:
        return AnnouncementRefusal(RefusalReason.OLDER_INCARNATION, got)
    if msgspec.structs.replace(upstream, state=known.state) != known:
        detail = "only the state may change within one incarnation"
        return AnnouncementRefusal(RefusalReason.CHANGED_WITHIN_INCARNATION, detail)
    return _went_back(known.state, upstream.state)


def _went_back(known: UpstreamState, got: UpstreamState) -> AnnouncementRefusal | None:
    order = list(UpstreamState)
    if order.index(got) >= order.index(known):
        return None
    detail = f"state went back: got {got.value}, known is {known.value}"
    return AnnouncementRefusal(RefusalReason.STATE_WENT_BACK, detail)


def refused(upstream: Upstream, reason: RefusalReason) -> Effect:
    """Return the effect that logs a refusal."""
    return ANNOUNCEMENT_REFUSED.emit(
        upstream=upstream.upstream, incarnation=upstream.incarnation, reason=reason.value
    )
