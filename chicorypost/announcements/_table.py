"""The table of upstreams of one control instance: order of calls, addresses and silence."""

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
from chicorypost.base import Endpoint, Instant, UpstreamId

MS_PER_SECOND = 1000


class TableEntry(msgspec.Struct):
    """One upstream: its latest call, when it was heard, and whether that is too long ago."""

    announcement: Announcement
    last_contact_at: Instant
    is_silent: bool = False


class AnnouncementTable:
    """Keeps the latest call of each upstream and the latest upstream at each address."""

    def __init__(self) -> None:
        self.entries: dict[UpstreamId, TableEntry] = {}
        self.upstream_by_endpoint: dict[Endpoint, UpstreamId] = {}

    def record_announcement(
        self, announcement: Announcement, heard_at: Instant
    ) -> tuple[AnnouncementOutcome, list[UpstreamId]]:
        """Take a call of an upstream, directly or by way of a peer.

        Parameters
        ----------
        announcement : Announcement
            What the upstream said.
        heard_at : Instant
            When it was heard.

        Returns
        -------
        tuple of AnnouncementOutcome and list of UpstreamId
            What became of it, and the upstreams of which balancers have to learn.
        """
        entry = self.entries.get(announcement.upstream)
        if entry is not None and announcement.order_key <= entry.announcement.order_key:
            if announcement.order_key == entry.announcement.order_key:
                return AnnouncementOutcome.ACCEPTED, self._update_last_contact(entry, heard_at)
            return AnnouncementOutcome.OUTDATED, []
        holder = self._find_other_at_endpoint(announcement)
        if holder is not None and holder.announcement.started_at_ms > announcement.started_at_ms:
            return AnnouncementOutcome.OUTDATED, []
        changed = []
        if holder is not None and holder.announcement.status is not AnnouncedStatus.GONE:
            holder.announcement = _mark_gone(holder.announcement)
            changed.append(holder.announcement.upstream)
        changed += self._store(announcement, heard_at)
        return AnnouncementOutcome.ACCEPTED, changed

    def _find_other_at_endpoint(self, announcement: Announcement) -> TableEntry | None:
        """Return the entry of another upstream that has the address."""
        name = self.upstream_by_endpoint.get(announcement.endpoint)
        entry = self.entries.get(name) if name is not None else None
        if entry is None or name == announcement.upstream:
            return None
        # An upstream that has started again elsewhere no longer holds its former address.
        return entry if entry.announcement.endpoint == announcement.endpoint else None

    def _store(self, announcement: Announcement, heard_at: Instant) -> list[UpstreamId]:
        name = announcement.upstream
        entry = self.entries.get(name)
        self.upstream_by_endpoint[announcement.endpoint] = name
        if entry is None:
            self.entries[name] = TableEntry(announcement, heard_at)
            return [name]
        is_change = _without_volatile_fields(announcement) != _without_volatile_fields(
            entry.announcement
        )
        entry.announcement = announcement
        return self._update_last_contact(entry, heard_at) or ([name] if is_change else [])

    def _update_last_contact(self, entry: TableEntry, heard_at: Instant) -> list[UpstreamId]:
        entry.last_contact_at = max(entry.last_contact_at, heard_at)
        was_silent, entry.is_silent = entry.is_silent, False
        return [entry.announcement.upstream] if was_silent else []

    def record_leave(self, leaving: LeaveNotice) -> tuple[AnnouncementOutcome, list[UpstreamId]]:
        """Take the word of an upstream that it ends."""
        entry = self.entries.get(leaving.upstream)
        if entry is None:
            return AnnouncementOutcome.UNKNOWN, []
        held = entry.announcement
        if leaving.started_at_ms is not None and leaving.started_at_ms < held.started_at_ms:
            return AnnouncementOutcome.OUTDATED, []
        if held.status is AnnouncedStatus.GONE:
            return AnnouncementOutcome.ACCEPTED, []
        entry.announcement = _mark_gone(held, leaving)
        return AnnouncementOutcome.ACCEPTED, [leaving.upstream]

    def record_contact(self, heard: UpstreamContact, now: Instant) -> list[UpstreamId] | None:
        """Note that a peer has heard an upstream; None if what it said last is not known here."""
        entry = self.entries.get(heard.upstream)
        if entry is None or entry.announcement.started_at_ms < heard.started_at_ms:
            return None
        held = entry.announcement
        if held.started_at_ms > heard.started_at_ms or held.status is AnnouncedStatus.GONE:
            return []
        if heard.is_draining and held.status is AnnouncedStatus.READY:
            return None
        return self._update_last_contact(entry, now)

    def mark_silent(self, now: Instant, silent_seconds: float) -> list[UpstreamId]:
        """Mark upstreams that were not heard for too long; return those newly marked."""
        found = []
        for name, entry in self.entries.items():
            if not entry.is_silent and now - entry.last_contact_at >= silent_seconds:
                entry.is_silent = True
                found.append(name)
        return found

    def remove_expired(self, now: Instant, seconds: float) -> None:
        """Drop upstreams that were not heard for a long time."""
        old = [
            name for name, entry in self.entries.items() if now - entry.last_contact_at >= seconds
        ]
        for name in old:
            endpoint = self.entries.pop(name).announcement.endpoint
            if self.upstream_by_endpoint.get(endpoint) == name:
                del self.upstream_by_endpoint[endpoint]

    def list(self, now: Instant, names: Iterable[UpstreamId]) -> tuple[ListedUpstream, ...]:
        """Return upstreams as they are sent to other instances."""
        listed = []
        for name in names:
            entry = self.entries.get(name)
            if entry is not None:
                age_ms = max(0, int((now - entry.last_contact_at) * MS_PER_SECOND))
                listed.append(ListedUpstream(entry.announcement, entry.is_silent, age_ms))
        return tuple(listed)


def _without_volatile_fields(announcement: Announcement) -> Announcement:
    """Return the call without what differs from call to call."""
    return msgspec.structs.replace(announcement, sequence=0, warmup_ms=0)


def _mark_gone(held: Announcement, leaving: LeaveNotice | None = None) -> Announcement:
    """Return the last call of an upstream that is gone."""
    born_ms, sequence = held.started_at_ms, held.sequence
    if leaving is not None and leaving.started_at_ms is not None:
        born_ms = max(born_ms, leaving.started_at_ms)
    if leaving is not None and leaving.sequence is not None:
        sequence = max(sequence, leaving.sequence)
    return msgspec.structs.replace(
        held, started_at_ms=born_ms, sequence=sequence, status=AnnouncedStatus.GONE
    )
