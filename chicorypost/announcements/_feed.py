"""The feed of a control instance: pages of changes for each subscribed balancer."""

from collections.abc import Iterable

import msgspec

from chicorypost.announcements._messages import DocumentReply, FeedPage, Subscribe
from chicorypost.announcements._records import ListedUpstream
from chicorypost.announcements._settings import AnnouncementSettings
from chicorypost.announcements._table import AnnouncementTable
from chicorypost.base import Effect, InstanceId, Instant, Send, UpstreamId, Version
from chicorypost.routing import NO_VERSION, RoutingDocument


class Subscriber(msgspec.Struct):
    """Subscription of one balancer: its last page, when that was sent, and when it expires."""

    position: int
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
        self.unsent: dict[UpstreamId, None] = {}
        """Changed upstreams that are not sent yet, in the order of their changes."""
        self.next_page_at = now
        """When the next page would be due if pages were sent every `page_seconds`."""
        self.subscribers: dict[InstanceId, Subscriber] = {}
        self.controls: tuple[InstanceId, ...] = ()
        self.version: Version = NO_VERSION
        self.document: RoutingDocument | None = None
        self.is_complete = False

    def subscribe(
        self,
        sender: InstanceId,
        message: Subscribe,
        is_complete: bool,
        now: Instant,
    ) -> list[Effect]:
        """Add or renew a subscription; send the full table if the balancer has missed a page.

        The table is listed only if it is sent: each balancer renews its subscription every second.
        """
        self.is_complete = is_complete
        expires_at = Instant(now + self.settings.subscriber_seconds)
        subscriber = self.subscribers.get(sender)
        if subscriber is not None and self._is_current(subscriber, message, now):
            subscriber.expires_at = expires_at
            return []
        position = subscriber.position if subscriber is not None else 0
        subscriber = Subscriber(position, now, expires_at)
        self.subscribers[sender] = subscriber
        return [self._make_next_page(sender, subscriber, self._list_all(now), True, now)]

    def _is_current(self, subscriber: Subscriber, message: Subscribe, now: Instant) -> bool:
        if message.feed_id != self.feed_id:
            return False
        if message.position == subscriber.position:
            return True
        # The latest page may still be in flight; after `subscribe_seconds` it counts as lost.
        return now - subscriber.sent_at < self.settings.subscribe_seconds and message.position > 0

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
        self.document = document
        self.version = document.version
        return self._send_pages(now)

    def send_document(self, sender: InstanceId) -> list[Effect]:
        """Send the newest configuration to a balancer, if there is one."""
        if self.document is None:
            return []
        return [Send(sender, DocumentReply(self.document))]

    def remove_expired_subscribers(self, now: Instant) -> None:
        """Remove balancers that have not renewed their subscription in time."""
        expired = [name for name, entry in self.subscribers.items() if now >= entry.expires_at]
        for name in expired:
            del self.subscribers[name]

    def _list_all(self, now: Instant) -> tuple[ListedUpstream, ...]:
        return self.table.list_upstreams(now, list(self.table.entries))

    def _send_pages(self, now: Instant) -> list[Effect]:
        listed = self.table.list_upstreams(now, list(self.unsent))
        self.unsent.clear()
        self.next_page_at = Instant(max(self.next_page_at, now) + self.settings.page_seconds)
        return [
            self._make_next_page(name, subscriber, listed, False, now)
            for name, subscriber in self.subscribers.items()
        ]

    def _make_next_page(
        self,
        name: InstanceId,
        subscriber: Subscriber,
        listed: tuple[ListedUpstream, ...],
        is_full: bool,
        now: Instant,
    ) -> Effect:
        subscriber.position += 1
        subscriber.sent_at = now
        page = FeedPage(
            self.feed_id,
            subscriber.position,
            is_full,
            self.is_complete,
            listed,
            self.controls,
            self.version,
        )
        return Send(name, page)
