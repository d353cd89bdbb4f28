"""Validation of announcements against known records, and the records they produce."""

from dataclasses import dataclass
from enum import Enum

import msgspec

from chicorypost.base import Effect, Upstream, UpstreamState
from chicorypost.upstreams._directory_messages import DirectoryRecord
from chicorypost.upstreams._events import ANNOUNCEMENT_REFUSED


class AnnouncementRefusalReason(Enum):
    """Why an announcement was refused."""

    OLDER_INCARNATION = "older-incarnation"
    STATE_WENT_BACK = "state-went-back"
    CHANGED_WITHIN_INCARNATION = "changed-within-incarnation"
    ENDPOINT_TAKEN = "endpoint-taken"
    WRONG_DATA_CENTRE = "wrong-data-centre"


@dataclass(frozen=True, slots=True)
class AnnouncementRefusal:
    """Refusal of an announcement: the reason, the received value and the allowed values."""

    reason: AnnouncementRefusalReason
    detail: str


def record_from_announcement(known: DirectoryRecord | None, upstream: Upstream) -> DirectoryRecord:
    """Return the record that results from an announcement, given the known record if any."""
    if known is None or known.upstream.incarnation != upstream.incarnation:
        return DirectoryRecord(upstream, 0, 0, is_removed=False)
    if known.is_removed:
        return DirectoryRecord(upstream, known.revision + 1, known.warm_up_stage, is_removed=False)
    return DirectoryRecord(upstream, known.revision, known.warm_up_stage, is_removed=False)


def find_contradiction(known: Upstream, upstream: Upstream) -> AnnouncementRefusal | None:
    """Return why an announcement contradicts the known upstream, or None if it does not."""
    if upstream.incarnation > known.incarnation:
        return None
    detail = f"got incarnation {upstream.incarnation}, allowed at least {known.incarnation}"
    if upstream.incarnation < known.incarnation:
        return AnnouncementRefusal(AnnouncementRefusalReason.OLDER_INCARNATION, detail)
    if msgspec.structs.replace(upstream, state=known.state) != known:
        detail = "only the state may change within one incarnation"
        return AnnouncementRefusal(AnnouncementRefusalReason.CHANGED_WITHIN_INCARNATION, detail)
    return _check_state_order(known.state, upstream.state)


def _check_state_order(
    known_state: UpstreamState, announced_state: UpstreamState
) -> AnnouncementRefusal | None:
    order = list(UpstreamState)
    if order.index(announced_state) >= order.index(known_state):
        return None
    detail = f"state went back: got {announced_state.value}, known is {known_state.value}"
    return AnnouncementRefusal(AnnouncementRefusalReason.STATE_WENT_BACK, detail)


def announcement_refused_event(upstream: Upstream, reason: AnnouncementRefusalReason) -> Effect:
    """Return the effect that logs a refused announcement."""
    return ANNOUNCEMENT_REFUSED.emit(
        upstream=upstream.upstream, incarnation=upstream.incarnation, reason=reason.value
    )
