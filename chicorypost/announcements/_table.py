"""The table of upstreams of one control instance: order of calls, addresses and silence."""

from collections.abc import Iterable

import msgspec

from chicorypost.announcements._messages import HeardUpstream
from chicorypost.announcements._records import (
    Announcement,
    AnnouncementOutcome,
    Leaving,
    ListedUpstream,
    Standing,
)
from chicorypost.base import Endpoint, Instant, UpstreamId

MILLISECONDS = 1000


class TableEntry(msgspec.Struct):
    """One upstream: its latest call, when it was heard, and whether that is too long ago."""

    announcement: Announcement
    heard_at: Instant
    silent: bool = False


class AnnouncementTable:
    """Keeps the latest call of each upstream and the latest upstream at each address."""

    def __init__(self) -> None:
        self.entries: dict[UpstreamId, TableEntry] = {}
        self.holders: dict[Endpoint, UpstreamId] = {}

    def take(
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
        if entry is not None and announcement.order <= entry.announcement.order:
            if announcement.order == entry.announcement.order:
                return AnnouncementOutcome.HELD, self._hear(entry, heard_at)
            return AnnouncementOutcome.LATE, []
        holder = self._holder_of(announcement)
        if holder is not None and holder.announcement.born_ms > announcement.born_ms:
            return AnnouncementOutcome.LATE, []
        changed = []
        if holder is not None and holder.announcement.standing is not Standing.GONE:
            holder.announcement = _end(holder.announcement)
            changed.append(holder.announcement.upstream)
        changed += self._put(announcement, heard_at)
        return AnnouncementOutcome.HELD, changed

    def _holder_of(self, announcement: Announcement) -> TableEntry | None:
        """Return the entry of another upstream that has the address."""
        name = self.holders.get(announcement.endpoint)
        entry = self.entries.get(name) if name is not None else None
        if entry is None or name == announcement.upstream:
            return None
        # An upstream that has started again elsewhere no longer holds its former address.
        return entry if entry.announcement.endpoint == announcement.endpoint else None

    def _put(self, announcement: Announcement, heard_at: Instant) -> list[UpstreamId]:
        name = announcement.upstream
        entry = self.entries.get(name)
        self.holders[announcement.endpoint] = name
        if entry is None:
            self.entries[name] = TableEntry(announcement, heard_at)
            return [name]
        is_change = _without_progress(announcement) != _without_progress(entry.announcement)
        entry.announcement = announcement
        return self._hear(entry, heard_at) or ([name] if is_change else [])

    def _hear(self, entry: TableEntry, heard_at: Instant) -> list[UpstreamId]:
        entry.heard_at = max(entry.heard_at, heard_at)
        was_silent, entry.silent = entry.silent, False
        return [entry.announcement.upstream] if was_silent else []

    def leave(self, leaving: Leaving) -> tuple[AnnouncementOutcome, list[UpstreamId]]:
        """Take the word of an upstream that it ends."""
        entry = self.entries.get(leaving.upstream)
        if entry is None:
            return AnnouncementOutcome.UNKNOWN, []
        held = entry.announcement
        if leaving.born_ms is not None and leaving.born_ms < held.born_ms:
            return AnnouncementOutcome.LATE, []
        if held.standing is Standing.GONE:
            return AnnouncementOutcome.HELD, []
        entry.announcement = _end(held, leaving)
        return AnnouncementOutcome.HELD, [leaving.upstream]

    def hear(self, heard: HeardUpstream, now: Instant) -> list[UpstreamId] | None:
        """Note that a peer has heard an upstream; None if what it said last is not known here."""
        entry = self.entries.get(heard.upstream)
        if entry is None or entry.announcement.born_ms < heard.born_ms:
            return None
        held = entry.announcement
        if held.born_ms > heard.born_ms or held.standing is Standing.GONE:
            return []
        if heard.draining and held.standing is Standing.READY:
            return None
        return self._hear(entry, now)

    def find_silent(self, now: Instant, silent_seconds: float) -> list[UpstreamId]:
        """Mark upstreams that were not heard for too long; return those newly marked."""
        found = []
        for name, entry in self.entries.items():
            if not entry.silent and now - entry.heard_at >= silent_seconds:
                entry.silent = True
                found.append(name)
        return found

    def forget(self, now: Instant, seconds: float) -> None:
        """Drop upstreams that were not heard for a long time."""
        old = [name for name, entry in self.entries.items() if now - entry.heard_at >= seconds]
        for name in old:
            endpoint = self.entries.pop(name).announcement.endpoint
            if self.holders.get(endpoint) == name:
                del self.holders[endpoint]

    def list(self, now: Instant, names: Iterable[UpstreamId]) -> tuple[ListedUpstream, ...]:
        """Return upstreams as they are sent to other instances."""
        listed = []
        for name in names:
            entry = self.entries.get(name)
            if entry is not None:
                age_ms = max(0, int((now - entry.heard_at) * MILLISECONDS))
                listed.append(ListedUpstream(entry.announcement, entry.silent, age_ms))
        return tuple(listed)


def _without_progress(announcement: Announcement) -> Announcement:
    """Return the call without what differs from call to call."""
    return msgspec.structs.replace(announcement, sequence=0, warm_in_ms=0)


def _end(held: Announcement, leaving: Leaving | None = None) -> Announcement:
    """Return the last call of an upstream that is gone."""
    born_ms, sequence = held.born_ms, held.sequence
    if leaving is not None and leaving.born_ms is not None:
        born_ms = max(born_ms, leaving.born_ms)
    if leaving is not None and leaving.sequence is not None:
        sequence = max(sequence, leaving.sequence)
    return msgspec.structs.replace(held, born_ms=born_ms, sequence=sequence, standing=Standing.GONE)
