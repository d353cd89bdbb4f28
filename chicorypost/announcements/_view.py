"""The upstreams and configuration of a balancer, merged from the feeds of control instances."""

from typing import Any

import msgspec

from chicorypost.announcements import _events
from chicorypost.announcements._entry_checks import select_usable
from chicorypost.announcements._messages import (
    DocumentChanged,
    DocumentReply,
    DocumentRequest,
    FeedPage,
    Subscribe,
)
from chicorypost.announcements._records import (
    AnnouncedStatus,
    Announcement,
    JudgedState,
    Judgement,
    ListedUpstream,
    PeerConnected,
    PeerDisconnected,
)
from chicorypost.announcements._settings import AnnouncementSettings
from chicorypost.announcements._table import MS_PER_SECOND
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
from chicorypost.evacuation import NO_EVACUATIONS, Evacuations, find_evacuations_fault
from chicorypost.routing import NO_VERSION, RoutingChange, RoutingDocument, apply_change

DOCUMENT_TIMEOUT_SECONDS = 0.4
"""Timeout of a configuration request, after which another control instance is tried; several round
trips between data centres. Doubles with each request in a row that gets no reply, since a reply may
take longer than this on a thin link, and more replies would take the link from it."""
MAX_DOCUMENT_TIMEOUT_SECONDS = 3.2
NEVER = Instant(float("-inf"))


class VisibleUpstream(msgspec.Struct, frozen=True):
    """Latest call of an upstream, and whether it is silent and so possibly dead."""

    announcement: Announcement
    is_silent: bool
    warmup_ends_at: Instant
    """End of the warm-up, until which the upstream is slow."""
    judgement: Judgement | None = None
    """Judgement of this run by the reports of balancers."""


class VisibleUpstreamsChanged(Event, Effect, msgspec.Struct, frozen=True):
    """Changes of the upstreams known to the balancer: new or changed ones, and forgotten ones."""

    changed: tuple[VisibleUpstream, ...]
    removed: tuple[UpstreamId, ...] = ()


class RoutingApplied(Event, Effect, msgspec.Struct, frozen=True):
    """The balancer has applied a newer configuration."""

    document: RoutingDocument


class EvacuationsApplied(Event, Effect, msgspec.Struct, frozen=True):
    """The evacuated data centres have changed."""

    evacuations: Evacuations


class BalancersCounted(Event, Effect, msgspec.Struct, frozen=True):
    """The highest number of balancers that a connected control instance reports has changed.

    `count` is None if none reports a number.
    """

    count: int | None


class ControlsChanged(Effect, msgspec.Struct, frozen=True):
    """The control instances to stay connected to."""

    controls: frozenset[InstanceId]


class SeedsChanged(Event, msgspec.Struct, frozen=True):
    """The control instances listed in the settings."""

    seeds: tuple[InstanceId, ...]


class ControlFeed(msgspec.Struct):
    """State received from one control instance."""

    is_connected: bool = True
    is_current: bool = False
    """Whether a page has come on the present connection, so that no change is missing."""
    page_deadline: Instant = NEVER
    """Time at which the full table is requested unless the first page has come."""
    feed_id: int = 0
    position: int = 0
    is_complete: bool = False
    version: Version = NO_VERSION
    controls: tuple[InstanceId, ...] = ()
    balancers: int | None = None
    listed: dict[UpstreamId, ListedUpstream] = msgspec.field(default_factory=dict)


