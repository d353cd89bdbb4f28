"""The upstream table of one control instance: call ordering and silence detection."""

from collections.abc import Iterable

import msgspec

from chicorypost.announcements._messages import UpstreamContact
from chicorypost.announcements._records import (
    AnnouncedStatus,
    Announcement,
    AnnouncementOutcome,
    LeaveNotice,
    ListedUpstream,
)
from chicorypost.base import Instant, UpstreamId

MS_PER_SECOND = 1000


class TableEntry(msgspec.Struct):
    """Latest call of one upstream, time of the last contact, and whether that is too long ago."""

    announcement: Announcement
    last_contact_at: Instant
    is_silent: bool = False


class AnnouncementTable:
    """Stores the latest call of each upstream.

    Several upstreams may be listed with one address, of which a balancer uses one: an upstream is
    gone by its own word only, not by that of another one that names its address.
    """

    def __init__(self) -> None:
        self.entries: dict[UpstreamId, TableEntry] = {}

    def record_announcement(
        self, announcement: Announcement, received_at: Instant, is_recent: bool = True
    ) -> tuple[AnnouncementOutcome, list[UpstreamId]]:
        """Store a call received from an upstream or from a peer.

        Parameters
        ----------
        announcement : Announcement
            The call.
        received_at : Instant
            When a control instance received it from the upstream.
        is_recent : bool, default True
            Whether that shows that the upstream is alive; an old call of a peer or from disk
            doesn't bring a silent upstream back into use.

        Returns
        -------
        tuple of AnnouncementOutcome and list of UpstreamId
            Result of the call, and the upstreams whose change must be sent to balancers.
        """
        entry = self.entries.get(announcement.upstream)
        if entry is not None and announcement.order_key <= entry.announcement.order_key:
            if announcement.order_key == entry.announcement.order_key:
                revived = self._update_last_contact(entry, received_at, is_recent)
                return AnnouncementOutcome.ACCEPTED, revived
            return AnnouncementOutcome.OUTDATED, []
        return AnnouncementOutcome.ACCEPTED, self._store(announcement, received_at, is_recent)

    def _store(
        self, announcement: Announcement, received_at: Instant, is_recent: bool
    ) -> list[UpstreamId]:
        name = announcement.upstream
        entry = self.entries.get(name)
        if entry is None:
            self.entries[name] = TableEntry(announcement, received_at, not is_recent)
            return [name]
        is_change = _without_volatile_fields(announcement) != _without_volatile_fields(
            entry.announcement
        )
        entry.announcement = announcement
        revived = self._update_last_contact(entry, received_at, is_recent)
        return revived or ([name] if is_change else [])

    def _update_last_contact(
        self, entry: TableEntry, received_at: Instant, is_recent: bool = True
    ) -> list[UpstreamId]:
        entry.last_contact_at = max(entry.last_contact_at, received_at)
        is_revived = entry.is_silent and is_recent
        entry.is_silent = entry.is_silent and not is_recent
        return [entry.announcement.upstream] if is_revived else []

    def record_leave(self, notice: LeaveNotice) -> tuple[AnnouncementOutcome, list[UpstreamId]]:
        """Mark the run of an upstream as gone that its notice names.

        A run that is gone stays so, and its flows are reset. A notice that doesn't name its run
        therefore ends none: it may be a late one of an earlier run. It is acknowledged if the
        latest run takes no new flows in any case.
        """
        entry = self.entries.get(notice.upstream)
        if entry is None:
            return AnnouncementOutcome.UNKNOWN, []
        latest = entry.announcement
        if latest.status is AnnouncedStatus.GONE and notice.started_at_ms is None:
            return AnnouncementOutcome.ACCEPTED, []
        if notice.started_at_ms is None:
            is_leaving = latest.status is AnnouncedStatus.DRAINING
            outcome = (
                AnnouncementOutcome.ACCEPTED if is_leaving else AnnouncementOutcome.RUN_UNKNOWN
            )
            return outcome, []
        if notice.started_at_ms < latest.started_at_ms:
            return AnnouncementOutcome.OUTDATED, []
        if notice.started_at_ms > latest.started_at_ms:
            return AnnouncementOutcome.RUN_UNKNOWN, []
        if latest.status is AnnouncedStatus.GONE:
            return AnnouncementOutcome.ACCEPTED, []
        entry.announcement = _mark_gone(latest, notice)
        return AnnouncementOutcome.ACCEPTED, [notice.upstream]

    def record_contact(self, contact: UpstreamContact, now: Instant) -> list[UpstreamId] | None:
        """Record contact between an upstream and a peer.

        Returns
        -------
        list of UpstreamId or None
            Upstreams that are no longer silent; None if the peer has a call that is missing here.
        """
        entry = self.entries.get(contact.upstream)
        if entry is None or entry.announcement.started_at_ms < contact.started_at_ms:
            return None
        latest = entry.announcement
        if latest.started_at_ms > contact.started_at_ms or latest.status is AnnouncedStatus.GONE:
            return []
        if contact.is_draining and latest.status is AnnouncedStatus.READY:
            return None
        return self._update_last_contact(entry, now)

    def mark_silent(self, now: Instant, silent_seconds: float) -> list[UpstreamId]:
        """Mark upstreams without contact for `silent_seconds`; return those newly marked."""
        marked = []
        for name, entry in self.entries.items():
            if not entry.is_silent and now - entry.last_contact_at >= silent_seconds:
                entry.is_silent = True
                marked.append(name)
        return marked

    def remove_expired(self, now: Instant, seconds: float) -> list[UpstreamId]:
        """Remove upstreams without contact for `seconds`; return the removed ones."""
        expired = [
            name for name, entry in self.entries.items() if now - entry.last_contact_at >= seconds
        ]
        for name in expired:
            del self.entries[name]
        return expired

    def list_upstreams(
        self, now: Instant, names: Iterable[UpstreamId]
    ) -> tuple[ListedUpstream, ...]:
        """Return the entries of some upstreams as sent to other instances."""
        listed = []
        for name in names:
            entry = self.entries.get(name)
            if entry is not None:
                age_ms = max(0, int((now - entry.last_contact_at) * MS_PER_SECOND))
                listed.append(ListedUpstream(entry.announcement, entry.is_silent, age_ms))
        return tuple(listed)


def _without_volatile_fields(announcement: Announcement) -> Announcement:
    """Return the call without the fields that differ between any two calls."""
    return msgspec.structs.replace(announcement, sequence=0, warmup_ms=0)


def _mark_gone(latest: Announcement, notice: LeaveNotice) -> Announcement:
    """Return the final call of a run, with status `GONE`."""
    sequence = max(latest.sequence, notice.sequence or 0)
    return msgspec.structs.replace(latest, sequence=sequence, status=AnnouncedStatus.GONE)
