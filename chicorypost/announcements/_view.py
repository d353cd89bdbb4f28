"""What a balancer knows of upstreams and configuration, from the feeds of all control instances."""

from typing import Any

import msgspec

from chicorypost.announcements._messages import (
    DocumentReply,
    DocumentRequest,
    FeedPage,
    Subscribe,
)
from chicorypost.announcements._records import (
    Announcement,
    ListedUpstream,
    PeerGone,
    PeerReached,
    Standing,
)
from chicorypost.announcements._settings import AnnouncementSettings
from chicorypost.announcements._table import MILLISECONDS
from chicorypost.base import (
    Effect,
    Event,
    InstanceId,
    Instant,
    Message,
    Received,
    Send,
    Tick,
    UpstreamId,
    Version,
)
from chicorypost.routing import NO_VERSION, RoutingDocument

DOCUMENT_SECONDS = 0.4
"""How long a control instance may take to send a configuration before another one is asked;
several times the round trip between data centres."""


class VisibleUpstream(msgspec.Struct, frozen=True):
    """An upstream as a balancer sees it: its latest call, and whether it may be dead."""

    announcement: Announcement
    silent: bool
    warm_at: Instant
    """Until when it is slow after its start."""


class UpstreamsSeen(Event, Effect, msgspec.Struct, frozen=True):
    """All upstreams that the balancer knows, whenever any of them has changed."""

    upstreams: tuple[VisibleUpstream, ...]


class RoutingApplied(Event, Effect, msgspec.Struct, frozen=True):
    """A newer configuration is in force on this balancer."""

    document: RoutingDocument


class ControlsChanged(Effect, msgspec.Struct, frozen=True):
    """The control instances to keep connections to."""

    controls: frozenset[InstanceId]


class SeedsChanged(Event, msgspec.Struct, frozen=True):
    """The control instances that the settings name."""

    seeds: tuple[InstanceId, ...]


class ControlFeed(msgspec.Struct):
    """What one control instance has sent."""

    connected: bool = True
    feed: int = 0
    position: int = 0
    complete: bool = False
    version: Version = NO_VERSION
    controls: tuple[InstanceId, ...] = ()
    listed: dict[UpstreamId, ListedUpstream] = msgspec.field(default_factory=dict)


