"""The upstream table of one control instance: call ordering and silence detection."""

import math
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
from chicorypost.base import Instant, ServiceId, UpstreamId

MS_PER_SECOND = 1000
WARMUP_TOLERANCE_SECONDS = 0.2
"""Difference between two statements of the end of a warm-up up to which it hasn't changed; calls
take different times to arrive."""


class TableEntry(msgspec.Struct):
    """Latest call of one upstream, time of the last contact, and whether that is too long ago.

    The end of the warm-up is stored apart from the call that stated it, since contacts renew
    `last_contact_at` and not the call.
    """

    announcement: Announcement
    last_contact_at: Instant
    is_silent: bool
    warmup_ends_at: Instant


class AnnouncementTable:
    """Stores the latest call of each upstream.

    Several upstreams may be listed with one address, of which a balancer uses one: an upstream is
    gone by its own word only, not by that of another one that names its address.
    """

    def __init__(self) -> None:
        self.entries: dict[UpstreamId, TableEntry] = {}
        self.warming: set[UpstreamId] = set()
        """Upstreams whose warm-up has ended only after the last call of `pop_warmed_up`."""
        self.limited_services: frozenset[ServiceId] | None = None
        """Services that limit the flows to cold upstreams; None if they aren't known yet."""

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
                # The copy of a call that arrived first states the end of the warm-up best.
                ends_at = _get_warmup_end(announcement, received_at)
                entry.warmup_ends_at = min(entry.warmup_ends_at, ends_at)
                revived = self._update_last_contact(entry, received_at, is_recent)
                return AnnouncementOutcome.ACCEPTED, revived
            return AnnouncementOutcome.OUTDATED, []
        return AnnouncementOutcome.ACCEPTED, self._store(announcement, received_at, is_recent)

    def _store(
        self, announcement: Announcement, received_at: Instant, is_recent: bool
    ) -> list[UpstreamId]:
        name = announcement.upstream
        entry = self.entries.get(name)
        ends_at = _get_warmup_end(announcement, received_at)
        if announcement.warmup_ms > 0:
            self.warming.add(name)
        if entry is None:
            self.entries[name] = TableEntry(announcement, received_at, not is_recent, ends_at)
            return [name]
        is_change = _without_volatile_fields(announcement) != _without_volatile_fields(
            entry.announcement
        )
        if announcement.started_at_ms != entry.announcement.started_at_ms:
            entry.warmup_ends_at = ends_at
        elif _update_warmup(entry, ends_at, received_at):
            is_change = is_change or self._is_limited(announcement)
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

    def pop_warmed_up(self, now: Instant) -> list[UpstreamId]:
        """Return the upstreams in use whose limited warm-up has ended since the last call."""
        entries = {name: self.entries.get(name) for name in self.warming}
        ended = {
            name: entry
            for name, entry in entries.items()
            if entry is None or entry.warmup_ends_at <= now
        }
        self.warming.difference_update(ended)
        return [
            name
            for name, entry in ended.items()
            if entry is not None and not entry.is_silent and self._is_limited(entry.announcement)
        ]

    def _is_limited(self, announcement: Announcement) -> bool:
        """Return whether the warm-up of an upstream limits its flows.

        Other warm-ups only affect its weight, which isn't worth a page to each balancer or a save.
        """
        return self.limited_services is None or announcement.service in self.limited_services

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
                remaining_ms = math.ceil((entry.warmup_ends_at - now) * MS_PER_SECOND)
                warmup_ms = remaining_ms + age_ms if remaining_ms > 0 else 0
                announcement = entry.announcement
                if announcement.warmup_ms != warmup_ms:
                    announcement = msgspec.structs.replace(announcement, warmup_ms=warmup_ms)
                listed.append(ListedUpstream(announcement, entry.is_silent, age_ms))
        return tuple(listed)


def _get_warmup_end(announcement: Announcement, received_at: Instant) -> Instant:
    return Instant(received_at + announcement.warmup_ms / MS_PER_SECOND)


def _update_warmup(entry: TableEntry, ends_at: Instant, received_at: Instant) -> bool:
    """Store the end of the warm-up that a later call of the same run states.

    Each call states the end too late by its time on the way, so the earliest end counts, unless
    the upstream is cold again. Returns whether the difference must be sent to other instances.
    """
    previous_end = entry.warmup_ends_at
    is_cold_again = ends_at - max(previous_end, received_at) > WARMUP_TOLERANCE_SECONDS
    if is_cold_again or ends_at < previous_end:
        entry.warmup_ends_at = ends_at
    is_earlier = previous_end - max(ends_at, received_at) > WARMUP_TOLERANCE_SECONDS
    return is_cold_again or is_earlier


def _without_volatile_fields(announcement: Announcement) -> Announcement:
    """Return the call without the fields that differ between any two calls."""
    return msgspec.structs.replace(announcement, sequence=0, warmup_ms=0)


def _mark_gone(latest: Announcement, notice: LeaveNotice) -> Announcement:
    """Return the final call of a run, with status `GONE`."""
    sequence = max(latest.sequence, notice.sequence or 0)
    return msgspec.structs.replace(latest, sequence=sequence, status=AnnouncedStatus.GONE)
