"""The feed of a control instance: pages of changes for each subscribed balancer."""

from collections import deque
from collections.abc import Iterable, Mapping

import msgspec

from chicorypost.announcements._messages import (
    DocumentChanged,
    DocumentReply,
    FeedPage,
    Subscribe,
)
from chicorypost.announcements._records import ListedUpstream, RunJudgement
from chicorypost.announcements._settings import AnnouncementSettings
from chicorypost.announcements._table import AnnouncementTable
from chicorypost.base import Effect, InstanceId, Instant, Send, UpstreamId, Version
from chicorypost.evacuation import NO_EVACUATIONS, Evacuations
from chicorypost.routing import (
    NO_VERSION,
    RoutingChange,
    RoutingDocument,
    compute_change,
    merge_changes,
)

KEPT_DOCUMENT_CHANGES = 32
"""Changes of the configuration that can be sent in place of it; enough for a balancer that was cut
off during a series of changes."""

BALANCERS_GROWTH = 1.25
"""Growth of the number of balancers after which it is sent without another change. Balancers with
an older number take too large a share of the limit of a cold upstream."""


class Subscriber(msgspec.Struct):
    """Subscription of one balancer: when its last page was sent, and when it expires."""

    sent_at: Instant
    expires_at: Instant


class Feed:
    """Sends each subscriber the full table once, and changes after that.

    Parameters
    ----------
    settings : AnnouncementSettings
        Intervals and timeouts.
    feed_id : int
        Identifies this run of the process.
    table : AnnouncementTable
        The table to send.
    now : Instant
        Current time.

    Notes
    -----
    Every page of changes has the next position, and all subscribers get the same page. For each
    upstream the position of its last change is kept, so that a balancer whose connection was lost
    gets the changes since the position that it names, and not the table.

    A page of changes costs one message a subscriber, so the rate of pages is limited by the
    generic cell rate algorithm (ITU-T I.371): up to `page_burst` pages are sent at once, and
    further changes wait for the next of the pages that follow every `page_seconds`.
    """

    def __init__(
        self, settings: AnnouncementSettings, feed_id: int, table: AnnouncementTable, now: Instant
    ) -> None:
        self.settings = settings
        self.feed_id = feed_id
        self.table = table
        self.position = 1
        """Position of the last page of changes; 0 is that of a balancer without a table."""
        self.oldest_position = 1
        """First position since which all changes are known."""
        self.changed_at: dict[UpstreamId, int] = {}
        """Position of the last change of each upstream that changed since `oldest_position`."""
        self.unsent: dict[UpstreamId, None] = {}
        """Changed upstreams that are not sent yet, in the order of their changes."""
        self.next_page_at = now
        """When the next page would be due if pages were sent every `page_seconds`."""
        self.subscribers: dict[InstanceId, Subscriber] = {}
        self.sent_balancers = 0
        """Number of balancers in the last page to all of them."""
        self.controls: tuple[InstanceId, ...] = ()
        self.version: Version = NO_VERSION
        self.document: RoutingDocument | None = None
        self.document_changes: deque[RoutingChange] = deque(maxlen=KEPT_DOCUMENT_CHANGES)
        """The latest changes of the configuration, in order."""
        self.evacuations = NO_EVACUATIONS
        self.is_complete = False
        self.judgements: dict[UpstreamId, RunJudgement] = {}
        """Judgements by the reports of balancers; sent with the pages, and nowhere else."""

    def subscribe(
        self,
        sender: InstanceId,
        message: Subscribe,
        is_complete: bool,
        now: Instant,
    ) -> list[Effect]:
        """Add or renew a subscription, and send the balancer what it lacks.

        It gets the changes since its position, or the full table if they aren't known. The table
        is listed only if it is sent: each balancer renews its subscription every second.
        """
        self.is_complete = is_complete
        expires_at = Instant(now + self.settings.subscriber_seconds)
        subscriber = self.subscribers.get(sender)
        if subscriber is not None and self._is_current(subscriber, message, now):
            subscriber.expires_at = expires_at
            return []
        self.subscribers[sender] = Subscriber(now, expires_at)
        if message.is_new_connection is not None and self._has_changes_since(message):
            names = [name for name, at in self.changed_at.items() if at > message.position]
            page = self._make_page(self._list_upstreams(now, names), message.position)
        else:
            page = self._make_page(self._list_upstreams(now, list(self.table.entries)), None)
        effects: list[Effect] = [Send(sender, page)]
        if self._needs_new_number():
            effects += self._send_pages(now)
        return effects

    def _needs_new_number(self) -> bool:
        """Return whether balancers need the number of balancers without another change."""
        has_grown = len(self.subscribers) > BALANCERS_GROWTH * self.sent_balancers
        return self.is_complete and has_grown and bool(self.table.limited_services)

    def _is_current(self, subscriber: Subscriber, message: Subscribe, now: Instant) -> bool:
        if message.feed_id != self.feed_id or message.is_new_connection:
            return False
        if message.position == self.position:
            return True
        # The latest page may still be in flight; after `subscribe_seconds` it counts as lost.
        return now - subscriber.sent_at < self.settings.subscribe_seconds and message.position > 0

    def _has_changes_since(self, message: Subscribe) -> bool:
        is_known_position = self.oldest_position <= message.position <= self.position
        return message.feed_id == self.feed_id and is_known_position

    def publish(
        self, changed: Iterable[UpstreamId], is_complete: bool, now: Instant
    ) -> list[Effect]:
        """Send changed upstreams to every subscriber as soon as the rate of pages allows it."""
        self.is_complete = is_complete
        self.unsent |= dict.fromkeys(changed)
        return self.send_due_page(now)

    def send_due_page(self, now: Instant) -> list[Effect]:
        """Send the changes that are not sent yet, if the next page is due."""
        due_at = self.next_deadline()
        return self._send_pages(now) if due_at is not None and now >= due_at else []

    def next_deadline(self) -> Instant | None:
        """Return when a page is due, or None without changes to send."""
        if not self.unsent:
            return None
        return Instant(self.next_page_at - self.settings.page_burst * self.settings.page_seconds)

    def set_judgements(
        self, judgements: Mapping[UpstreamId, RunJudgement | None], now: Instant
    ) -> list[Effect]:
        """Store changed judgements and send their upstreams to every subscriber."""
        for name, item in judgements.items():
            if item is None:
                self.judgements.pop(name, None)
            else:
                self.judgements[name] = item
        listed = [name for name in judgements if name in self.table.entries]
        return self.publish(listed, self.is_complete, now) if listed else []

    def mark_complete(self, now: Instant) -> list[Effect]:
        """Tell every subscriber that the table is complete."""
        self.is_complete = True
        return self._send_pages(now)

    def set_controls(self, controls: tuple[InstanceId, ...], now: Instant) -> list[Effect]:
        """Send the list of control instances to every subscriber if it has changed."""
        if controls == self.controls:
            return []
        self.controls = controls
        return self._send_pages(now)

    def set_document(self, document: RoutingDocument, now: Instant) -> list[Effect]:
        """Store a newer configuration and send its version to every subscriber."""
        if self.document is not None:
            self.document_changes.append(compute_change(self.document, document))
        self.document = document
        self.version = document.version
        return self._send_pages(now)

    def set_evacuations(self, evacuations: Evacuations, now: Instant) -> list[Effect]:
        """Store the evacuated data centres and send them to every subscriber.

        They are sent also if only the revision has changed: it makes balancers ignore the older
        state of another control instance.
        """
        self.evacuations = evacuations
        return self._send_pages(now)

    def send_document(self, sender: InstanceId, held_version: Version) -> list[Effect]:
        """Send the newest configuration to a balancer, or its difference from the one held."""
        if self.document is None:
            return []
        changes = [item for item in self.document_changes if item.base_version >= held_version]
        if changes and changes[0].base_version == held_version:
            change = merge_changes(changes)
            if len(change.routes) + len(change.removed_routes) < len(self.document.routes):
                return [Send(sender, DocumentChanged(change))]
        return [Send(sender, DocumentReply(self.document))]

    def remove_expired_subscribers(self, now: Instant) -> None:
        """Remove balancers that have not renewed their subscription in time."""
        expired = [name for name, entry in self.subscribers.items() if now >= entry.expires_at]
        for name in expired:
            del self.subscribers[name]

    def forget_upstreams(self, names: Iterable[UpstreamId]) -> None:
        """Forget upstreams that the table has removed.

        A balancer that has not got the last change of one of them needs the full table.
        """
        for name in names:
            self.judgements.pop(name, None)
            changed_at = self.changed_at.pop(name, 0)
            self.oldest_position = max(self.oldest_position, changed_at)

    def _send_pages(self, now: Instant) -> list[Effect]:
        previous_position, self.position = self.position, self.position + 1
        self.changed_at |= dict.fromkeys(self.unsent, self.position)
        listed = self._list_upstreams(now, list(self.unsent))
        self.unsent.clear()
        self.next_page_at = Instant(max(self.next_page_at, now) + self.settings.page_seconds)
        page = self._make_page(listed, previous_position)
        self.sent_balancers = page.balancers or 0
        for subscriber in self.subscribers.values():
            subscriber.sent_at = now
        return [Send(name, page) for name in self.subscribers]

    def _list_upstreams(self, now: Instant, names: list[UpstreamId]) -> tuple[ListedUpstream, ...]:
        """Return entries of the table with the judgements of their present runs."""
        listed = self.table.list_upstreams(now, names)
        return tuple(map(self._add_judgement, listed)) if self.judgements else listed

    def _add_judgement(self, item: ListedUpstream) -> ListedUpstream:
        judged = self.judgements.get(item.announcement.upstream)
        if judged is None or judged.started_at_ms != item.announcement.started_at_ms:
            return item
        return msgspec.structs.replace(item, judgement=judged.judgement)

    def _make_page(self, listed: tuple[ListedUpstream, ...], since: int | None) -> FeedPage:
        """Return a page with the changes since a position, or the full table if that is None."""
        return FeedPage(
            self.feed_id,
            self.position,
            since is None,
            self.is_complete,
            listed,
            self.controls,
            self.version,
            since,
            self.evacuations,
            # Just after a start, few of the balancers have subscribed again.
            len(self.subscribers) if self.is_complete else None,
        )