class DirectoryView:
    """Merges the feeds of the control instances.

    Parameters
    ----------
    settings : AnnouncementSettings
        Intervals and timeouts.
    seeds : tuple of InstanceId
        Control instances to connect to first.
    now : Instant
        Current time.

    Notes
    -----
    The latest call of an upstream over all feeds counts. An upstream is silent when no connected
    control instance lists it as reachable and at least one of them has a complete table. Without
    any connection the view doesn't change, but for judgements, which end. The configuration version
    never decreases, nor does the revision of the evacuations: a control instance that has just
    restarted may be behind.
    """

    def __init__(
        self, settings: AnnouncementSettings, seeds: tuple[InstanceId, ...], now: Instant
    ) -> None:
        self.settings = settings
        self.seeds = seeds
        self.feeds: dict[InstanceId, ControlFeed] = {}
        self.upstreams: dict[UpstreamId, VisibleUpstream] = {}
        self.unusable_since: dict[UpstreamId, Instant] = {}
        self.evacuations = NO_EVACUATIONS
        self.document: RoutingDocument | None = None
        self.document_source: InstanceId | None = None
        self.document_deadline = now
        self.document_timeouts = 0
        """Configuration requests in a row that got no reply."""
        self.needs_whole_document = False
        """Whether the last change of the configuration didn't fit."""
        self.subscribe_at = now
        self.balancers: int | None = None
        """Highest number of balancers that a connected control instance reports."""
        self.controls: frozenset[InstanceId] = frozenset()
        self.effects: list[Effect] = []

    @property
    def version(self) -> Version:
        """Version of the applied configuration; 0 before the first one."""
        return self.document.version if self.document is not None else NO_VERSION

    @property
    def is_isolated(self) -> bool:
        """Whether less than half of the control instances are connected."""
        connected = sum(feed.is_connected for feed in self.feeds.values())
        return 2 * connected < len(self.controls)

    @property
    def has_directory(self) -> bool:
        """Whether any control instance has sent its table."""
        return any(feed.position > 0 for feed in self.feeds.values())

    def handle(self, event: Event, now: Instant) -> list[Effect]:
        """Process one event and return the effects in execution order."""
        self.effects = []
        match event:
            case PeerConnected(peer):
                feed = self.feeds.setdefault(peer, ControlFeed())
                feed.is_connected = True
                feed.is_current = False
                feed.page_deadline = Instant(now + self.settings.subscribe_seconds)
                self._send(peer, Subscribe(feed.feed_id, feed.position, True))
                self._update_judged(now)
            case PeerDisconnected(peer):
                self._handle_disconnect(peer, now)
            case SeedsChanged(seeds):
                self.seeds = seeds
            case Received(sender, FeedPage() as page):
                self._apply_page(sender, page, now)
            case Received(_, DocumentReply(document)):
                self._apply_document(document)
            case Received(sender, DocumentChanged(change)):
                self._apply_change(sender, change)
            case Tick():
                self._check_deadlines(now)
            case _:
                raise TypeError(
                    f"directory view received an unsupported event: got {type(event).__name__}"
                )
        self._request_document(now)
        self._update_controls(now)
        self._update_balancers()
        return self.effects

    def next_deadline(self) -> Instant | None:
        """Return when the view next needs a `Tick`."""
        if self.document_source is not None:
            return min(self.subscribe_at, self.document_deadline)
        return self.subscribe_at

    def dump(self) -> dict[str, Any]:
        """Return the complete decision state as JSON-compatible values."""
        return {
            "version": self.version,
            "evacuations": {
                "revision": self.evacuations.revision,
                "data_centres": list(self.evacuations.data_centres),
            },
            "controls": {
                name: {
                    "connected": feed.is_connected,
                    "complete": feed.is_complete,
                    "position": feed.position,
                    "version": feed.version,
                }
                for name, feed in self.feeds.items()
            },
            "upstreams": {
                name: [item.announcement.status.value, "silent" if item.is_silent else "heard"]
                for name, item in self.upstreams.items()
            },
        }

    def _send(self, to: InstanceId, message: Message) -> None:
        self.effects.append(Send(to, message))

    def _handle_disconnect(self, peer: InstanceId, now: Instant) -> None:
        feed = self.feeds.get(peer)
        if feed is not None:
            feed.is_connected = False
            self._update_upstreams(set(self.upstreams), now)
        if self.document_source == peer:
            self.document_source = None

    def _apply_page(self, sender: InstanceId, page: FeedPage, now: Instant) -> None:
        self._apply_evacuations(sender, page.evacuations)
        feed = self.feeds.setdefault(sender, ControlFeed())
        if not page.is_full and not _continues(page, feed):
            # A page was missed, so request the full table.
            self._send(sender, Subscribe(0, 0, False))
            return
        usable, events = select_usable(page.listed, sender)
        self.effects += events
        changed = {item.announcement.upstream for item in usable}
        if page.is_full:
            changed |= set(feed.listed)
            feed.listed = {}
        was_complete, feed.is_complete = feed.is_complete, page.is_complete
        was_current = feed.is_current
        feed.is_connected = feed.is_current = True
        feed.feed_id, feed.position = page.feed_id, page.position
        feed.controls, feed.version = page.controls, page.version
        feed.balancers = page.balancers
        feed.listed.update({item.announcement.upstream: item for item in usable})
        if feed.is_complete != was_complete:
            changed = set(self.upstreams) | changed
        self._update_upstreams(changed, now)
        if not was_current:
            # The page may leave out judgements that have held since before the connection.
            self._update_judged(now)

    def _apply_evacuations(self, sender: InstanceId, evacuations: Evacuations | None) -> None:
        """Apply the evacuated data centres, which each page holds in full, if they are newer."""
        if evacuations is None or evacuations.revision <= self.evacuations.revision:
            return
        field = find_evacuations_fault(evacuations)
        if field is not None:
            ignored = _events.EVACUATIONS_IGNORED.emit(peer=sender, field=field)
            self.effects.append(ignored)
            return
        previous, self.evacuations = self.evacuations, evacuations
        if evacuations.data_centres != previous.data_centres:
            self.effects.append(EvacuationsApplied(evacuations))

    def _update_upstreams(self, names: set[UpstreamId], now: Instant) -> None:
        """Recompute some upstreams; emit `VisibleUpstreamsChanged` if any has changed."""
        changed = []
        for name in names:
            resolved = self._resolve_upstream(name, now)
            if resolved is not None and resolved != self.upstreams.get(name):
                self.upstreams[name] = resolved
                changed.append(resolved)
            if resolved is not None and (
                resolved.is_silent or resolved.announcement.status is AnnouncedStatus.GONE
            ):
                self.unusable_since.setdefault(name, now)
            else:
                self.unusable_since.pop(name, None)
        if changed:
            self.effects.append(VisibleUpstreamsChanged(tuple(changed)))

    def _resolve_upstream(self, name: UpstreamId, now: Instant) -> VisibleUpstream | None:
        known = self.upstreams.get(name)
        listed = [feed.listed[name] for feed in self.feeds.values() if name in feed.listed]
        latest = max(listed, key=lambda item: item.announcement.order_key, default=None)
        if latest is None or (
            known and known.announcement.order_key >= latest.announcement.order_key
        ):
            if known is None:
                return None
            announcement, warmup_ends_at = known.announcement, known.warmup_ends_at
        else:
            announcement = latest.announcement
            remaining_ms = max(0, announcement.warmup_ms - latest.age_ms)
            warmup_ends_at = Instant(now + remaining_ms / MS_PER_SECOND)
        is_silent = self._is_silent(name, announcement, known)
        judgement = self._merge_judgements(name, announcement)
        return VisibleUpstream(announcement, is_silent, warmup_ends_at, judgement)

    def _update_judged(self, now: Instant) -> None:
        """Recompute the upstreams that are or may be judged; other control instances count now."""
        names = {name for name, item in self.upstreams.items() if item.judgement is not None}
        for feed in self._list_judging_feeds():
            names |= {name for name, item in feed.listed.items() if item.judgement is not None}
        self._update_upstreams(names & self.upstreams.keys(), now)

    def _list_judging_feeds(self) -> list[ControlFeed]:
        connected = sorted(name for name, feed in self.feeds.items() if feed.is_connected)
        feeds = (self.feeds[name] for name in connected[: self.settings.judging_controls])
        return [feed for feed in feeds if feed.is_current]

    def _merge_judgements(self, name: UpstreamId, announcement: Announcement) -> Judgement | None:
        """Return the strongest judgement of the first connected control instances for a run.

        A control instance without reports says the same as one that judges an upstream to be well,
        so a majority of them would say little: unresponsive goes before slow, and of several slow
        ones the least factor counts. The judgements of others, which rest on the reports of
        balancers with other connections, don't count: nobody here could contradict them.
        """
        listed = (feed.listed.get(name) for feed in self.feeds.values())
        if all(item is None or item.judgement is None for item in listed):
            return None
        judgements = [
            feed.listed[name].judgement
            for feed in self._list_judging_feeds()
            if name in feed.listed
            if feed.listed[name].announcement.started_at_ms == announcement.started_at_ms
        ]
        return min(
            (item for item in judgements if item is not None),
            key=lambda item: (item.state is JudgedState.SLOW, item.slowness_percent),
            default=None,
        )

    def _is_silent(
        self, name: UpstreamId, announcement: Announcement, known: VisibleUpstream | None
    ) -> bool:
        current = [feed for feed in self.feeds.values() if feed.is_connected and feed.is_current]
        for feed in current:
            item = feed.listed.get(name)
            is_same_run = (
                item is not None and item.announcement.started_at_ms == announcement.started_at_ms
            )
            if item is not None and is_same_run and not item.is_silent:
                return False
        if any(feed.is_complete for feed in current):
            return True
        return known.is_silent if known is not None else False

    def _apply_document(self, document: RoutingDocument) -> None:
        self._end_document_request()
        self.needs_whole_document = False
        if document.version > self.version:
            self.document = document
            self.effects.append(RoutingApplied(document))

    def _apply_change(self, sender: InstanceId, change: RoutingChange) -> None:
        """Apply a change of the configuration; request the whole one if the change doesn't fit."""
        if change.version <= self.version:
            self._end_document_request()
            return
        document = apply_change(self.document, change) if self.document is not None else None
        if document is not None:
            self._apply_document(document)
            return
        self._end_document_request()
        self.needs_whole_document = True
        unusable = _events.ROUTING_CHANGE_UNUSABLE.emit(
            peer=sender, held=self.version, base=change.base_version, version=change.version
        )
        self.effects.append(unusable)

    def _end_document_request(self) -> None:
        self.document_source = None
        self.document_timeouts = 0

    def _request_document(self, now: Instant) -> None:
        """Request a newer configuration from one control instance at a time."""
        if self.document_source is not None:
            if now < self.document_deadline:
                return
            self.document_timeouts += 1
        newer = [
            (feed.version, name != self.document_source, name)
            for name, feed in self.feeds.items()
            if feed.is_connected and feed.version > self.version
        ]
        self.document_source = max(newer)[2] if newer else None
        if self.document_source is not None:
            seconds = DOCUMENT_TIMEOUT_SECONDS * 2**self.document_timeouts
            self.document_deadline = Instant(now + min(seconds, MAX_DOCUMENT_TIMEOUT_SECONDS))
            held_version = NO_VERSION if self.needs_whole_document else self.version
            self._send(self.document_source, DocumentRequest(held_version))

    def _update_controls(self, now: Instant) -> None:
        reported = [feed.controls for feed in self.feeds.values() if feed.is_connected]
        controls = frozenset(self.seeds).union(*reported)
        if not any(reported):
            controls |= self.controls
        if controls != self.controls:
            for name in self.controls - controls:
                self.feeds.pop(name, None)
            self.controls = controls
            self.effects.append(ControlsChanged(controls))
            self._update_judged(now)

    def _update_balancers(self) -> None:
        counts = [
            feed.balancers
            for feed in self.feeds.values()
            if feed.is_connected and feed.balancers is not None
        ]
        balancers = max(counts, default=None)
        if balancers != self.balancers:
            self.balancers = balancers
            self.effects.append(BalancersCounted(balancers))

    def _check_deadlines(self, now: Instant) -> None:
        if now < self.subscribe_at:
            return
        self.subscribe_at = Instant(now + self.settings.subscribe_seconds)
        for name, feed in self.feeds.items():
            if not feed.is_connected:
                continue
            if feed.is_current:
                self._send(name, Subscribe(feed.feed_id, feed.position, False))
            elif now >= feed.page_deadline:
                self._send(name, Subscribe(0, 0, False))
        self._remove_expired(now)

    def _remove_expired(self, now: Instant) -> None:
        """Remove upstreams that have been gone or silent for `forget_seconds`."""
        limit = self.settings.forget_seconds
        expired = [name for name, at in self.unusable_since.items() if now - at >= limit]
        for name in expired:
            del self.unusable_since[name]
            self.upstreams.pop(name, None)
            for feed in self.feeds.values():
                feed.listed.pop(name, None)
        if expired:
            self.effects.append(VisibleUpstreamsChanged((), tuple(expired)))


def _continues(page: FeedPage, feed: ControlFeed) -> bool:
    """Return whether a page of changes misses none since the last page of the same feed."""
    since = page.position - 1 if page.since is None else page.since
    return page.feed_id == feed.feed_id and since <= feed.position <= page.position