class DirectoryView:
    """Merges the feeds of the control instances.

    Parameters
    ----------
    settings : AnnouncementSettings
        Times.
    seeds : tuple of InstanceId
        Control instances to start with.
    now : Instant
        Current time.

    Notes
    -----
    The latest call of an upstream counts, whichever control instance knows it. An upstream is
    silent when no connected control instance hears it and one of them has a complete table. While
    none is connected everything stays as it was. The configuration only ever moves to a higher
    version.
    """

    def __init__(
        self, settings: AnnouncementSettings, seeds: tuple[InstanceId, ...], now: Instant
    ) -> None:
        self.settings = settings
        self.seeds = seeds
        self.feeds: dict[InstanceId, ControlFeed] = {}
        self.known: dict[UpstreamId, VisibleUpstream] = {}
        self.unused_at: dict[UpstreamId, Instant] = {}
        self.document: RoutingDocument | None = None
        self.asked: InstanceId | None = None
        self.asked_until = now
        self.subscribe_at = now
        self.controls: frozenset[InstanceId] = frozenset()
        self.effects: list[Effect] = []

    @property
    def version(self) -> Version:
        """Version in force; 0 before the first configuration."""
        return self.document.version if self.document is not None else NO_VERSION

    @property
    def is_cut_off(self) -> bool:
        """Whether less than half of the control instances can be reached."""
        connected = sum(feed.connected for feed in self.feeds.values())
        return 2 * connected < len(self.controls)

    @property
    def has_directory(self) -> bool:
        """Whether some control instance has ever sent its table."""
        return any(feed.position > 0 for feed in self.feeds.values())

    def handle(self, event: Event, now: Instant) -> list[Effect]:
        """Take one event and return the effects, in the order to carry them out."""
        self.effects = []
        match event:
            case PeerReached(peer):
                feed = self.feeds.setdefault(peer, ControlFeed())
                feed.connected = True
                feed.position = 0
                self._send(peer, Subscribe(0, 0))
            case PeerGone(peer):
                self._lose(peer, now)
            case SeedsChanged(seeds):
                self.seeds = seeds
            case Received(sender, FeedPage() as page):
                self._take_page(sender, page, now)
            case Received(_, DocumentReply(document)):
                self._take_document(document)
            case Tick():
                self._check_deadlines(now)
            case _:
                raise TypeError(f"event is not for the view: got {type(event).__name__}")
        self._ask_for_document(now)
        self._compare_controls()
        return self.effects

    def next_deadline(self) -> Instant | None:
        """Return when the view next wants a `Tick`."""
        if self.asked is not None:
            return min(self.subscribe_at, self.asked_until)
        return self.subscribe_at

    def dump(self) -> dict[str, Any]:
        """Return the whole decision state as values that JSON can hold."""
        return {
            "version": self.version,
            "controls": {
                name: {
                    "connected": feed.connected,
                    "complete": feed.complete,
                    "position": feed.position,
                    "version": feed.version,
                }
                for name, feed in self.feeds.items()
            },
            "upstreams": {
                name: [seen.announcement.standing.value, "silent" if seen.silent else "heard"]
                for name, seen in self.known.items()
            },
        }

    def _send(self, to: InstanceId, message: Message) -> None:
        self.effects.append(Send(to, message))

    def _lose(self, peer: InstanceId, now: Instant) -> None:
        feed = self.feeds.get(peer)
        if feed is not None:
            feed.connected = False
            self._merge(set(self.known), now)
        if self.asked == peer:
            self.asked = None

    def _take_page(self, sender: InstanceId, page: FeedPage, now: Instant) -> None:
        feed = self.feeds.setdefault(sender, ControlFeed())
        is_next = page.feed == feed.feed and page.position == feed.position + 1
        if not page.whole and not is_next:
            # A page is missing: the whole table is asked for instead of guessing.
            self._send(sender, Subscribe(0, 0))
            return
        changed = {item.announcement.upstream for item in page.listed}
        if page.whole:
            changed |= set(feed.listed)
            feed.listed = {}
        was_complete, feed.complete = feed.complete, page.complete
        feed.connected = True
        feed.feed, feed.position = page.feed, page.position
        feed.controls, feed.version = page.controls, page.version
        feed.listed.update({item.announcement.upstream: item for item in page.listed})
        if feed.complete != was_complete:
            changed = set(self.known) | changed
        self._merge(changed, now)

    def _merge(self, names: set[UpstreamId], now: Instant) -> None:
        """Work out anew what is known of some upstreams; tell the router of any change."""
        has_changed = False
        for name in names:
            seen = self._see(name, now)
            if seen is not None and seen != self.known.get(name):
                self.known[name] = seen
                has_changed = True
            if seen is not None and (seen.silent or seen.announcement.standing is Standing.GONE):
                self.unused_at.setdefault(name, now)
            else:
                self.unused_at.pop(name, None)
        if has_changed:
            self.effects.append(UpstreamsSeen(tuple(self.known.values())))

    def _see(self, name: UpstreamId, now: Instant) -> VisibleUpstream | None:
        known = self.known.get(name)
        listed = [feed.listed[name] for feed in self.feeds.values() if name in feed.listed]
        latest = max(listed, key=lambda item: item.announcement.order, default=None)
        if latest is None or (known and known.announcement.order >= latest.announcement.order):
            if known is None:
                return None
            announcement, warm_at = known.announcement, known.warm_at
        else:
            announcement = latest.announcement
            warm_ms = max(0, announcement.warm_in_ms - latest.age_ms)
            warm_at = Instant(now + warm_ms / MILLISECONDS)
        silent = self._is_silent(name, announcement, known)
        return VisibleUpstream(announcement, silent, warm_at)

    def _is_silent(
        self, name: UpstreamId, announcement: Announcement, known: VisibleUpstream | None
    ) -> bool:
        connected = [feed for feed in self.feeds.values() if feed.connected and feed.position]
        for feed in connected:
            item = feed.listed.get(name)
            is_same_run = item is not None and item.announcement.born_ms == announcement.born_ms
            if item is not None and is_same_run and not item.silent:
                return False
        if any(feed.complete for feed in connected):
            return True
        return known.silent if known is not None else False

    def _take_document(self, document: RoutingDocument) -> None:
        self.asked = None
        if document.version > self.version:
            self.document = document
            self.effects.append(RoutingApplied(document))

    def _ask_for_document(self, now: Instant) -> None:
        """Ask one control instance at a time for a configuration newer than the own one."""
        if self.asked is not None and now < self.asked_until:
            return
        newer = [
            (feed.version, name != self.asked, name)
            for name, feed in self.feeds.items()
            if feed.connected and feed.version > self.version
        ]
        self.asked = max(newer)[2] if newer else None
        if self.asked is not None:
            self.asked_until = Instant(now + DOCUMENT_SECONDS)
            self._send(self.asked, DocumentRequest())

    def _compare_controls(self) -> None:
        told = [feed.controls for feed in self.feeds.values() if feed.connected]
        controls = frozenset(self.seeds).union(*told)
        if not any(told):
            controls |= self.controls
        if controls != self.controls:
            for name in self.controls - controls:
                self.feeds.pop(name, None)
            self.controls = controls
            self.effects.append(ControlsChanged(controls))

    def _check_deadlines(self, now: Instant) -> None:
        if now < self.subscribe_at:
            return
        self.subscribe_at = Instant(now + self.settings.subscribe_seconds)
        for name, feed in self.feeds.items():
            if feed.connected:
                self._send(name, Subscribe(feed.feed, feed.position))
        self._forget(now)

    def _forget(self, now: Instant) -> None:
        """Drop upstreams that have been gone or silent for long."""
        limit = self.settings.forget_seconds
        for name in [name for name, at in self.unused_at.items() if now - at >= limit]:
            del self.unused_at[name]
            self.known.pop(name, None)
            for feed in self.feeds.values():
                feed.listed.pop(name, None)
